"""Strict parsing of JSON objects into protobuf messages, field by field."""

from __future__ import annotations

import json
import math
from collections.abc import Collection, Iterable, Mapping
from enum import Enum, auto
from typing import Any, NoReturn, TypeVar

import attrs
from google.protobuf.message import Message

from ..errors import BadRequest

__all__ = [
    "FieldKind",
    "JsonField",
    "compact_json",
    "fill_message",
    "items_of",
    "names_of",
    "parse_object",
    "text_of",
    "integer_of",
    "with_keys",
]

MAX_UINT32 = 2**32 - 1
MAX_LONG = 2**63
MAX_AMOUNT = 1e300
MAX_TEXT_LENGTH = 2000
MAX_FIELD_IN_ERROR = 100
MS_PER_S = 1000

JsonObject = dict[str, Any]
MessageT = TypeVar("MessageT", bound=Message)


class FieldKind(Enum):
    """The type of a field's value. All numbers except SIGNED are at least 0; COUNT and LONG are rounded up."""

    TEXT = auto()
    FLAG = auto()
    SIGNED = auto()
    COUNT = auto()
    LONG = auto()
    AMOUNT = auto()


@attrs.frozen
class JsonField:
    """A field of a JSON object, and the message field (`attribute`) that its value is stored in.

    `key` is its name in the object, or a dotted path if it is in a nested object. A number that is read from the object
    is multiplied by `scale` before it is stored in the message, unless its kind is SIGNED.
    """

    key: str
    attribute: str
    kind: FieldKind = FieldKind.COUNT
    required: bool = False
    scale: int = 1


def with_keys(
    fields: Iterable[JsonField], keys: Mapping[str, str], in_seconds: Collection[str] = ()
) -> tuple[JsonField, ...]:
    """Returns the fields in the same order with their keys renamed; `keys` maps current keys to new ones.

    Fields whose new key is in `in_seconds` have values in seconds, which are stored in milliseconds.
    """
    fields = tuple(fields)
    assert set(keys) <= {field.key for field in fields}, "a key to rename is not a key of any field"
    renamed = (attrs.evolve(field, key=keys.get(field.key, field.key)) for field in fields)
    return tuple(attrs.evolve(field, scale=MS_PER_S) if field.key in in_seconds else field for field in renamed)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> JsonObject:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("an object contains a name twice")
    return result


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a number")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        _reject_constant(text)
    return number


def parse_object(body: bytes) -> JsonObject:
    """Returns the JSON object in a body.

    Raises BadRequest where it is not an object, or contains a duplicate name or a number that is not finite.
    """
    try:
        document = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_finite_float,
        )
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"the body is not valid JSON: {error}", code="bad_json") from error
    if not isinstance(document, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return document


def _bad_field(field: str, text: str) -> BadRequest:
    return BadRequest(f"{field} {text}", code="bad_field", field=field[:MAX_FIELD_IN_ERROR])


def compact_json(value: object) -> bytes:
    """Returns a JSON value as compact bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def _is_text(value: object) -> bool:
    """Returns whether a value is a string that can be encoded in UTF-8, that is, without surrogates."""
    return isinstance(value, str) and not any("\ud800" <= character <= "\udfff" for character in value)


def text_of(document: JsonObject, field: str, location: str = "") -> str:
    """Returns a text field of 1 to 2000 characters; errors put `location` before the field's name.

    Raises BadRequest where it is missing or invalid.
    """
    value = document.get(field)
    if not isinstance(value, str) or not _is_text(value) or not 1 <= len(value) <= MAX_TEXT_LENGTH:
        raise _bad_field(location + field, "must be a string of 1 to 2000 characters")
    return value


def integer_of(document: JsonObject, field: str, minimum: int = 0) -> int:
    """Returns an integer of at least `minimum` and below 2**63. Raises BadRequest where it is missing or invalid."""
    value = document.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value < MAX_LONG:
        raise _bad_field(field, f"must be a whole number of {minimum} or more")
    return value


def items_of(document: JsonObject, field: str, required: bool) -> list[JsonObject]:
    """Returns a list of objects with unique names; an empty list where the field is missing and not required.

    Raises BadRequest where it is invalid.
    """
    if field not in document and not required:
        return []
    items = document.get(field)
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise _bad_field(field, "must be a list of objects")
    names = [text_of(item, "name", field + ".") for item in items]
    if len(set(names)) != len(names):
        raise _bad_field(field, "contains a name twice")
    return items


def names_of(document: JsonObject, field: str) -> list[str]:
    """Returns a list of strings, empty where the field is missing. Raises BadRequest where it is invalid."""
    names = document.get(field, [])
    if not isinstance(names, list) or not all(_is_text(name) for name in names):
        raise _bad_field(field, "must be a list of names")
    return names


def _checked_value(field: JsonField, value: Any, location: str) -> str | bool | int | float:
    """Returns a value as the message field stores it. Raises BadRequest where it does not match the field's kind."""
    if field.kind is FieldKind.TEXT:
        return _checked_text(field, value, location)
    if field.kind is FieldKind.FLAG:
        if not isinstance(value, bool):
            raise _bad_field(location, "must be true or false")
        return value
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _bad_field(location, "must be a number")
    return _checked_number(field, value, location)


def _checked_text(field: JsonField, value: Any, location: str) -> str:
    if (
        not isinstance(value, str)
        or not _is_text(value)
        or len(value) > MAX_TEXT_LENGTH
        or (field.required and not value)
    ):
        raise _bad_field(location, "must be a string")
    return value


def _checked_number(field: JsonField, value: float, location: str) -> int | float:
    if field.kind is FieldKind.SIGNED:
        if not isinstance(value, int) or not -(2**31) <= value < 2**31:
            raise _bad_field(location, "must be a whole number")
        return value
    if value < 0:
        raise _bad_field(location, "must not be below 0")
    if field.kind is FieldKind.AMOUNT:
        return float(min(value, MAX_AMOUNT)) * field.scale
    return min(math.ceil(value * field.scale), MAX_UINT32 if field.kind is FieldKind.COUNT else MAX_LONG)


def _raw_value(document: JsonObject, key: str, location: str) -> Any:
    """Returns the value at a dotted key; None where it, or an object that contains it, is missing."""
    *outer_keys, last_key = key.split(".")
    holder: Any = document
    for outer_key in outer_keys:
        if not isinstance(holder, dict):
            break
        holder = holder.get(outer_key) or {}
    if not isinstance(holder, dict):
        raise _bad_field(location, "must be in a nested object")
    return holder.get(last_key)


def fill_message(document: JsonObject, fields: Iterable[JsonField], message: MessageT, location: str) -> MessageT:
    """Fills the message from a JSON object and returns it; keys that match no field are ignored.

    Raises BadRequest where a value is invalid or missing; errors put `location` before the field's key.
    """
    for field in fields:
        field_location = f"{location}.{field.key}"
        value = _raw_value(document, field.key, field_location)
        if value is not None:
            setattr(message, field.attribute, _checked_value(field, value, field_location))
        elif field.required:
            raise _bad_field(field_location, "is missing")
    return message
