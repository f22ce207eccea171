"""Shows which requests of a replayed day of traffic lost worth, from the benchmark's report and the nodes' logs.

Worth is the weight of a request in the benchmark's score; it is lost by refusals, failures and late responses.

The report is the JSON file of `fleetbench run --report`; the log holds the lines of all nodes, with or without a
prefix added by the benchmark. The rows of the table of losses by kind add up to the total worth lost.
"""

import json
import re
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

__all__ = ["ClassLosses", "LogSummary", "class_losses", "draw", "summarize_log", "summarize_report"]

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
CALL_PHASES = ("read_ms", "choose_ms", "connect_ms", "first_byte_ms", "relay_ms")
INTAKE_PHASES = ("receive_ms", "parse_ms", "reserve_ms", "acquire_ms", "append_ms", "total_ms")
LARGEST_PURPOSES = 16


@attrs.frozen
class ClassLosses:
    """The losses of one kind of request, as fractions of the worth of the whole day.

    `fraction` is the share of that worth that the kind's requests have; `late` is the loss that is due to neither
    refusals nor failures.
    """

    name: str
    fraction: float
    late: float
    refused: float
    failed: float

    @property
    def total(self) -> float:
        """The sum of all losses."""
        return self.late + self.refused + self.failed


def class_losses(report: Mapping[str, Any], worths: Mapping[str, float]) -> list[ClassLosses]:
    """Returns the losses of each kind of request; `worths` maps kinds to the worth of one request, 1 by default."""
    owed = {row["name"]: (row["n"] - row["not_owed"]) * worths.get(row["name"], 1.0) for row in report["classes"]}
    whole = sum(owed.values()) or 1.0
    losses = []
    for row in report["classes"]:
        fraction = owed[row["name"]] / whole
        count = max(1, row["n"] - row["not_owed"])
        refused, failed = fraction * row["refused"] / count, fraction * row["failed"] / count
        late = max(0.0, fraction * (1 - row["worth"]) - refused - failed)
        losses.append(ClassLosses(row["name"], fraction, late, refused, failed))
    return losses


def _faults_during(report: Mapping[str, Any], start: float, end: float) -> str:
    """Returns the kinds of the faults that were active in a time window, or `-` if there were none."""
    kinds = [event["kind"] for event in report["events"] if event["at_s"] < end and event["to_s"] > start]
    return ", ".join(dict.fromkeys(kinds)) or "-"


def _class_lines(losses: Iterable[ClassLosses]) -> list[str]:
    lines = [f"{'kind':24} {'share':>6} {'late':>7} {'refused':>8} {'failed':>7} {'lost':>7}"]
    rows = list(losses)
    for row in rows:
        lines.append(
            f"{row.name:24} {row.fraction:6.3f} {row.late:7.4f} {row.refused:8.4f} {row.failed:7.4f} {row.total:7.4f}"
        )
    total = sum(row.total for row in rows)
    lines.append(f"{'all':24} {1:6.3f} {'':7} {'':8} {'':7} {total:7.4f}")
    return lines


def summarize_report(report: Mapping[str, Any], worths: Mapping[str, float]) -> list[str]:
    """Returns a report's tables as lines: losses by kind, by zone, by time window with its faults, and prices."""
    lines = _class_lines(class_losses(report, worths))
    lines += ["", f"{'zone':24} {'asked':>6} {'worth':>7} {'late':>6} {'refused':>8} {'failed':>7}"]
    for row in report["zones"]:
        lines.append(
            f"{row['name']:24} {row['n']:6} {row['worth']:7.3f} {row['late']:6} {row['refused']:8} {row['failed']:7}"
        )
    lines += ["", f"{'from s':>6} {'asked':>6} {'worth':>7} {'late':>6} {'refused':>8} {'failed':>7}  troubles"]
    starts = [float(row["name"]) for row in report["windows"]]
    for row, start, end in zip(report["windows"], starts, [*starts[1:], starts[-1] + 2], strict=True):
        lines.append(
            f"{start:6g} {row['n']:6} {row['worth']:7.3f} {row['late']:6} {row['refused']:8} {row['failed']:7}  "
            + _faults_during(report, start, end)
        )
    lines += ["", "prices"]
    lines += [f"{price:8.4f}  {amount:g} {name}" for name, amount, price in report["prices"] if abs(price) >= 0.0005]
    return lines


@attrs.define
class LogSummary:
    """The figures of one day from the log lines of all nodes; durations are in ms."""

    calls: dict[str, list[dict[str, int]]] = attrs.field(factory=dict)
    intakes: list[dict[str, int]] = attrs.field(factory=list)
    events: Counter[str] = attrs.field(factory=Counter)
    # The newest totals by node ID: for each purpose of traffic, the bytes sent within the zone and to other zones.
    traffic: dict[str, dict[str, tuple[int, int]]] = attrs.field(factory=dict)

    def add(self, line: str) -> None:
        """Adds the figures of a log line; ignores lines without an event."""
        fields = {name: value.strip('"') for name, value in FIELD.findall(line)}
        event = fields.get("event")
        if event is None:
            return
        self.events[event] += 1
        if event == "call_completed":
            self.calls.setdefault(fields["route"], []).append(_durations(fields, CALL_PHASES))
        elif event == "batch_accepted":
            self.intakes.append(_durations(fields, INTAKE_PHASES))
        elif event == "traffic_counted":
            self.traffic[fields["node"]] = _parse_totals(fields["totals"])

    def lines(self) -> list[str]:
        """Returns tables of the durations of calls and of batch intakes, of traffic, and of event counts, as lines."""
        lines = []
        for route, calls in sorted(self.calls.items()):
            lines += _phase_lines(f"calls of {route}", calls, CALL_PHASES)
        if self.intakes:
            lines += _phase_lines("intakes of batches", self.intakes, INTAKE_PHASES)
        lines += self._traffic_lines()
        lines += ["", "events: " + ", ".join(f"{name} {count}" for name, count in self.events.most_common())]
        return lines

    def _traffic_lines(self) -> list[str]:
        sums: dict[str, list[int]] = {}
        for totals in self.traffic.values():
            for purpose, (own, other) in totals.items():
                row = sums.setdefault(purpose, [0, 0])
                row[0] += own
                row[1] += other
        lines = ["", f"{'purpose':32} {'MB in zones':>12} {'MB between':>12}"]
        ranked = sorted(sums.items(), key=lambda item: -item[1][1])
        for purpose, (own, other) in ranked[:LARGEST_PURPOSES]:
            lines.append(f"{purpose:32} {own / 1e6:12.2f} {other / 1e6:12.2f}")
        own, other = sum(row[0] for row in sums.values()), sum(row[1] for row in sums.values())
        lines.append(f"{'all':32} {own / 1e6:12.2f} {other / 1e6:12.2f}")
        return lines


def _durations(fields: Mapping[str, str], names: Iterable[str]) -> dict[str, int]:
    return {name: int(fields[name]) for name in names if name in fields}


def _parse_totals(text: str) -> dict[str, tuple[int, int]]:
    totals = {}
    for entry in text.split(","):
        purpose, _, counts = entry.rpartition(":")
        own, _, other = counts.partition("/")
        totals[purpose] = int(own), int(other)
    return totals


def _phase_lines(title: str, rows: list[dict[str, int]], names: Iterable[str]) -> list[str]:
    lines = ["", f"{title}: {len(rows)}", f"{'phase':16} {'p50':>6} {'p90':>6} {'p95':>6} {'p99':>6} {'most':>6}"]
    for name in names:
        values = sorted(row[name] for row in rows if name in row)
        if values:
            shown = [values[min(len(values) - 1, int(part * len(values)))] for part in (0.5, 0.9, 0.95, 0.99, 1)]
            lines.append(f"{name:16} " + " ".join(f"{value:6}" for value in shown))
    return lines


def summarize_log(lines: Iterable[str]) -> LogSummary:
    """Returns the summary of the lines of a log."""
    summary = LogSummary()
    for line in lines:
        summary.add(line)
    return summary


def draw(report: Mapping[str, Any], path: Path) -> None:
    """Draws the part of the worth earned in each time window, with the faults below; needs the extra `capacity`."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4.5))
    worth, troubles = figure.subplots(2, 1, sharex=True, height_ratios=(2, 1))
    worth.step([float(row["name"]) for row in report["windows"]], [row["worth"] for row in report["windows"]], "k-")
    worth.set_ylim(0, 1.02)
    worth.set_ylabel("worth earned / owed")
    for height, event in enumerate(report["events"]):
        troubles.barh(height, event["to_s"] - event["at_s"], left=event["at_s"])
    troubles.set_yticks(range(len(report["events"])), [event["kind"] for event in report["events"]], fontsize=6)
    troubles.set_xlabel("seconds of traffic")
    figure.tight_layout()
    figure.savefig(path)


def run(report_path: str, log_path: str | None, worths: str | None, picture: str | None) -> int:
    """Prints the tables of a report and a log, and draws the picture if a path is given; returns 0."""
    report = json.loads(Path(report_path).read_text())
    pairs = (pair.partition("=") for pair in (worths or "").split(",") if pair)
    print("\n".join(summarize_report(report, {name: float(worth) for name, _, worth in pairs})))
    if log_path:
        with Path(log_path).open(errors="replace") as log:
            print("\n".join(summarize_log(log).lines()))
    if picture:
        draw(report, Path(picture))
    return 0
