"""Frames between zones are compressed where both sides can and it gains; all others are as they were."""

import unittest
from random import Random

from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.test import iosim

from pipitlink.errors import WireError
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, ms, spawn
from pipitlink.wire.compression import compress_body, decompress_body
from pipitlink.wire.connection import RpcConnection
from pipitlink.wire.frame_pb2 import Frame
from pipitlink.wire.replicated_log_pb2 import ReadRequest, ReadResponse
from pipitlink.wire.rpc import RpcEndpoint

TEXT = b"a text that says the same thing again and again. " * 200
RANDOM = Random(1).randbytes(len(TEXT))


class Bodies(unittest.TestCase):
    def test_what_gains_comes_back_as_it_was(self):
        shrunk = compress_body(TEXT)
        self.assertLess(len(shrunk), len(TEXT) / 4)
        self.assertEqual(decompress_body(shrunk, len(TEXT)), TEXT)

    def test_what_gains_little_stays(self):
        for body in (b"", b"short", RANDOM, RANDOM[:2000]):
            self.assertIsNone(compress_body(body))

    def test_a_body_over_the_limit_or_damaged_is_an_error(self):
        shrunk = compress_body(TEXT)
        for data, limit in ((shrunk, len(TEXT) - 1), (shrunk[:-3], len(TEXT)), (b"y" + shrunk[1:], len(TEXT))):
            with self.assertRaises(WireError):
                decompress_body(data, limit)


class Connections(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.ends = [self.endpoint(name) for name in ("a", "b")]

    def log(self, level, shape, line):
        self.lines.append(line)

    def endpoint(self, node):
        clock = Clock()
        timers = Timers(clock, seconds=clock.seconds)
        endpoint = RpcEndpoint(MemoryReactorClock(), timers, StructuredLogger(self), "fleet", node)
        endpoint.address = ("h", 1 if node == "a" else 2)

        async def read(_node, request):
            return ReadResponse(data=TEXT if request.log == "text" else RANDOM)

        endpoint.register_handler("read", ReadRequest, read)
        return endpoint

    def connect(self, zones):
        for end in self.ends:
            end.zone_of = zones.get
        self.connections = [RpcConnection(end) for end in self.ends]
        self.ends[1].connection_opened(self.connections[1])
        client = iosim.FakeTransport(self.connections[0], False, peerAddress=IPv4Address("TCP", "h", 2))
        server = iosim.FakeTransport(self.connections[1], True, peerAddress=IPv4Address("TCP", "h", 1))
        self.pump = iosim.connect(self.connections[0], client, self.connections[1], server)
        self.pump.flush()
        self.ends[0]._connections["h", 2] = self.connections[0]

    def read(self, log):
        """Returns what a read answers, and how many bytes the answer took."""
        before = self.ends[1].sent_bytes
        answers = []
        call = self.ends[0].call(("h", 2), "read", ReadRequest(log=log), ReadResponse, ms(100))
        spawn(call).addBoth(answers.append)
        self.pump.flush()
        return answers[0], self.ends[1].sent_bytes - before

    def test_an_answer_to_another_zone_is_compressed_and_arrives_whole(self):
        self.connect({"a": "zone-1", "b": "zone-2"})
        answer, size = self.read("text")
        self.assertEqual(answer.data, TEXT)
        self.assertLess(size, len(TEXT) / 4)
        answer, size = self.read("random")
        self.assertEqual(answer.data, RANDOM)
        self.assertGreaterEqual(size, len(RANDOM))

    def test_within_a_zone_or_where_a_zone_is_unknown_nothing_is(self):
        for zones in ({"a": "zone-1", "b": "zone-1"}, {"a": "", "b": "zone-1"}, {"a": "zone-1", "b": ""}):
            self.setUp()
            self.connect(zones)
            answer, size = self.read("text")
            self.assertEqual(answer.data, TEXT)
            self.assertGreater(size, len(TEXT))

    def test_a_peer_of_an_earlier_release_gets_nothing_compressed(self):
        hello = self.ends[0].hello()
        hello.accepts_compressed = False
        self.ends[0].hello = lambda: hello
        self.connect({"a": "zone-1", "b": "zone-2"})
        answer, size = self.read("text")
        self.assertEqual(answer.data, TEXT)
        self.assertGreater(size, len(TEXT))

    def test_a_damaged_body_ends_the_connection(self):
        self.connect({"a": "zone-1", "b": "zone-2"})
        self.connections[0].sendString(
            Frame(call_id=1, method="read", body=b"no zlib", compressed=True).SerializeToString()
        )
        self.pump.flush()
        self.assertTrue(any("connection_rejected" in line for line in self.lines), self.lines)
        self.assertTrue(self.connections[1].closed)


if __name__ == "__main__":
    unittest.main()
