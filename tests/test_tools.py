"""How `pipitlink compare` finds, prints and returns the differences between two nodes."""

import contextlib
import io
import unittest
from unittest import mock

from pipitlink.tools import comparison
from pipitlink.tools.client import Response
from pipitlink.tools.comparison import differences


def beliefs(node, role="gateway", **topics):
    return {"node": node, "role": role, "placement_groups": {"3": "1:d1,d2,d3::"}, "leases": {}, "status": {}, **topics}


class Differences(unittest.TestCase):
    def test_nodes_that_believe_alike(self):
        self.assertEqual(differences(beliefs("a"), beliefs("b")), {})

    def test_a_lease_counts_only_where_both_speak_of_it(self):
        a = beliefs("a", leases={"results/1": "a@4", "lots/a": "a@1"})
        b = beliefs("d1", "storage", leases={"results/1": "z@5"})
        self.assertEqual(differences(a, b), {"leases": {"results/1": ["a@4", "z@5"]}})

    def test_a_log_that_one_of_two_keepers_lacks_is_told(self):
        a = beliefs("d1", "storage", logs={"3/results/1": "epoch=1 length=9 final=True", "5/lots/x": "epoch=1"})
        b = beliefs("d2", "storage", logs={})
        self.assertEqual(list(differences(a, b)["logs"]), ["3/results/1"])

    def test_cluster_and_status_differences_are_told(self):
        a = beliefs("a", cluster={"sequence": 4}, status={"a": "alive", "c": "alive"})
        b = beliefs("b", cluster={"sequence": 5}, status={"b": "alive", "c": "gone"})
        self.assertEqual(differences(a, b), {"cluster": {"sequence": [4, 5]}, "status": {"c": ["alive", "gone"]}})

    def test_the_exit_code_and_the_lines_say_where(self):
        told = {"a": beliefs("a", cluster={"sequence": 4}), "b": beliefs("b", cluster={"sequence": 5})}
        out = io.StringIO()
        answer = mock.patch.object(comparison, "send_request", lambda address, *_: Response(200, told[address]))
        with answer, contextlib.redirect_stdout(out):
            self.assertEqual(comparison.compare("a", "b", False), 1)
            self.assertEqual(comparison.compare("a", "a", False), 0)
        self.assertIn("cluster sequence: A=4 B=5", out.getvalue())
