"""The ends of programs that are still being loaded, as the fault injector of the soak sees them."""

import asyncio
import signal
import unittest
from types import SimpleNamespace

from testbed.deployment.faults import FaultInjector
from testbed.deployment.record import ActionKind, Record


class EndsWhileLoading(unittest.TestCase):
    def end(self, code, has_logged):
        """Returns what the injector notes of a program that has ended, and its failures."""
        record = Record()
        machine = SimpleNamespace(
            name="m", is_running=False, has_logged=has_logged, process=SimpleNamespace(returncode=code)
        )
        asyncio.run(FaultInjector(None, [], None, record, None).wait_for_exit(machine))
        return record.actions[-1].kind, len(record.failures)

    def test_a_reload_may_end_only_a_program_that_was_being_loaded(self):
        self.assertEqual(self.end(-signal.SIGHUP, has_logged=False), (ActionKind.EXIT_LOADING, 0))
        self.assertEqual(self.end(-signal.SIGHUP, has_logged=True), (ActionKind.EXIT, 1))

    def test_no_other_end_is_excused_by_an_empty_log(self):
        self.assertEqual(self.end(-signal.SIGSEGV, has_logged=False), (ActionKind.EXIT, 1))
        self.assertEqual(self.end(0, has_logged=False), (ActionKind.EXIT, 0))


if __name__ == "__main__":
    unittest.main()
