"""The operators' commands: they ask the fleet over HTTP and print what it said."""

import json
import os
import sys
import urllib.error
import urllib.request

__all__ = ["run_tool", "compare", "differences"]

LIMIT = 10
TOPICS = ("cluster", "membership", "status", "engines", "storage_nodes", "placement_groups", "leases", "logs")


class _Unreached(Exception):
    pass


def _ask(place: str, method: str, path: str, body=None, headers=None):
    """(status, JSON)"""
    data = json.dumps(body).encode() if body is not None else None
    r = urllib.request.Request(
        f"http://{place}{path}", data, {"Content-Type": "application/json", **(headers or {})}, method=method
    )
    try:
        with urllib.request.urlopen(r, timeout=LIMIT) as got:
            return got.status, json.load(got)
    except urllib.error.HTTPError as e:
        try:
            return e.code, json.load(e)
        except ValueError:
            return e.code, {"error": {"code": "http", "message": str(e)}}
    except (OSError, ValueError) as e:
        raise _Unreached(f"{place}: {e}") from e


def _ask_any(places: list[str], *words, **named):
    last = _Unreached("no address: give --at HOST:PORT or set PIPITLINK_AT")
    for place in places:
        try:
            status, body = _ask(place, *words, **named)
        except _Unreached as e:
            last = e
            continue
        if status != 503 or place == places[-1]:
            return status, body
    raise last


def _say(status: int, body) -> int:
    if status < 400:
        print(json.dumps(body, indent=2))
        return 0
    e = body.get("error", {})
    print(f"{e.get('code', status)}: {e.get('message', '')} (outcome: {e.get('outcome', '?')})", file=sys.stderr)
    for f in e.get("faults", ()):
        print(f"  {f['row']}.{f['field']}: {f['message']}", file=sys.stderr)
    return 1


def differences(a: dict, b: dict) -> dict[str, dict]:
    """Topic by topic, the keys on which two nodes' beliefs differ, with both beliefs."""
    out = {}
    for topic in TOPICS:
        if topic not in a or topic not in b:
            continue
        mine, theirs = a[topic], b[topic]
        keys = set(mine) | set(theirs)
        if topic == "leases":
            keys = set(mine) & set(theirs)
        if topic == "logs":
            keys = {k for k in keys if _both_keep(k, a, b)}
        if topic == "status":
            keys -= {a["node"], b["node"]}
        diff = {k: [mine.get(k), theirs.get(k)] for k in sorted(keys) if mine.get(k) != theirs.get(k)}
        if diff:
            out[topic] = diff
    return out


def _both_keep(log: str, a: dict, b: dict) -> bool:
    """Logs are told as PLACEMENT_GROUP/NAME; two storage nodes need to agree on those of the placement groups that
    both keep.
    """
    placement_group = a["placement_groups"].get(log.partition("/")[0], "")
    storage_nodes = placement_group.split(":")[1].split(",") if placement_group else []
    return a["node"] in storage_nodes and b["node"] in storage_nodes


def compare(first: str, second: str, as_json: bool) -> int:
    """Compares the state of two nodes, by their operator addresses HOST:PORT, and prints the differences.

    Returns the exit code: 0 alike, 1 different, 2 where a node could not be asked.
    """
    try:
        (sa, a), (sb, b) = _ask(first, "GET", "/v1/beliefs"), _ask(second, "GET", "/v1/beliefs")
    except _Unreached as e:
        print(e, file=sys.stderr)
        return 2
    if sa != 200 or sb != 200:
        print(f"{first if sa != 200 else second}: no beliefs are told there", file=sys.stderr)
        return 2
    diff = differences(a, b)
    if as_json:
        print(json.dumps({"nodes": [a["node"], b["node"]], "alike": not diff, "differences": diff}, indent=2))
    elif not diff:
        print(f"alike: {a['role']} {a['node']} and {b['role']} {b['node']}")
    else:
        print(f"A is {a['role']} {a['node']}, B is {b['role']} {b['node']}")
        for topic, keys in diff.items():
            for k, (x, y) in keys.items():
                print(f"{topic} {k}: A={x} B={y}")
    return 1 if diff else 0


def _value(text: str):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _read_file(path: str):
    try:
        with open(path) as f:
            return json.load(f)
    except (OSError, ValueError) as e:
        print(f"{path}: {e}", file=sys.stderr)
        return None


def _config(words: dict, places: list[str]) -> int:
    status, body = 200, None
    if words["show"] or words["--base"] is None:
        status, body = _ask_any(places, "GET", "/v1/config")
    if words["show"] or status != 200:
        return _say(status, body)
    config = _read_file(words["FILE"])
    if config is None:
        return 2
    base = body["version"] if words["--base"] is None else words["--base"]
    heads = {"If-Match": str(base), **({"Edit-Id": words["--edit"]} if words["--edit"] else {})}
    return _say(*_ask_any(places, "PUT", "/v1/config", config, heads))


def _table(words: dict, places: list[str]) -> int:
    if words["show"]:
        return _say(*_ask_any(places, "GET", "/v1/table"))
    base = words["--base"]
    if base is None:
        status, body = _ask_any(places, "GET", "/v1/table")
        if status != 200:
            return _say(status, body)
        base = body["sequence"]
    heads = {"If-Match": str(base), **({"Edit-Id": words["--edit"]} if words["--edit"] else {})}
    if words["put"]:
        cluster_state = _read_file(words["FILE"])
        if cluster_state is None:
            return 2
        return _say(*_ask_any(places, "PUT", "/v1/table", {"rows": cluster_state.get("rows", cluster_state)}, heads))
    path = f"/v1/table/rows/{words['ROW']}"
    if words["drop"]:
        return _say(*_ask_any(places, "DELETE", path, None, heads))
    status, body = _ask_any(places, "GET", path)
    row = body["row"] if status == 200 else {}
    for pair in words["FIELD=VALUE"]:
        name, _, text = pair.partition("=")
        row[name] = text if name in ("model", "pool") else _value(text)
    return _say(*_ask_any(places, "PUT", path, row, heads))


def run_tool(words: dict) -> int:
    """Runs one operators' command, given as docopt's words, and returns its exit code.

    0 done, 1 refused by the fleet, 2 where no address answered or a file cannot be read.
    """
    if words["compare"]:
        return compare(words["A"], words["B"], words["--json"])
    places = [p for p in (words["--at"] or os.environ.get("PIPITLINK_AT", "")).split(",") if p]
    try:
        if words["table"]:
            return _table(words, places)
        if words["config"]:
            return _config(words, places)
        if words["zone"]:
            if words["show"]:
                return _say(*_ask_any(places, "GET", "/v1/zones"))
            return _say(*_ask_any(places, "PUT", f"/v1/zones/{words['ZONE']}", {"empty": bool(words["empty"])}))
        if words["storage"]:
            if words["show"]:
                return _say(*_ask_any(places, "GET", "/v1/storage_nodes"))
            return _say(*_ask_any(places, "POST", f"/v1/storage_nodes/{words['STORAGE_NODE']}/retire", {}))
        if words["lot"]:
            path = f"/v1/lots/{words['LOT']}"
            return _say(*_ask_any(places, "GET" if words["show"] else "DELETE", path))
        return _say(*_ask_any(places, "GET", "/v1/status"))
    except _Unreached as e:
        print(e, file=sys.stderr)
        return 2
