"""Items of batches on engines that send nothing any more, although they are announced and serve other calls."""

import unittest

from pipitlink.router.call_relay import BUSY_SILENCE_FACTOR
from pipitlink.router.item_runner import MAX_SILENCE_LIMIT, MIN_SILENCE_LIMIT, ItemCall
from pipitlink.timers import spawn, to_ms

from .router_builders import END, RouterHarness, chunk, event, head, route

BULK = route("bulk", "/b/", kind="bulk")
LIVE = route("live", "/live/", resumable=False, deadline_ms=600_000)
CAPACITY = 20
LIMIT_MS = to_ms(MIN_SILENCE_LIMIT)
CHECK_MS = 250
HEARTBEAT_MS = 1000


class SilentEngines(unittest.TestCase):
    def setUp(self):
        self.harness = RouterHarness([BULK, LIVE])
        self.engines = {"e1": "ready", "e2": "ready"}
        self.announce()
        self.item = ItemCall(id="i1", route=BULK, path="/b/1", headers=[], body=b"b", token_count=1)
        self.results: list = []

    def announce(self):
        for name, state in self.engines.items():
            self.harness.announce_engine(name, state=state, capacity=CAPACITY)

    def run_item(self):
        """Starts an attempt; returns the engine and the connection to it."""
        self.results.clear()
        spawn(self.harness.node.items.run(self.item)).addBoth(self.results.append)
        name, connection, _ = self.harness.take_engine_request()
        return name, connection

    def advance(self, span_ms, keep_busy=None):
        """Advances the time while engines are announced, and one of them sends bytes to another call."""
        for passed_ms in range(0, span_ms, HEARTBEAT_MS):
            self.announce()
            if keep_busy is not None:
                keep_busy.on_bytes(1)
            self.harness.advance_ms(min(HEARTBEAT_MS, span_ms - passed_ms))

    def other_call_to(self, name):
        """Returns a connection of a live call to an engine, on which bytes arrive."""
        for number in range(20):
            self.harness.send_request("/live/1", call_id=f"c{number}")
            engine, connection, _ = self.harness.take_engine_request()
            if engine == name:
                connection.dataReceived(head(f"c{number}") + chunk(event(1, "a")))
                return connection
        raise AssertionError(f"no call was sent to {name}")

    def test_an_item_is_taken_from_an_engine_that_sent_an_event_and_then_nothing(self):
        for state in ("ready", "leaving"):
            with self.subTest(state=state):
                self.setUp()
                name, connection = self.run_item()
                connection.dataReceived(head("i1") + chunk(event(1, "a")))
                self.engines[name] = state
                self.advance(LIMIT_MS - CHECK_MS)
                self.assertEqual(self.results, [])
                self.advance(2 * CHECK_MS)
                self.assertFalse(self.results[0].is_complete)
                self.assertEqual(self.item.last_event, 1)

    def test_an_item_is_taken_from_an_engine_that_serves_other_calls_but_not_this_one(self):
        name, _ = self.run_item()
        other = self.other_call_to(name)
        self.advance(LIMIT_MS - CHECK_MS, other)
        self.assertEqual(self.results, [])
        self.advance(2 * CHECK_MS, other)
        self.assertFalse(self.results[0].is_complete)

    def test_an_item_is_left_for_longer_at_an_engine_that_is_half_full(self):
        name, connection = self.run_item()
        connection.dataReceived(head("i1") + chunk(event(1, "a")))
        engines = self.harness.node.engines
        slots = [engines.acquire_slot(engines.get(name), 1, False) for _ in range(CAPACITY // 2)]
        self.advance(BUSY_SILENCE_FACTOR * LIMIT_MS - CHECK_MS)
        self.assertEqual(self.results, [])
        for slot in slots:
            slot.release()
        self.advance(CHECK_MS)
        self.assertFalse(self.results[0].is_complete)

    def test_an_item_is_taken_from_a_full_engine_in_the_end(self):
        name, connection = self.run_item()
        connection.dataReceived(head("i1") + chunk(event(1, "a")))
        engines = self.harness.node.engines
        for _ in range(CAPACITY):
            engines.acquire_slot(engines.get(name), 1, False)
        self.advance(BUSY_SILENCE_FACTOR * LIMIT_MS + CHECK_MS)
        self.assertFalse(self.results[0].is_complete)

    def test_an_item_stays_at_an_engine_that_is_silent_for_less_than_the_limit_between_events(self):
        _, connection = self.run_item()
        connection.dataReceived(head("i1"))
        for number in range(1, 4):
            self.advance(LIMIT_MS - CHECK_MS)
            connection.dataReceived(chunk(event(number, "a")))
        connection.dataReceived(END)
        self.assertTrue(self.results[0].is_complete)

    def test_the_next_attempt_goes_to_another_engine_and_may_be_silent_for_twice_as_long(self):
        engines, limits = [], []
        for _ in range(6):
            name, connection = self.run_item()
            connection.dataReceived(head("i1"))
            engines.append(name)
            limits.append(self.item.silence_limit)
            self.advance(to_ms(self.item.silence_limit) + CHECK_MS)
            self.assertTrue(self.results)
        self.assertNotEqual(engines[0], engines[1])
        self.assertEqual(limits[:3], [MIN_SILENCE_LIMIT, 2 * MIN_SILENCE_LIMIT, 4 * MIN_SILENCE_LIMIT])
        self.assertEqual(limits[-1], MAX_SILENCE_LIMIT)

    def test_an_event_resets_the_limit(self):
        self.item.silence_limit = MAX_SILENCE_LIMIT
        _, connection = self.run_item()
        connection.dataReceived(head("i1") + chunk(event(1, "a")))
        connection.transport.close()
        self.assertEqual(self.item.silence_limit, MIN_SILENCE_LIMIT)


if __name__ == "__main__":
    unittest.main()
