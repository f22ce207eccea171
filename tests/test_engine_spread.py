"""Gateways with the same load reports do not all choose the same engine, but still prefer engines with capacity."""

import unittest
from collections import Counter

from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Pool
from pipitlink.wire.membership_pb2 import Load, Loads

from .router_builders import RouterHarness, route

SLOTS = 12
CALLS = 300


class EngineSpread(unittest.TestCase):
    def choose_engines(self, running):
        """Returns how often each engine is chosen by gateways that just received the same report, for one call each."""
        chosen = Counter()
        for seed in range(CALLS):
            pool = Pool(name="models", max_connections=1000, slots=SLOTS)
            harness = RouterHarness([route("s", "/a/", resumable=True)], [pool], seed=seed, gateways=50)
            for name in running:
                harness.announce_engine(name, capacity=SLOTS)
            loads = [Load(engine=name, running=count) for name, count in running.items()]
            spawn(harness.node.loads.handle_loads("g1", Loads(gateway="g1", loads=loads)))
            harness.send_request(call_id=f"c{seed}")
            chosen[harness.take_engine_request()[0]] += 1
        return chosen

    def test_calls_do_not_all_go_to_the_least_loaded_engine(self):
        chosen = self.choose_engines({"e1": 6, "e2": 7, "e3": 7, "e4": 8, "e5": 8, "e6": 9})
        self.assertLess(max(chosen.values()), 0.5 * CALLS, chosen)
        self.assertEqual(len(chosen), 6, chosen)
        self.assertGreater(chosen["e1"], 2 * chosen["e6"], chosen)

    def test_a_full_engine_gets_few_calls_and_one_over_its_maximum_gets_none(self):
        chosen = self.choose_engines({"e1": 5, "e2": 5, "e3": SLOTS + 2, "e4": 2 * SLOTS})
        self.assertLess(chosen["e3"], 0.03 * CALLS, chosen)
        self.assertNotIn("e4", chosen)

    def test_at_low_load_the_engine_with_the_lowest_cost_gets_most_calls(self):
        chosen = self.choose_engines({"e1": 1, "e2": 0})
        self.assertGreater(chosen["e2"], 0.8 * CALLS, chosen)


if __name__ == "__main__":
    unittest.main()
