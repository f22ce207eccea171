"""Shared parts of the HTTP interfaces: JSON responses, JSON errors and handlers that are coroutines."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any, Concatenate, ParamSpec, Protocol, TypeVar

import attrs
from twisted.internet import defer
from twisted.web import server

from .errors import (
    ApiError,
    ConnectionFailed,
    DeadlineExceeded,
    InvalidRows,
    LeaseNotHeld,
    NoQuorum,
    NotLeader,
    PipitlinkError,
    RemoteError,
    StaleEpoch,
    StorageFull,
    Unconfirmed,
    VersionConflict,
    WireError,
)
from .timers import spawn

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .context import Context

__all__ = ["http_handler", "send_error", "send_json"]

_Params = ParamSpec("_Params")


class _ContextOwner(Protocol):
    """A part of a process; `_ctx` is the context that all parts share."""

    _ctx: Context


_Owner = TypeVar("_Owner", bound=_ContextOwner)


def send_json(
    request: server.Request, body: object, status: int = 200, headers: Mapping[str, object] | None = None
) -> bytes:
    """Sets status and headers of a JSON response and returns its body, which the handler must return."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    for name, value in (headers or {}).items():
        request.setHeader(name.encode(), str(value).encode())
    return json.dumps(body).encode()


@attrs.frozen
class _ErrorResponse:
    """The response to errors of some classes; `retry_after` is in seconds, 0 for none."""

    classes: tuple[type[PipitlinkError], ...]
    status: int
    outcome: str
    retry_after: float = 0


_UNKNOWN_OUTCOME = (
    NoQuorum,
    LeaseNotHeld,
    DeadlineExceeded,
    ConnectionFailed,
    Unconfirmed,
    StaleEpoch,
    RemoteError,
    WireError,
)
_ERROR_RESPONSES = (
    _ErrorResponse((VersionConflict,), status=412, outcome="not_run"),
    _ErrorResponse((InvalidRows,), status=422, outcome="not_run"),
    _ErrorResponse((NotLeader,), status=503, outcome="not_run", retry_after=1),
    _ErrorResponse(_UNKNOWN_OUTCOME, status=503, outcome="unknown", retry_after=1),
)
_STORAGE_FULL_RETRY_AFTER_S = 30


def _to_api_error(error: BaseException) -> ApiError:
    """Maps an error of a lower layer to the error that the client gets."""
    if isinstance(error, ApiError):
        return error
    if isinstance(error, StorageFull):
        outcome = "unknown" if error.sent else "not_run"
        return ApiError(
            str(error), code=error.code, status=507, outcome=outcome, retry_after=_STORAGE_FULL_RETRY_AFTER_S
        )
    for response in _ERROR_RESPONSES:
        if isinstance(error, response.classes):
            return ApiError(
                str(error),
                code=error.code,
                status=response.status,
                outcome=response.outcome,
                retry_after=response.retry_after,
            )
    return ApiError("internal error", code="internal", status=500, outcome="unknown")


def send_error(request: server.Request, error: BaseException) -> bytes:
    """Sets up the JSON error response for an exception and returns its body.

    An exception other than an ApiError is mapped to one; an unexpected exception becomes a 500 with outcome unknown.
    """
    api_error = _to_api_error(error)
    body: dict[str, Any] = {"code": api_error.code, "message": str(api_error), "outcome": api_error.outcome}
    if api_error.field:
        body["field"] = api_error.field
    if isinstance(error, VersionConflict):
        body["sequence"] = error.sequence
    if isinstance(error, InvalidRows):
        body["faults"] = error.faults
    headers = {"Retry-After": api_error.retry_after} if api_error.retry_after else {}
    return send_json(request, {"error": body}, api_error.status, headers)


def _respond_to_failure(owner: _ContextOwner, request: server.Request, failure: Failure) -> bytes:
    """Returns the body of the error response; if the response has started, closes the connection instead."""
    if failure.check(defer.CancelledError):
        return b""
    error = failure.value
    assert error is not None  # a Failure always has an exception
    if not hasattr(error, "code"):
        owner._ctx.logger.failure("request_failed", error, path=request.path.decode("utf-8", "replace"))
    if request.startedWriting:
        transport: Any = request.transport
        transport.abortConnection()
        return b""
    return send_error(request, error)


def http_handler(
    method: Callable[Concatenate[_Owner, server.Request, _Params], Coroutine[Any, Any, Any]],
) -> Callable[Concatenate[_Owner, server.Request, _Params], defer.Deferred[Any]]:
    """Turns a coroutine method into a Klein handler: errors become JSON responses, a client's disconnect cancels it.

    Unexpected errors are logged by the logger of the `_ctx` of the object that the method belongs to.
    """

    def handler(
        owner: _Owner, request: server.Request, /, *args: _Params.args, **kwargs: _Params.kwargs
    ) -> defer.Deferred[Any]:
        work = spawn(method(owner, request, *args, **kwargs))
        request.notifyFinish().addErrback(lambda _: work.cancel())
        return work.addErrback(lambda failure: _respond_to_failure(owner, request, failure))

    handler.__name__ = method.__name__
    return handler
