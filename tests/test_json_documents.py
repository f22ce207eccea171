"""Bodies and responses of the servers for JSON documents, which are bounded by the memory for clients."""

import json
import unittest

from klein import Klein
from twisted.internet.task import Clock

from pipitlink.client_memory import BYTES_PER_MB, ClientMemory
from pipitlink.http_connections import HttpConnections
from pipitlink.http_server import JSON_BODY_COST, Site
from pipitlink.json_values import value_count

from .router_builders import ClientTransport

MAX_BODY_BYTES = 32 * BYTES_PER_MB


class _UnreadTransport(ClientTransport):
    """A connection whose client reads nothing."""

    @property
    def dataBuffer(self):
        return self.value()


class Documents(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.memory = ClientMemory(64, 0, now_s=self.clock.seconds)
        self.bodies = []
        self.response = b"{}"
        app = Klein()

        @app.route("/document", methods=["PUT"])
        def put(request):
            self.bodies.append(request.content.read())
            return self.response

        @app.route("/document", methods=["GET"])
        def get(request):
            return self.response

        self.site = Site(app.resource(), MAX_BODY_BYTES, HttpConnections(self.memory))

    def send(self, body=b"", method="PUT", transport_class=ClientTransport):
        channel = self.site.buildProtocol(None)
        channel.callLater = self.clock.callLater
        transport = transport_class()
        transport.protocol = channel
        channel.makeConnection(transport)
        head = f"{method} /document HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n\r\n"
        channel.dataReceived(head.encode() + body)
        for _ in range(1000):
            self.clock.advance(0.001)
        return channel

    def status(self, channel):
        return int(channel.transport.value().split(b" ")[1])

    def test_the_largest_body_fits_into_the_memory_with_its_copies(self):
        largest = self.memory.max_request_bytes // JSON_BODY_COST
        self.assertEqual(self.status(self.send(b'"' + b"b" * (largest - 2) + b'"')), 200)
        self.assertEqual(self.status(self.send(b"b" * (largest + 1))), 413)
        self.assertEqual([len(body) for body in self.bodies], [largest])

    def test_a_document_of_too_many_values_is_refused_before_it_is_parsed(self):
        channel = self.send(b"[" + b"[]," * 100_000 + b"[]]")
        self.assertEqual(self.status(channel), 413)
        self.assertIn(b"too_many_values", channel.transport.value())
        self.assertEqual(self.bodies, [])

    def test_text_with_many_separators_is_served(self):
        body = json.dumps({"text": 'a, "[{quoted}]", \\ and more, ' * 10_000}).encode()
        self.assertEqual(self.status(self.send(body)), 200)
        self.assertEqual(self.bodies, [body])

    def test_large_responses_that_are_not_taken_are_refused_beyond_the_limit(self):
        self.response = b"r" * 500_000
        channels = [self.send(method="GET", transport_class=_UnreadTransport) for _ in range(40)]
        statuses = [self.status(channel) for channel in channels]
        self.assertEqual(set(statuses), {200, 503})
        self.assertLessEqual(self.memory.held_bytes, self.memory.limit_bytes)
        refused = channels[statuses.index(503)].transport.value()
        self.assertIn(b"Retry-After", refused)
        self.assertIn(b"no_memory", refused)

    def test_the_memory_of_a_document_is_given_back(self):
        self.send(b"[" + b"1," * 20_000 + b"1]").transport.loseConnection()
        self.assertEqual(len(self.bodies), 1)
        self.assertEqual(self.memory.held_bytes, 0)


class ValueCount(unittest.TestCase):
    def test_it_is_never_below_the_number_of_values(self):
        documents = [1, [], {}, [1, [2, {"a": [3, 4]}]], {"a": 1, "b": {"c": 2}}, ["x", "y,z", 'q"[', "\\"], "\\\\,"]
        for document in documents:
            text = json.dumps(document).encode()
            with self.subTest(document=document):
                self.assertGreaterEqual(value_count(text, 0), self.count(document))
                self.assertGreaterEqual(value_count(text, 100), value_count(text, 0))

    def count(self, value):
        if isinstance(value, dict):
            return 1 + sum(self.count(item) for item in value.values())
        return 1 + sum(map(self.count, value)) if isinstance(value, list) else 1

    def test_separators_inside_strings_are_no_values(self):
        self.assertEqual(value_count(b'["a,b\\",[{",1]', 0), 3)


if __name__ == "__main__":
    unittest.main()
