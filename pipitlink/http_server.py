"""The HTTP servers of a node for operators, engines and clients that name a model, and their orderly end."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web import http, resource, server
from twisted.web.http import parse_qs

from .errors import ServiceUnavailable
from .http_connection import HttpConnection
from .http_connections import HttpConnections, ServerPhase
from .http_refusals import BODY_TOO_LONG, NO_MEMORY
from .json_api import send_error
from .json_values import JSON_VALUE_BYTES, value_count
from .timers import ms

if TYPE_CHECKING:
    from datetime import timedelta

    from .context import Context
    from .reactor_types import ListeningPort

__all__ = ["HttpServer", "LazyResource", "Site", "listen", "side_connections"]

LISTEN_BACKLOG = 512
# What each byte of a JSON body costs, with the values that are parsed from it.
JSON_BODY_COST = 4
# The values of a smaller body are not counted.
SMALL_DOCUMENT_BYTES = 16_384
# How long the last responses of a server that closes may take to be sent.
FLUSH_TIMEOUT = ms(100)


class _BoundedRequest(server.Request):
    """A request whose body is kept in memory, within the site's limit and the memory for clients."""

    channel: Any
    """An HttpConnection, whose `site` is a Site of this module."""

    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's interface
        """Receives the body's length in bytes, or None if the request does not state it."""
        self.content = BytesIO()
        if length is not None and length > self.channel.site.max_body_bytes:
            self.channel.refuse(BODY_TOO_LONG)
        elif length != 0:
            self.channel.reserve_body(length, JSON_BODY_COST)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's interface
        """Receives a part of the body."""
        received = self.content.tell() + len(data)
        if received > self.channel.site.max_body_bytes:
            self.channel.refuse(BODY_TOO_LONG)
        elif self.channel.receive_chunk(received):
            self.content.write(data)

    def requestReceived(  # noqa: N802 - Twisted's interface
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves a request whose body has been received; bodies of forms are not parsed."""
        if self.content.tell() > SMALL_DOCUMENT_BYTES and not self._reserve_values():
            return
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        self.args = parse_qs(query, keep_blank_values=True) if query else {}
        self.process()

    def _reserve_values(self) -> bool:
        """Reserves memory for the values that are parsed from the body; may refuse the request."""
        memory = self.channel.connections.memory
        count = value_count(self.content.getvalue(), memory.max_request_bytes // JSON_VALUE_BYTES // 2)
        return bool(self.channel.reserve_parsed(count * JSON_VALUE_BYTES))

    def process(self) -> None:
        """Passes the request to its resource, unless the server refuses requests."""
        if self.channel.connections.phase >= ServerPhase.REFUSING:
            error = ServiceUnavailable("this node is shutting down", code="shutting_down")
            server.Request.write(self, send_error(self, error))
            server.Request.finish(self)
            return
        server.Request.process(self)

    def write(self, data: bytes) -> None:
        """Writes a response, or an error in its place if there is no memory for it."""
        if self.startedWriting or self.channel is None or self.channel.has_room_for_response(len(data)):
            server.Request.write(self, data)
            return
        error = ServiceUnavailable(
            "no memory for the response", code=NO_MEMORY.code, retry_after=NO_MEMORY.retry_after_s
        )
        refusal = send_error(self, error)
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(refusal)])
        server.Request.write(self, refusal)


class Site(server.Site):
    """The resources of an HTTP server, with a limit on request bodies.

    The limit is lower where the memory for clients does not suffice for such a body and its copies.
    """

    protocol = HttpConnection  # type: ignore[assignment]  # Twisted declares a private wrapper of HTTPChannel

    def __init__(
        self, root: resource.Resource, max_body_bytes: int, connections: HttpConnections | None = None
    ) -> None:
        self.connections = connections or HttpConnections()
        idle_timeout_s = self.connections.limits().idle_timeout_s
        server.Site.__init__(self, root, requestFactory=_BoundedRequest, timeout=idle_timeout_s)
        self.max_body_bytes = min(max_body_bytes, self.connections.memory.max_request_bytes // JSON_BODY_COST)
        self.displayTracebacks = False
        self.noisy = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 - Twisted's interface
        """Returns the protocol for a new connection; None, which closes it at once, if there are too many."""
        if not self.connections.may_accept():
            return None
        connection = server.Site.buildProtocol(self, addr)
        connection.connections = self.connections
        return connection

    def log(self, request: http.Request) -> None:
        """Writes no access log."""


def side_connections(ctx: Context) -> HttpConnections:
    """Returns the connections of a server beside the one for clients, which may have only a part of them."""
    return HttpConnections(ctx.client_memory, ctx.client_memory.max_side_connections)


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
