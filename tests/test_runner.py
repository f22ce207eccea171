"""The test runner, on small suites written for it, and repeated timers."""

import io
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from twisted.internet import defer
from twisted.internet.task import Clock

from pipitlink.timers import Timers, ms
from testbed.simulator.simulation import Simulation

from .parallel_runner import FileResult, run_files

_CASES = """
import unittest
from twisted.internet import defer

class Fine(unittest.TestCase):
    def test_fine(self):
        pass

class Bad(unittest.TestCase):
    def test_bad(self):
        self.fail("as it should")

class Leaves(unittest.TestCase):
    def test_leaves(self):
        self.held = defer.fail(ValueError("left behind"))
"""
_RUN = """
import sys, unittest
from pathlib import Path
from tests.__main__ import run
sys.path.insert(0, ".")
names = ["cases." + n for n in sys.argv[1:]]
sys.exit(run(unittest.defaultTestLoader.loadTestsFromNames(names), sys.stdout, Path("KNOWN-RED.txt")))
"""
_ROOT = Path(__file__).resolve().parent.parent


class Runner(unittest.TestCase):
    def run_these(self, *cases, red=None):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "cases.py").write_text(_CASES)
            if red is not None:
                (Path(folder) / "KNOWN-RED.txt").write_text(red)
            r = subprocess.run(
                [sys.executable, "-c", _RUN, *cases],
                cwd=folder,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONPATH": str(_ROOT)},
            )
        return r.returncode, r.stdout

    def test_a_passing_suite_passes(self):
        rc, out = self.run_these("Fine")
        self.assertEqual((rc, out.splitlines()[-1]), (0, "1 passed, 0 failed, 0 skipped"))

    def test_an_error_left_in_a_deferred_fails_the_test_that_left_it(self):
        for order in (("Leaves", "Fine"), ("Fine", "Leaves")):
            rc, out = self.run_these(*order)
            self.assertEqual((rc, out.splitlines()[-1]), (1, "1 passed, 1 failed, 0 skipped"))
            self.assertIn("cases.Leaves.test_leaves left an unhandled error: left behind", out)

    def test_a_known_red_test_is_reported_and_does_not_fail_the_run(self):
        line = "cases.Bad.test_bad: a cause, issue 1"
        rc, out = self.run_these("Bad", "Fine", red=line + "\n")
        self.assertEqual((rc, out.splitlines()[-1]), (0, "1 passed, 1 failed, 0 skipped"))
        self.assertIn(f"known red: {line}", out)

    def test_any_other_failure_fails_the_run(self):
        self.assertEqual(self.run_these("Bad", "Leaves", red="cases.Bad.test_bad: a cause, issue 1")[0], 1)
        self.assertEqual(self.run_these("Bad")[0], 1)

    def test_parallel_files_are_counted_together_and_one_failure_fails_the_run(self):
        output = {
            "test_a.py": ("a ... ok\n3 passed, 0 failed, 1 skipped\n", 0),
            "test_b.py": ("b ... FAIL\n1 passed, 2 failed, 0 skipped\n", 1),
            "test_c.py": ("ended without a count\n", -9),
        }

        def run(*names):
            out = io.StringIO()
            code = run_files(list(names), out, lambda name: FileResult.of(name, *output[name]))
            return code, out.getvalue().splitlines()

        code, lines = run("test_a.py", "test_b.py")
        self.assertEqual((code, lines[-1]), (1, "4 passed, 2 failed, 1 skipped"))
        self.assertIn("failed: test_b.py", lines)
        self.assertLess(lines.index("a ... ok"), lines.index("b ... FAIL"))
        self.assertEqual(run("test_a.py")[0], 0)
        code, lines = run("test_a.py", "test_c.py")
        self.assertEqual((code, lines[-1]), (1, "3 passed, 1 failed, 1 skipped"))
        self.assertEqual(run()[0], 1)

    def test_a_known_red_test_that_passes_is_reported_for_removal_from_the_list(self):
        rc, out = self.run_these("Fine", red="cases.Fine.test_fine: a cause, issue 1")
        self.assertEqual(rc, 0)
        self.assertIn("passes now: take it off the list", out)

    def test_files_that_need_the_machine_for_themselves_run_last(self):
        order = []

        def run_file(name):
            order.append(name)
            return FileResult(name, "", 0, passed=1, failed=0)

        run_files(["test_abusive_clients.py", "test_a.py", "test_b.py"], io.StringIO(), run_file)
        self.assertEqual(order[-1], "test_abusive_clients.py")
        self.assertEqual(len(order), 3)


class Repeats(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)
        self.ran: list[int] = []
        self.faults: list[Exception] = []

    def advance(self, n: int):
        self.clock.pump([0.001] * n)

    def ran_now(self):
        self.ran.append(round(self.clock.seconds() * 100) * 10)

    def test_stopping_the_timers_ends_idle_repeats_and_cancels_running_work(self):
        hung = defer.Deferred()
        self.timers.call_repeatedly(ms(10), self.ran_now, self.faults.append)
        self.timers.call_repeatedly(ms(10), lambda: hung, self.faults.append)
        self.advance(25)
        self.timers.stop()
        self.advance(100)
        self.assertEqual((self.ran, self.faults), ([0, 10, 20], []))
        self.assertTrue(hung.called)
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_an_error_or_cancelled_wait_is_reported_and_the_repeat_continues(self):
        async def work():
            self.ran_now()
            if len(self.ran) == 1:
                raise ValueError("once")
            if len(self.ran) == 2:
                raise defer.CancelledError()

        self.timers.call_repeatedly(ms(10), work, self.faults.append)
        self.advance(35)
        self.assertEqual(self.ran, [0, 10, 20, 30])
        self.assertEqual([type(e) for e in self.faults], [ValueError, defer.CancelledError])

    def test_idle_ticks_are_skipped_and_the_phase_is_kept(self):
        due = [None]
        r = self.timers.call_repeatedly(ms(10), self.ran_now, self.faults.append, idle_time=lambda: due[0])
        self.advance(33)
        self.assertEqual((self.ran, self.clock.getDelayedCalls()), ([0], []))
        r.wake()
        r.wake()
        self.advance(40)
        self.assertEqual(self.ran, [0, 40])
        due[0] = ms(25)
        r.wake()
        self.advance(47)
        self.assertEqual(self.ran, [0, 40, 80, 110])
        r.wake()
        self.advance(5)
        self.assertEqual(self.ran, [0, 40, 80, 110, 120])

    def test_ending_a_simulation_with_work_in_progress_leaves_nothing_running(self):
        for seed in range(3):
            s = Simulation(seed, controllers=1, storage_nodes=3, gateways=1)
            s.start()
            s.ready()
            s.run(4)
            s.cut(["storage0", "storage1"], ["storage2", "gateway0"])
            s.run(3.2)
            s.simulated_nodes["storage0"].kill()
            s.end()
        lines = s.sink.lines
        del s
        self.assertEqual([line for line in lines if "already awaited" in line], [])


if __name__ == "__main__":
    unittest.main()
