"""One HTTP connection to an engine.

Twisted's public client, `twisted.web.client.Agent`, does not expose a single connection: it chooses the connection
itself, repeats idempotent requests on its own, keeps a connection even if bytes follow the response, and hides the time
at which bytes arrive. Each of these would change which requests engines get and which responses are accepted.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol, cast

from twisted.internet import defer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from ..body_producer import BytesBodyProducer
from ..http_client import HttpClientConnection, Request, Response, ResponseDone
from ..keepalive import enable_keepalive
from ..timers import ZERO, secs

__all__ = ["ConnectionOwner", "EngineConnection", "HeaderList", "Response", "ResponseDone"]

DEFAULT_IDLE_TIMEOUT = secs(15)
MAX_UNSERVED_CALLS = 64
# Clients choose the ids of their requests.
MAX_UNSERVED_ID_BYTES = 4096

HeaderList = Sequence[tuple[bytes, bytes]]


class ConnectionOwner(Protocol):
    """Keeps connections for reuse by later requests."""

    def release(self, connection: EngineConnection) -> None:
        """Takes back a connection that can be used for another request."""

    def remove(self, connection: EngineConnection) -> None:
        """Removes a connection that is closed or about to be closed."""


def _tokens(headers: Headers, name: bytes) -> list[bytes]:
    values = headers.getRawHeaders(name, ())
    return [token.strip().lower() for value in values for token in value.split(b",")]


class EngineConnection(HttpClientConnection):
    """A connection to an engine, for one request at a time; it is reused only after responses without any error.

    `unserved_call_ids` are the ids of the calls that were sent on it and were not served. `last_bytes_at` is the time
    at which the engine last sent bytes on it.
    """

    def __init__(self, owner: ConnectionOwner, address: str) -> None:
        super().__init__(self._on_quiescent)
        self._owner = owner
        self.address: str | None = address
        self.is_unusable = False
        self.request_count = 0
        self.unserved_call_ids: set[bytes] = set()
        self.idle_since: timedelta | None = None
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT
        self.last_bytes_at: timedelta = ZERO
        self.on_bytes: Callable[[int], None] | None = None

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """Enables keepalive, since the engine's last packet may be lost."""
        super().connectionMade()
        enable_keepalive(self.transport)

    @property
    def is_idle(self) -> bool:
        """Whether it is open and carries no request."""
        return bool(self.state == "QUIESCENT")

    @property
    def is_lost(self) -> bool:
        """Whether its transport is closed."""
        return bool(self.state == "CONNECTION_LOST")

    def idle_time(self, now: timedelta) -> timedelta:
        """Returns for how long it has been idle."""
        return now - self.idle_since if self.idle_since is not None else ZERO

    def _on_quiescent(self, _: HttpClientConnection) -> None:
        if not self.is_unusable:
            self._owner.release(self)
        else:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Receives bytes from the engine; closes the connection if no response is expected."""
        if self.on_bytes is not None:
            self.on_bytes(len(data))
        if self._parser is None:
            self.discard()
            return
        super().dataReceived(data)

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802 - twisted's interface
        if self._parser is not None:
            self._read_connection_headers(self._parser.connHeaders)
        if rest or self._has_too_many_unserved_calls():
            self.is_unusable = True
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING  # noqa: N815 - twisted's interface

    def _has_too_many_unserved_calls(self) -> bool:
        ids = self.unserved_call_ids
        return len(ids) > MAX_UNSERVED_CALLS or sum(map(len, ids)) > MAX_UNSERVED_ID_BYTES

    def _read_connection_headers(self, headers: Headers) -> None:
        """Reads whether the engine closes the connection, and its idle timeout."""
        if b"close" in _tokens(headers, b"connection"):
            self.is_unusable = True
        for token in _tokens(headers, b"keep-alive"):
            name, _, seconds = token.partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.idle_timeout = secs(int(seconds))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - twisted's interface
        """Removes the connection from its owner and fails the request in progress."""
        self._owner.remove(self)
        super().connectionLost(reason)

    def discard(self) -> None:
        """Closes the connection immediately; bytes that still arrive on it are ignored."""
        self.is_unusable = True
        self._owner.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()

    def send(
        self, call_id: bytes, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> defer.Deferred[Response]:
        """Writes a whole request synchronously; returns a Deferred with its response.

        A call that was not served may be sent again, but never on a connection that has already carried it: a duplicate
        of the engine's first response has the same id, and would be accepted as the response to the second request.
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
