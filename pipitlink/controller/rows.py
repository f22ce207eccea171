"""Reads and checks rows of the weight table."""

import math
import re

from ..errors import InvalidRows
from ..wire.cluster_pb2 import Row

__all__ = ["row_from", "rows_from", "row_dict", "FIELDS"]

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}$")
FIELDS = {"model": "", "pool": "", "weight": 1.0, "rate": 0.0, "concurrency": 0, "lot_share": 0.0, "priority": 0}
_BOUNDS = {
    "weight": (0, 1_000_000),
    "rate": (0, 1_000_000),
    "concurrency": (0, 1_000_000),
    "lot_share": (0, 1),
    "priority": (-100, 100),
}


def _fault(row, field, message):
    return {"row": row, "field": field, "message": message}


def _check(name: str, raw) -> tuple[Row | None, list[dict]]:
    if not isinstance(name, str) or not _NAME.match(name):
        return None, [_fault(str(name)[:100], "name", "must be 1 to 100 letters, digits or _.:-")]
    if not isinstance(raw, dict):
        return None, [_fault(name, "", "must be an object")]
    faults = []
    row = Row(name=name, weight=1.0)
    for field, value in raw.items():
        if field == "name" and value == name:
            continue
        if field not in FIELDS:
            faults.append(_fault(name, str(field)[:100], "no such field"))
            continue
        like = FIELDS[field]
        whole = isinstance(like, int)
        if isinstance(like, str):
            good = isinstance(value, str) and len(value) <= 200
        else:
            good = (
                not isinstance(value, bool)
                and isinstance(value, int if whole else (int, float))
                and math.isfinite(value)
            )
        if not good:
            faults.append(_fault(name, field, f"must be a {'text' if isinstance(like, str) else 'number'}"))
        elif field in _BOUNDS and not _BOUNDS[field][0] <= value <= _BOUNDS[field][1]:
            faults.append(_fault(name, field, "must be between {} and {}".format(*_BOUNDS[field])))
        else:
            setattr(row, field, value)
    if not faults and not row.model and not row.pool:
        faults.append(_fault(name, "model", "a row names a model or a pool"))
    return row, faults


def row_from(name: str, raw) -> Row:
    """Returns a row read from its JSON object. Raises InvalidRows with everything that is wrong with it."""
    row, faults = _check(name, raw)
    if faults:
        raise InvalidRows(faults)
    return row


def parse_rows(raw: dict) -> list[Row]:
    """Returns the rows of a whole table, from JSON objects by name. Raises InvalidRows with what is wrong with them."""
    rows, faults = [], []
    targets: dict[tuple[str, str], str] = {}
    for name, one in raw.items():
        row, bad = _check(name, one)
        faults += bad
        if not bad:
            other = targets.setdefault((row.model, row.pool), name)
            if other != name:
                faults.append(_fault(name, "model", f"row {other!r} has the same model and pool"))
            rows.append(row)
    if faults:
        raise InvalidRows(faults[:100])
    return rows


def row_dict(r: Row) -> dict:
    """Returns a row as a JSON object, without its name."""
    return {f: getattr(r, f) for f in FIELDS}
