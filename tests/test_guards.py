"""Each guard is disabled in turn: its scenario must then show the violation, and none with the guard enabled."""

import unittest
import unittest.mock

from .guard_scenarios import GUARDS, Scenario


class Guards(unittest.TestCase):
    def test_no_violation_is_found_with_the_guard(self):
        for name, (drive, options, *_) in GUARDS.items():
            with self.subTest(name):
                scenario = Scenario(self, **options)
                drive(scenario)
                self.assertEqual(scenario.violations(), [])

    def test_the_violation_is_found_without_the_guard(self):
        for name, (drive, options, target, attribute, replacement, expected) in GUARDS.items():
            with self.subTest(name), unittest.mock.patch.object(target, attribute, replacement):
                scenario = Scenario(self, **options)
                try:
                    drive(scenario)
                except AssertionError as error:
                    scenario.clients.note("stuck", text=str(error))
                violations = scenario.violations()
                self.assertTrue(any(expected in line for line in violations), violations)
