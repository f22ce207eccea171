"""The operators' commands for configurations: requests sent, output and exit codes."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pipitlink.command import main
from pipitlink.tools import client


class ConfigTool(unittest.TestCase):
    def run_tool(self, *argv, answers):
        calls, answers = [], list(answers)

        def send_request(address, method, path, body=None, headers=None):
            calls.append((address, method, path, body, headers))
            return client.Response(*answers.pop(0))

        out, err = io.StringIO(), io.StringIO()
        sent = mock.patch.object(client, "send_request", send_request)
        with sent, contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main([*argv, "--at", "a:1,b:2"])
        return code, calls, out.getvalue(), err.getvalue()

    def file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(text)
        return str(path)

    def test_show_prints_it_and_goes_on_to_a_controller_that_knows(self):
        code, calls, out, _ = self.run_tool("config", "show", answers=[(503, {}), (200, {"version": 4})])
        self.assertEqual((code, json.loads(out)), (0, {"version": 4}))
        self.assertEqual([c[:3] for c in calls], [(p, "GET", "/v1/config") for p in ("a:1", "b:2")])

    def test_put_builds_on_the_newest_version_or_on_the_one_that_is_given(self):
        path = self.file('{"version": 9}')
        code, calls, *_ = self.run_tool("config", "put", path, answers=[(200, {"version": 4}), (200, {"version": 9})])
        self.assertEqual((code, calls[1]), (0, ("a:1", "PUT", "/v1/config", {"version": 9}, {"If-Match": "4"})))
        code, calls, *_ = self.run_tool("config", "put", path, "--base", "3", "--edit", "x", answers=[(200, {})])
        self.assertEqual((code, [c[4] for c in calls]), (0, [{"If-Match": "3", "Edit-Id": "x"}]))

    def test_refusals_and_bad_files_have_their_exit_codes(self):
        refused = {"error": {"code": "wrong_base", "message": "no", "outcome": "not_run"}}
        code, _, _, err = self.run_tool("config", "put", self.file("{}"), "--base", "3", answers=[(412, refused)])
        self.assertEqual((code, err), (1, "wrong_base: no (outcome: not_run)\n"))
        self.assertEqual(self.run_tool("config", "put", self.file("{"), "--base", "3", answers=[])[0], 2)
