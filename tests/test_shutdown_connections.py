"""How a gateway that shuts down ends the connections of its clients, on a simulated clock."""

import unittest

from pipitlink.timers import ms, spawn

from .router_builders import END, RouterHarness, chunk, event, head, route

RESUMABLE = route("s", "/a/", resumable=True)
MUTATING = route("o", "/once/", kind="mutating")
ACCEPT_MS, DRAIN_MS = 2300, 6800
AFTER_ACCEPT_MS = ACCEPT_MS + 100


class ShutdownConnections(unittest.TestCase):
    def setUp(self):
        self.harness = RouterHarness([RESUMABLE, MUTATING])
        self.harness.announce_engine("e1")
        self.drained = []

    def start_drain(self):
        timers = self.harness.ctx.timers
        drain = self.harness.node.frontend.drain(ms(ACCEPT_MS), timers.now() + ms(DRAIN_MS))
        spawn(drain).addBoth(self.drained.append)

    def start_stream(self, call_id="c1", channel=None):
        """Sends a request and returns the client's and the engine's connection once the first event was forwarded."""
        channel = self.harness.send_request(call_id=call_id, channel=channel)
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head(call_id) + chunk(event(1, "a")))
        return channel, connection

    def answer(self, connection, call_id):
        connection.dataReceived(head(call_id, length=2) + b"ok")

    def assert_ended_after(self, channel, text):
        self.assertIn(text, self.harness.client_output(channel))
        self.harness.advance_ms(10)
        self.assertTrue(channel.transport.closed)
        self.assertEqual(self.drained, [None])

    def test_no_connection_is_left_open_after_a_response_that_began_before_the_shutdown(self):
        """Guards against requests that are taken after the wait for the last request, and then cut (review/4)."""
        channel, connection = self.start_stream()
        self.start_drain()
        self.harness.advance_ms(AFTER_ACCEPT_MS)
        self.assertNotIn(b"Connection: close", self.harness.client_output(channel))
        connection.dataReceived(chunk(event(2, "b")) + END)
        self.harness.advance_ms(60)
        self.assert_ended_after(channel, event(2, "b"))

    def test_a_connection_that_was_idle_for_the_whole_accept_time_is_closed(self):
        channel = self.harness.connect_client()
        self.start_drain()
        self.harness.advance_ms(ACCEPT_MS - 100)
        self.assertFalse(channel.transport.closed)
        self.harness.advance_ms(200)
        self.assert_ended_after(channel, b"")

    def test_a_first_request_after_the_shutdown_began_is_answered_and_announces_the_close(self):
        channel = self.harness.connect_client()
        self.start_drain()
        self.harness.advance_ms(ACCEPT_MS - 100)
        self.harness.send_request("/once/x", channel=channel)
        self.harness.advance_ms(200)
        self.assertEqual(self.drained, [])
        _, connection, _ = self.harness.take_engine_request()
        self.answer(connection, "c1")
        self.assertIn(b"Connection: close", self.harness.client_output(channel))
        self.assert_ended_after(channel, b"ok")

    def test_a_request_queued_behind_another_is_answered(self):
        """Guards against the close after the first response, with the second request read and dropped."""
        channel = self.harness.send_request("/once/x")
        self.harness.send_request("/once/y", call_id="c2", channel=channel)
        self.start_drain()
        self.harness.advance_ms(AFTER_ACCEPT_MS)
        _, connection, _ = self.harness.take_engine_request()
        self.answer(connection, "c1")
        self.assertNotIn(b"Connection: close", self.harness.client_output(channel))
        _, connection, _ = self.harness.take_engine_request()
        self.answer(connection, "c2")
        self.assertIn(b"Connection: close", self.harness.client_output(channel))
        self.assert_ended_after(channel, b"X-Request-Id: c2")

    def test_a_request_queued_behind_one_that_is_refused_at_once_is_answered(self):
        self.start_drain()
        channel = self.harness.connect_client()
        lines = b"GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n"
        channel.dataReceived(lines + lines)
        self.assertEqual(self.harness.client_output(channel).count(b"HTTP/1.1 404"), 2)

    def test_a_half_received_request_is_answered_once_it_is_complete(self):
        channel = self.harness.connect_client()
        channel.dataReceived(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c1\r\nContent-")
        self.start_drain()
        self.harness.advance_ms(AFTER_ACCEPT_MS)
        channel.dataReceived(b"Length: 4\r\n\r\nbo")
        self.harness.advance_ms(500)
        channel.dataReceived(b"dy")
        _, connection, _ = self.harness.take_engine_request()
        self.answer(connection, "c1")
        self.assert_ended_after(channel, b"ok")

    def test_a_response_is_sent_whole_to_a_client_that_reads_slowly(self):
        """Guards against the end of the process before the rest of a complete response was sent."""
        channel, connection = self.start_stream()
        channel.transport.holds_unsent = True
        self.start_drain()
        self.harness.advance_ms(AFTER_ACCEPT_MS)
        connection.dataReceived(chunk(event(2, "b")) + END)
        self.harness.advance_ms(1000)
        self.assertFalse(channel.transport.closed)
        self.assertEqual(self.drained, [])
        channel.transport.send_rest()
        self.assert_ended_after(channel, event(2, "b"))

    def test_a_connection_accepted_last_is_closed_unless_it_brings_a_request(self):
        self.start_stream()
        self.start_drain()
        self.harness.advance_ms(AFTER_ACCEPT_MS)
        idle, busy = self.harness.connect_client(), self.harness.send_request("/once/x", call_id="c2")
        self.harness.advance_ms(10)
        self.assertTrue(idle.transport.closed)
        self.assertFalse(busy.transport.closed)

    def test_at_the_deadline_each_request_gets_an_answer_that_says_whether_it_may_have_run(self):
        self.start_drain()
        self.harness.advance_ms(ACCEPT_MS - 100)
        sent = self.harness.send_request("/once/x")
        self.harness.take_engine_request()
        waiting, late, half = (self.harness.connect_client() for _ in range(3))
        for channel in (waiting, late, half):
            channel.dataReceived(b"POST /once/y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\n")
        self.harness.advance_ms(DRAIN_MS - ACCEPT_MS + 80)
        self.harness.cluster_state.empty_zones.add("zone-a")
        waiting.dataReceived(b"a")
        self.harness.advance_ms(25)
        late.dataReceived(b"a")
        for channel in (waiting, late):
            self.assertTrue(self.harness.client_output(channel).startswith(b"HTTP/1.1 503"))
            self.assertTrue(self.harness.client_output(channel).endswith(b"shutting_down"))
        self.assertTrue(self.harness.client_output(sent).startswith(b"HTTP/1.1 502"))
        self.assertEqual(self.drained, [])
        self.harness.advance_ms(250)
        self.assertEqual(self.drained, [None])
        self.assertEqual(self.harness.client_output(half), b"")
        self.assertTrue(all(channel.transport.closed for channel in (sent, waiting, late, half)))


if __name__ == "__main__":
    unittest.main()
