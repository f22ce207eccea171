"""Asserts what must never happen, from outside: from what callers, engines and operators noted."""
from collections import Counter, defaultdict

from .backend import answer_pieces, card_bytes

__all__ = ["check"]

SLACK = 0.3


def check(events: list[dict], notes: list[dict], zones: dict[str, str], finished: bool = True) -> list[str]:
    """Every violation found, in words. `zones` tells each engine's zone."""
    out: list[str] = []
    runs = defaultdict(list)
    for n in notes:
        if n["event"] == "run":
            runs[n["prompt"]].append(n)
    _check_live(events, runs, out)
    _check_cards(events, out)
    _check_lots(events, notes, runs, out, finished)
    _check_leaving(notes, out)
    _check_zones(events, notes, zones, out)
    _check_table(events, out)
    return out


def _check_live(events, runs, out):
    for e in events:
        if e["event"] != "told":
            continue
        prompt, right = e["prompt"], answer_pieces(e["prompt"], 256)
        ran = len(runs.get(prompt, ()))
        if ran > 1 and not e["repeatable"]:
            out.append(f"{prompt}: may not be repeated and ran {ran} times")
        fault = e["fault"] or {}
        if fault.get("outcome") == "not_run" and ran:
            out.append(f"{prompt}: told not_run ({fault.get('code')}) and ran")
        if [n for n, _ in e["pieces"]] != list(range(len(e["pieces"]))):
            out.append(f"{prompt}: pieces out of order or repeated: {[n for n, _ in e['pieces']]}")
        if [t for _, t in e["pieces"]] != right[:len(e["pieces"])]:
            out.append(f"{prompt}: not the engine's own answer")
        if e["end"] and len(e["pieces"]) != len(right):
            out.append(f"{prompt}: ended as whole after {len(e['pieces'])} of {len(right)} pieces")
        if e["end"] and e["fault"]:
            out.append(f"{prompt}: both an end and a fault")


def _check_cards(events, out):
    for e in events:
        if e["event"] == "fetched" and e["status"] == 200 and e["body"] != card_bytes(e["path"]):
            out.append(f"card {e['path']}: {e['size']} bytes that are not the back end's own")


def _check_lots(events, notes, runs, out, finished):
    lots = {e["lot"]: e for e in events if e["event"] == "lot" and e["lot"]}
    for e in events:
        if e["event"] == "lot" and (e["fault"] or {}).get("outcome") == "not_run":
            ran = [p for p in e["prompts"] if runs.get(p)]
            if ran:
                out.append(f"lot {e['name']}: told not_run and {len(ran)} items ran")
    ended = {e["lot"]: e["at"] for e in events if e["event"] == "lot_ended" and e["status"] == 200
             and e["said"].get("state") == "ended"}
    shown: dict[str, dict[int, tuple]] = defaultdict(dict)
    reads = defaultdict(list)
    for e in events:
        if e["event"] == "results" and e["lot"] in lots:
            reads[e["lot"]].append(e)
    for lot, es in reads.items():
        for e in sorted(es, key=lambda e: e["at"]):
            if e["status"] == 404:
                out.append(f"lot {lot}: accepted and not found")
            for r in e["results"] or ():
                now = (r["item"], r["outcome"], r["text"])
                if shown[lot].setdefault(r["n"], now) != now:
                    out.append(f"lot {lot}: place {r['n']} changed from {shown[lot][r['n']]} to {now}")
        _check_kept_reading(lot, es, out)
    for lot, e in lots.items():
        items = Counter(item for item, _, _ in shown[lot].values())
        doubled = [i for i, k in items.items() if k > 1]
        if doubled:
            out.append(f"lot {lot}: items {doubled} are listed twice")
        for item, outcome, text in shown[lot].values():
            prompt = e["prompts"][item]
            if outcome == "done" and text != "".join(answer_pieces(prompt, 256)):
                out.append(f"lot {lot} item {item}: not the engine's own answer")
            if outcome == "not_run" and runs.get(prompt):
                out.append(f"lot {lot} item {item}: listed as not_run and ran")
            if outcome == "done" and not runs.get(prompt):
                out.append(f"lot {lot} item {item}: done without a run")
        if not e["repeatable"]:
            for p in e["prompts"]:
                if len(runs.get(p, ())) > 1:
                    out.append(f"lot {lot}: {p} may not be repeated and ran {len(runs[p])} times")
        if lot in ended:
            _check_ended(lot, e, ended[lot], notes, out)
        elif finished and len(items) != len(e["prompts"]):
            out.append(f"lot {lot}: {len(items)} of {len(e['prompts'])} items are listed at the end")


def _check_kept_reading(lot, es, out):
    """What was shown to one caller is shown to any that asks a second later."""
    most = 0
    at = 0.0
    for e in sorted((e for e in es if e["status"] == 200), key=lambda e: e["asked"]):
        have = e["start"] + len(e["results"])
        if have < most and e["asked"] > at + 1 + SLACK:
            out.append(f"lot {lot}: {most} results were shown at {at:.2f}, {have} at {e['asked']:.2f}")
        if have > most:
            most, at = have, e["at"]


def _check_ended(lot, e, at, notes, out):
    mine = set(e["prompts"])
    open_runs = {}
    for n in sorted(notes, key=lambda n: n["at"]):
        if n["event"] == "run" and n["prompt"] in mine:
            open_runs[n["run"]] = n
            if n["at"] > at + 3 + SLACK:
                out.append(f"lot {lot}: {n['prompt']} started {n['at'] - at:.1f} s after its end")
        elif n["event"] in ("done", "left", "cut") and n.get("run") in open_runs:
            if n["at"] > at + 3 + SLACK:
                out.append(f"lot {lot}: an item ran on {n['at'] - at:.1f} s after its end")


def _check_leaving(notes, out):
    told = {}
    for n in sorted(notes, key=lambda n: n["at"]):
        if n["event"] == "told":
            if n["state"] == "leaving":
                told[n["engine"]] = n["at"]
            else:
                told.pop(n["engine"], None)
        elif n["event"] == "open":
            told.pop(n["engine"], None)
        elif n["event"] == "run" and n["engine"] in told and n["at"] > told[n["engine"]] + 2 + SLACK:
            out.append(f"{n['engine']} got {n['prompt']} {n['at'] - told[n['engine']]:.1f} s after it said it leaves")


def _check_zones(events, notes, zones, out):
    for e in events:
        if e["event"] != "zone_emptied":
            continue
        until = next((f["at"] for f in events if f["event"] == "zone_filling" and f["zone"] == e["zone"]
                      and f["at"] > e["at"]), float("inf"))
        for n in notes:
            if n["event"] == "run" and zones.get(n["engine"]) == e["zone"] \
                    and e["at"] + 5 + SLACK < n["at"] < until:
                out.append(f"{n['engine']} got work {n['at'] - e['at']:.1f} s after {e['zone']} was emptied")


def _check_table(events, out):
    acked = sorted((e for e in events if e["event"] == "edit" and e["status"] == 200), key=lambda e: e["sequence"])
    bases = Counter(e["base"] for e in acked)
    for base, n in bases.items():
        if n > 1:
            out.append(f"{n} edits took effect on base {base}")
    refused = [e for e in events if e["event"] == "edit" and e["outcome"] == "not_run"]
    for r in (e for e in events if e["event"] == "table_read"):
        newest = max((e["sequence"] for e in acked if e["at"] < r["asked"]), default=0)
        if r["sequence"] < newest:
            out.append(f"the table read as {r['sequence']} after {newest} was acknowledged")
        for e in refused:
            if r["rows"].get(e["row"], {}).get("model") == e["value"].get("model"):
                out.append(f"refused edit {e['edit']} is in the table")
