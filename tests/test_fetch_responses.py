"""A late or duplicate response to a fetch must not reach the next client.

Responses to plain fetches carry no ids, so each fetch has its own connection.
"""

import unittest
from types import SimpleNamespace

from twisted.web.http_headers import Headers

from pipitlink.gateway.request_record import RequestKind, RequestRecord
from pipitlink.timers import secs, spawn

from .test_first_byte import PipelineGateway

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n%s"


class _Request(SimpleNamespace):
    """The part of a client's request that a fetch uses."""

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


class _FetchGateway(PipelineGateway):
    def fetch_card(self, name):
        deadline = self.timers.now() + secs(10)
        request = RequestRecord(
            kind=RequestKind.FETCH, model=name, prompt="", pool="models", idempotent=True, deadline=deadline
        )
        request.client_request = _Request()
        request.task = spawn(self.pipeline.run(request))
        return request


class FetchResponses(unittest.TestCase):
    def test_a_duplicate_response_reaches_no_client(self):
        gateway = _FetchGateway()
        first = gateway.fetch_card("one")
        connection = gateway.connect()
        connection.protocol.dataReceived(RESPONSE % b"first")
        self.assertEqual((first.client_request.written, first.state), (b"first", "done"))
        second = gateway.fetch_card("two")
        if not connection.disconnecting:
            connection.protocol.dataReceived(RESPONSE % b"first")
        self.assertEqual(second.client_request.written, b"", "the second fetch got the response to the first")
        gateway.connect().protocol.dataReceived(RESPONSE % b"other")
        self.assertEqual(second.client_request.written, b"other")


if __name__ == "__main__":
    unittest.main()
