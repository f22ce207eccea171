"""Gateways that know the same of the engines do not all choose the same one, and still go where there is room."""

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
        """The engines that gateways choose which have just got the same report, one call each."""
        chosen = Counter()
        for seed in range(CALLS):
            pool = Pool(name="models", max_connections=1000, slots=SLOTS)
            harness = RouterHarness([route("s", "/a/", resumable=True)], [pool], seed=seed, gateways=50)
            for name in running:
                harness.announce_engine(name, capacity=SLOTS)
            loads = [Load(engine=name, running=count) for name, count in running.items()]
            spawn(harness.node.loads.on_peer_loads("g1", Loads(gateway="g1", loads=loads)))
            harness.send_request(call_id=f"c{seed}")
            chosen[harness.take_engine_request()[0]] += 1
        return chosen

    def test_a_crowd_does_not_fall_on_the_least_loaded_engine(self):
        chosen = self.choose_engines({"e1": 6, "e2": 7, "e3": 7, "e4": 8, "e5": 8, "e6": 9})
        self.assertLess(max(chosen.values()), 0.5 * CALLS, chosen)
        self.assertEqual(len(chosen), 6, chosen)
        self.assertGreater(chosen["e1"], 2 * chosen["e6"], chosen)

    def test_a_full_engine_gets_hardly_anything_and_one_over_its_bound_nothing(self):
        chosen = self.choose_engines({"e1": 5, "e2": 5, "e3": SLOTS + 2, "e4": 2 * SLOTS})
        self.assertLess(chosen["e3"], 0.03 * CALLS, chosen)
        self.assertNotIn("e4", chosen)

    def test_where_the_load_is_small_the_nearest_engine_gets_nearly_all(self):
        chosen = self.choose_engines({"e1": 1, "e2": 0})
        self.assertGreater(chosen["e2"], 0.8 * CALLS, chosen)


if __name__ == "__main__":
    unittest.main()
