"""Notifications between RPC endpoints, and one connection for both directions, on in-memory transports."""

import struct
import unittest

from twisted.internet import defer
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.test import iosim

from pipitlink.errors import RemoteError
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, ms, spawn
from pipitlink.wire.connection import Notification, RpcConnection
from pipitlink.wire.frame_pb2 import Empty
from pipitlink.wire.membership_pb2 import Loads
from pipitlink.wire.rpc import RpcEndpoint


class _LogLines:
    def __init__(self):
        self.lines = []

    def log(self, level, shape, line):
        self.lines.append(line)


class Notifications(unittest.TestCase):
    def setUp(self):
        self.lines = _LogLines()
        self.endpoints = [self.endpoint(name) for name in ("a", "b")]
        self.connections = [RpcConnection(endpoint) for endpoint in self.endpoints]
        self.endpoints[1].connection_opened(self.connections[1])
        self.pump = iosim.connect(
            self.connections[0],
            iosim.FakeTransport(self.connections[0], False, peerAddress=IPv4Address("TCP", "h", 2)),
            self.connections[1],
            iosim.FakeTransport(self.connections[1], True, peerAddress=IPv4Address("TCP", "h", 1)),
        )
        self.pump.flush()
        self.endpoints[0]._connections["h", 2] = self.connections[0]
        self.received = []
        self.endpoints[1].register_handler("engines.loads", Loads, self.handle)

    def endpoint(self, node):
        clock = Clock()
        endpoint = RpcEndpoint(
            MemoryReactorClock(), Timers(clock, seconds=clock.seconds), StructuredLogger(self.lines), "fleet", node
        )
        endpoint.address = ("h", 1 if node == "a" else 2)
        return endpoint

    async def handle(self, node, loads):
        if loads.gateway == "bad":
            raise ValueError("it is bad")
        self.received.append((node, loads.gateway))
        return Empty()

    def test_notifications_arrive_in_order_without_responses(self):
        sent_back = []
        self.connections[1].sendString = sent_back.append
        for name in ("one", "two", "three"):
            self.endpoints[0].notify([("h", 2)], "engines.loads", Loads(gateway=name))
        self.pump.flush()
        self.assertEqual(self.received, [("a", "one"), ("a", "two"), ("a", "three")])
        self.assertEqual(sent_back, [])
        self.assertEqual(self.connections[0]._pending_calls, {})
        self.assertEqual(self.connections[1]._running_calls, 0)

    def test_a_failed_notification_is_logged_and_the_connection_stays_open(self):
        self.endpoints[0].notify([("h", 2)], "engines.loads", Loads(gateway="bad"))
        self.endpoints[0].notify([("h", 2)], "no.such.method", Loads())
        self.endpoints[0].notify([("h", 2)], "engines.loads", Loads(gateway="good"))
        self.pump.flush()
        self.assertEqual(self.received, [("a", "good")])
        self.assertEqual(sum("notification_failed" in line for line in self.lines.lines), 2)
        self.assertFalse(self.connections[0].closed)

    def test_calls_work_between_notifications(self):
        results = []
        for name in ("one", "bad"):
            self.endpoints[0].notify([("h", 2)], "engines.loads", Loads(gateway="note"))
            spawn(
                self.endpoints[0].call(("h", 2), "engines.loads", Loads(gateway=name), Empty, ms(100))
            ).addBoth(results.append)  # fmt: skip
        self.pump.flush()
        self.assertEqual(results[0], Empty())
        self.assertTrue(results[1].check(RemoteError))
        self.assertEqual([name for _, name in self.received], ["note", "one", "note"])

    def test_calls_to_a_peer_use_the_connection_that_it_opened(self):
        results = []
        self.endpoints[0].register_handler("engines.loads", Loads, self.handle)
        for index, address in ((1, ("h", 1)), (0, ("h", 2))):
            spawn(
                self.endpoints[index].call(address, "engines.loads", Loads(gateway="one"), Empty, ms(100))
            ).addBoth(results.append)  # fmt: skip
        self.pump.flush()
        self.assertEqual(results, [Empty(), Empty()])
        self.assertEqual(self.received, [("b", "one"), ("a", "one")])
        for endpoint in self.endpoints:
            self.assertEqual(endpoint._reactor.tcpClients, [])

    def test_only_another_node_at_the_same_address_replaces_the_connection(self):
        first, address = self.connections[1], ("h", 1)
        restarted, other = self.endpoint("a"), self.endpoint("a")
        other.node = "c"
        for peer, expected in ((restarted, False), (other, True)):
            server, client = RpcConnection(self.endpoints[1]), RpcConnection(peer)
            self.endpoints[1].connection_opened(server)
            iosim.connect(client, iosim.FakeTransport(client, False), server, iosim.FakeTransport(server, True)).flush()
            self.assertEqual(self.endpoints[1]._connections[address] is server, expected)
        first.transport.loseConnection()
        self.pump.flush()
        self.assertIs(self.endpoints[1]._connections[address], server)

    def fill_memory(self):
        memory = self.endpoints[1].client_memory
        memory.count(memory.limit_bytes)
        return memory

    def begin_frame(self):
        """Lets the first endpoint send a frame of 1 MB without its end; returns the server's side."""
        server = self.connections[1]
        server.dataReceived(struct.pack("!I", 1_000_000) + b"f" * 100_000)
        return server

    def test_a_frame_waits_while_there_is_no_memory_for_its_rest(self):
        memory = self.fill_memory()
        server = self.begin_frame()
        self.assertTrue(server._reading_paused)
        memory.count(-memory.limit_bytes)
        self.endpoints[1]._timers._reactor.advance(0.1)
        self.assertFalse(server._reading_paused)
        self.assertFalse(server.closed)

    def test_a_frame_is_given_up_if_there_is_no_memory_for_long(self):
        memory = self.fill_memory()
        server = self.begin_frame()
        for _ in range(50):
            self.endpoints[1]._timers._reactor.advance(0.1)
            self.pump.flush()
        self.assertTrue(server.closed)
        self.assertEqual(memory.held_bytes, memory.limit_bytes)

    def test_frames_are_counted_until_they_are_handled(self):
        memory, waiting = self.endpoints[1].client_memory, defer.Deferred()
        self.endpoints[1].register_handler("wait", Loads, lambda node, loads: waiting)
        self.connections[0].call("wait", Loads(gateway="g" * 100_000).SerializeToString())
        self.pump.flush()
        self.assertGreater(memory.held_bytes, 100_000)
        waiting.callback(None)
        self.assertEqual(memory.held_bytes, 0)

    def test_a_notification_without_an_open_connection_opens_one(self):
        self.endpoints[0].notify([("h", 9)], "engines.loads", Loads(gateway="one"))
        (opened,) = self.endpoints[0]._reactor.tcpClients
        self.assertEqual(opened[:2], ("h", 9))

    def test_a_notification_on_a_closed_connection_is_dropped(self):
        self.connections[0].transport.loseConnection()
        self.pump.flush()
        self.connections[0].notify(Notification("engines.loads", Loads()))
        self.pump.flush()
        self.assertEqual(self.received, [])
        self.assertNotIn(("h", 2), self.endpoints[0]._connections)


if __name__ == "__main__":
    unittest.main()
