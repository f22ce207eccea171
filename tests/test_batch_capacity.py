"""How many batch items a gateway starts: its fraction of the slots that live requests leave free, and few at once."""

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

    def start_items(self, count, first_event=True):
        """Starts items on both engines alternately."""
        engines = self.harness.node.engines
        for number in range(count):
            slot = engines.acquire_slot(engines.get(f"e{1 + number % 2}"), 10, True)
            if first_event:
                slot.prefill_done()

    def report_peer_loads(self, running, batch):
        loads = [Load(engine=name, running=running, batch=batch) for name in ("e1", "e2")]
        spawn(self.harness.node.loads.handle_loads("g1", Loads(gateway="g1", loads=loads)))

    def test_all_gateways_together_use_at_most_the_slots_left_by_live_requests(self):
        self.report_peer_loads(running=7, batch=0)
        for own in (10, 30, 50):
            self.setUp()
            self.report_peer_loads(running=7, batch=0)
            self.start_items(int(2 * (17 - 7) * own / 100))
            self.assertEqual(self.available(own, 100), 0)
            self.assertGreater(self.available(2 * own, 100), 0)

    def test_engines_have_room_while_less_than_half_of_their_slots_is_in_use(self):
        for running, has_room in ((0, True), (SLOTS // 2 - 1, True), (SLOTS // 2, False)):
            self.report_peer_loads(running=running, batch=0)
            self.assertEqual(self.capacity.has_room(BULK), has_room)

    def test_batch_items_reported_by_peers_do_not_change_the_capacity(self):
        before = self.available(10, 100)
        self.report_peer_loads(running=15, batch=15)
        self.assertEqual(self.available(10, 100), before)

    def test_the_number_of_items_waiting_for_their_first_event_is_limited(self):
        for own in (100, 50):
            self.setUp()
            limit = int(MAX_STARTING_FRACTION * 2 * SLOTS * own / 100)
            self.assertEqual(self.available(own, 100), limit)
            self.start_items(limit, first_event=False)
            self.assertEqual(self.available(own, 100), 0)

    def test_a_gateway_with_a_small_part_of_the_backlog_may_start_the_minimum(self):
        self.assertEqual(self.available(10, 100), MIN_STARTING_ITEMS)

    def test_one_item_may_run_even_if_live_requests_use_all_slots(self):
        self.report_peer_loads(running=SLOTS, batch=0)
        self.assertEqual(self.available(10, 100), 1)
        self.start_items(1)
        self.assertEqual(self.available(10, 100), 0)

    def test_no_item_starts_without_an_engine(self):
        for engine in self.harness.node.engines.unordered():
            self.harness.node.engines.remove(engine)
        self.assertEqual(self.available(10, 100), 0)

    def test_ended_and_failed_items_do_not_count_as_starting(self):
        engines = self.harness.node.engines
        slots = [engines.acquire_slot(engines.get("e1"), 10, True) for _ in range(3)]
        slots[0].prefill_done()
        for slot in slots:
            slot.release()
        self.assertEqual(engines.starting_items, 0)


if __name__ == "__main__":
    unittest.main()
