"""What pipitlink uses of Twisted's reactor and transports, as types.

Twisted describes them by zope interfaces, which mypy cannot check without a plug-in. Nothing here exists at run time.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

__all__ = ["Clock", "DelayedCall", "ListeningPort", "Reactor", "TcpTransport"]


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def active(self) -> int:
        """Returns whether the call is still to come."""

    def cancel(self) -> None:
        """Drops the call. Raises AlreadyCalled or AlreadyCancelled where it is not active."""


class ListeningPort(Protocol):
    """A TCP port that accepts connections."""

    def getHost(self) -> IPv4Address | IPv6Address:
        """Returns the address that it is bound to."""

    def stopListening(self) -> Deferred[None]:
        """Accepts no more connections; fires once the port is closed."""


class Clock(Protocol):
    """The part of a reactor that makes calls later."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object, **kw: object) -> DelayedCall:
        """Calls a function after `delay` seconds."""


class Reactor(Clock, Protocol):
    """The reactor, as far as parts of a node call it themselves."""

    def stop(self) -> None:
        """Ends the process in order."""

    def adoptStreamPort(
        self,
        fileDescriptor: int,
        addressFamily: socket.AddressFamily,
        factory: Factory,
    ) -> ListeningPort:
        """Accepts connections on a socket that listens already."""


class TcpTransport(Protocol):
    """A TCP connection, as far as protocols call it."""

    def write(self, data: bytes) -> None:
        """Sends bytes, without waiting."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Has small segments sent at once."""

    def pauseProducing(self) -> None:
        """Reads no more from the peer for now."""

    def resumeProducing(self) -> None:
        """Reads from the peer again."""

    def loseConnection(self) -> None:
        """Closes the connection after what was written has left."""

    def abortConnection(self) -> None:
        """Closes the connection at once."""
