"""The output and exit code of `pipitlink compare`."""

import contextlib
import io
import unittest
from unittest import mock

from pipitlink.tools import comparison
from pipitlink.tools.client import Response
from pipitlink.tools.comparison import differences


def reported_state(node, role="gateway", **topics):
    return {"node": node, "role": role, "placement_groups": {"3": "1:d1,d2,d3::"}, "leases": {}, "status": {}, **topics}


class Differences(unittest.TestCase):
    def test_nodes_with_equal_states_have_no_differences(self):
        self.assertEqual(differences(reported_state("a"), reported_state("b")), {})

    def test_leases_are_compared_only_if_both_nodes_have_them(self):
        a = reported_state("a", leases={"results/1": "a@4", "lots/a": "a@1"})
        b = reported_state("d1", "storage", leases={"results/1": "z@5"})
        self.assertEqual(differences(a, b), {"leases": {"results/1": ["a@4", "z@5"]}})

    def test_a_log_missing_on_one_of_two_replicas_is_a_difference(self):
        a = reported_state("d1", "storage", logs={"3/results/1": "epoch=1 length=9 final=True", "5/lots/x": "epoch=1"})
        b = reported_state("d2", "storage", logs={})
        self.assertEqual(list(differences(a, b)["logs"]), ["3/results/1"])

    def test_cluster_and_status_differences_are_found(self):
        a = reported_state("a", cluster={"sequence": 4}, status={"a": "alive", "c": "alive"})
        b = reported_state("b", cluster={"sequence": 5}, status={"b": "alive", "c": "gone"})
        self.assertEqual(differences(a, b), {"cluster": {"sequence": [4, 5]}, "status": {"c": ["alive", "gone"]}})

    def test_the_exit_code_and_the_output_report_differences(self):
        states = {"a": reported_state("a", cluster={"sequence": 4}), "b": reported_state("b", cluster={"sequence": 5})}
        output = io.StringIO()
        patch = mock.patch.object(comparison, "send_request", lambda address, *_: Response(200, states[address]))
        with patch, contextlib.redirect_stdout(output):
            self.assertEqual(comparison.compare("a", "b", False), 1)
            self.assertEqual(comparison.compare("a", "a", False), 0)
        self.assertIn("cluster sequence: A=4 B=5", output.getvalue())
