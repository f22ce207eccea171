"""The HTTP servers of a node for operators, engines and clients that name a model, and their orderly end."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web import http, resource, server

from .errors import ServiceUnavailable
from .http_connections import HttpConnection, HttpConnections, ServerPhase
from .json_api import send_error
from .timers import ms

if TYPE_CHECKING:
    from datetime import timedelta

    from .context import Context
    from .reactor_types import ListeningPort

__all__ = ["HttpServer", "LazyResource", "Site", "listen"]

IDLE_TIMEOUT_S = 60
LISTEN_BACKLOG = 512
# How long the last responses of a server that closes may take to be sent.
FLUSH_TIMEOUT = ms(100)


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
