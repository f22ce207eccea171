"""Each guard is taken out in turn: its scenario must then show the violation, and none with the guard in place."""

import unittest
import unittest.mock

from .guard_scenarios import GUARDS, Scenario


class Guards(unittest.TestCase):
    def test_with_the_guard_nothing_is_found(self):
        for name, (bring, args, *_) in GUARDS.items():
            with self.subTest(name):
                s = Scenario(self, **args)
                bring(s)
                self.assertEqual(s.bad(), [])

    def test_without_the_guard_it_is_found(self):
        for name, (bring, args, owner, part, instead, said) in GUARDS.items():
            with self.subTest(name), unittest.mock.patch.object(owner, part, instead):
                s = Scenario(self, **args)
                try:
                    bring(s)
                except AssertionError as e:
                    s.c.note("stuck", text=str(e))
                found = s.bad()
                self.assertTrue(any(said in line for line in found), found)
