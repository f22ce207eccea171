"""Live requests through one router gateway, on a simulated clock and in-memory connections."""

import unittest

from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Pool
from pipitlink.wire.membership_pb2 import Load, Loads

from .router_builders import END, RouterHarness, chunk, event, head, route

RESUMABLE = route("s", "/a/", resumable=True, sticky=True)
MUTATING = route("o", "/once/", kind="mutating")
NOT_RESUMABLE = route("n", "/n/", resumable=False, max_attempts=1)
IDEMPOTENT = route("f", "/f/", kind="idempotent")


class LiveRequests(unittest.TestCase):
    def setUp(self):
        self.harness = RouterHarness([RESUMABLE, MUTATING, NOT_RESUMABLE, IDEMPOTENT])
        for n in ("e1", "e2", "e3"):
            self.harness.announce_engine(n)

    def tearDown(self):
        noise = [line for line in self.harness.log_lines if "failed" in line or "Error" in line]
        self.assertEqual(noise, [])

    def test_request_and_response_are_forwarded_unchanged(self):
        client = self.harness.send_request("/f/1?q=%2F", body=b"b\x00dy", headers=("X-Other: 1", "X-Deadline-Ms: 900"))
        name, connection, data = self.harness.take_engine_request()
        self.assertTrue(data.startswith(b"POST /f/1?q=%2F HTTP/1.1\r\n"))
        self.assertTrue(data.endswith(b"\r\n\r\nb\x00dy"))
        lower_request = data.lower()
        self.assertIn(b"x-request-id: c1", lower_request)
        self.assertIn(b"x-other: 1", lower_request)
        self.assertIn(f"x-target-instance: {name}".encode(), lower_request)
        self.assertIn(b"x-deadline-ms: 900", lower_request)
        self.assertEqual(lower_request.count(b"x-deadline-ms"), 1)
        self.assertEqual(lower_request.count(b"content-length"), 1)
        connection.dataReceived(head("c1", more=("X-Own: 2",), length=4) + b"\x01\x02\x03\x04")
        out = self.harness.client_output(client)
        self.assertTrue(out.startswith(b"HTTP/1.1 200 OK\r\n"))
        self.assertIn(b"X-Engine-Seal: s1", out)
        self.assertIn(b"X-Own: 2", out)
        self.assertTrue(out.endswith(b"\x01\x02\x03\x04"))

    def test_events_are_forwarded_as_they_arrive(self):
        client = self.harness.send_request()
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1") + chunk(event(1, "a")))
        self.assertTrue(self.harness.client_output(client).endswith(chunk(event(1, "a"))))
        connection.dataReceived(chunk(event(2, "b")[:5]))
        self.assertTrue(self.harness.client_output(client).endswith(chunk(event(1, "a"))))
        connection.dataReceived(chunk(event(2, "b")[5:]) + END)
        self.assertTrue(self.harness.client_output(client).endswith(chunk(event(2, "b")) + END))

    def test_a_stream_is_resumed_on_another_engine_after_its_last_complete_event(self):
        client = self.harness.send_request()
        first, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1") + chunk(event(1, "a")) + chunk(event(2, "b")[:6]))
        connection.transport.close()
        second, connection, data = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        self.assertIn(b"last-event-id: 1\r\n", data.lower())
        connection.dataReceived(head("c1", more=("X-Own: 9",)) + chunk(event(2, "b")) + END)
        out = self.harness.client_output(client)
        self.assertEqual(out.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"X-Own: 9", out)
        self.assertTrue(out.endswith(chunk(event(1, "a")) + chunk(event(2, "b")) + END))

    def test_a_gap_in_a_resumed_stream_is_never_forwarded(self):
        client = self.harness.send_request()
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1") + chunk(event(1, "a")))
        connection.transport.close()
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1") + chunk(event(3, "c")) + END)
        self.assertNotIn(b"data: c", self.harness.client_output(client))

    def test_a_lost_stream_that_cannot_be_resumed_runs_once_and_never_looks_complete(self):
        client = self.harness.send_request("/n/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1") + chunk(b"id: 1\ndata: a\n\n"))
        connection.transport.close()
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertTrue(client.transport.closed)
        self.assertFalse(self.harness.client_output(client).endswith(END))

    def test_a_request_that_must_not_be_repeated_is_not_sent_again_after_a_connection_loss(self):
        client = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.transport.close()
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertTrue(self.harness.client_output(client).startswith(b"HTTP/1.1 502"))

    def test_a_request_that_an_engine_did_not_execute_is_sent_to_another(self):
        client = self.harness.send_request("/once/x")
        first, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", "503 Busy", seal=False, more=("X-Not-Executed: 1",), length=0))
        self.harness.advance_ms(20)
        second, connection, _ = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(self.harness.client_output(client).endswith(b"ok"))

    def test_a_connection_does_not_remember_long_ids_of_requests_that_were_refused(self):
        for call_id, is_closed in (("c" * 16, False), ("c" * 5000, True)):
            self.harness.send_request("/once/x", call_id=call_id)
            _, connection, _ = self.harness.take_engine_request()
            connection.dataReceived(head(call_id, "503 Busy", seal=False, more=("X-Not-Executed: 1",), length=0))
            self.assertEqual(connection.transport.closed, is_closed)
            self.harness.advance_ms(20)
            self.harness.take_engine_requests()

    def test_a_503_without_confirmation_counts_as_executed(self):
        client = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", "503 Busy", seal=False, length=0))
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertFalse(
            self.harness.client_output(client).startswith(b"HTTP/1.1 503"), "a 503 would promise that nothing ran"
        )

    def test_a_421_from_another_incarnation_at_the_address_removes_the_engine_and_is_retried(self):
        client = self.harness.send_request("/once/x")
        first, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head(None, "421 Misdirected", seal=False, more=("X-Instance-Id: e9",), length=0))
        self.harness.advance_ms(20)
        second, connection, _ = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        self.assertIsNone(self.harness.node.engines.get(first))
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(self.harness.client_output(client).endswith(b"ok"))

    def test_the_response_of_another_request_is_not_forwarded_and_closes_the_connection(self):
        client = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c0", length=5) + b"wrong")
        self.assertNotIn(b"wrong", self.harness.client_output(client))
        self.assertTrue(self.harness.client_output(client).startswith(b"HTTP/1.1 502"))
        self.assertTrue(connection.transport.closed)

    def test_extra_bytes_after_a_complete_response_close_the_connection(self):
        client = self.harness.send_request("/f/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=2) + b"ok" + head("c1", length=2) + b"ok")
        self.assertEqual(self.harness.client_output(client).count(b"HTTP/1.1"), 1)
        self.assertTrue(connection.transport.closed)

    def test_a_late_duplicate_response_closes_an_idle_connection(self):
        self.harness.send_request("/f/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertFalse(connection.transport.closed)
        connection.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(connection.transport.closed)

    def test_a_truncated_body_closes_the_connection_of_the_client(self):
        client = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", length=10) + b"1234")
        connection.transport.close()
        self.assertTrue(client.transport.closed)
        self.assertFalse(self.harness.client_output(client).endswith(b"1234567890"))

    def test_a_success_without_a_seal_is_not_forwarded(self):
        client = self.harness.send_request("/once/x")
        _, connection, _ = self.harness.take_engine_request()
        connection.dataReceived(head("c1", seal=False, length=2) + b"ok")
        self.assertTrue(self.harness.client_output(client).startswith(b"HTTP/1.1 502"))

    def test_leaving_engines_and_engines_in_emptied_zones_get_no_requests(self):
        self.harness.announce_engine("e1", state="leaving")
        self.harness.announce_engine("e4", zone="zone-b")
        self.harness.cluster_state.empty_zones.add("zone-b")
        for number in range(40):
            self.harness.send_request("/f/x", call_id=f"c{number}")
        self.assertFalse({name for name, _, _ in self.harness.take_engine_requests()} & {"e1", "e4"})

    def test_an_engine_that_leaves_while_a_connection_is_opened_gets_no_request(self):
        from twisted.internet import defer

        pending_connections = []
        connect = self.harness.connect
        self.harness.node.connections._connect = lambda connection: (
            pending_connections.append(connection) or defer.Deferred()
        )
        self.harness.send_request("/once/x")
        address = pending_connections[0].address
        name = next(engine.name for engine in self.harness.node.engines.all() if engine.address == address)
        self.harness.announce_engine(name, state="leaving")
        self.harness.node.connections._connect = connect
        self.harness.advance_ms(5)
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_a_request_without_capacity_is_refused_soon_with_a_retry_after_header(self):
        for number in range(18):
            self.harness.send_request("/n/x", call_id=f"c{number}")
        client = self.harness.send_request("/n/x", call_id="last")
        self.harness.advance_ms(70)
        out = self.harness.client_output(client)
        self.assertTrue(out.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After: 0.", out)

    def test_unreachable_engines_are_avoided_and_no_request_is_lost(self):
        self.harness.refused_addresses.update(("10.0.0.1:80", "10.0.0.2:80"))
        for number in range(6):
            self.harness.send_request("/once/x", call_id=f"c{number}")
            self.harness.advance_ms(40)
        self.assertEqual({name for name, _, _ in self.harness.take_engine_requests()}, {"e3"})

    def test_an_unknown_route_is_404_and_a_body_that_is_too_long_413(self):
        client = self.harness.send_request("/zz/x")
        self.assertTrue(self.harness.client_output(client).startswith(b"HTTP/1.1 404"))
        client = self.harness.send_request("/f/x", body=b"x" * 100_001)
        self.assertTrue(self.harness.client_output(client).startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_a_client_that_disconnects_aborts_its_call(self):
        client = self.harness.send_request()
        _, connection, _ = self.harness.take_engine_request()
        client.transport.close()
        self.assertTrue(connection.transport.closed)
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_requests_with_a_shared_prompt_go_to_the_same_engine(self):
        seen = set()
        for number in range(8):
            self.harness.send_request("/n/x", call_id=f"c{number}", headers=(f"X-Prompt-Parts: aa:13000,b{number}:50",))
            name, connection, _ = self.harness.take_engine_request()
            seen.add(name)
            connection.dataReceived(head(f"c{number}", length=2) + b"ok")
        self.assertEqual(len(seen), 1)


class PeerLoads(unittest.TestCase):
    def test_the_load_of_a_gateway_that_is_gone_is_removed(self):
        harness = RouterHarness([IDEMPOTENT], gateways=3)
        engine = harness.announce_engine("e1")
        for gateway in ("g1", "g2"):
            report = Loads(gateway=gateway, loads=[Load(engine="e1", running=2)])
            spawn(harness.node.loads.handle_loads(gateway, report))
        self.assertEqual(engine.load(harness.ctx.timers.now()).running, 4)
        harness.remove_gateway("g1")
        self.assertEqual(set(engine.peer_loads), {"g2"})
        self.assertEqual(engine.load(harness.ctx.timers.now()).running, 2)


class SlowStart(unittest.TestCase):
    def test_an_engine_in_slow_start_gets_this_gateways_part_of_its_rate(self):
        harness = RouterHarness(
            [IDEMPOTENT], [Pool(name="models", max_connections=500, slots=50, slow_start_rate=20)], gateways=4
        )
        harness.announce_engine("e1", capacity=50, slow_start_ms=3000)
        sent = 0
        for number in range(200):
            harness.send_request("/f/x", call_id=f"c{number}")
            harness.advance_ms(5)
            sent += len(harness.take_engine_requests())
        self.assertLessEqual(sent, 1 + 20 / 4)
        self.assertGreaterEqual(sent, 3)

    def test_many_gateways_together_keep_to_the_rate_of_an_engine_in_slow_start(self):
        """Each gateway has a full token bucket when all of them start to use the engine in the same second."""
        harness = RouterHarness(
            [IDEMPOTENT], [Pool(name="models", max_connections=500, slots=200, slow_start_rate=20)], gateways=76
        )
        harness.announce_engine("e1", capacity=200, slow_start_ms=3_600_000)
        (engine,) = harness.node.engines.all()
        sent = 0
        for n in range(76):
            harness.ctx.node = f"g{n}"
            engine.slow_start_tokens, engine.slow_start_refilled_at = 1.0, harness.ctx.timers.now()
            for _ in range(100):
                harness.clock.advance(0.01)
                if harness.node.slow_start.admits(engine):
                    engine.slow_start_tokens -= 1
                    sent += 1
        self.assertLessEqual(sent, 30)
        self.assertGreaterEqual(sent, 15)


if __name__ == "__main__":
    unittest.main()
