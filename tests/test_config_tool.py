"""The operator commands for the configuration: requests sent, output and exit codes."""

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
    def run_tool(self, *argv, responses):
        calls, responses = [], list(responses)

        def send_request(address, method, path, body=None, headers=None):
            calls.append((address, method, path, body, headers))
            return client.Response(*responses.pop(0))

        output, errors = io.StringIO(), io.StringIO()
        patch = mock.patch.object(client, "send_request", send_request)
        with patch, contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main([*argv, "--at", "a:1,b:2"])
        return code, calls, output.getvalue(), errors.getvalue()

    def file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(text)
        return str(path)

    def test_show_tries_the_next_address_after_a_503_and_prints_the_configuration(self):
        code, calls, output, _ = self.run_tool("config", "show", responses=[(503, {}), (200, {"version": 4})])
        self.assertEqual((code, json.loads(output)), (0, {"version": 4}))
        self.assertEqual([call[:3] for call in calls], [(address, "GET", "/v1/config") for address in ("a:1", "b:2")])

    def test_put_is_based_on_the_current_version_or_on_the_one_given(self):
        path = self.file('{"version": 9}')
        code, calls, *_ = self.run_tool("config", "put", path, responses=[(200, {"version": 4}), (200, {"version": 9})])
        self.assertEqual((code, calls[1]), (0, ("a:1", "PUT", "/v1/config", {"version": 9}, {"If-Match": "4"})))
        code, calls, *_ = self.run_tool("config", "put", path, "--base", "3", "--edit", "x", responses=[(200, {})])
        self.assertEqual((code, [call[4] for call in calls]), (0, [{"If-Match": "3", "Edit-Id": "x"}]))

    def test_exit_codes_of_refusals_and_unreadable_files(self):
        error_body = {"error": {"code": "wrong_base", "message": "no", "outcome": "not_run"}}
        code, _, _, errors = self.run_tool(
            "config", "put", self.file("{}"), "--base", "3", responses=[(412, error_body)]
        )
        self.assertEqual((code, errors), (1, "wrong_base: no (outcome: not_run)\n"))
        self.assertEqual(self.run_tool("config", "put", self.file("{"), "--base", "3", responses=[])[0], 2)
