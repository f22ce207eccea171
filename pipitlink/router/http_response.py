"""HTTP responses that a gateway generates itself."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..errors import ApiError

__all__ = ["HttpResponse", "json_error", "json_response"]

JSON_HEADERS = {"Content-Type": "application/json"}


class HttpResponse(NamedTuple):
    """An HTTP response with its whole body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def json_response(status: int, body: bytes) -> HttpResponse:
    """Returns a response whose body is JSON."""
    return HttpResponse(status, JSON_HEADERS, body)


def json_error(error: ApiError, body: bytes) -> HttpResponse:
    """Returns the response to a failed request, with its Retry-After header; `body` is JSON."""
    headers = dict(JSON_HEADERS)
    if error.retry_after:
        headers["Retry-After"] = str(error.retry_after)
    return HttpResponse(error.status, headers, body)
