"""Frames between zones are compressed if the peer accepts it and it saves bytes; other frames are sent plain."""

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
    def test_a_compressible_body_survives_a_round_trip(self):
        compressed = compress_body(TEXT)
        self.assertLess(len(compressed), len(TEXT) / 4)
        self.assertEqual(decompress_body(compressed, len(TEXT)), TEXT)

    def test_short_and_incompressible_bodies_are_not_compressed(self):
        for body in (b"", b"short", RANDOM, RANDOM[:2000]):
            self.assertIsNone(compress_body(body))

    def test_a_damaged_body_or_one_over_the_limit_raises_an_error(self):
        compressed = compress_body(TEXT)
        for data, limit in (
            (compressed, len(TEXT) - 1),
            (compressed[:-3], len(TEXT)),
            (b"y" + compressed[1:], len(TEXT)),
        ):
            with self.assertRaises(WireError):
                decompress_body(data, limit)


class Connections(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.endpoints = [self.endpoint(name) for name in ("a", "b")]

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
        for endpoint in self.endpoints:
            endpoint.zone_of = zones.get
        self.connections = [RpcConnection(endpoint) for endpoint in self.endpoints]
        self.endpoints[1].connection_opened(self.connections[1])
        client = iosim.FakeTransport(self.connections[0], False, peerAddress=IPv4Address("TCP", "h", 2))
        server = iosim.FakeTransport(self.connections[1], True, peerAddress=IPv4Address("TCP", "h", 1))
        self.pump = iosim.connect(self.connections[0], client, self.connections[1], server)
        self.pump.flush()
        self.endpoints[0]._connections["h", 2] = self.connections[0]

    def read(self, log):
        """Returns the response of a read call, and the number of bytes sent for it."""
        before = self.endpoints[1].sent_bytes
        responses = []
        call = self.endpoints[0].call(("h", 2), "read", ReadRequest(log=log), ReadResponse, ms(100))
        spawn(call).addBoth(responses.append)
        self.pump.flush()
        return responses[0], self.endpoints[1].sent_bytes - before

    def test_a_response_to_another_zone_is_compressed_and_arrives_unchanged(self):
        self.connect({"a": "zone-1", "b": "zone-2"})
        response, size = self.read("text")
        self.assertEqual(response.data, TEXT)
        self.assertLess(size, len(TEXT) / 4)
        response, size = self.read("random")
        self.assertEqual(response.data, RANDOM)
        self.assertGreaterEqual(size, len(RANDOM))

    def test_nothing_is_compressed_within_a_zone_or_if_a_zone_is_unknown(self):
        for zones in ({"a": "zone-1", "b": "zone-1"}, {"a": "", "b": "zone-1"}, {"a": "zone-1", "b": ""}):
            self.setUp()
            self.connect(zones)
            response, size = self.read("text")
            self.assertEqual(response.data, TEXT)
            self.assertGreater(size, len(TEXT))

    def test_a_peer_that_does_not_accept_compression_gets_plain_frames(self):
        hello = self.endpoints[0].hello()
        hello.accepts_compressed = False
        self.endpoints[0].hello = lambda: hello
        self.connect({"a": "zone-1", "b": "zone-2"})
        response, size = self.read("text")
        self.assertEqual(response.data, TEXT)
        self.assertGreater(size, len(TEXT))

    def test_a_damaged_compressed_body_closes_the_connection(self):
        self.connect({"a": "zone-1", "b": "zone-2"})
        self.connections[0].sendString(
            Frame(call_id=1, method="read", body=b"no zlib", compressed=True).SerializeToString()
        )
        self.pump.flush()
        self.assertTrue(any("connection_rejected" in line for line in self.lines), self.lines)
        self.assertTrue(self.connections[1].closed)


if __name__ == "__main__":
    unittest.main()
