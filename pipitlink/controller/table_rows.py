"""Parses and validates rows of the weight table."""

from __future__ import annotations

import math
import re
from typing import Any

import attrs

from ..errors import InvalidRows
from ..wire.cluster_pb2 import Row

__all__ = ["FieldProblem", "parse_row", "parse_rows", "row_to_json"]

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}$")
MAX_SHOWN_LENGTH = 100
MAX_TEXT_LENGTH = 200
MAX_PROBLEMS = 100
FIELD_DEFAULTS: dict[str, str | int | float] = {
    "model": "",
    "pool": "",
    "weight": 1.0,
    "rate": 0.0,
    "concurrency": 0,
    "lot_share": 0.0,
    "priority": 0,
}
"""The fields of a row in JSON. A value must have the type of its default; an integer is accepted for a float."""


@attrs.frozen
class _Bounds:
    low: int
    high: int


NUMBER_BOUNDS = {
    "weight": _Bounds(0, 1_000_000),
    "rate": _Bounds(0, 1_000_000),
    "concurrency": _Bounds(0, 1_000_000),
    "lot_share": _Bounds(0, 1),
    "priority": _Bounds(-100, 100),
}


@attrs.frozen
class FieldProblem:
    """A validation error in one field of a row; `field` is empty if the row as a whole is invalid."""

    row: str
    field: str
    message: str

    def to_json(self) -> dict[str, str]:
        """Returns the problem as it appears in responses."""
        return {"row": self.row, "field": self.field, "message": self.message}


@attrs.frozen
class _ParsedRow:
    """A row and its problems; the row may only be used if there are none."""

    row: Row
    problems: list[FieldProblem]


def _value_problem(field: str, value: Any) -> str:
    """Returns the problem with the value of a known field, or an empty string."""
    default = FIELD_DEFAULTS[field]
    if isinstance(default, str):
        return (
            ""
            if isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH
            else "must be a string of at most 200 characters"
        )
    number_types = (int,) if isinstance(default, int) else (int, float)
    if isinstance(value, bool) or not isinstance(value, number_types) or not math.isfinite(value):
        return "must be a number"
    bounds = NUMBER_BOUNDS[field]
    if not bounds.low <= value <= bounds.high:
        return f"must be between {bounds.low} and {bounds.high}"
    return ""


def _parse(name: Any, raw: Any) -> _ParsedRow:
    if not isinstance(name, str) or not NAME_PATTERN.match(name):
        shown = str(name)[:MAX_SHOWN_LENGTH]
        return _ParsedRow(Row(), [FieldProblem(shown, "name", "must be 1 to 100 letters, digits or _.:-")])
    if not isinstance(raw, dict):
        return _ParsedRow(Row(), [FieldProblem(name, "", "must be an object")])
    problems: list[FieldProblem] = []
    row = Row(name=name, weight=1.0)
    for field, value in raw.items():
        if field == "name" and value == name:
            continue
        if field not in FIELD_DEFAULTS:
            problems.append(FieldProblem(name, str(field)[:MAX_SHOWN_LENGTH], "no such field"))
            continue
        problem = _value_problem(field, value)
        if problem:
            problems.append(FieldProblem(name, field, problem))
        else:
            setattr(row, field, value)
    if not problems and not row.model and not row.pool:
        problems.append(FieldProblem(name, "model", "a row must name a model or a pool"))
    return _ParsedRow(row, problems)


def _invalid(problems: list[FieldProblem]) -> InvalidRows:
    return InvalidRows([problem.to_json() for problem in problems])


def parse_row(name: str, raw: Any) -> Row:
    """Parses a row from its JSON object. Raises InvalidRows with all problems."""
    parsed = _parse(name, raw)
    if parsed.problems:
        raise _invalid(parsed.problems)
    return parsed.row


def parse_rows(raw: dict[str, Any]) -> list[Row]:
    """Parses the rows of a whole table from JSON objects by name. Raises InvalidRows with the first problems."""
    rows: list[Row] = []
    problems: list[FieldProblem] = []
    targets: dict[tuple[str, str], str] = {}
    for name, raw_row in raw.items():
        parsed = _parse(name, raw_row)
        problems += parsed.problems
        if parsed.problems:
            continue
        other = targets.setdefault((parsed.row.model, parsed.row.pool), name)
        if other != name:
            problems.append(FieldProblem(name, "model", f"row {other!r} has the same model and pool"))
        rows.append(parsed.row)
    if problems:
        raise _invalid(problems[:MAX_PROBLEMS])
    return rows


def row_to_json(row: Row) -> dict[str, Any]:
    """Returns a row as a JSON object, without its name."""
    return {field: getattr(row, field) for field in FIELD_DEFAULTS}
