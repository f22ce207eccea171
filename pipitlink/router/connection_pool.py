"""A pool of HTTP connections to engines, by address."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint, connectProtocol

from ..context import Context
from ..errors import EngineError, ServiceUnavailable
from ..timers import ms
from .engine_connection import EngineConnection

__all__ = ["Connect", "ConnectionPool"]

CONNECT_TIMEOUT = ms(300)
# A connection is closed this long before its engine would close it.
IDLE_TIMEOUT_MARGIN = ms(400)
MAX_IDLE_PER_ADDRESS = 16

Connect = Callable[[EngineConnection], "defer.Deferred[Any]"]


class ConnectionPool:
    """Connections to engines, by address. Idle ones are reused in LIFO order, so that surplus ones expire.

    `connect` connects a given protocol; the default is TCP.
    """

    def __init__(self, ctx: Context, connect: Connect | None = None) -> None:
        self._ctx = ctx
        self._connect = connect or self._connect_tcp
        self._idle: dict[str, deque[EngineConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self.opened = 0

    def open_count(self, address: str) -> int:
        """Returns the number of connections to an address that are open or being opened."""
        return self._open_counts.get(address, 0)

    def idle_count(self, address: str) -> int:
        """Returns the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    def _connect_tcp(self, connection: EngineConnection) -> defer.Deferred[Any]:
        host, _, port = (connection.address or "").rpartition(":")
        endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_class(self._ctx.reactor, host, int(port), CONNECT_TIMEOUT.total_seconds())
        connecting: defer.Deferred[Any] = connectProtocol(endpoint, connection)
        return connecting

    def take_idle(
        self, address: str, call_id: bytes = b"", max_idle_time: timedelta | None = None
    ) -> EngineConnection | None:
        """Returns an idle connection that is not about to expire and has not carried the call, or None.

        `max_idle_time` limits for how long the connection may have been idle.
        """
        idle = self._idle.get(address)
        if idle is None:
            return None
        now = self._ctx.timers.now()
        for connection in reversed(tuple(idle)):
            idle_time = connection.idle_time(now)
            if max_idle_time is not None and idle_time >= max_idle_time:
                return None
            if call_id in connection.unserved_call_ids:
                continue
            idle.remove(connection)
            if connection.is_idle and idle_time < connection.idle_timeout - IDLE_TIMEOUT_MARGIN:
                return connection
            self._close(connection)
        return None

    async def open(self, address: str, max_connections: int) -> EngineConnection:
        """Returns a new connection.

        Raises ServiceUnavailable if this node already has `max_connections` to the address, and EngineError with the
        code `unreached` if the connection cannot be opened.
        """
        if self.open_count(address) >= max_connections:
            raise ServiceUnavailable(
                f"{address} already has the maximum of {max_connections} connections", code="connections"
            )
        connection = EngineConnection(self, address)
        self._open_counts[address] = self.open_count(address) + 1
        self.opened += 1
        try:
            await self._connect(connection)
        except defer.CancelledError:
            self.remove(connection)
            raise
        except Exception as error:
            self.remove(connection)
            raise EngineError(f"cannot connect to {address}: {error}", code="unreached", outcome="not_run") from error
        return connection

    def release(self, connection: EngineConnection) -> None:
        """Returns a connection to the pool; one that was taken but not used keeps the time since which it is idle."""
        if connection.address is None:
            return
        if connection.idle_since is None:
            connection.idle_since = self._ctx.timers.now()
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            self._close(idle.popleft())

    def release_unused(self, connection: EngineConnection) -> None:
        """Returns a connection to the pool that was taken but not used, unless it has been closed since."""
        if not connection.is_unusable and connection.is_idle:
            self.release(connection)

    def remove(self, connection: EngineConnection) -> None:
        """Removes a connection that is closed or about to be closed; further calls have no effect."""
        address = connection.address
        if address is None:
            return
        open_count = self._open_counts.get(address, 0) - 1
        if open_count > 0:
            self._open_counts[address] = open_count
        else:
            self._open_counts.pop(address, None)
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
        connection.address = None

    def _close(self, connection: EngineConnection) -> None:
        self.remove(connection)
        connection.transport.loseConnection()

    def close_expired(self) -> None:
        """Closes idle connections shortly before their engines would."""
        now = self._ctx.timers.now()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_time(now) >= idle[0].idle_timeout - IDLE_TIMEOUT_MARGIN:
                self._close(idle.popleft())
            if not idle:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in list(self._idle.pop(address, ())):
            self._close(connection)

    def idle_connections(self) -> list[EngineConnection]:
        """Returns all idle connections, grouped by address, in the order in which they became idle."""
        return [connection for idle in self._idle.values() for connection in idle]

    def close_all_idle(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
