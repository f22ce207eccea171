"""Parses bodies and headers of operators' HTTP requests."""

from __future__ import annotations

import json
from typing import Any, BinaryIO, cast

from twisted.web.server import Request

from ..context import random_id
from ..errors import BadRequest

__all__ = ["edit_base", "edit_id", "read_body", "read_json_object"]

MAX_EDIT_ID_LENGTH = 100
MAX_SEQUENCE = 2**63


def edit_base(request: Request) -> int:
    """Returns the base sequence of an edit from the request's If-Match header.

    Raises BadRequest: status 428 if the header is missing, 400 if it is not a number of at least 0.
    """
    raw = request.getHeader("If-Match")
    if raw is None:
        raise BadRequest(
            "an edit must state its base sequence in If-Match", code="no_base", field="If-Match", status=428
        )
    try:
        base = int(raw.strip().strip('"'))
    except ValueError:
        base = -1
    if not 0 <= base < MAX_SEQUENCE:
        raise BadRequest("If-Match must be the base sequence of the edit", code="bad_field", field="If-Match")
    return base


def edit_id(request: Request, default: str = "") -> str:
    """Returns the edit's id: the request's Edit-Id header, else `default`, else a new random id.

    Raises BadRequest if it has more than 100 characters.
    """
    edit = request.getHeader("Edit-Id") or default or random_id()
    if not 1 <= len(edit) <= MAX_EDIT_ID_LENGTH:
        raise BadRequest("Edit-Id must have 1 to 100 characters", code="bad_field", field="Edit-Id")
    return edit


def read_body(request: Request) -> bytes:
    """Returns the request's body, which has been received completely."""
    return cast(BinaryIO, request.content).read()


def read_json_object(request: Request) -> dict[str, Any]:
    """Returns the request's body as a JSON object. Raises BadRequest."""
    try:
        raw = json.loads(read_body(request))
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"the body is not JSON: {error}", code="bad_json") from error
    if not isinstance(raw, dict):
        raise BadRequest("the body must be a JSON object", code="bad_body")
    return raw
