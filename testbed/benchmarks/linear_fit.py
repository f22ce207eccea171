"""Fits lines to measured points, or parabolas where a line doesn't describe them."""

import statistics
from pathlib import Path

import attrs

__all__ = ["Fit", "fit", "spread_of", "report", "draw"]

METRICS = ("cpu_percent", "memory_mb", "base_mb", "msgs_in", "msgs_out", "kb_in", "kb_out", "disk_syncs", "disk_bytes")
METHODS_SHOWN = 4
MIN_CURVATURE = 0.2
MIN_EXPLAINED = 0.9


@attrs.frozen
class Fit:
    """y = base + slope * x + quadratic * x * x.

    `r2` is that of the line, and `max_residual` its largest residual relative to the range of y.
    """

    base: float
    slope: float
    quadratic: float
    r2: float
    max_residual: float
    curved: bool

    def __str__(self):
        line = f"{self.base:.3g} {self.slope:+.3g} x"
        return f"{line} {self.quadratic:+.3g} x²" if self.curved else line


def _solve(rows: list[list[float]], wanted: list[float]) -> list[float]:
    n = len(wanted)
    m = [r[:] + [w] for r, w in zip(rows, wanted)]
    for i in range(n):
        p = max(range(i, n), key=lambda k: abs(m[k][i]))
        m[i], m[p] = m[p], m[i]
        for k in range(i + 1, n):
            f = m[k][i] / m[i][i]
            m[k] = [a - f * b for a, b in zip(m[k], m[i])]
    out = [0.0] * n
    for i in reversed(range(n)):
        out[i] = (m[i][n] - sum(m[i][k] * out[k] for k in range(i + 1, n))) / m[i][i]
    return out


def _fit_polynomial(xs, ys, degree: int) -> list[float]:
    powers = [[x**d for d in range(degree + 1)] for x in xs]
    rows = [[sum(p[i] * p[k] for p in powers) for k in range(degree + 1)] for i in range(degree + 1)]
    return _solve(rows, [sum(p[i] * y for p, y in zip(powers, ys)) for i in range(degree + 1)])


def fit(xs: list[float], ys: list[float]) -> Fit:
    """Fits a line, or a parabola if it is clearly better.

    The parabola must leave less than a tenth of the variance and less than half of the line's residuals, its quadratic
    term must be more than a fifth of the growth, and the values must vary by more than a fifth of their mean.
    """
    top = max(xs)
    scaled = [x / top for x in xs]
    a, b = _fit_polynomial(scaled, ys, 1)
    left = [y - a - b * x for x, y in zip(scaled, ys)]
    mean = statistics.mean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    rest = sum(e * e for e in left)
    r2 = 1 - rest / total if total else 1.0
    max_residual = max(map(abs, left)) / ((max(ys) - min(ys)) or 1.0)
    quadratic, curved = 0.0, False
    if len(set(xs)) > 3:
        a2, b2, c2 = _fit_polynomial(scaled, ys, 2)
        rest2 = sum((y - a2 - b2 * x - c2 * x * x) ** 2 for x, y in zip(scaled, ys))
        grows = abs(b2) + abs(c2)
        clear = rest2 < total * (1 - MIN_EXPLAINED) and max(ys) - min(ys) > MIN_CURVATURE * abs(mean)
        curved = bool(grows) and clear and abs(c2) > MIN_CURVATURE * grows and r2 < 0.995 and rest2 < rest / 2
        if curved:
            a, b, quadratic = a2, b2, c2
    return Fit(a, b / top, quadratic / top**2, r2, max_residual, curved)


def spread_of(windows: list[dict], role: str, metric: str) -> tuple[float, float, float]:
    values = sorted(w[role].get(metric, 0.0) for w in windows)
    return values[0], statistics.median(values), values[-1]


def _busiest_methods(point: dict, role: str) -> str:
    last = point["windows"][-1][role]
    calls = {k.removeprefix("in "): v for k, v in last.items() if k.startswith("in ") and v >= 0.05}
    top = sorted(calls, key=calls.get, reverse=True)[:METHODS_SHOWN]
    return ", ".join(f"{k} {calls[k]:.1f}/s {last[f'in_bytes {k}'] / 1000:.1f} KB/s" for k in top)


def _compare_lightweight(points: list[dict]):
    """Compares the messages and the load of lightweight and real gateways at the sizes measured with both."""
    for whole in [p for p in points if p["series"] == "whole"]:
        for lightweight in [p for p in points if p["series"] == "gateways" and p["x"] == whole["x"]]:
            for metric in ("msgs_in", "kb_in", "cpu_percent"):
                a, b = (spread_of(p["windows"], "gateway", metric)[1] for p in (lightweight, whole))
                print(f"lightweight and real, {whole['x']} gateways, {metric}: {a:.3g} and {b:.3g}, ratio {a / b:.2f}")


def report(points: list[dict], series: dict):
    """Prints Markdown tables: each point with its lowest, median and highest window, and the fit of each metric."""
    _compare_lightweight(points)
    for name in dict.fromkeys(p["series"] for p in points):
        mine = [p for p in points if p["series"] == name]
        print(f"\n### {name}: {series[name].unit}\n")
        for role in series[name].roles:
            if not any(w[role] for p in mine for w in p["windows"]):
                continue
            metrics = [m for m in METRICS if any(w[role].get(m) for p in mine for w in p["windows"])]
            print(f"| {role}: x | pace | " + " | ".join(metrics) + " |\n|" + "---|" * (len(metrics) + 2))
            for p in mine:
                cells = []
                for m in metrics:
                    low, mid, high = spread_of(p["windows"], role, m)
                    cells.append(f"{mid:.3g} ({low:.3g} to {high:.3g})")
                print(f"| {p['x']} | {p['pace']} | " + " | ".join(cells) + " |")
            if len(mine) > 2:
                fits = [
                    fit([p["x"] for p in mine], [spread_of(p["windows"], role, m)[1] for p in mine]) for m in metrics
                ]
                print("| fit | | " + " | ".join(f"{f}, r² {f.r2:.3f}" for f in fits) + " |")
            print(f"\nMost calls in, {role}, x = {mine[-1]['x']}: {_busiest_methods(mine[-1], role)}\n")
        for p in mine:
            if edits := sorted(e for w in p["windows"] for e in w["edits"]):
                print(
                    f"edits at x = {p['x']}: {len(edits)}, "
                    f"acknowledged after p50 {1000 * statistics.median(edits):.1f} ms, max {1000 * edits[-1]:.1f} ms"
                )
            if p["windows"][-1]["failed"] or p["windows"][-1]["warned"]:
                print(f"x = {p['x']}: failed {p['windows'][-1]['failed']}, warned {p['windows'][-1]['warned']}")


def draw(points: list[dict], series: dict, path: Path):
    """Draws a small diagram for each series and metric: the points with their spread, and the fit."""
    try:
        import matplotlib
    except ImportError:
        print("no picture drawn: this needs the extra `capacity`")
        return
    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = {"cpu_percent": "% of a core", "memory_mb": "MB", "msgs_in": "messages in/s", "kb_in": "KB in/s"}
    names = list(dict.fromkeys(p["series"] for p in points))
    figure, axes = pyplot.subplots(len(names), len(shown), figsize=(16, 2.6 * len(names)), squeeze=False)
    for line, name in zip(axes, names):
        mine = [p for p in points if p["series"] == name]
        for ax, (metric, unit) in zip(line, shown.items()):
            for role, colour in zip(series[name].roles, ("tab:blue", "tab:orange", "tab:green", "tab:red")):
                xs = [p["x"] for p in mine]
                lows, mids, highs = zip(*(spread_of(p["windows"], role, metric) for p in mine))
                ax.errorbar(
                    xs,
                    mids,
                    yerr=[[m - n for m, n in zip(mids, lows)], [h - m for h, m in zip(highs, mids)]],
                    fmt="o",
                    ms=4,
                    color=colour,
                    label=role,
                )
                if len(xs) > 1:
                    f = fit(xs, list(mids))
                    grid = [max(xs) * i / 40 for i in range(41)]
                    ax.plot(grid, [f.base + f.slope * x + f.quadratic * x * x for x in grid], color=colour, lw=1)
            ax.set_title(f"{name}: {unit} a node", fontsize=9)
            ax.set_xlabel(series[name].unit, fontsize=8)
            ax.tick_params(labelsize=7)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    print(f"picture: {path}")
