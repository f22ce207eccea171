"""Measures how the cost of a node grows with the cluster.

Each series has several points with three time windows each, and a curve fitted to them.
"""

import json
import statistics
import time
from pathlib import Path

import attrs

from ..processes.host_processes import LightweightCluster, MachineOverloaded
from .linear_fit import draw, report

__all__ = ["Capacity", "SERIES"]

MIN_TIMERS_KEPT = 0.85
MAX_POINT_SECONDS = 75
MAX_ATTEMPTS = 4


@attrs.frozen
class Series:
    """Measurements of a cluster at several values `xs` of one quantity, such as its number of gateways.

    `parameters` of the cluster and `pace`, the factor by which its clocks are slowed, are functions of that value.
    """

    unit: str
    xs: tuple
    pace: object
    parameters: object
    kind: str = "lightweight"
    span: float = 6.0
    roles: tuple = ("gateway", "storage", "controller", "leader")


SERIES = {
    "members": Series(
        "nodes (membership and cluster state alone)",
        (32, 64, 128, 256, 384),
        lambda x: max(1, x * x // 3000),
        lambda x: {"gateways": x},
        kind="member",
    ),
    "gateways": Series(
        "gateways (lightweight)", (8, 16, 24, 48, 96), lambda x: max(1, x * x // 500), lambda x: {"gateways": x}
    ),
    "whole": Series("gateways (real processes)", (8, 16, 24), lambda x: 1, lambda x: {"gateways": x}, kind="whole"),
    "engines": Series(
        "engines before 8 gateways",
        (0, 500, 1000, 2000, 4000),
        lambda x: max(1, x // 250),
        lambda x: {"gateways": 8, "engines": x},
    ),
    "rows": Series(
        "configuration rows at 8 gateways", (0, 2000, 8000, 32000), lambda x: 1, lambda x: {"gateways": 8, "rows": x}
    ),
    "changes": Series(
        "changes a second at 24 gateways", (0, 1, 4, 16), lambda x: 2, lambda x: {"gateways": 24, "changes": x}
    ),
    "tails": Series(
        "open logs read by each of 8 gateways",
        (0, 100, 400, 1400),
        lambda x: 1 + x // 200,
        lambda x: {"gateways": 8, "tails": x},
    ),
    "held": Series(
        "open logs held by 8 gateways together", (0, 80, 320, 1400), lambda x: 1, lambda x: {"gateways": 8, "held": x}
    ),
    "items": Series(
        "results a second in 16 logs at 8 gateways",
        (0, 50, 100, 200, 400),
        lambda x: max(1, x // 40),
        lambda x: {"gateways": 8, "held": 16, "items": x},
    ),
    "lot": Series(
        "results in one lot's log at one gateway",
        (0, 4000, 16000, 48000),
        lambda x: 1,
        lambda x: {"gateways": 1, "burst": x},
        span=1.0,
    ),
}


class Capacity:
    def __init__(
        self, names: list[str], minutes: float, cores: float, keep: str | None, picture_at: str | None, windows: int = 3
    ):
        self._names, self._end, self._cores = names, time.monotonic() + 60 * minutes, cores
        self._keep, self._picture, self._windows = keep, picture_at, windows
        self.points: list[dict] = []

    def run(self) -> int:
        """Measures all series, saving after each point; starts no new point after the time limit."""
        for name in self._names:
            for x in SERIES[name].xs:
                if time.monotonic() > self._end:
                    print(f"not run, out of time: {name} {x}", flush=True)
                    continue
                self._measure_with_retries(name, x)
        return self.show()

    def show(self) -> int:
        report(self.points, SERIES)
        if self._picture:
            draw(self.points, SERIES, Path(self._picture))
        return 0

    def _measure_with_retries(self, name: str, x: int):
        pace = SERIES[name].pace(x)
        for _ in range(MAX_ATTEMPTS):
            try:
                point = self._measure_point(name, x, pace)
            except MachineOverloaded as e:
                print(f"{name} {x} at pace {pace}: {e}; retrying at a slower pace", flush=True)
                if SERIES[name].kind == "whole":
                    continue
                pace *= 2
                continue
            self.points.append(point)
            g = point["windows"]
            print(
                f"{name} {x}: pace {pace}, cores {point['cores']:.2f}, timers kept {point['kept']:.2f}, gateway cpu % "
                + " ".join(f"{w['gateway']['cpu_percent']:.2f}" for w in g)
                + ", msgs in "
                + " ".join(f"{w['gateway']['msgs_in']:.1f}" for w in g),
                flush=True,
            )
            if self._keep:
                Path(self._keep).write_text(json.dumps(self.points))
            return

    def _measure_point(self, name: str, x: int, pace: float) -> dict:
        series = SERIES[name]
        parameters = dict(series.parameters(x))
        cluster = LightweightCluster(parameters.pop("gateways"), series.kind, pace)
        span = min(series.span, MAX_POINT_SECONDS / self._windows / pace)
        try:
            cluster.start()
            cluster.start_load(**parameters)
            if parameters.get("rows"):
                cluster.wait_for_rows(parameters["rows"])
            if parameters.get("held"):
                cluster.wait_for_held_logs(parameters["held"])
            if parameters.get("burst"):
                cluster.wait_for_burst()
            time.sleep(3 * min(pace, 10))
            cores, kept = cluster.measure_usage(3.0 / max(1.0, pace / 4))
            if cores > self._cores or kept < MIN_TIMERS_KEPT and series.kind != "whole":
                raise MachineOverloaded(f"{cores:.1f} cores busy, {kept:.2f} of the timers ran in time")
            windows = [cluster.measure_window(span) for _ in range(self._windows)]
        finally:
            cluster.end()
        return {
            "series": name,
            "x": x,
            "pace": pace,
            "span": span,
            "windows": windows,
            "kept": min(w["kept"] for w in windows),
            "cores": statistics.mean(w["cores"] for w in windows),
        }
