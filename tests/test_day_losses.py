"""The tables of a day's losses: rows add up to the total, and the log lines of nodes are parsed."""

import unittest

from testbed.benchmarks.day_losses import class_losses, summarize_log, summarize_report

REPORT = {
    "classes": [
        {"name": "ask", "n": 110, "not_owed": 10, "worth": 0.9, "late": 10, "refused": 2, "failed": 1},
        {"name": "bulk", "n": 50, "not_owed": 0, "worth": 1.0, "late": 0, "refused": 0, "failed": 0},
    ],
    "zones": [{"name": "z", "n": 160, "worth": 0.93, "late": 10, "refused": 2, "failed": 1}],
    "windows": [
        {"name": "0", "n": 80, "worth": 1.0, "late": 0, "refused": 0, "failed": 0},
        {"name": "2", "n": 80, "worth": 0.9, "late": 10, "refused": 2, "failed": 1},
    ],
    "events": [{"at_s": 2.5, "to_s": 3.0, "kind": "burst"}],
    "prices": [["GB between zones", 0.2, 0.08], ["probes", 0.0, 0.0]],
}


class Losses(unittest.TestCase):
    def test_losses_of_a_kind_add_up_to_its_fraction_of_the_whole_day(self):
        ask, bulk = class_losses(REPORT, {"ask": 2.0, "bulk": 4.0})
        self.assertAlmostEqual(ask.fraction + bulk.fraction, 1)
        self.assertAlmostEqual(ask.total, 0.5 * 0.1)
        self.assertAlmostEqual(ask.refused, 0.5 * 0.02)
        self.assertAlmostEqual(ask.failed, 0.5 * 0.01)
        self.assertEqual(bulk.total, 0)

    def test_time_windows_list_the_faults_that_overlap_them(self):
        lines = summarize_report(REPORT, {})
        self.assertTrue(any(line.startswith("     0") and line.endswith("  -") for line in lines), lines)
        self.assertTrue(any(line.startswith("     2") and line.endswith("  burst") for line in lines), lines)
        self.assertTrue(any("GB between zones" in line for line in lines))
        self.assertFalse(any("probes" in line for line in lines))

    def test_newest_totals_of_each_node_are_summed(self):
        summary = summarize_log(
            [
                "  1.5 edge-1 at=t level=info event=traffic_counted node=a totals=write:1/2",
                "  2.5 edge-1 at=t level=info event=traffic_counted node=a totals=probe:5/0,write:10/2000000",
                "  2.5 edge-2 at=t level=info event=traffic_counted node=b totals=write:0/1000000",
                "  3.0 edge-2 at=t level=debug event=call_completed node=b route=r read_ms=1 first_byte_ms=30",
                "not an event",
            ]
        )
        self.assertEqual(summary.calls, {"r": [{"read_ms": 1, "first_byte_ms": 30}]})
        self.assertTrue(any(line.split() == ["write", "0.00", "3.00"] for line in summary.lines()), summary.lines())


if __name__ == "__main__":
    unittest.main()
