"""RPC calls as events for exhaustive testing: late, duplicate and missing responses, timeouts and lost connections.

The connections are real RpcConnections on in-memory transports.
"""

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
MAX_CALLS = 3


class _Transport(StringTransport):
    connection = None

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        if not self.connection.closed:
            self.connection.connectionLost(Failure(ConnectionDone()))


class _SilentLogger:
    """Discards all log events."""

    def info(self, event, **fields):
        pass

    failure = debug = info


def _framed(message) -> bytes:
    data = message.SerializeToString()
    return struct.pack("!I", len(data)) + data


class _Endpoint(RpcEndpoint):
    """An endpoint that opens its connections on in-memory transports."""

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
class ReceivedCall:
    """A call received by the peer."""

    connection: RpcConnection
    call_id: int
    name: str
    responses: int = 0


class RpcScenario:
    def __init__(self):
        self.clock = Clock()
        timers = Timers(self.clock, seconds=self.clock.seconds)
        self.endpoint = _Endpoint(self.clock, timers)
        self.results: dict[str, list] = {}
        self.received: list[ReceivedCall] = []
        self._read_offsets: dict[RpcConnection, int] = {}
        self._cut_count = self._seconds_passed = 0

    def events(self) -> list:
        events = []
        if len(self.results) < MAX_CALLS:
            events.append(("call", self._call))
        for call in self.received:
            if call.responses < 2 and not call.connection.closed:
                events.append((f"respond to {call.name}", lambda call=call: self._respond(call)))
        if self._seconds_passed < 2:
            events.append(("a second passes", self._advance_second))
        for connection in self.endpoint.opened:
            if not connection.closed and self._cut_count < 2:
                events.append(("cut", lambda connection=connection: self._cut(connection)))
        return events

    def _call(self):
        name = f"q{len(self.results)}"
        result = self.results[name] = []
        spawn(self.endpoint.call(ADDRESS, "echo", Hello(node=name), Hello, secs(1))).addBoth(result.append)
        self._read_requests()

    def _read_requests(self):
        for connection in self.endpoint.opened:
            data = connection.transport.value()
            offset = self._read_offsets.get(connection, 0)
            while offset < len(data):
                (size,) = struct.unpack("!I", data[offset : offset + 4])
                if offset:
                    frame = Frame.FromString(data[offset + 4 : offset + 4 + size])
                    name = Hello.FromString(frame.body).node
                    self.received.append(ReceivedCall(connection, frame.call_id, name))
                offset += 4 + size
            self._read_offsets[connection] = offset

    def _respond(self, call: ReceivedCall):
        call.responses += 1
        body = Hello(node=call.name).SerializeToString()
        call.connection.dataReceived(_framed(Frame(call_id=call.call_id, response=True, body=body)))

    def _advance_second(self):
        self._seconds_passed += 1
        self.clock.advance(1.01)

    def _cut(self, connection):
        self._cut_count += 1
        connection.connectionLost(Failure(ConnectionDone()))

    def finish(self):
        self.clock.advance(1.01)
        assert all(self.results.values()), f"a call has no result: {self.results}"
        assert not any(connection._pending_calls for connection in self.endpoint.opened), (
            "an ended call is still pending"
        )

    def check(self):
        self._read_requests()
        names = [call.name for call in self.received]
        assert len(names) == len(set(names)), f"TWICE: {names}"
        assert len(names) == len(self.results), f"a call was not sent: {names} of {list(self.results)}"
        for name, results in self.results.items():
            assert len(results) < 2, f"TWICE: {name} has two results"
            for result in results:
                if isinstance(result, Failure):
                    result.trap(DeadlineExceeded, ConnectionFailed)
                else:
                    assert result.node == name, f"MIXED: {name} got {result.node}"
