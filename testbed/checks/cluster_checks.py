"""Checks of the load on engines, of the cluster state and its effects, and of the cluster's availability."""

from collections import defaultdict

from .downtime import SLACK_SECONDS

__all__ = ["check_engines", "check_cluster", "check_success_rates", "MIN_SUCCESS_RATES"]

RAMP_SECONDS = 8.0
RAMP_EXTRA_RUNS = 2
QUIET_BEFORE_SECONDS = 3.0
END_NOTICE_SECONDS = 0.1
# The success rates that are required without faults and during one fault.
MIN_SUCCESS_RATES = {
    "live": (0.97, 0.6),
    "again": (0.97, 0.7),
    "resumed": (0.9, 0.4),
    "card": (0.99, 0.7),
    "lot": (0.95, 0.5),
    "read": (0.99, 0.6),
    "edit": (0.95, 0.4),
}
MIN_REQUESTS = 8


def check_engines(events, notes, zones, capacity, limits, downtimes, violations):
    _check_draining_engines(notes, violations)
    _check_emptied_zones(events, notes, zones, violations)
    _check_slow_start(notes, capacity, violations)
    for model, (rate, max_runs) in limits.items():
        _check_limits(model, rate, max_runs, notes, downtimes, violations)


def _check_draining_engines(notes, violations):
    announced = {}
    for n in notes:
        if n["event"] == "told":
            if n["state"] == "leaving":
                announced[n["engine"]] = n["at"]
            else:
                announced.pop(n["engine"], None)
        elif n["event"] == "open":
            announced.pop(n["engine"], None)
        elif (
            n["event"] in ("run", "card")
            and n["engine"] in announced
            and n["at"] > announced[n["engine"]] + 2 + SLACK_SECONDS
        ):
            violations.append(
                f"{n['engine']} got {n['prompt']} {n['at'] - announced[n['engine']]:.1f} s after it said it leaves"
            )


def _check_emptied_zones(events, notes, zones, violations):
    emptied: dict[str, float] = {}
    marks = [e for e in events if e["event"] in ("zone_edit", "zone_asked")]
    for e in [*marks, {"event": "over", "at": float("inf")}]:
        if e["event"] == "zone_edit" and e["empty"] and e["status"] == 200:
            emptied.setdefault(e["zone"], e["at"])
        elif e["event"] == "over" or e["event"] == "zone_asked" and not e["empty"]:
            for zone in [z for z in emptied if e["event"] == "over" or z == e["zone"]]:
                at = emptied.pop(zone)
                for n in notes:
                    if (
                        n["event"] in ("run", "card")
                        and zones.get(n["engine"]) == zone
                        and at + 5 + SLACK_SECONDS < n["at"] < e["at"]
                    ):
                        violations.append(f"{n['engine']} got work {n['at'] - at:.1f} s after {zone} was emptied")


def _check_slow_start(notes, capacity, violations):
    """Checks that an engine that starts or recovers gets no more load than its slow start allows, from all gateways."""
    by_engine = defaultdict(list)
    for n in notes:
        by_engine[n["engine"]].append(n)
    for name, ns in by_engine.items():
        since, running, announced = None, set(), False
        for n in ns:
            if n["event"] in ("open", "heard", "well"):
                since, announced = n["at"], False
                if n["event"] == "open":
                    running = set()
            elif n["event"] == "run":
                running.add(n["run"])
            elif n["event"] in ("done", "left", "cut"):
                running.discard(n["run"])
            if n["event"] not in ("run", "refused") or since is None or announced:
                continue
            age = n["at"] - since
            allowed = max(1, int(capacity * min(1.0, 0.1 + 0.9 * age / RAMP_SECONDS))) + RAMP_EXTRA_RUNS
            have = len(running) + (n["event"] == "refused")
            if age < RAMP_SECONDS and have > allowed:
                announced = True
                violations.append(
                    f"{name} was cold and flooded: {have} at once {age:.2f} s after it came, {allowed} allowed"
                )


def _check_limits(model, rate, max_runs, notes, downtimes, violations):
    """Checks that all engines together never exceed a model's limits of rate and concurrent runs."""
    starts = [n["at"] for n in notes if n["event"] == "run" and n.get("model") == model]
    if rate:
        for span in (1.0, 4.0, 10.0):
            for i, at in enumerate(starts):
                n = sum(1 for t in starts[i:] if t < at + span)
                if n > rate * (span + SLACK_SECONDS) + max(1.0, rate) + 1:
                    violations.append(f"{model}: {n} runs in {span:g} s at a rate of {rate:g}")
                    break
    running: dict[str, str] = {}
    began = {n["run"]: n["at"] for n in notes if n["event"] == "run"}
    seen = sorted(
        (
            {**n, "at": max(began.get(n["run"], 0), n["at"] - END_NOTICE_SECONDS)}
            if n["event"] in ("left", "cut")
            else n
            for n in notes
        ),
        key=lambda n: (n["at"], n["event"] != "run"),
    )
    for n in seen:
        if n["event"] == "run" and n.get("model") == model:
            running[n["run"]] = n["engine"]
            certain = [e for e in running.values() if not downtimes.is_affected(n["at"], n["at"], e)]
            if max_runs and len(certain) > max_runs:
                violations.append(f"{model}: {len(certain)} at once where {max_runs} are allowed, at {n['at']:.2f}")
                return
        elif n["event"] in ("done", "left", "cut"):
            running.pop(n["run"], None)
        elif n["event"] == "open":
            running = {r: e for r, e in running.items() if e != n["engine"]}


def check_cluster(events, notes, downtimes, violations):
    _check_table(events, violations)
    _check_read_back(events, violations)
    _check_weight_edits(events, notes, downtimes, violations)


def _check_table(events, violations):
    """Checks that each table that was read is the exact result of the edits, and that edit outcomes never change."""
    edits = [e for e in events if e["event"] == "edit"]
    by_id: dict[str, dict] = {}
    for e in edits:
        if e["status"] == 200:
            first = by_id.setdefault(e["edit"], e)
            if first["sequence"] != e["sequence"]:
                violations.append(f"edit {e['edit']} took effect at {first['sequence']} and at {e['sequence']}")
    unsure = set()
    for e in edits:
        if e["outcome"] == "unknown":
            unsure.add(e["edit"])
        elif e["outcome"] == "not_run" and e["edit"] in by_id and not (e["status"] == 503 and e["edit"] in unsure):
            violations.append(f"edit {e['edit']} was refused and took effect")
    bases = defaultdict(set)
    for e in by_id.values():
        bases[e["base"]].add(e["edit"])
    for base, ids in bases.items():
        if len(ids) > 1:
            violations.append(f"{len(ids)} edits took effect on base {base}")
    unresolved_bases = {e["base"] for e in edits if e["outcome"] == "unknown" and e["edit"] not in by_id}
    cluster_states: dict[int, dict | None] = {}
    for e in sorted(by_id.values(), key=lambda e: e["sequence"]):
        before = cluster_states.get(e["base"], {} if not cluster_states and not e["base"] else None)
        cluster_states[e["sequence"]] = _rows_after(e, before)
    acked = sorted((e["at"], e["sequence"]) for e in by_id.values())
    for r in (e for e in events if e["event"] == "table_read"):
        newest = max((s for at, s in acked if at < r["asked"]), default=0)
        if r["sequence"] < newest:
            violations.append(f"the table read as {r['sequence']} after {newest} was acknowledged")
        if r["sequence"] in cluster_states:
            if cluster_states[r["sequence"]] is not None and not _same_rows(cluster_states[r["sequence"]], r["rows"]):
                differs = _differing_rows(cluster_states[r["sequence"]], r)
                violations.append(f"the table at {r['sequence']} is not the result of its edits: {differs}")
            cluster_states[r["sequence"]] = r["rows"]
        elif r["sequence"] and not unresolved_bases and cluster_states:
            violations.append(f"the table is at {r['sequence']}, which no edit made")


def _rows_after(e, before) -> dict | None:
    if e.get("whole") is not None:
        return e["whole"]
    if before is None:
        return None
    rows = {k: v for k, v in before.items() if k != e["row"]}
    return rows if e["value"] is None else {**rows, e["row"]: e["value"]}


def _same_rows(model: dict, read: dict) -> bool:
    return model.keys() == read.keys() and all(read[k].get(f) == v for k in model for f, v in model[k].items())


def _differing_rows(model, r) -> str:
    return ",".join(
        sorted(
            k
            for k in model.keys() | r["rows"].keys()
            if not _same_rows({k: model.get(k, {})}, {k: r["rows"].get(k, {})}) or k not in model
        )
    )[:200]


def _check_read_back(events, violations):
    """Checks that zones read back as last set, unless another change was requested in between."""
    set_to: dict[str, bool | None] = {}
    for e in events:
        if e["event"] == "zone_asked":
            set_to[e["zone"]] = None
        elif e["event"] == "zone_edit":
            set_to[e["zone"]] = e["empty"] if e["status"] == 200 else None
        elif e["event"] == "zones_read":
            for zone, empty in set_to.items():
                if empty is not None and e["zones"].get(zone, False) != empty:
                    violations.append(
                        f"{zone} reads as {'emptied' if not empty else 'filled'} after it was set otherwise"
                    )


def _check_weight_edits(events, notes, downtimes, violations):
    """Checks that engines and clients see the effect of an edit two seconds after its acknowledgement."""
    models = {e["model"] for e in events if e["event"] == "gate"}
    for model in models:
        state, since = None, 0.0
        turns = []
        for e in events:
            if e["event"] == "gate_asked" and e["model"] == model:
                turns.append((state, since, e["at"]))
                state = None
            elif e["event"] == "gate" and e["model"] == model and e["done"]:
                state, since = e["open"], e["at"]
        turns.append((state, since, float("inf")))
        for state, since, until in turns:
            if state is False:
                late = [
                    n
                    for n in notes
                    if n["event"] == "run" and n.get("model") == model and since + 2 + SLACK_SECONDS < n["at"] < until
                ]
                if late:
                    violations.append(f"{model}: ran {late[0]['at'] - since:.1f} s after its weight was 0")
            elif state is True:
                for e in events:
                    if (
                        e["event"] == "told"
                        and e.get("model") == model
                        and since + 2 < e["asked"]
                        and e["at"] < until
                        and (e["fault"] or {}).get("code") in ("none_heard", "not_found")
                        and not downtimes.is_affected(e["asked"], e["at"], e["gateway"])
                    ):
                        violations.append(f"{model}: refused {e['asked'] - since:.1f} s after it was opened")
                        break


def _served_by_kind(events):
    for e in events:
        if e["event"] == "told" and not e["prompt"].startswith(("crowd-", "closing-")) and not e.get("slow"):
            kind = "resumed" if e.get("resumed") else "again" if e["repeatable"] else "live"
            if e.get("model", "pipit-small") == "pipit-small":
                yield kind, e["end"] is True, e
        elif e["event"] == "fetched":
            yield "card", e["status"] == 200, e
        elif e["event"] == "lot":
            yield "lot", bool(e["lot"]), e
        elif e["event"] == "results":
            yield "read", e["status"] == 200, e
        elif e["event"] == "edit" and e["status"] not in (404, 412):
            yield "edit", e["status"] == 200, e


def check_success_rates(events, downtimes, violations):
    """Checks the success rate of each kind of request without faults and during a single tolerable fault."""
    counts = defaultdict(lambda: [0, 0])
    for kind, good, e in _served_by_kind(events):
        n = downtimes.count(e["asked"] - QUIET_BEFORE_SECONDS, e["at"])
        if n < 2 and not downtimes.exceeds_tolerance(e["asked"], e["at"]):
            counts[kind, n][0] += good
            counts[kind, n][1] += 1
    for kind, floors in MIN_SUCCESS_RATES.items():
        for n, floor in enumerate(floors):
            good, every = counts[kind, n]
            if n == 0 and every < MIN_REQUESTS and any(k == kind for k, _ in counts):
                violations.append(f"{kind}: only {every} requests were sent while no fault was active")
            elif every >= MIN_REQUESTS and good < floor * every - 1:
                violations.append(
                    f"{kind}: {good} of {every} were served while {'one fault' if n else 'no fault'} was active"
                )
