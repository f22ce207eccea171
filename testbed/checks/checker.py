"""Checks the safety properties of a cluster on the events that clients, engines and operators recorded."""

from collections import Counter, defaultdict

from ..standins.engine import card_bytes, response_pieces
from .cluster_checks import check_cluster, check_engines, check_success_rates
from .downtime import SLACK_SECONDS, Downtimes

__all__ = ["check"]

MAX_READ_SECONDS = 4.0
MAX_SHED_SECONDS = 3.0


def check(
    events: list[dict],
    notes: list[dict],
    zones: dict[str, str],
    finished: bool = True,
    floors: bool = False,
    capacity: int = 8,
    limits: dict | None = None,
) -> list[str]:
    """Returns a description of each violation.

    `zones` maps each engine to its zone, and `limits` each limited model to its (rate, concurrent runs).
    """
    violations: list[str] = []
    events = sorted(events, key=lambda e: e["at"])
    notes = sorted(notes, key=lambda n: n["at"])
    downtimes = Downtimes(events)
    runs = defaultdict(list)
    for n in notes:
        if n["event"] == "run":
            runs[n["prompt"]].append(n)
    _check_live(events, runs, downtimes, violations)
    _check_cards(events, violations)
    _check_responses(events, downtimes, violations)
    _check_batches(events, notes, runs, downtimes, violations, finished)
    check_engines(events, notes, zones, capacity, limits or {}, downtimes, violations)
    check_cluster(events, notes, downtimes, violations)
    if floors:
        check_success_rates(events, downtimes, violations)
    return violations


def _check_live(events, runs, downtimes, violations):
    for e in events:
        if e["event"] != "told":
            continue
        prompt, expected = e["prompt"], response_pieces(e["prompt"], 256)
        ran = len(runs.get(prompt, ()))
        if ran > 1 and not e["repeatable"]:
            violations.append(f"{prompt}: may not be repeated and ran {ran} times")
        fault = e["fault"] or {}
        if fault.get("outcome") == "not_run" and ran and not e.get("resumed"):
            violations.append(f"{prompt}: told not_run ({fault.get('code')}) and ran")
        if [n for n, _ in e["pieces"]] != list(range(len(e["pieces"]))):
            violations.append(f"{prompt}: pieces out of order or repeated: {[n for n, _ in e['pieces']]}")
        if [t for _, t in e["pieces"]] != expected[: len(e["pieces"])]:
            violations.append(f"{prompt}: not the engine's own response")
        if e["end"] and len(e["pieces"]) != len(expected):
            violations.append(f"{prompt}: reported as complete after {len(e['pieces'])} of {len(expected)} pieces")
        if e["end"] and e["fault"]:
            violations.append(f"{prompt}: both an end and a fault")
        if (
            not e["end"]
            and not e["fault"]
            and not downtimes.is_affected(e["asked"], e["at"], e.get("resumed") or e["gateway"])
        ):
            violations.append(f"{prompt}: neither an end nor a fault")
        late = e["at"] - e["asked"] - e.get("limit", 18)
        if late > 1.5 and not e.get("slow") and not downtimes.is_affected(e["asked"], e["at"], e.get("gateway")):
            violations.append(f"{prompt}: its final response came {late:.1f} s after its limit")


def _check_cards(events, violations):
    for e in events:
        if e["event"] == "fetched" and e["status"] == 200 and e["body"] != card_bytes(e["path"]):
            violations.append(f"card {e['path']}: {e['size']} bytes that differ from those of the engine")


def _check_responses(events, downtimes, violations):
    """Checks that errors with outcome `not_run` are sent promptly, with Retry-After where a retry can help."""
    for e in events:
        if e["event"] not in ("told", "fetched", "lot", "edit") or e.get("resumed"):
            continue
        fault = e.get("fault") or {"outcome": e.get("outcome")}
        name = e.get("prompt") or e.get("path") or e.get("name") or e.get("edit")
        if fault.get("outcome") != "not_run" or e.get("status") not in (429, 503, 507):
            continue
        if not str(e.get("retry") or "").isdigit() or int(e["retry"]) < 1:
            violations.append(f"{name}: shed ({fault.get('code')}) without a Retry-After header")
        took = e["at"] - e["asked"]
        if (
            took > MAX_SHED_SECONDS
            and e["event"] in ("told", "fetched")
            and not downtimes.is_affected(e["asked"], e["at"], e.get("gateway"))
        ):
            violations.append(f"{name}: the response {fault.get('code')} was delayed by {took:.1f} s")


def _check_batches(events, notes, runs, downtimes, violations, finished):
    batches = {e["lot"]: e for e in events if e["event"] == "lot" and e["lot"]}
    for e in events:
        if e["event"] == "lot" and (e["fault"] or {}).get("outcome") == "not_run":
            ran = [p for p in e["prompts"] if runs.get(p)]
            if ran:
                violations.append(f"lot {e['name']}: told not_run and {len(ran)} items ran")
    ended = {
        e["lot"]: e["at"]
        for e in events
        if e["event"] == "lot_ended" and e["status"] == 200 and e["said"].get("state") == "ended"
    }
    asked = {e["lot"] for e in events if e["event"] == "lot_ended"}
    over = {e["lot"] for e in events if e["event"] == "results" and e.get("state") == "ended"}
    violations += [f"lot {batch}: ended without a request to cancel it" for batch in sorted(over - asked)]
    shown: dict[str, dict[int, tuple]] = defaultdict(dict)
    reads = defaultdict(list)
    for e in events:
        if e["event"] == "results" and e["lot"] in batches:
            reads[e["lot"]].append(e)
    for batch, es in reads.items():
        for e in es:
            _check_readable(batch, batches[batch], e, downtimes, violations)
            for r in e["results"] or ():
                now = (r["item"], r["outcome"], r["text"])
                if shown[batch].setdefault(r["n"], now) != now:
                    violations.append(f"lot {batch}: result {r['n']} changed from {shown[batch][r['n']]} to {now}")
        _check_monotonic_reads(batch, es, violations)
    for batch, e in batches.items():
        items = Counter(item for item, _, _ in shown[batch].values())
        doubled = [i for i, k in items.items() if k > 1]
        if doubled:
            violations.append(f"lot {batch}: items {doubled} are listed twice")
        for item, outcome, text in shown[batch].values():
            prompt = e["prompts"][item]
            if outcome == "done" and text != "".join(response_pieces(prompt, 256)):
                violations.append(f"lot {batch} item {item}: not the engine's own response")
            if outcome == "not_run" and runs.get(prompt):
                violations.append(f"lot {batch} item {item}: listed as not_run and ran")
            if outcome == "done" and not runs.get(prompt):
                violations.append(f"lot {batch} item {item}: done without a run")
        if not e["repeatable"]:
            for p in e["prompts"]:
                if len(runs.get(p, ())) > 1:
                    violations.append(f"lot {batch}: {p} may not be repeated and ran {len(runs[p])} times")
        if batch in ended:
            _check_cancelled(batch, e, ended[batch], notes, violations)
        elif finished and batch not in over and len(items) != len(e["prompts"]):
            violations.append(f"lot {batch}: {len(items)} of {len(e['prompts'])} items are listed at the end")


def _check_readable(batch, accepted, e, downtimes, violations):
    """Checks that every gateway that is not down, partitioned or frozen shows a batch 1 s after its acceptance."""
    if e["asked"] < accepted["at"] + 1 or downtimes.is_affected(e["asked"], e["at"], e.get("gateway")):
        return
    if downtimes.exceeds_tolerance(e["asked"], e["at"]):
        return
    code = (e.get("fault") or {}).get("code", "")
    if e["status"] != 200:
        violations.append(
            f"lot {batch}: accepted but not readable ({e['status']} {code} at {e.get('gateway')}, "
            f"{e['asked'] - accepted['at']:.1f} s later)"
        )
    elif e.get("took", 0) > MAX_READ_SECONDS:
        violations.append(f"lot {batch}: reading it took {e['took']:.1f} s")


def _check_monotonic_reads(batch, es, violations):
    """Checks that results shown to one client are shown to every client that reads a second later."""
    max_shown = 0
    at = 0.0
    for e in sorted((e for e in es if e["status"] == 200), key=lambda e: e["asked"]):
        shown_count = e["start"] + len(e["results"])
        if shown_count < max_shown and e["asked"] > at + 1 + SLACK_SECONDS:
            violations.append(
                f"lot {batch}: {max_shown} results were shown at {at:.2f}, {shown_count} at {e['asked']:.2f}"
            )
        if shown_count > max_shown:
            max_shown, at = shown_count, e["at"]


def _check_cancelled(batch, e, at, notes, violations):
    mine = set(e["prompts"])
    open_runs = {}
    for n in notes:
        if n["event"] == "run" and n["prompt"] in mine:
            open_runs[n["run"]] = n
            if n["at"] > at + 3 + SLACK_SECONDS:
                violations.append(f"lot {batch}: {n['prompt']} started {n['at'] - at:.1f} s after its end")
        elif n["event"] in ("done", "left", "cut") and n.get("run") in open_runs:
            if n["at"] > at + 3 + SLACK_SECONDS:
                violations.append(f"lot {batch}: an item ran on {n['at'] - at:.1f} s after its end")
