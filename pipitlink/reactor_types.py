"""Types for the parts of Twisted's reactor and transports that pipitlink uses.

Twisted describes them by zope interfaces, which mypy cannot check without a plug-in. These protocols are only used for
type checking.
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
    """A call that is scheduled on the reactor."""

    def active(self) -> int:
        """Returns whether the call is still pending."""

    def cancel(self) -> None:
        """Cancels the call. Raises AlreadyCalled or AlreadyCancelled if it is not active."""


class ListeningPort(Protocol):
    """A TCP port that accepts connections."""

    def getHost(self) -> IPv4Address | IPv6Address:
        """Returns the address that the port is bound to."""

    def stopListening(self) -> Deferred[None]:
        """Stops accepting connections; the Deferred fires once the port is closed."""


class Clock(Protocol):
    """The part of a reactor that schedules calls."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object, **kw: object) -> DelayedCall:
        """Calls a function after `delay` seconds."""


class Reactor(Clock, Protocol):
    """The methods of the reactor that parts of a node call directly."""

    def stop(self) -> None:
        """Stops the reactor and so ends the process in an orderly way."""

    def adoptStreamPort(
        self,
        fileDescriptor: int,
        addressFamily: socket.AddressFamily,
        factory: Factory,
    ) -> ListeningPort:
        """Accepts connections on a socket that is already listening."""


class TcpTransport(Protocol):
    """The methods of a TCP connection that protocols call."""

    def write(self, data: bytes) -> None:
        """Sends bytes without blocking."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Sends small segments without delay (disables Nagle's algorithm) if `enabled`."""

    def pauseProducing(self) -> None:
        """Stops reading from the peer until `resumeProducing` is called."""

    def resumeProducing(self) -> None:
        """Resumes reading from the peer."""

    def loseConnection(self) -> None:
        """Closes the connection once all written data has been sent."""

    def abortConnection(self) -> None:
        """Closes the connection immediately and drops unsent data."""
