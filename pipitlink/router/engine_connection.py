"""One HTTP connection to an engine.

This module alone imports from `twisted.web._newclient`. Twisted's public client, `twisted.web.client.Agent`, offers no
protocol of a single connection: it chooses the connection itself, repeats idempotent requests on its own, keeps a
connection although bytes came after the response, and hides the time at which bytes arrive. Each of these would change
what engines get and which answers count.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, Protocol, cast

from twisted.internet import defer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request, Response, ResponseDone
from twisted.web.http_headers import Headers

from ..body_producer import BytesBodyProducer
from ..timers import ZERO, secs

__all__ = ["ConnectionOwner", "EngineConnection", "HeaderList", "Response", "ResponseDone"]

DEFAULT_IDLE_TIMEOUT = secs(15)
MAX_UNSERVED_CALLS = 64

HeaderList = Sequence[tuple[bytes, bytes]]


class ConnectionOwner(Protocol):
    """Whoever keeps connections for use by later requests."""

    def release(self, connection: EngineConnection) -> None:
        """Takes back a connection that is free for another request."""

    def remove(self, connection: EngineConnection) -> None:
        """Notes that a connection is closed or about to be."""


def _tokens(headers: Headers, name: bytes) -> list[bytes]:
    values = headers.getRawHeaders(name, ())
    return [token.strip().lower() for value in values for token in value.split(b",")]


class EngineConnection(HTTP11ClientProtocol):
    """One connection to an engine: one request at a time, used again only while nothing on it was out of order.

    `unserved_call_ids` are the ids of calls that it has carried and that were not served.
    """

    transport: Any

    def __init__(self, owner: ConnectionOwner, address: str) -> None:
        super().__init__(self._on_quiescent)
        self._owner = owner
        self.address: str | None = address
        self.is_unusable = False
        self.request_count = 0
        self.unserved_call_ids: set[bytes] = set()
        self.idle_since: timedelta | None = None
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT
        self.on_bytes: Callable[[int], None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether it is open and no request is under way on it."""
        return bool(self.state == "QUIESCENT")

    @property
    def is_lost(self) -> bool:
        """Whether its transport is closed."""
        return bool(self.state == "CONNECTION_LOST")

    def idle_time(self, now: timedelta) -> timedelta:
        """Returns for how long no request has been under way on it."""
        return now - self.idle_since if self.idle_since is not None else ZERO

    def _on_quiescent(self, _: HTTP11ClientProtocol) -> None:
        if not self.is_unusable:
            self._owner.release(self)
        else:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Takes bytes of the engine; some that nobody has asked for end the connection."""
        if self.on_bytes is not None:
            self.on_bytes(len(data))
        if self._parser is None:
            self.discard()
            return
        super().dataReceived(data)

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802 - twisted's interface
        if self._parser is not None:
            self._read_connection_headers(self._parser.connHeaders)
        if rest or len(self.unserved_call_ids) > MAX_UNSERVED_CALLS:
            self.is_unusable = True
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING  # noqa: N815 - twisted's interface

    def _read_connection_headers(self, headers: Headers) -> None:
        """Reads whether the engine closes the connection now, and how long it keeps an idle one."""
        if b"close" in _tokens(headers, b"connection"):
            self.is_unusable = True
        for token in _tokens(headers, b"keep-alive"):
            name, _, seconds = token.partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.idle_timeout = secs(int(seconds))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - twisted's interface
        """Takes the connection out of its owner's count and ends the request that is under way."""
        self._owner.remove(self)
        super().connectionLost(reason)

    def discard(self) -> None:
        """Ends the connection at once; nothing that comes on it belongs to anybody."""
        self.is_unusable = True
        self._owner.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()

    def send(
        self, call_id: bytes, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> defer.Deferred[Response]:
        """Writes one whole request, in this step; returns the Deferred of its response.

        A call that was not served may be sent again. It never is on a connection that has carried it: a second copy of
        the engine's first answer, which bears its id, would count as the answer to the second.
        """
        self.unserved_call_ids.add(call_id)
        self.request_count += 1
        self.idle_since = None
        raw_headers = Headers()
        for name, value in headers:
            raw_headers.addRawHeader(name, value)
        body_producer = BytesBodyProducer(body) if body else None
        request = Request(method, target, raw_headers, body_producer, persistent=True)
        return cast("defer.Deferred[Response]", self.request(request))
