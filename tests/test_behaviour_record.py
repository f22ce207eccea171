"""Compares the cluster's behaviour with the recorded behaviour: see tests/behaviour_record.py."""

import unittest
from pathlib import Path

from .behaviour_record import SCENARIOS, mismatches, read_digests, run_scenario

EXPECTED = Path(__file__).parent / "data" / "behaviour_record.json"


class Behaviour(unittest.TestCase):
    def test_each_scenario_matches_its_record(self):
        expected = read_digests(EXPECTED)
        self.assertEqual(sorted(expected), sorted(SCENARIOS))
        for scenario, seeds in expected.items():
            self.assertGreaterEqual(len(seeds), 2)
            for seed in seeds:
                with self.subTest(scenario=scenario, seed=seed):
                    self.assertEqual(mismatches(expected, scenario, int(seed)), [])

    def test_another_seed_gives_another_record(self):
        self.assertNotEqual(run_scenario("router", 1).digests(), run_scenario("router", 2).digests())
