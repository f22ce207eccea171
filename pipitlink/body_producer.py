"""Request bodies for engines, written in a single call."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer  # type: ignore[import-untyped] # has no type stubs

__all__ = ["BytesBodyProducer"]


class BytesConsumer(Protocol):
    """Receives a request body; the part of Twisted's IConsumer that is used here."""

    def write(self, data: bytes, /) -> None:
        """Sends bytes without blocking."""


@implementer(IBodyProducer)
class BytesBodyProducer:
    """A body that is written in one call, together with the request's headers, and released afterwards."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: BytesConsumer) -> defer.Deferred[None]:  # noqa: N802 - Twisted's interface
        """Writes the body to the consumer and returns a Deferred that has already fired."""
        data, self._data = self._data, b""
        consumer.write(data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Does nothing: the whole body has already been written."""

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Does nothing: the whole body has already been written."""

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Does nothing: the whole body has already been written."""
