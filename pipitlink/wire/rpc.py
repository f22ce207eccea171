"""The RPC endpoint of a node: registers handlers and makes calls."""

from collections.abc import Awaitable, Callable, Coroutine, Iterable
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol, TypeVar, cast

from google.protobuf.message import DecodeError, Message
from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint, TCP6ClientEndpoint, connectProtocol

from ..errors import (
    ConnectionFailed,
    DeadlineExceeded,
    PipitlinkError,
    RemoteError,
    UnknownMethod,
    WireError,
    WrongPeer,
)
from ..timers import SingleFlight, Timers, ms, spawn
from .connection import PROTOCOL_VERSION, RpcConnection, RpcConnectionFactory
from .frame_pb2 import Empty, Frame, Hello

if TYPE_CHECKING:
    from ..disk import Disk
    from ..reactor_types import ListeningPort, Reactor
    from ..structured_log import StructuredLogger

__all__ = ["RpcEndpoint", "Address", "require_peer"]

RequestT = TypeVar("RequestT", bound=Message)
ResponseT = TypeVar("ResponseT", bound=Message)

Address = tuple[str, int]
_CONNECT = ms(600)
_READ_SPAN = ms(50)


def require_peer(meant: str, answering: str) -> None:
    """Refuses a call that names a node where another one answers; calls without a name are for whoever is there."""
    if meant and meant != answering:
        raise WrongPeer(meant, answering)


class FaultInjection(Protocol):
    """Faults that a test puts under the transport and the disks of a node."""

    async def outbound(self, place: Address, method: str) -> None:
        """Is awaited before a call leaves."""

    def disk(self) -> "Disk | None":
        """Returns the file calls to use in place of the plain ones, or None."""


class RpcEndpoint:
    """Where calls from peers are answered and calls to them are made."""

    def __init__(self, reactor: "Reactor", timers: Timers, logger: "StructuredLogger", fleet: str, node: str) -> None:
        self._reactor = reactor
        self._timers = timers
        self.logger = logger
        self._fleet = fleet
        self.node = node
        self.incarnation = 1
        self._handlers: dict[str, tuple[type[Message], Callable[[str, Any], Awaitable[Message | None]]]] = {}
        self._streams: dict[Address, RpcConnection] = {}
        self._opening: SingleFlight[Address, RpcConnection] = SingleFlight()
        self._met: set[RpcConnection] = set()
        self._port: ListeningPort | None = None
        self.fault_injector: FaultInjection | None = None
        self.address: Address = ("", 0)

    def hello(self) -> Hello:
        host, port = self.address
        return Hello(
            fleet=self._fleet,
            protocol_version=PROTOCOL_VERSION,
            node=self.node,
            incarnation=self.incarnation,
            host=host,
            port=port,
        )

    def check(self, hello: Hello) -> None:
        if hello.fleet != self._fleet:
            raise WireError(f"peer of fleet {hello.fleet!r}, this is {self._fleet!r}")
        if hello.wire != WIRE:
            raise WireError(f"peer speaks wire sequence {hello.wire}, this is {WIRE}")

    def register_handler(
        self, method: str, kind: type[RequestT], do: Callable[[str, RequestT], Awaitable[Message | None]]
    ) -> None:
        self._handlers[method] = (kind, do)

    async def dispatch(self, peer: Hello, method: str, body: bytes) -> Message:
        if method not in self._handlers:
            raise UnknownMethod(f"no such call here: {method}")
        kind, do = self._handlers[method]
        try:
            ask = kind.FromString(body)
        except DecodeError as e:
            raise WireError(f"{method}: {e}") from e
        r = await do(peer.node, ask)
        return Empty() if r is None else r

    async def note(self, peer: Hello, method: str, body: bytes) -> None:
        await self.dispatch(peer, method, body)

    def met(self, s: RpcConnection) -> None:
        self._met.add(s)

    def greeted(self, s: RpcConnection) -> None:
        """A connection that a peer opened also serves for calls to it, so that a pair of peers needs only one."""
        place = s.peer.host, s.peer.port
        have = self._streams.get(place)
        if s in self._met and s.peer.port and (have is None or have.peer.node != s.peer.node):
            self._streams[place] = s

    def gone(self, s: RpcConnection) -> None:
        self._met.discard(s)
        for place, held in list(self._streams.items()):
            if held is s:
                del self._streams[place]

    async def listen(self, host: str, port: int) -> Address:
        self._port = await TCP4ServerEndpoint(self._reactor, port, interface=host).listen(RpcConnectionFactory(self))
        return host, self._port.getHost().port

    async def end(self) -> None:
        if self._port is not None:
            await self._port.stopListening()
        for s in [*self._met, *self._streams.values()]:
            s.tcp.loseConnection()

    async def _open(self, place: Address) -> RpcConnection:
        s = RpcConnection(self)
        try:
            kind = TCP6ClientEndpoint if ":" in place[0] else TCP4ClientEndpoint
            point = kind(self._reactor, place[0], place[1], _CONNECT.total_seconds())
            await connectProtocol(point, s)
            await self._timers.with_timeout(_CONNECT, s.ready)
        except (WireError, defer.CancelledError):
            if s.transport is not None:
                s.tcp.abortConnection()
            raise
        except Exception as e:
            raise ConnectionFailed(f"{place[0]}:{place[1]}: {e}", sent=False) from e
        self._streams[place] = s
        return s

    def _stream(self, place: Address) -> defer.Deferred[RpcConnection]:
        if place in self._streams:
            return defer.succeed(self._streams[place])
        return self._opening.run(place, lambda: self._open(place))

    async def call(
        self, place: Address, method: str, ask: Message, kind: type[ResponseT], limit: timedelta, node: str = ""
    ) -> ResponseT:
        """Calls whoever answers at a place, or only the node that is named: WrongPeer, not run, from another one."""
        try:
            return await self._timers.with_timeout(limit, self._call(place, method, ask, kind, node))
        except DeadlineExceeded as e:
            if place in self._streams and self._streams[place].hangs():
                self._timers.call_later(_READ_SPAN, self._drop_if_hanging, self._streams[place])
            raise DeadlineExceeded(f"{method} to {place[0]}:{place[1]}: {e}") from e

    def now(self) -> timedelta:
        return self._timers.now()

    def _drop_if_hanging(self, s: RpcConnection) -> None:
        """Ends a connection on which nothing comes any more, so that the next call opens another.

        Looked at once more after what has come was read: a process that was stopped finds its own calls late first.
        """
        if s in self._streams.values() and s.hangs():
            self.logger.info("connection_dropped", peer=s.peer.node)
            self.gone(s)
            s.tcp.abortConnection()

    def notify(self, places: Iterable[Address], method: str, what: Message) -> None:
        """Sends a note to each place: nobody responds to it, and one that is lost is made good by the next.

        For news that is told again and again. Its frame is made once, and no timer and no response is needed.
        """
        frame = Frame(method=method, body=what.SerializeToString()).SerializeToString()
        for place in places:
            stream = self._streams.get(place)
            if stream is not None and self.fault_injector is None:
                stream.notify(frame)
            else:
                self.run_in_background(self._post(place, method, frame), method)

    async def _post(self, place: Address, method: str, frame: bytes) -> None:
        try:
            if self.fault_injector is not None:
                await self.fault_injector.outbound(place, method)
            (await self._timers.with_timeout(_CONNECT, self._stream(place))).notify(frame)
        except WireError as e:
            self.logger.debug("note_not_sent", place=f"{place[0]}:{place[1]}", method=method, text=e)

    def run_in_background(self, work: Coroutine[Any, Any, object], method: str) -> defer.Deferred[Any]:
        """Starts work that nobody waits for; its errors go to the logger."""
        return spawn(work).addErrback(lambda f: self.logger.failure("note_failed", f.value, method=method))

    async def _call(
        self, place: Address, method: str, ask: Message, kind: type[ResponseT], node: str = ""
    ) -> ResponseT:
        if place == self.address:
            require_peer(node, self.node)
            try:
                return cast(ResponseT, await self.dispatch(self.hello(), method, ask.SerializeToString()))
            except PipitlinkError as e:
                raise RemoteError(e.code, str(e)) from e
        if self.fault_injector is not None:
            await self.fault_injector.outbound(place, method)
        s = await self._stream(place)
        require_peer(node, s.peer.node)
        f = await s.call(method, ask.SerializeToString())
        if f.error_code:
            raise RemoteError(f.error_code, f.error_message)
        return kind.FromString(f.body)
