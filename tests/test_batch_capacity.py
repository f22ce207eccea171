"""How many items of batches a gateway starts: its share of the slots that live requests leave, and few at once."""

import unittest

from pipitlink.router.batch_capacity import MAX_STARTING_FRACTION, MIN_STARTING_ITEMS, BatchCapacity
from pipitlink.router.waiting_tokens import RouteBacklog
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Pool
from pipitlink.wire.membership_pb2 import Load, Loads

from .router_builders import RouterHarness, route

SLOTS = 20
BULK = route("bulk", "/b/", kind="bulk")


class Capacity(unittest.TestCase):
    def setUp(self):
        self.harness = RouterHarness([BULK], [Pool(name="models", max_connections=100, slots=SLOTS)], gateways=4)
        for name in ("e1", "e2"):
            self.harness.announce_engine(name, capacity=SLOTS)
        node = self.harness.node
        self.capacity = BatchCapacity(self.harness.ctx, node.engines, node.selector, node.slow_start)

    def available(self, own, total):
        return self.capacity.available(BULK, RouteBacklog(own, total))

    def start(self, count, first_event=True):
        """Starts items on the engines by turns."""
        engines = self.harness.node.engines
        for number in range(count):
            slot = engines.acquire_slot(engines.get(f"e{1 + number % 2}"), 10, True)
            if first_event:
                slot.prefill_done()

    def peers(self, running, batch):
        loads = [Load(engine=name, running=running, batch=batch) for name in ("e1", "e2")]
        spawn(self.harness.node.loads.on_peer_loads("g1", Loads(gateway="g1", loads=loads)))

    def test_gateways_together_start_no_more_than_the_slots_that_live_requests_leave(self):
        self.peers(running=7, batch=0)
        for own in (10, 30, 50):
            self.setUp()
            self.peers(running=7, batch=0)
            self.start(int(2 * (17 - 7) * own / 100))
            self.assertEqual(self.available(own, 100), 0)
            self.assertGreater(self.available(2 * own, 100), 0)

    def test_items_of_others_that_were_reported_late_change_nothing(self):
        before = self.available(10, 100)
        self.peers(running=15, batch=15)
        self.assertEqual(self.available(10, 100), before)

    def test_few_items_wait_for_their_first_event_at_once(self):
        for own in (100, 50):
            self.setUp()
            most = int(MAX_STARTING_FRACTION * 2 * SLOTS * own / 100)
            self.assertEqual(self.available(own, 100), most)
            self.start(most, first_event=False)
            self.assertEqual(self.available(own, 100), 0)

    def test_a_gateway_with_little_of_the_backlog_starts_a_few_at_once(self):
        self.assertEqual(self.available(10, 100), MIN_STARTING_ITEMS)

    def test_a_batch_goes_on_by_one_item_where_live_requests_take_all(self):
        self.peers(running=SLOTS, batch=0)
        self.assertEqual(self.available(10, 100), 1)
        self.start(1)
        self.assertEqual(self.available(10, 100), 0)

    def test_without_an_engine_nothing_starts(self):
        for engine in self.harness.node.engines.unordered():
            self.harness.node.engines.remove(engine)
        self.assertEqual(self.available(10, 100), 0)

    def test_what_ended_or_failed_is_not_counted_as_starting(self):
        engines = self.harness.node.engines
        slots = [engines.acquire_slot(engines.get("e1"), 10, True) for _ in range(3)]
        slots[0].prefill_done()
        for slot in slots:
            slot.release()
        self.assertEqual(engines.starting_items, 0)


if __name__ == "__main__":
    unittest.main()
