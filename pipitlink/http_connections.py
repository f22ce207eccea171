"""The connections of the clients of one HTTP server, and how a shutdown ends them."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum
from typing import Any

from twisted.internet import defer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http_headers import Headers

from .timers import YIELD_DELAY, Timers

__all__ = ["HttpConnection", "HttpConnections", "ServerPhase"]


class ServerPhase(IntEnum):
    """The phases of an HTTP server, in order; each keeps what the earlier ones do."""

    SERVING = 0
    """Connections stay open for further requests."""

    ANNOUNCING = 1
    """Each response announces that its connection closes after it."""

    CLOSING = 2
    """Each connection closes as soon as it has no request. Entered once the server accepts no further connection."""

    REFUSING = 3
    """Requests that were not received before are refused."""


class HttpConnections:
    """The open connections of one HTTP server.

    Once the phase is `CLOSING`, no connection is added that stays open, and each of those left has a request or unsent
    bytes. So when none is left, no client can have a request here.

    `observe_contact`, if set, is called at each contact with a client: when its connection is accepted, and when it has
    been sent a response. The connection keeps the result of the last call as its `last_contact`.
    """

    def __init__(self) -> None:
        self.observe_contact: Callable[[], object] | None = None
        self.phase = ServerPhase.SERVING
        self.open: set[HttpConnection] = set()
        self._all_closed: defer.Deferred[None] | None = None

    def add(self, connection: HttpConnection) -> None:
        """Adds a connection that was accepted."""
        self.open.add(connection)
        if self.phase >= ServerPhase.CLOSING:
            connection.close_when_idle()

    def remove(self, connection: HttpConnection) -> None:
        """Removes a connection that is closed on both sides."""
        self.open.discard(connection)
        if not self.open and self._all_closed is not None and not self._all_closed.called:
            self._all_closed.callback(None)

    def announce_close(self) -> None:
        """Lets the responses that have not begun yet announce the end of their connections."""
        self._advance(ServerPhase.ANNOUNCING)

    async def close_when_idle(self, timers: Timers, timeout: timedelta) -> None:
        """Closes each connection as soon as it has no request; returns once all are closed, or at the timeout.

        The server must not accept connections any more.
        """
        self._advance(ServerPhase.CLOSING)
        for connection in list(self.open):
            connection.close_when_idle()
        await self._wait_until_closed(timers, timeout)

    async def abort(self, timers: Timers, flush_timeout: timedelta) -> int:
        """Refuses further requests, gives responses a time to be sent, and closes what is left; returns how many."""
        self._advance(ServerPhase.REFUSING)
        await self._wait_until_closed(timers, flush_timeout)
        left = list(self.open)
        for connection in left:
            connection.abort()
        return len(left)

    def _advance(self, phase: ServerPhase) -> None:
        self.phase = max(self.phase, phase)

    async def _wait_until_closed(self, timers: Timers, timeout: timedelta) -> None:
        if self.open:
            self._all_closed = defer.Deferred()
            await timers.wait_at_most(self._all_closed, timeout)


class HttpConnection(http.HTTPChannel):
    """One connection of a client; its factory sets `connections`."""

    connections: HttpConnections
    last_contact: object = None
    transport: Any

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's interface
        """Starts to read requests."""
        super().connectionMade()
        self.connections.add(self)
        self._note_contact()

    def _note_contact(self) -> None:
        if self.connections.observe_contact is not None:
            self.last_contact = self.connections.observe_contact()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's interface
        """Notifies the requests in progress that the client has disconnected."""
        self.connections.remove(self)
        super().connectionLost(reason)

    def writeHeaders(  # noqa: N802 - Twisted's interface
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Writes the head of a response; it may announce that the connection closes after the response.

        It does not do so while a further request has arrived, which a client would take for one that was not handled.
        """
        if self.connections.phase >= ServerPhase.ANNOUNCING and not self._has_further_input():
            self.persistent = 0
            headers.setRawHeaders(b"Connection", [b"close"])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request: http.Request) -> None:  # noqa: N802 - Twisted's interface
        """Ends a request whose response is complete, and begins with the next one, if it has arrived."""
        self._note_contact()
        super().requestDone(request)
        if self.connections.phase >= ServerPhase.CLOSING:
            self.close_when_idle()

    def is_idle(self) -> bool:
        """Returns whether no part of a request without a complete response has been received."""
        return not self.requests and not self._handlingRequest and not self._has_further_input()

    def _has_further_input(self) -> bool:
        return bool(self._buffer) or any(self._dataBuffer)

    def close_when_idle(self) -> None:
        """Closes the connection if it still has no request after the reactor has read what had arrived by now."""
        self.callLater(YIELD_DELAY.total_seconds(), self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self in self.connections.open and self.is_idle():
            self.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once; what was written and not yet sent is lost."""
        self.transport.abortConnection()
