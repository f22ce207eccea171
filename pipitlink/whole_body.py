"""The body of a request to an engine, written in one piece."""

from twisted.internet import defer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["BytesBodyProducer"]


@implementer(IBodyProducer)
class BytesBodyProducer:
    """A body that is written whole, in the same step as its head, and not kept after that."""

    def __init__(self, data: bytes):
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer):
        data, self._data = self._data, b""
        consumer.write(data)
        return defer.succeed(None)

    def pauseProducing(self):
        pass

    resumeProducing = stopProducing = pauseProducing
