"""Live requests by route through one gateway, on an injected clock and in-memory connections."""

import unittest

from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Pool
from pipitlink.wire.membership_pb2 import Load, Loads

from .router_builders import END, RouterHarness, chunk, event, head, route

STREAM = route("s", "/a/", resumable=True, sticky=True)
ONCE = route("o", "/once/", kind="mutating")
PLAIN = route("n", "/n/", resumable=False, max_attempts=1)
FETCH = route("f", "/f/", kind="idempotent")


class Live(unittest.TestCase):
    def setUp(self):
        self.harness = RouterHarness([STREAM, ONCE, PLAIN, FETCH])
        for n in ("e1", "e2", "e3"):
            self.harness.announce_engine(n)

    def tearDown(self):
        noise = [line for line in self.harness.log_lines if "failed" in line or "Error" in line]
        self.assertEqual(noise, [])

    def test_request_and_answer_pass_unchanged(self):
        c = self.harness.send_request("/f/1?q=%2F", body=b"b\x00dy", headers=("X-Other: 1", "X-Deadline-Ms: 900"))
        name, link, data = self.harness.take_engine_request()
        self.assertTrue(data.startswith(b"POST /f/1?q=%2F HTTP/1.1\r\n"))
        self.assertTrue(data.endswith(b"\r\n\r\nb\x00dy"))
        low = data.lower()
        self.assertIn(b"x-request-id: c1", low)
        self.assertIn(b"x-other: 1", low)
        self.assertIn(f"x-target-instance: {name}".encode(), low)
        self.assertIn(b"x-deadline-ms: 900", low)
        self.assertEqual(low.count(b"x-deadline-ms"), 1)
        self.assertEqual(low.count(b"content-length"), 1)
        link.dataReceived(head("c1", more=("X-Own: 2",), length=4) + b"\x01\x02\x03\x04")
        out = self.harness.client_output(c)
        self.assertTrue(out.startswith(b"HTTP/1.1 200 OK\r\n"))
        self.assertIn(b"X-Engine-Seal: s1", out)
        self.assertIn(b"X-Own: 2", out)
        self.assertTrue(out.endswith(b"\x01\x02\x03\x04"))

    def test_events_pass_as_they_come(self):
        c = self.harness.send_request()
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1") + chunk(event(1, "a")))
        self.assertTrue(self.harness.client_output(c).endswith(chunk(event(1, "a"))))
        link.dataReceived(chunk(event(2, "b")[:5]))
        self.assertTrue(self.harness.client_output(c).endswith(chunk(event(1, "a"))))
        link.dataReceived(chunk(event(2, "b")[5:]) + END)
        self.assertTrue(self.harness.client_output(c).endswith(chunk(event(2, "b")) + END))

    def test_stream_goes_on_elsewhere_after_its_last_whole_event(self):
        c = self.harness.send_request()
        first, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1") + chunk(event(1, "a")) + chunk(event(2, "b")[:6]))
        link.transport.close()
        second, link, data = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        self.assertIn(b"last-event-id: 1\r\n", data.lower())
        link.dataReceived(head("c1", more=("X-Own: 9",)) + chunk(event(2, "b")) + END)
        out = self.harness.client_output(c)
        self.assertEqual(out.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"X-Own: 9", out)
        self.assertTrue(out.endswith(chunk(event(1, "a")) + chunk(event(2, "b")) + END))

    def test_a_gap_in_a_resumed_stream_is_never_shown(self):
        c = self.harness.send_request()
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1") + chunk(event(1, "a")))
        link.transport.close()
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1") + chunk(event(3, "c")) + END)
        self.assertNotIn(b"data: c", self.harness.client_output(c))

    def test_stream_that_may_not_resume_runs_once_and_never_looks_whole(self):
        c = self.harness.send_request("/n/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1") + chunk(b"id: 1\ndata: a\n\n"))
        link.transport.close()
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertTrue(c.transport.gone)
        self.assertFalse(self.harness.client_output(c).endswith(END))

    def test_what_may_not_repeat_is_not_sent_again_after_a_cut(self):
        c = self.harness.send_request("/once/x")
        _, link, _ = self.harness.take_engine_request()
        link.transport.close()
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertTrue(self.harness.client_output(c).startswith(b"HTTP/1.1 502"))

    def test_what_the_engine_did_not_run_goes_to_another(self):
        c = self.harness.send_request("/once/x")
        first, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", "503 Busy", seal=False, more=("X-Not-Executed: 1",), length=0))
        self.harness.advance_ms(20)
        second, link, _ = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        link.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(self.harness.client_output(c).endswith(b"ok"))

    def test_a_503_without_the_proof_counts_as_run(self):
        c = self.harness.send_request("/once/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", "503 Busy", seal=False, length=0))
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])
        self.assertFalse(self.harness.client_output(c).startswith(b"HTTP/1.1 503"), "a promise that nobody gave")

    def test_another_life_at_the_address_answers_421_and_nothing_ran(self):
        c = self.harness.send_request("/once/x")
        first, link, _ = self.harness.take_engine_request()
        link.dataReceived(head(None, "421 Misdirected", seal=False, more=("X-Instance-Id: e9",), length=0))
        self.harness.advance_ms(20)
        second, link, _ = self.harness.take_engine_request()
        self.assertNotEqual(first, second)
        self.assertIsNone(self.harness.node.engines.get(first))
        link.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(self.harness.client_output(c).endswith(b"ok"))

    def test_another_requests_answer_is_never_shown_and_its_connection_ends(self):
        c = self.harness.send_request("/once/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c0", length=5) + b"wrong")
        self.assertNotIn(b"wrong", self.harness.client_output(c))
        self.assertTrue(self.harness.client_output(c).startswith(b"HTTP/1.1 502"))
        self.assertTrue(link.transport.gone)

    def test_extra_bytes_after_a_whole_answer_end_the_connection(self):
        c = self.harness.send_request("/f/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", length=2) + b"ok" + head("c1", length=2) + b"ok")
        self.assertEqual(self.harness.client_output(c).count(b"HTTP/1.1"), 1)
        self.assertTrue(link.transport.gone)

    def test_late_extra_answer_on_an_idle_connection_ends_it(self):
        self.harness.send_request("/f/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", length=2) + b"ok")
        self.assertFalse(link.transport.gone)
        link.dataReceived(head("c1", length=2) + b"ok")
        self.assertTrue(link.transport.gone)

    def test_cut_short_body_aborts_the_caller(self):
        c = self.harness.send_request("/once/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", length=10) + b"1234")
        link.transport.close()
        self.assertTrue(c.transport.gone)
        self.assertFalse(self.harness.client_output(c).endswith(b"1234567890"))

    def test_success_without_the_seal_is_not_shown(self):
        c = self.harness.send_request("/once/x")
        _, link, _ = self.harness.take_engine_request()
        link.dataReceived(head("c1", seal=False, length=2) + b"ok")
        self.assertTrue(self.harness.client_output(c).startswith(b"HTTP/1.1 502"))

    def test_leaving_and_emptied_engines_get_nothing(self):
        self.harness.announce_engine("e1", state="leaving")
        self.harness.announce_engine("e4", zone="zone-b")
        self.harness.cluster_state.empty_zones.add("zone-b")
        for k in range(40):
            self.harness.send_request("/f/x", call_id=f"c{k}")
        self.assertFalse({name for name, _, _ in self.harness.take_engine_requests()} & {"e1", "e4"})

    def test_an_engine_that_left_before_the_connection_came_up_gets_nothing(self):
        from twisted.internet import defer

        held = []
        real = self.harness.connect
        self.harness.node.connections._connect = lambda link: held.append(link) or defer.Deferred()
        self.harness.send_request("/once/x")
        address = held[0].address
        name = next(e.name for e in self.harness.node.engines.all() if e.address == address)
        self.harness.announce_engine(name, state="leaving")
        self.harness.node.connections._connect = real
        self.harness.advance_ms(5)
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_refused_at_once_with_when_to_come_back_where_nothing_has_room(self):
        for k in range(18):
            self.harness.send_request("/n/x", call_id=f"c{k}")
        c = self.harness.send_request("/n/x", call_id="last")
        self.harness.advance_ms(70)
        out = self.harness.client_output(c)
        self.assertTrue(out.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After: 0.", out)

    def test_unreached_engine_is_left_aside_and_nothing_is_lost(self):
        self.harness.refused_addresses.update(("10.0.0.1:80", "10.0.0.2:80"))
        for k in range(6):
            self.harness.send_request("/once/x", call_id=f"c{k}")
            self.harness.advance_ms(40)
        self.assertEqual({name for name, _, _ in self.harness.take_engine_requests()}, {"e3"})

    def test_no_route_is_404_and_a_long_body_413(self):
        c = self.harness.send_request("/zz/x")
        self.assertTrue(self.harness.client_output(c).startswith(b"HTTP/1.1 404"))
        c = self.harness.send_request("/f/x", body=b"x" * 100_001)
        self.assertTrue(self.harness.client_output(c).startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_caller_that_leaves_ends_the_run(self):
        c = self.harness.send_request()
        _, link, _ = self.harness.take_engine_request()
        c.transport.close()
        self.assertTrue(link.transport.gone)
        self.harness.advance_ms(100)
        self.assertEqual(self.harness.take_engine_requests(), [])

    def test_shared_prompts_keep_to_one_engine(self):
        seen = set()
        for k in range(8):
            self.harness.send_request("/n/x", call_id=f"c{k}", headers=(f"X-Prompt-Parts: aa:13000,b{k}:50",))
            name, link, _ = self.harness.take_engine_request()
            seen.add(name)
            link.dataReceived(head(f"c{k}", length=2) + b"ok")
        self.assertEqual(len(seen), 1)


class PeersLoads(unittest.TestCase):
    def test_the_load_of_a_gateway_that_is_gone_is_forgotten(self):
        harness = RouterHarness([FETCH], gateways=3)
        e = harness.announce_engine("e1")
        for gateway in ("g1", "g2"):
            told = Loads(gateway=gateway, loads=[Load(engine="e1", running=2)])
            spawn(harness.node.loads.on_peer_loads(gateway, told))
        self.assertEqual(e.load(harness.ctx.timers.now()).running, 4)
        harness.remove_gateway("g1")
        self.assertEqual(set(e.peer_loads), {"g2"})
        self.assertEqual(e.load(harness.ctx.timers.now()).running, 2)


class Cold(unittest.TestCase):
    def test_a_cold_engine_gets_this_gateways_part_of_its_rate(self):
        harness = RouterHarness(
            [FETCH], [Pool(name="models", max_connections=500, slots=50, slow_start_rate=20)], gateways=4
        )
        harness.announce_engine("e1", capacity=50, cold_ms=3000)
        sent = 0
        for k in range(200):
            harness.send_request("/f/x", call_id=f"c{k}")
            harness.advance_ms(5)
            sent += len(harness.take_engine_requests())
        self.assertLessEqual(sent, 1 + 20 / 4)
        self.assertGreaterEqual(sent, 3)

    def test_many_gateways_together_hold_the_rate_of_a_cold_engine(self):
        """Each of them has saved up a request when all begin to use the engine in the same second."""
        harness = RouterHarness(
            [FETCH], [Pool(name="models", max_connections=500, slots=200, slow_start_rate=20)], gateways=76
        )
        harness.announce_engine("e1", capacity=200, cold_ms=3_600_000)
        (e,) = harness.node.engines.all()
        sent = 0
        for n in range(76):
            harness.ctx.node = f"g{n}"
            e.slow_start_tokens, e.slow_start_refilled_at = 1.0, harness.ctx.timers.now()
            for _ in range(100):
                harness.clock.advance(0.01)
                if harness.node.slow_start.admits(e):
                    e.slow_start_tokens -= 1
                    sent += 1
        self.assertLessEqual(sent, 30)
        self.assertGreaterEqual(sent, 15)


if __name__ == "__main__":
    unittest.main()
