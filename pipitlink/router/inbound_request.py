"""The client side of the HTTP server: connections, requests, and their backpressure."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from io import BytesIO
from typing import Any, Protocol

from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from ..client_memory import Reservation
from ..http_connection import HttpConnection
from ..http_connections import HttpConnections
from ..http_refusals import BODY_TOO_LONG
from .call import HOP_BY_HOP_HEADERS, Call, Header
from .engine_connection import Response
from .http_response import HttpResponse

__all__ = ["ClientChannel", "ClientChannelFactory", "Frontend", "InboundRequest", "forwarded_headers"]


# A small body is counted with the highest cost, without a look at its route.
SMALL_BODY_BYTES = 2048
SMALL_BODY_COST = 8


class Frontend(Protocol):
    """The server that the connections and requests of clients belong to."""

    connections: HttpConnections

    def now(self) -> timedelta:
        """Returns the monotonic time of the gateway's timers."""

    def max_body_bytes(self) -> int:
        """Returns the maximum length of a request body."""

    def body_cost(self, host: bytes, target: bytes) -> int:
        """Returns how many bytes each byte of the body of a request costs, with the copies that are made of it."""

    def start_serving(self, request: InboundRequest) -> None:
        """Serves a completely received request."""


class _ClientBackpressure:
    """Pauses reading from the engine of a call while its client does not read."""

    def __init__(self, call: Call) -> None:
        self._call = call

    def _transport(self) -> Any:
        connection = self._call.connection
        return connection.transport if connection is not None and not connection.is_unusable else None

    def pauseProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Pauses reading from the engine."""
        transport = self._transport()
        if transport is not None:
            transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Resumes reading from the engine."""
        transport = self._transport()
        if transport is not None:
            transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Aborts the call of a client that has disconnected."""
        self._call.abort("client disconnected")


class InboundRequest(http.Request):
    """One request of a client; as the sink of its call, it streams the engine's response to the client."""

    channel: ClientChannel
    content: BytesIO
    call: Call | None = None
    reservation: Reservation
    is_received = False
    started_at: timedelta

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - twisted's interface
        """Receives the length of the body, if the client states it, and decides whether the body is read."""
        frontend = self.channel.frontend
        self.content = BytesIO()
        self.started_at = frontend.now()
        if length is not None and length > frontend.max_body_bytes():
            self.channel.refuse(BODY_TOO_LONG)
        elif length is None or length > SMALL_BODY_BYTES:
            cost = frontend.body_cost(self.header(b"host") or b"", self.channel.request_target)
            self.channel.reserve_body(length, cost)
        elif length:
            self.channel.reserve_body(length, SMALL_BODY_COST)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Receives the next bytes of the body."""
        received = self.content.tell() + len(data)
        if received > self.channel.frontend.max_body_bytes():
            self.channel.refuse(BODY_TOO_LONG)
        elif self.channel.receive_chunk(received):
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802 - twisted's interface
        """Starts to serve the request once it was received completely."""
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, self.query = path.partition(b"?")
        self.is_received = True
        self.reservation = self.channel.take_reservation()
        self.notifyFinish().addErrback(self._on_disconnect)
        self.channel.frontend.start_serving(self)

    def _on_disconnect(self, _: Failure) -> None:
        if self.call is not None:
            self.call.abort("client disconnected")

    def take_body(self) -> bytes:
        """Returns the received body and drops the reference to it."""
        body, self.content = self.content.getvalue(), BytesIO()
        return body

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    def text_header(self, name: str) -> str | None:
        """Returns the first value of a header as text, or None."""
        value = self.header(name.encode())
        return value.decode("latin-1") if value is not None else None

    @property
    def is_finished(self) -> bool:
        """Whether the client has disconnected or has the complete response."""
        return self._disconnected or bool(self.finished)

    def head(self, response: Response) -> None:
        """Writes the head of an engine's response."""
        if self.is_finished or self.call is None:
            return
        self.setResponseCode(response.code, response.phrase)
        for name, value in forwarded_headers(response):
            self.responseHeaders.addRawHeader(name, value)
        if response.length is not UNKNOWN_LENGTH and not self.call.is_resumable:
            self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % int(response.length)])
        self.registerProducer(_ClientBackpressure(self.call), True)

    def data(self, data: bytes) -> None:
        """Writes a part of the body of an engine's response."""
        if not self.is_finished:
            self.write(data)

    def complete(self) -> None:
        """Completes the response."""
        if self.is_finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        if not self.startedWriting:
            self.write(b"")
        self.finish()

    def abort_response(self) -> None:
        """Closes the connection, so that a partial response that cannot be completed does not look complete."""
        if not self.is_finished:
            if self.producer is not None:
                self.unregisterProducer()
            self.channel.forceAbortClient()

    def respond(self, response: HttpResponse) -> None:
        """Writes a response of this gateway, without any header of an engine's response."""
        if self.is_finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.responseHeaders = Headers()
        self.setResponseCode(response.status)
        for name, value in response.headers.items():
            self.responseHeaders.setRawHeaders(name.encode(), [value.encode()])
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(response.body)])
        self.write(response.body)
        self.finish()


class ClientChannel(HttpConnection):
    """One connection of a client."""

    requestFactory = InboundRequest  # noqa: N815 - twisted's interface
    frontend: Frontend

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """Starts to read requests."""
        self.transport.setTcpNoDelay(True)
        super().connectionMade()


class ClientChannelFactory(http.HTTPFactory):
    """Creates the connections of one frontend; writes no access log."""

    protocol = ClientChannel  # type: ignore[assignment]  # Twisted declares a private wrapper of HTTPChannel
    noisy = False

    def __init__(self, frontend: Frontend, reactor: Any) -> None:
        super().__init__(timeout=frontend.connections.limits().idle_timeout_s, reactor=reactor)
        self._frontend = frontend

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 - twisted's interface
        """Returns the protocol for a new connection; None, which closes it at once, if there are too many."""
        if not self._frontend.connections.may_accept():
            return None
        channel: Any = super().buildProtocol(addr)
        channel.frontend = self._frontend
        channel.connections = self._frontend.connections
        return channel

    def log(self, request: http.Request) -> None:
        """Writes nothing."""

    def startFactory(self) -> None:  # noqa: N802 - twisted's interface
        """Opens no log file."""

    def stopFactory(self) -> None:  # noqa: N802 - twisted's interface
        """Closes no log file."""


def forwarded_headers(response: Response) -> Iterator[Header]:
    """Yields the headers of an engine's response that are forwarded to the client: all but the hop-by-hop ones."""
    for name, values in response.headers.getAllRawHeaders():
        if name.lower() not in HOP_BY_HOP_HEADERS:
            for value in values:
                yield name, value
