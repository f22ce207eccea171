"""Shared HTTP server parts: bounded bodies, JSON responses, errors as JSON."""

import json

from twisted.internet import defer
from twisted.web import resource, server

from .errors import (
    ApiError,
    ConnectionFailed,
    DeadlineExceeded,
    InvalidRows,
    LeaseNotHeld,
    NoQuorum,
    NotLeader,
    RemoteError,
    StaleEpoch,
    StorageFull,
    Unconfirmed,
    VersionConflict,
    WireError,
)
from .timers import spawn

__all__ = ["Late", "Site", "answered", "send_json", "send_error", "listen"]


class _Request(server.Request):
    def gotLength(self, length):
        if length is not None and length > self.channel.site.max_body:
            self._too_long()
            return
        super().gotLength(length)

    def handleContentChunk(self, data):
        if self.content is None:
            return
        if self.content.tell() + len(data) > self.channel.site.max_body:
            self._too_long()
            return
        super().handleContentChunk(data)

    def _too_long(self):
        body = json.dumps(
            {
                "error": {
                    "code": "body_too_long",
                    "outcome": "not_run",
                    "message": f"a body may have {self.channel.site.max_body} bytes",
                }
            }
        ).encode()
        self.content = None
        t = self.channel.transport
        t.write(
            b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        self.channel.loseConnection()

    def process(self):
        if self.content is not None:
            super().process()


class Site(server.Site):
    """The HTTP face of a process, with bodies and idle connections bounded."""

    def __init__(self, resource, max_body: int):
        super().__init__(resource, requestFactory=_Request, timeout=60)
        self.max_body = max_body
        self.displayTracebacks = False
        self.noisy = False

    def log(self, request):
        pass


class Late(resource.Resource):
    """A face that is built when it is first asked, since most processes end without that."""

    isLeaf = True

    def __init__(self, make):
        super().__init__()
        self._make = make
        self._made = None

    def render(self, request):
        if self._made is None:
            self._made = self._make()
        return self._made.render(request)


async def listen(reactor, site: Site, host: str, port: int):
    """Binds an HTTP site and returns the listening port object and the port's number. Raises CannotListenError."""
    from twisted.internet.endpoints import TCP4ServerEndpoint

    opened = await TCP4ServerEndpoint(reactor, port, backlog=512, interface=host).listen(site)
    return opened, opened.getHost().port


def send_json(request, body, status: int = 200, headers: dict | None = None):
    """Sets status and headers of a JSON response and returns its body, which the handler is to return."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    for k, v in (headers or {}).items():
        request.setHeader(k.encode(), str(v).encode())
    return json.dumps(body).encode()


def _plain(e: Exception) -> ApiError:
    """Turns an error from a layer below into what a caller is told."""
    if isinstance(e, ApiError):
        return e
    if isinstance(e, VersionConflict):
        return ApiError(str(e), code=e.code, status=412, outcome="not_run")
    if isinstance(e, InvalidRows):
        return ApiError(str(e), code=e.code, status=422, outcome="not_run")
    if isinstance(e, StorageFull):
        return ApiError(str(e), code=e.code, status=507, outcome="unknown" if e.sent else "not_run", retry_after=30)
    if isinstance(e, NotLeader):
        return ApiError(str(e), code=e.code, status=503, outcome="not_run", retry_after=1)
    if isinstance(
        e, (NoQuorum, LeaseNotHeld, DeadlineExceeded, ConnectionFailed, Unconfirmed, StaleEpoch, RemoteError, WireError)
    ):
        return ApiError(str(e), code=e.code, status=503, outcome="unknown", retry_after=1)
    return ApiError("the module failed on this request", code="internal", status=500, outcome="unknown")


def send_error(request, e: Exception):
    """Sets up the JSON error response for an exception and returns its body.

    An exception that is no ApiError is mapped to one first; what is not known becomes a 500 with outcome unknown.
    """
    f = _plain(e)
    body = {"code": f.code, "message": str(f), "outcome": f.outcome}
    if f.field:
        body["field"] = f.field
    if isinstance(e, VersionConflict):
        body["sequence"] = e.sequence
    if isinstance(e, InvalidRows):
        body["faults"] = e.faults
    headers = {"Retry-After": f.retry_after} if f.retry_after else {}
    return send_json(request, {"error": body}, f.status, headers)


def answered(do):
    """Wraps a klein handler written as a coroutine: errors become JSON, a lost caller ends the work."""

    def handler(self, request, *words, **named):
        work = spawn(do(self, request, *words, **named))
        gone = request.notifyFinish()
        gone.addErrback(lambda f: work.cancel())

        def fault(f):
            if f.check(defer.CancelledError):
                return b""
            if not isinstance(f.value, (ApiError, WireError)) and not hasattr(f.value, "code"):
                self._ctx.logger.failure("request_failed", f.value, path=request.path.decode("utf-8", "replace"))
            if request.startedWriting:
                request.transport.abortConnection()
                return b""
            return send_error(request, f.value)

        return work.addErrback(fault)

    handler.__name__ = do.__name__
    return handler
