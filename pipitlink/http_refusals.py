"""Requests that an HTTP server refuses while it receives them, before it has read them whole."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Protocol

import attrs

__all__ = [
    "BODY_TOO_LONG",
    "HEADERS_TOO_LONG",
    "NO_MEMORY",
    "REQUEST_TIMEOUT",
    "TOO_MANY_VALUES",
    "Refusal",
    "RefusalFormat",
    "code_only_body",
    "json_body",
    "refusal_response",
]

RETRY_AFTER_S = 0.5


@attrs.frozen
class Refusal:
    """Why a request is refused. Its status is a promise that nothing was executed, or one that is final."""

    status: HTTPStatus
    code: str
    message: str
    retry_after_s: float = 0


HEADERS_TOO_LONG = Refusal(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_long", "the head of the request exceeds the limit"
)
BODY_TOO_LONG = Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_long", "the body exceeds the limit")
TOO_MANY_VALUES = Refusal(
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too_many_values", "the body contains more values than fit into the memory"
)
REQUEST_TIMEOUT = Refusal(HTTPStatus.REQUEST_TIMEOUT, "request_timeout", "the request did not arrive in time")
NO_MEMORY = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "no_memory", "there is no memory for this request now", RETRY_AFTER_S
)


@attrs.frozen
class RefusalBody:
    """The body of the response to a refused request."""

    content_type: str
    content: bytes


class RefusalFormat(Protocol):
    """Formats the body of a refusal."""

    def __call__(self, refusal: Refusal, /) -> RefusalBody:
        """Returns the body."""


def json_body(refusal: Refusal) -> RefusalBody:
    """Returns a body in the format of JSON errors."""
    error = {"code": refusal.code, "outcome": "not_run", "message": refusal.message}
    return RefusalBody("application/json", json.dumps({"error": error}).encode())


def code_only_body(refusal: Refusal) -> RefusalBody:
    """Returns a body that is the code of the refusal."""
    return RefusalBody("text/plain", refusal.code.encode())


def refusal_response(refusal: Refusal, body: RefusalBody) -> bytes:
    """Returns the whole response, after which the connection is closed."""
    lines = [
        f"HTTP/1.1 {refusal.status.value} {refusal.status.phrase}",
        f"Content-Type: {body.content_type}",
        f"Content-Length: {len(body.content)}",
        "Connection: close",
    ]
    if refusal.retry_after_s:
        lines.append(f"Retry-After: {refusal.retry_after_s}")
    return "\r\n".join([*lines, "", ""]).encode() + body.content
