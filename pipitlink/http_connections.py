"""The connections of the clients of one HTTP server, and how a shutdown ends them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs
from twisted.internet import defer

from .client_memory import MAX_CLOSING_CONNECTIONS, ClientMemory
from .http_refusals import RefusalFormat, json_body
from .timers import Timers

if TYPE_CHECKING:
    from .http_connection import HttpConnection

__all__ = ["ConnectionLimits", "HttpConnections", "ServerPhase"]


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


@attrs.frozen
class ConnectionLimits:
    """What a client may send, and how long it may take; times are in seconds."""

    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class HttpConnections:
    """The open connections of one HTTP server.

    Once the phase is `CLOSING`, no connection is added that stays open, and each of those left has a request or unsent
    bytes. So when none is left, no client can have a request here.

    `observe_contact`, if set, is called at each contact with a client: when its connection is accepted, and when it has
    been sent a response. The connection keeps the result of the last call as its `last_contact`.

    There are at most `max_connections`; a further one takes the place of one that is idle or slow, or is closed.
    `refused` counts the requests that were refused while they were received, by code.
    """

    def __init__(
        self,
        memory: ClientMemory | None = None,
        max_connections: int | None = None,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        refusal_format: RefusalFormat = json_body,
    ) -> None:
        self.memory = memory or ClientMemory()
        self.max_connections = max_connections or self.memory.max_connections
        self.limits = limits
        self.refusal_format = refusal_format
        self.refused: Counter[str] = Counter()
        self.observe_contact: Callable[[], object] | None = None
        self.phase = ServerPhase.SERVING
        self.open: dict[HttpConnection, None] = {}
        self._dropped: set[HttpConnection] = set()
        self._all_closed: defer.Deferred[None] | None = None

    def may_accept(self) -> bool:
        """Returns whether a further connection may be opened before those that were dropped are closed."""
        return len(self.open) < self.max_connections + MAX_CLOSING_CONNECTIONS

    def add(self, connection: HttpConnection) -> None:
        """Adds a connection that was accepted."""
        self._make_place(connection)
        self.open[connection] = None
        self.memory.add_holder(connection)
        if self.phase >= ServerPhase.CLOSING:
            connection.close_when_idle()

    def _make_place(self, added: HttpConnection) -> None:
        if len(self.open) - len(self._dropped) < self.max_connections:
            return
        now_s = added.now_s()
        replaced = (
            connection for connection in self.open if connection not in self._dropped and connection.may_give_way(now_s)
        )
        dropped = next(replaced, added)
        self._dropped.add(dropped)
        self.memory.evicted += 1
        dropped.drop()

    def remove(self, connection: HttpConnection) -> None:
        """Removes a connection that is closed on both sides."""
        self.open.pop(connection, None)
        self._dropped.discard(connection)
        self.memory.remove_holder(connection)
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
