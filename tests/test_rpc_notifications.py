"""Notes between RPC endpoints, frames that nobody responds to, and one connection for both ways; all in memory."""

import unittest

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


class _Lines:
    def __init__(self):
        self.lines = []

    def log(self, level, shape, line):
        self.lines.append(line)


class Notes(unittest.TestCase):
    def setUp(self):
        self.lines = _Lines()
        self.ends = [self.endpoint(n) for n in ("a", "b")]
        self.connections = [RpcConnection(e) for e in self.ends]
        self.ends[1].connection_opened(self.connections[1])
        self.pump = iosim.connect(
            self.connections[0],
            iosim.FakeTransport(self.connections[0], False, peerAddress=IPv4Address("TCP", "h", 2)),
            self.connections[1],
            iosim.FakeTransport(self.connections[1], True, peerAddress=IPv4Address("TCP", "h", 1)),
        )
        self.pump.flush()
        self.ends[0]._connections["h", 2] = self.connections[0]
        self.told = []
        self.ends[1].register_handler("engines.loads", Loads, self.take)

    def endpoint(self, node):
        clock = Clock()
        out = RpcEndpoint(
            MemoryReactorClock(), Timers(clock, seconds=clock.seconds), StructuredLogger(self.lines), "fleet", node
        )
        out.address = ("h", 1 if node == "a" else 2)
        return out

    async def take(self, node, what):
        if what.gateway == "bad":
            raise ValueError("it is bad")
        self.told.append((node, what.gateway))
        return Empty()

    def test_notes_arrive_in_order_and_nothing_is_sent_back(self):
        sent_back = []
        self.connections[1].sendString = sent_back.append
        for name in ("one", "two", "three"):
            self.ends[0].notify([("h", 2)], "engines.loads", Loads(gateway=name))
        self.pump.flush()
        self.assertEqual(self.told, [("a", "one"), ("a", "two"), ("a", "three")])
        self.assertEqual(sent_back, [])
        self.assertEqual(self.connections[0]._pending_calls, {})
        self.assertEqual(self.connections[1]._running_calls, 0)

    def test_a_note_that_fails_is_noted_and_the_connection_goes_on(self):
        self.ends[0].notify([("h", 2)], "engines.loads", Loads(gateway="bad"))
        self.ends[0].notify([("h", 2)], "no.such.method", Loads())
        self.ends[0].notify([("h", 2)], "engines.loads", Loads(gateway="good"))
        self.pump.flush()
        self.assertEqual(self.told, [("a", "good")])
        self.assertEqual(sum("notification_failed" in line for line in self.lines.lines), 2)
        self.assertFalse(self.connections[0].closed)

    def test_calls_go_on_between_notes(self):
        box = []
        for name in ("one", "bad"):
            self.ends[0].notify([("h", 2)], "engines.loads", Loads(gateway="note"))
            spawn(
                self.ends[0].call(("h", 2), "engines.loads", Loads(gateway=name), Empty, ms(100))
            ).addBoth(box.append)  # fmt: skip
        self.pump.flush()
        self.assertEqual(box[0], Empty())
        self.assertTrue(box[1].check(RemoteError))
        self.assertEqual([name for _, name in self.told], ["note", "one", "note"])

    def test_a_peer_is_called_over_the_connection_that_it_opened(self):
        box = []
        self.ends[0].register_handler("engines.loads", Loads, self.take)
        for end, address in ((1, ("h", 1)), (0, ("h", 2))):
            spawn(
                self.ends[end].call(address, "engines.loads", Loads(gateway="one"), Empty, ms(100))
            ).addBoth(box.append)  # fmt: skip
        self.pump.flush()
        self.assertEqual(box, [Empty(), Empty()])
        self.assertEqual(self.told, [("b", "one"), ("a", "one")])
        for e in self.ends:
            self.assertEqual(e._reactor.tcpClients, [])

    def test_another_life_at_a_place_takes_its_connection_over(self):
        first, address = self.connections[1], ("h", 1)
        again, other = self.endpoint("a"), self.endpoint("a")
        other.node = "c"
        for peer, expected in ((again, False), (other, True)):
            s, t = RpcConnection(self.ends[1]), RpcConnection(peer)
            self.ends[1].connection_opened(s)
            iosim.connect(t, iosim.FakeTransport(t, False), s, iosim.FakeTransport(s, True)).flush()
            self.assertEqual(self.ends[1]._connections[address] is s, expected)
        first.transport.loseConnection()
        self.pump.flush()
        self.assertIs(self.ends[1]._connections[address], s)

    def test_a_note_where_no_connection_is_open_opens_one(self):
        self.ends[0].notify([("h", 9)], "engines.loads", Loads(gateway="one"))
        (opened,) = self.ends[0]._reactor.tcpClients
        self.assertEqual(opened[:2], ("h", 9))

    def test_a_note_after_the_end_of_its_connection_is_dropped(self):
        self.connections[0].transport.loseConnection()
        self.pump.flush()
        self.connections[0].notify(Notification("engines.loads", Loads()))
        self.pump.flush()
        self.assertEqual(self.told, [])
        self.assertNotIn(("h", 2), self.ends[0]._connections)


if __name__ == "__main__":
    unittest.main()
