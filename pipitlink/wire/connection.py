"""One TCP connection between two nodes: framing, calls and responses."""

from datetime import timedelta
from typing import TYPE_CHECKING, cast

from twisted.internet import defer, protocol
from twisted.protocols.basic import Int32StringReceiver

from ..errors import ConnectionFailed, WireError
from ..timers import secs, spawn
from .frame_pb2 import Frame, Hello

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

    from ..reactor_types import TcpTransport
    from .rpc import RpcEndpoint

__all__ = ["RpcConnection", "RpcConnectionFactory", "MAX_FRAME", "WIRE"]

MAX_FRAME = 96 * 1024 * 1024
MAX_INBOX = 512
MAX_ATTENDED = 256
WIRE = 1
SILENT_SPAN = secs(1)
SLOWEST_BYTES_S = 512 * 1024


class RpcConnection(Int32StringReceiver):
    """A connection to one peer, with one task that reads it from hello to end."""

    MAX_LENGTH = MAX_FRAME

    def __init__(self, rpc: "RpcEndpoint") -> None:
        self._rpc = rpc
        self._inbox: list[bytes] = []
        self._waiter: defer.Deferred[None] | None = None
        self._calls: dict[int, defer.Deferred[Frame]] = {}
        self._next = 0
        self._attended = 0
        self._held = False
        self._silent_since: timedelta | None = None
        self._silent_bytes = 0
        self.peer = Hello()
        self.ended = False
        self.ready: defer.Deferred[RpcConnection] = defer.Deferred(lambda _: None)

    @property
    def tcp(self) -> "TcpTransport":
        """The transport of the connection; set by twisted once it is made."""
        return cast("TcpTransport", self.transport)

    def connectionMade(self) -> None:
        self.tcp.setTcpNoDelay(True)
        self._write(self._rpc.hello().SerializeToString())
        self._task = spawn(self._serve())

    def dataReceived(self, data: bytes) -> None:
        self._silent_since, self._silent_bytes = None, 0
        super().dataReceived(data)  # type: ignore[no-untyped-call] # twisted has no types here

    def hangs(self) -> bool:
        """Whether nothing has come since a call was sent, for longer than its bytes may take on a slow link."""
        if self._silent_since is None or self.ended:
            return False
        span = SILENT_SPAN + secs(self._silent_bytes / SLOWEST_BYTES_S)
        return self._rpc.now() - self._silent_since > span

    def stringReceived(self, data: bytes) -> None:
        self._inbox.append(data)
        if len(self._inbox) + self._attended >= MAX_INBOX and not self._held:
            self._held = True
            self.tcp.pauseProducing()
        self._wake()

    def lengthLimitExceeded(self, length: int) -> None:
        self._rpc.logger.warning("frame_too_long", length=length, peer=self.peer.node)
        self.tcp.abortConnection()

    def connectionLost(self, reason: "Failure" = protocol.connectionDone) -> None:
        self.ended = True
        self._rpc.gone(self)
        self._wake()
        calls, self._calls = self._calls, {}
        for d in calls.values():
            if not d.called:
                d.errback(ConnectionFailed("the stream ended before the response"))
        if not self.ready.called:
            self.ready.errback(ConnectionFailed("the stream ended before the hello", sent=False))

    def _wake(self) -> None:
        if self._waiter is not None:
            d, self._waiter = self._waiter, None
            d.callback(None)

    async def _take(self) -> bytes | None:
        while not self._inbox:
            if self.ended:
                return None
            self._waiter = defer.Deferred()
            await self._waiter
        data = self._inbox.pop(0)
        if self._held and len(self._inbox) + self._attended < MAX_INBOX // 2 and not self.ended:
            self._held = False
            self.tcp.resumeProducing()
        return data

    async def _serve(self) -> None:
        try:
            first = await self._take()
            if first is None:
                return
            self.peer.ParseFromString(first)
            self._rpc.check(self.peer)
            self._rpc.greeted(self)
            self.ready.callback(self)
            while (data := await self._take()) is not None:
                f = Frame.FromString(data)
                if f.response:
                    self._settle(f)
                elif not f.call:
                    self._take_note(f)
                elif self._attended >= MAX_ATTENDED:
                    self._send(
                        Frame(call=f.call, response=True, error_code="crowded", error_message="too many calls at once")
                    )
                else:
                    spawn(self._attend(f))
        except Exception as e:
            self._rpc.logger.failure("stream_refused", e, peer=self.peer.node)
            if not self.ready.called:
                self.ready.errback(WireError(str(e)))
            self.tcp.abortConnection()

    async def _attend(self, f: Frame) -> None:
        self._attended += 1
        out = Frame(call=f.call, response=True)
        try:
            out.body = (await self._rpc.dispatch(self.peer, f.method, f.body)).SerializeToString()
        except Exception as e:
            out.error_code = getattr(e, "code", "fault")
            out.error_message = str(e)
            if out.error_code == "fault":
                self._rpc.logger.failure("call_failed", e, method=f.method)
        finally:
            self._attended -= 1
        self._send(out)

    def _take_note(self, f: Frame) -> None:
        """A frame without a call's number: it is attended like a call, and nobody waits for a response."""
        self._rpc.run_in_background(self._rpc.note(self.peer, f.method, f.body), f.method)

    def notify(self, frame: bytes) -> None:
        """Writes a note's frame, which was made once for all that it goes to."""
        if not self.ended:
            self._write(frame)

    def _write(self, data: bytes) -> None:
        self.sendString(data)  # type: ignore[no-untyped-call] # twisted has no types here

    def _send(self, f: Frame) -> None:
        if not self.ended:
            self._write(f.SerializeToString())

    def _settle(self, f: Frame) -> None:
        d = self._calls.pop(f.call, None)
        if d is not None and not d.called:
            d.callback(f)

    def _drop(self, n: int) -> None:
        self._calls.pop(n, None)

    def call(self, method: str, body: bytes) -> defer.Deferred[Frame]:
        if self.ended:
            return defer.fail(ConnectionFailed("the stream has ended", sent=False))
        self._next += 1
        n = self._next
        d: defer.Deferred[Frame] = defer.Deferred(lambda _: self._drop(n))
        self._calls[n] = d
        if self._silent_since is None:
            self._silent_since = self._rpc.now()
        self._silent_bytes += len(body)
        self._send(Frame(call=n, method=method, body=body))
        return d


class RpcConnectionFactory(protocol.Factory):
    """Makes an RpcConnection for each peer that connects, and registers it with the endpoint."""

    noisy = False

    def __init__(self, rpc: "RpcEndpoint") -> None:
        self._rpc = rpc

    def buildProtocol(self, addr: "IAddress | None") -> RpcConnection:
        s = RpcConnection(self._rpc)
        s.ready.addErrback(lambda f: None)
        self._rpc.met(s)
        return s
