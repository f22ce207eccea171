"""Calls between two of our processes as events on real connections: answers late, twice or never, timeouts, cuts."""

import struct

import attrs
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pipitlink.errors import ConnectionFailed, DeadlineExceeded
from pipitlink.timers import Timers, secs, spawn
from pipitlink.wire.connection import PROTOCOL_VERSION, RpcConnection
from pipitlink.wire.frame_pb2 import Frame, Hello
from pipitlink.wire.rpc import RpcEndpoint

__all__ = ["ADDRESS", "RpcScenario"]

ADDRESS = ("h", 1)
CALLS = 3


class _Transport(StringTransport):
    connection = None

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        if not self.connection.closed:
            self.connection.connectionLost(Failure(ConnectionDone()))


class _SilentLogger:
    """Takes what a connection tells, and keeps none of it."""

    def info(self, event, **fields):
        pass

    failure = debug = info


def _framed(message) -> bytes:
    data = message.SerializeToString()
    return struct.pack("!I", len(data)) + data


class _Endpoint(RpcEndpoint):
    """Opens its connections in memory."""

    def __init__(self, clock, timers):
        super().__init__(clock, timers, _SilentLogger(), "fleet", "me")
        self.opened: list[RpcConnection] = []

    async def _connect(self, address):
        connection = RpcConnection(self)
        transport = _Transport()
        transport.connection = connection
        connection.makeConnection(transport)
        connection.dataReceived(_framed(Hello(fleet="fleet", protocol_version=PROTOCOL_VERSION, node="peer")))
        await connection.ready
        self._connections[address] = connection
        self.opened.append(connection)
        return connection


@attrs.define(eq=False)
class Received:
    """A call as the peer got it."""

    connection: RpcConnection
    number: int
    name: str
    answers: int = 0


class RpcScenario:
    def __init__(self):
        self.clock = Clock()
        timers = Timers(self.clock, seconds=self.clock.seconds)
        self.endpoint = _Endpoint(self.clock, timers)
        self.results: dict[str, list] = {}
        self.received: list[Received] = []
        self._read: dict[RpcConnection, int] = {}
        self._cuts = self._seconds = 0

    def events(self) -> list:
        out = []
        if len(self.results) < CALLS:
            out.append(("call", self._call))
        for r in self.received:
            if r.answers < 2 and not r.connection.closed:
                out.append((f"answer {r.name}", lambda r=r: self._answer(r)))
        if self._seconds < 2:
            out.append(("a second passes", self._pass_second))
        for connection in self.endpoint.opened:
            if not connection.closed and self._cuts < 2:
                out.append(("cut", lambda c=connection: self._cut(c)))
        return out

    def _call(self):
        name = f"q{len(self.results)}"
        result = self.results[name] = []
        spawn(self.endpoint.call(ADDRESS, "echo", Hello(node=name), Hello, secs(1))).addBoth(result.append)
        self._take_in()

    def _take_in(self):
        for connection in self.endpoint.opened:
            data = connection.transport.value()
            at = self._read.get(connection, 0)
            while at < len(data):
                (size,) = struct.unpack("!I", data[at : at + 4])
                if at:
                    frame = Frame.FromString(data[at + 4 : at + 4 + size])
                    name = Hello.FromString(frame.body).node
                    self.received.append(Received(connection, frame.call_id, name))
                at += 4 + size
            self._read[connection] = at

    def _answer(self, r: Received):
        r.answers += 1
        body = Hello(node=r.name).SerializeToString()
        r.connection.dataReceived(_framed(Frame(call_id=r.number, response=True, body=body)))

    def _pass_second(self):
        self._seconds += 1
        self.clock.advance(1.01)

    def _cut(self, connection):
        self._cuts += 1
        connection.connectionLost(Failure(ConnectionDone()))

    def finish(self):
        self.clock.advance(1.01)
        assert all(self.results.values()), f"a call has no result: {self.results}"
        assert not any(c._pending_calls for c in self.endpoint.opened), "a call that has ended is still held"

    def check(self):
        self._take_in()
        names = [r.name for r in self.received]
        assert len(names) == len(set(names)), f"TWICE: {names}"
        assert len(names) == len(self.results), f"a call was not written: {names} of {list(self.results)}"
        for name, results in self.results.items():
            assert len(results) < 2, f"TWICE: {name} has two results"
            for result in results:
                if isinstance(result, Failure):
                    result.trap(DeadlineExceeded, ConnectionFailed)
                else:
                    assert result.node == name, f"MIXED: {name} got {result.node}"
