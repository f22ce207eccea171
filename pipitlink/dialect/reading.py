"""JSON read strictly into messages, field by field."""

import json
import math

import attrs

from ..errors import BadRequest

__all__ = ["Field", "read_json", "read_fields", "items_of", "names_of", "count_of", "text_of", "source_of"]

_MOST = 2**32 - 1


@attrs.frozen
class Field:
    """One field of a JSON item: where it stands, and which field of the message it fills."""

    word: str
    goal: str
    kind: str = "count"
    needed: bool = False
    scale: int = 1


def _pairs(pairs) -> dict:
    out = dict(pairs)
    if len(out) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return out


def _no_number(text):
    raise ValueError(f"{text} is not a number")


def _float(text):
    out = float(text)
    return out if math.isfinite(out) else _no_number(text)


def read_json(body: bytes) -> dict:
    """Returns the JSON object in a body.

    Raises BadRequest where it is no object, holds a name twice or a number that is not finite.
    """
    try:
        raw = json.loads(body.decode("utf-8"), object_pairs_hook=_pairs, parse_constant=_no_number, parse_float=_float)
    except (ValueError, RecursionError) as e:
        raise BadRequest(f"the body is not JSON: {e}", code="bad_json") from e
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return raw


def _wrong(field: str, text: str):
    return BadRequest(f"{field} {text}", code="bad_field", field=field[:100])


def source_of(item) -> bytes:
    """Returns a JSON value as compact bytes."""
    return json.dumps(item, separators=(",", ":")).encode()


def _sound(text) -> bool:
    return isinstance(text, str) and not any("\ud800" <= c <= "\udfff" for c in text)


def text_of(raw: dict, field: str, where: str = "") -> str:
    """Returns a text field of 1 to 2000 characters; `where` goes before the field's name in errors.

    Raises BadRequest where it is missing or anything else.
    """
    value = raw.get(field)
    if not _sound(value) or not 1 <= len(value) <= 2000:
        raise _wrong(where + field, "must be a text that is not empty")
    return value


def count_of(raw: dict, field: str, least: int = 0) -> int:
    """Returns a whole number from `least` up, below 2**63. Raises BadRequest where it is missing or anything else."""
    value = raw.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < 2**63:
        raise _wrong(field, f"must be a whole number of {least} or more")
    return value


def items_of(raw: dict, field: str, needed: bool) -> list[dict]:
    """A list of objects, each with a name of its own."""
    if field not in raw and not needed:
        return []
    items = raw.get(field)
    if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
        raise _wrong(field, "must be a list of objects")
    names = [text_of(i, "name", field + ".") for i in items]
    if len(set(names)) != len(names):
        raise _wrong(field, "holds a name twice")
    return items


def names_of(raw: dict, field: str) -> list[str]:
    """Returns a list of texts, empty where the field is missing. Raises BadRequest where it is anything else."""
    names = raw.get(field, [])
    if not isinstance(names, list) or not all(_sound(n) for n in names):
        raise _wrong(field, "must be a list of names")
    return names


def _value(f: Field, value, where: str):
    if f.kind == "text":
        if not _sound(value) or len(value) > 2000 or not value and f.needed:
            raise _wrong(where, "must be a text")
        return value
    if f.kind == "flag":
        if not isinstance(value, bool):
            raise _wrong(where, "must be true or false")
        return value
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _wrong(where, "must be a number")
    if f.kind == "rank":
        if not isinstance(value, int) or not -(2**31) <= value < 2**31:
            raise _wrong(where, "must be a whole number")
        return value
    if value < 0:
        raise _wrong(where, "must not be below 0")
    if f.kind == "amount":
        return float(min(value, 1e300)) * f.scale
    return min(math.ceil(value * f.scale), _MOST if f.kind == "count" else 2**63)


def read_fields(raw: dict, fields, goal, where: str):
    """Fills the message from a JSON object; what no field names is left aside."""
    for f in fields:
        leaseholder, name = raw, f.word
        while "." in name and isinstance(leaseholder, dict):
            first, _, name = name.partition(".")
            leaseholder = leaseholder.get(first) or {}
        if not isinstance(leaseholder, dict):
            raise _wrong(f"{where}.{f.word}", "must be within an object")
        value = leaseholder.get(name)
        if value is None:
            if f.needed:
                raise _wrong(f"{where}.{f.word}", "is missing")
            continue
        setattr(goal, f.goal, _value(f, value, f"{where}.{f.word}"))
    return goal
