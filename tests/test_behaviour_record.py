"""The cluster behaves as recorded: see tests/behaviour_record.py."""

import unittest
from pathlib import Path

from .behaviour_record import SCENARIOS, mismatches, play, read_digests

EXPECTED = Path(__file__).parent / "data" / "behaviour_record.json"


class Behaviour(unittest.TestCase):
    def test_each_scenario_is_played_as_recorded(self):
        expected = read_digests(EXPECTED)
        self.assertEqual(sorted(expected), sorted(SCENARIOS))
        for scenario, seeds in expected.items():
            self.assertGreaterEqual(len(seeds), 2)
            for seed in seeds:
                with self.subTest(scenario=scenario, seed=seed):
                    self.assertEqual(mismatches(expected, scenario, int(seed)), [])

    def test_another_seed_gives_another_record(self):
        self.assertNotEqual(play("router", 1).digests(), play("router", 2).digests())
