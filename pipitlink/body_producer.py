"""The body of a request to an engine, written in one piece."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer  # type: ignore[import-untyped] # it comes without types

__all__ = ["BytesBodyProducer"]


class BytesConsumer(Protocol):
    """Takes a request's body; twisted's IConsumer."""

    def write(self, data: bytes, /) -> None:
        """Sends bytes, without waiting."""


@implementer(IBodyProducer)
class BytesBodyProducer:
    """A body that is written at once, in the same step as the request's headers, and not kept after that."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: BytesConsumer) -> defer.Deferred[None]:  # noqa: N802 - twisted's interface
        """Writes the body to the consumer and returns a Deferred that has fired."""
        data, self._data = self._data, b""
        consumer.write(data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Does nothing: all is written by then."""

    def resumeProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Does nothing: all is written by then."""

    def stopProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Does nothing: all is written by then."""
