"""Sends HTTP requests with JSON bodies to the operator addresses of nodes."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from http.client import HTTPException
from typing import Any

import attrs

from ..errors import MalformedResponse
from .checked_http import checked_opener

__all__ = ["OperatorClient", "Response", "UnreachableError", "edit_headers", "send_request"]

REQUEST_TIMEOUT_S = 10
SERVICE_UNAVAILABLE = 503


class UnreachableError(Exception):
    """No response arrived, or none that HTTP allows, or its body is cut short or not JSON."""


@attrs.frozen
class Response:
    """The HTTP status and JSON body of a response."""

    status: int
    body: Any


def send_request(
    address: str, method: str, path: str, body: object = None, headers: Mapping[str, str] | None = None
) -> Response:
    """Sends one request to HOST:PORT and returns its response with any status. Raises UnreachableError."""
    data = json.dumps(body).encode() if body is not None else None
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    request = urllib.request.Request(f"http://{address}{path}", data, all_headers, method=method)
    try:
        return _exchange(request)
    except (OSError, ValueError, HTTPException, MalformedResponse) as error:
        raise UnreachableError(f"{address}: {error}") from error


def _exchange(request: urllib.request.Request) -> Response:
    try:
        with checked_opener().open(request, timeout=REQUEST_TIMEOUT_S) as response:
            return Response(response.status, json.load(response))
    except urllib.error.HTTPError as error:
        return Response(error.code, _error_body(error))


def _error_body(error: urllib.error.HTTPError) -> Any:
    content = error.read()
    try:
        return json.loads(content)
    except ValueError:
        return {"error": {"code": "http", "message": str(error)}}


class OperatorClient:
    """Sends requests to the first of several addresses that can serve them."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses

    def request(
        self, method: str, path: str, body: object = None, headers: Mapping[str, str] | None = None
    ) -> Response:
        """Returns the first response whose status is not 503, or else the one of the last address.

        Raises UnreachableError if there is no such response.
        """
        unreachable = UnreachableError("no address given: use --at HOST:PORT or set PIPITLINK_AT")
        for address in self._addresses:
            try:
                response = send_request(address, method, path, body, headers)
            except UnreachableError as error:
                unreachable = error
                continue
            if response.status != SERVICE_UNAVAILABLE or address == self._addresses[-1]:
                return response
        raise unreachable


def edit_headers(base: object, edit_id: str | None) -> dict[str, str]:
    """Returns the headers of an edit: the version that it is based on, and its id if one was given."""
    headers = {"If-Match": str(base)}
    if edit_id:
        headers["Edit-Id"] = edit_id
    return headers
