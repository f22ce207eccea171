"""The connections that other nodes have opened to this one, bounded by the descriptors of the process."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from .connection import RpcConnection

__all__ = ["AcceptedConnections"]


def _worth(connection: RpcConnection) -> tuple[bool, bool, timedelta]:
    """Returns a key by which a connection that has said who it is, has been used, and was used lately comes last."""
    return connection.is_identified, connection.is_used, connection.last_received_at


class AcceptedConnections:
    """Owns the accepted connections. Beyond `max_connections`, the one that is worth least is dropped for a new one.

    At most `max_closing` more are open because they were dropped and are not closed yet.
    """

    def __init__(self, max_connections: int, max_closing: int) -> None:
        self._max_connections = max_connections
        self._max_closing = max_closing
        self._open: dict[RpcConnection, None] = {}
        self._dropped: set[RpcConnection] = set()

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[RpcConnection]:
        return iter(list(self._open))

    def __contains__(self, connection: RpcConnection) -> bool:
        return connection in self._open

    def may_add(self) -> bool:
        """Returns whether a further connection may be opened before those that were dropped are closed."""
        return len(self._open) < self._max_connections + self._max_closing

    def add(self, connection: RpcConnection) -> None:
        """Adds a connection, and drops another one if there are too many."""
        if len(self._open) - len(self._dropped) >= self._max_connections:
            self.drop(min(self._kept(), key=_worth))
        self._open[connection] = None

    def _kept(self) -> Iterator[RpcConnection]:
        return (connection for connection in self._open if connection not in self._dropped)

    def drop_unidentified(self, connection: RpcConnection) -> None:
        """Drops a connection that has not said who it is."""
        if connection in self._open and not connection.is_identified:
            self.drop(connection)

    def drop(self, connection: RpcConnection) -> None:
        """Closes a connection at once."""
        self._dropped.add(connection)
        if connection.transport is not None:
            connection.tcp.abortConnection()

    def remove(self, connection: RpcConnection) -> None:
        """Removes a connection that is closed."""
        self._open.pop(connection, None)
        self._dropped.discard(connection)
