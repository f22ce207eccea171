"""A pool of HTTP connections to engines, kept by address."""

from collections import deque
from datetime import timedelta

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint, connectProtocol
from twisted.web._newclient import HTTP11ClientProtocol, Request
from twisted.web.http_headers import Headers

from ..body_producer import BytesBodyProducer
from ..errors import EngineError, ServiceUnavailable
from ..timers import ms, secs

__all__ = ["Link", "Links"]

CONNECT_TIMEOUT = ms(300)
KEEP_MARGIN = ms(400)
MOST_IDLE = 16
MOST_UNSERVED = 64


def _tokens(headers: Headers, name: bytes) -> list[bytes]:
    values = headers.getRawHeaders(name, ())
    return [token.strip().lower() for value in values for token in value.split(b",")]


class Link(HTTP11ClientProtocol):
    """One connection to an engine: one request at a time, used again only while nothing on it was out of order."""

    def __init__(self, links, address: str):
        super().__init__(self._quiet)
        self._links = links
        self.address = address
        self.spoilt = False
        self.used = 0
        self.unserved: set[bytes] = set()
        self.idle_since = None
        self.keep = links.keep_default
        self.on_bytes = None

    def _quiet(self, _):
        if not self.spoilt:
            self._links.give_back(self)
        else:
            self.transport.loseConnection()

    def dataReceived(self, data):
        if self.on_bytes is not None:
            self.on_bytes()
        if self._parser is None:
            self.discard()
            return
        super().dataReceived(data)

    def _finishResponse_WAITING(self, rest):
        if self._parser is not None:
            self._note_connection(self._parser.connHeaders)
        if rest or len(self.unserved) > MOST_UNSERVED:
            self.spoilt = True
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def _note_connection(self, headers: Headers):
        """What the engine says of the connection itself: whether it closes it now, and how long it keeps it idle."""
        if b"close" in _tokens(headers, b"connection"):
            self.spoilt = True
        for token in _tokens(headers, b"keep-alive"):
            name, _, seconds = token.partition(b"=")
            if name.strip() == b"timeout" and seconds.strip().isdigit():
                self.keep = secs(int(seconds))

    def connectionLost(self, reason):
        self._links.lost(self)
        super().connectionLost(reason)

    def discard(self):
        """Ends the connection at once; nothing that comes on it belongs to anybody."""
        self.spoilt = True
        self._links.lost(self)
        if self.transport is not None:
            self.transport.abortConnection()

    def send(self, call_id: bytes, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes):
        """Writes one request whole, in this step; returns a Deferred of the response.

        A call that was not served may be sent again. It never is on a connection that has carried it: a second copy of
        the engine's first answer, which bears its id, would count as the answer to the second.
        """
        self.unserved.add(call_id)
        self.used += 1
        self.idle_since = None
        out = Headers()
        for name, value in headers:
            out.addRawHeader(name, value)
        return self.request(Request(method, target, out, BytesBodyProducer(body) if body else None, persistent=True))


class Links:
    """Connections to engines, kept by address. The newest idle one is used first, so that the rest run out."""

    keep_default = secs(15)

    def __init__(self, ctx, connect=None):
        self._ctx = ctx
        self._connect = connect or self._connect_tcp
        self._idle: dict[str, deque[Link]] = {}
        self._open: dict[str, int] = {}
        self.opened = 0

    def count(self, address: str) -> int:
        """Connections to that address that are open or being opened."""
        return self._open.get(address, 0)

    def idle(self, address: str) -> int:
        return len(self._idle.get(address, ()))

    def _connect_tcp(self, link: Link):
        host, _, port = link.address.rpartition(":")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        point = kind(self._ctx.reactor, host, int(port), CONNECT_TIMEOUT.total_seconds())
        return connectProtocol(point, link)

    def take(self, address: str, call_id: bytes = b"", fresh: timedelta | None = None) -> Link | None:
        """An idle connection that will hardly be closed right now and has not carried the call; with `fresh`, one that
        was used a shorter time ago.
        """
        idle = self._idle.get(address, ())
        now = self._ctx.timers.now()
        for link in reversed(tuple(idle)):
            rest = now - link.idle_since
            if fresh is not None and rest >= fresh:
                return None
            if call_id in link.unserved:
                continue
            idle.remove(link)
            if link.state == "QUIESCENT" and rest < link.keep - KEEP_MARGIN:
                return link
            self._close(link)
        return None

    async def open(self, address: str, most: int) -> Link:
        """A new connection; `most` bounds those that this node has to the address."""
        if self.count(address) >= most:
            raise ServiceUnavailable(f"{address}: {most} connections are open", code="connections")
        link = Link(self, address)
        self._open[address] = self.count(address) + 1
        self.opened += 1
        try:
            await self._connect(link)
        except defer.CancelledError:
            self.lost(link)
            raise
        except Exception as e:
            self.lost(link)
            raise EngineError(f"{address} could not be reached: {e}", code="unreached", outcome="not_run") from e
        return link

    def give_back(self, link: Link):
        """Keeps a connection for the next request; one that was not used has rested since its last use."""
        if link.idle_since is None:
            link.idle_since = self._ctx.timers.now()
        idle = self._idle.setdefault(link.address, deque())
        idle.append(link)
        if len(idle) > MOST_IDLE:
            self._close(idle.popleft())

    def lost(self, link: Link):
        if link.address is None:
            return
        address, link_was = link.address, link
        left = self._open.get(address, 0) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)
        idle = self._idle.get(address)
        if idle and link_was in idle:
            idle.remove(link_was)
        link.address = None

    def _close(self, link: Link):
        self.lost(link)
        link.transport.loseConnection()

    def sweep(self):
        """Closes idle connections before their engines do."""
        now = self._ctx.timers.now()
        for address, idle in list(self._idle.items()):
            while idle and now - idle[0].idle_since >= idle[0].keep - KEEP_MARGIN:
                self._close(idle.popleft())
            if not idle:
                del self._idle[address]

    def drop(self, address: str):
        """Closes what is idle towards an engine that is gone."""
        for link in list(self._idle.pop(address, ())):
            self._close(link)

    def close(self):
        for address in list(self._idle):
            self.drop(address)
