"""Fetches from back ends that give no ids: an answer that comes late or twice must not reach the next caller."""

import unittest
from types import SimpleNamespace

from twisted.web.http_headers import Headers

from pipitlink.gateway.request_record import RequestKind, RequestRecord
from pipitlink.timers import secs, spawn

from .test_first_byte import Relayer

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n%s"


class _Request(SimpleNamespace):
    """A caller's request, as far as a fetch uses it."""

    def __init__(self):
        super().__init__(responseHeaders=Headers(), written=b"")

    def setResponseCode(self, code):
        self.code = code

    def setHeader(self, name, value):
        pass

    def registerProducer(self, producer, streaming):
        pass

    def unregisterProducer(self):
        pass

    def write(self, data):
        self.written += data


class _Fetcher(Relayer):
    def fetch_card(self, name):
        limit = self.timers.now() + secs(10)
        ask = RequestRecord(
            kind=RequestKind.FETCH, model=name, prompt="", pool="models", idempotent=True, deadline=limit
        )
        ask.client_request = _Request()
        ask.task = spawn(self.pipeline.run(ask))
        return ask


class FetchResponses(unittest.TestCase):
    def test_a_second_answer_reaches_nobody(self):
        g = _Fetcher()
        first = g.fetch_card("one")
        wire = g.connect()
        wire.protocol.dataReceived(RESPONSE % b"first")
        self.assertEqual((first.client_request.written, first.state), (b"first", "done"))
        second = g.fetch_card("two")
        if not wire.disconnecting:
            wire.protocol.dataReceived(RESPONSE % b"first")
        self.assertEqual(second.client_request.written, b"", "the answer of the first came to the second")
        g.connect().protocol.dataReceived(RESPONSE % b"other")
        self.assertEqual(second.client_request.written, b"other")


if __name__ == "__main__":
    unittest.main()
