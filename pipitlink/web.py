"""Shared parts of the HTTP servers: limits on request bodies, JSON responses and JSON errors."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any, Concatenate, ParamSpec, Protocol, TypeVar

import attrs
from twisted.internet import defer
from twisted.web import http, resource, server

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
    ServiceUnavailable,
    StaleEpoch,
    StorageFull,
    Unconfirmed,
    VersionConflict,
    WireError,
)
from .http_connections import HttpConnection, HttpConnections, ServerPhase
from .timers import ms, spawn

if TYPE_CHECKING:
    from datetime import timedelta

    from twisted.python.failure import Failure

    from .context import Context
    from .reactor_types import ListeningPort

__all__ = ["HttpServer", "LazyResource", "Site", "http_handler", "listen", "send_error", "send_json"]

IDLE_TIMEOUT_S = 60
LISTEN_BACKLOG = 512
# How long the last responses of a server that closes may take to be sent.
FLUSH_TIMEOUT = ms(100)

_Params = ParamSpec("_Params")


class _ContextOwner(Protocol):
    """A part of a process; `_ctx` is the context that all parts share."""

    _ctx: Context


_Owner = TypeVar("_Owner", bound=_ContextOwner)


class _BoundedRequest(server.Request):
    """A request that is rejected with status 413, and its connection closed, if its body exceeds the site's limit."""

    channel: Any
    """An HTTPChannel, whose `site` is a Site of this module."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's interface
        """Receives the body's length in bytes, or None if the request does not state it."""
        if length is not None and length > self.channel.site.max_body_bytes:
            self._reject_body()
            return
        server.Request.gotLength(self, length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's interface
        """Receives a part of the body."""
        if self.content is None:
            return
        if self.content.tell() + len(data) > self.channel.site.max_body_bytes:
            self._reject_body()
            return
        server.Request.handleContentChunk(self, data)

    def process(self) -> None:
        """Serves a request whose body has been received, unless it was rejected."""
        if self.content is None:
            return
        if self.channel.connections.phase >= ServerPhase.REFUSING:
            error = ServiceUnavailable("this node is shutting down", code="shutting_down")
            server.Request.write(self, send_error(self, error))
            server.Request.finish(self)
            return
        server.Request.process(self)

    def _reject_body(self) -> None:
        error = {
            "code": "body_too_long",
            "outcome": "not_run",
            "message": f"the body exceeds the limit of {self.channel.site.max_body_bytes} bytes",
        }
        body = json.dumps({"error": error}).encode()
        self.content = None
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        self.channel.loseConnection()


class Site(server.Site):
    """The resources of an HTTP server, with a limit on request bodies and a timeout for idle connections."""

    protocol = HttpConnection  # type: ignore[assignment]  # Twisted declares a private wrapper of HTTPChannel

    def __init__(self, root: resource.Resource, max_body_bytes: int) -> None:
        server.Site.__init__(self, root, requestFactory=_BoundedRequest, timeout=IDLE_TIMEOUT_S)
        self.max_body_bytes = max_body_bytes
        self.connections = HttpConnections()
        self.displayTracebacks = False
        self.noisy = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 - Twisted's interface
        """Returns the protocol for a new connection."""
        connection = server.Site.buildProtocol(self, addr)
        connection.connections = self.connections
        return connection

    def log(self, request: http.Request) -> None:
        """Writes no access log."""


class LazyResource(resource.Resource):
    """A resource that is built at its first request, since most processes never receive one."""

    isLeaf = True  # noqa: N815 - Twisted's interface

    def __init__(self, build: Callable[[], resource.Resource]) -> None:
        resource.Resource.__init__(self)
        self._build = build
        self._resource: resource.Resource | None = None

    def render(self, request: server.Request) -> Any:
        """Passes the request to the built resource and returns the result of its `render`."""
        if self._resource is None:
            self._resource = self._build()
        return self._resource.render(request)


class HttpServer:
    """An HTTP server that listens on an address."""

    def __init__(self, ctx: Context, site: Site, listening_port: ListeningPort) -> None:
        self._timers = ctx.timers
        self._connections = site.connections
        self._listening_port = listening_port

    @property
    def port(self) -> int:
        """The port that it is bound to."""
        return self._listening_port.getHost().port

    async def close(self, timeout: timedelta) -> None:
        """Accepts no further connection and closes each one as soon as it has no request.

        Returns once none is left. Those with requests in progress at the timeout are aborted.
        """
        self._connections.announce_close()
        await defer.maybeDeferred(self._listening_port.stopListening)
        await self._connections.close_when_idle(self._timers, timeout)
        await self._connections.abort(self._timers, FLUSH_TIMEOUT)


async def listen(ctx: Context, site: Site, host: str, port: int) -> HttpServer:
    """Binds an HTTP site to an address. Raises CannotListenError."""
    from twisted.internet.endpoints import TCP4ServerEndpoint

    endpoint = TCP4ServerEndpoint(ctx.reactor, port, backlog=LISTEN_BACKLOG, interface=host)
    return HttpServer(ctx, site, await endpoint.listen(site))


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
