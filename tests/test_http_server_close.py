"""How the HTTP servers of operators, engines and of clients that name a model end their connections."""

import unittest
from types import SimpleNamespace

from klein import Klein
from twisted.internet import defer
from twisted.internet.task import Clock

from pipitlink.http_server import HttpServer, Site
from pipitlink.timers import Timers, secs, spawn

from .router_builders import END, ClientTransport

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_S = 2


class _ListeningPort:
    is_open = True

    def stopListening(self):
        self.is_open = False


class HttpServerClose(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.responses = []
        app = Klein()
        app.route("/")(self.respond_later)
        self.site = Site(app.resource(), 1000)
        self.port = _ListeningPort()
        ctx = SimpleNamespace(timers=Timers(self.clock, seconds=self.clock.seconds))
        self.server = HttpServer(ctx, self.site, self.port)
        self.closed = []

    def respond_later(self, _request):
        self.responses.append(defer.Deferred())
        return self.responses[-1]

    def connect(self, data=b""):
        connection = self.site.buildProtocol(None)
        connection.callLater = self.clock.callLater
        connection.timeOut = None
        connection.transport = ClientTransport()
        connection.transport.protocol = connection
        connection.makeConnection(connection.transport)
        connection.dataReceived(data)
        return connection

    def close(self):
        spawn(self.server.close(secs(TIMEOUT_S))).addBoth(self.closed.append)

    def advance(self, seconds):
        for _ in range(max(1, round(seconds * 100))):
            self.clock.advance(0.01)

    def test_a_request_in_progress_is_answered_before_the_server_is_closed(self):
        """Guards against the end of the process while an order or a followed stream is in progress."""
        busy, idle = self.connect(REQUEST), self.connect()
        self.close()
        self.advance(1)
        self.assertFalse(self.port.is_open)
        self.assertTrue(idle.transport.closed)
        self.assertEqual(self.closed, [])
        self.responses[0].callback(b"done")
        self.advance(0.01)
        self.assertIn(b"Connection: close", busy.transport.value())
        self.assertTrue(busy.transport.value().endswith(b"done\r\n" + END))
        self.assertTrue(busy.transport.closed)
        self.assertEqual(self.closed, [None])

    def test_a_request_queued_behind_another_is_answered(self):
        connection = self.connect(REQUEST + REQUEST)
        self.close()
        self.responses[0].callback(b"first")
        self.advance(0.1)
        self.assertNotIn(b"Connection: close", connection.transport.value())
        self.responses[1].callback(b"second")
        self.advance(0.01)
        self.assertIn(b"Connection: close", connection.transport.value())
        self.assertTrue(connection.transport.value().endswith(b"second\r\n" + END))
        self.assertEqual(self.closed, [None])

    def test_a_response_is_sent_whole_to_a_client_that_reads_slowly(self):
        connection = self.connect(REQUEST)
        connection.transport.holds_unsent = True
        self.close()
        self.responses[0].callback(b"done")
        self.advance(1)
        self.assertEqual(self.closed, [])
        connection.transport.send_rest()
        self.advance(0.01)
        self.assertEqual(self.closed, [None])

    def test_a_request_that_is_complete_after_the_timeout_is_refused(self):
        late, stuck = self.connect(REQUEST[:-1]), self.connect(REQUEST)
        self.close()
        self.advance(TIMEOUT_S + 0.05)
        late.dataReceived(REQUEST[-1:])
        self.assertTrue(late.transport.value().startswith(b"HTTP/1.1 503"))
        self.assertIn(b"shutting_down", late.transport.value())
        self.advance(0.2)
        self.assertTrue(stuck.transport.closed)
        self.assertEqual(stuck.transport.value(), b"")
        self.assertEqual(self.closed, [None])
        self.responses[0].addErrback(lambda _: None)


if __name__ == "__main__":
    unittest.main()
