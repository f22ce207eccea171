"""A process imports only the modules of its role before it serves, since imports take most of a start's CPU time."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOAD_SCRIPT = """
import sys
sys.path[:0] = [{platform!r}, {root!r}]
import serve
from pipitlink.process import load_gateway_factory, load_stateful_node_factory
load_gateway_factory("routes") if {role!r} == "gateway" else load_stateful_node_factory({role!r})
print("\\n".join(sys.modules))
"""
LAZILY_LOADED = {"klein", "werkzeug", "prometheus_client", "pluggy", "cattrs", "treq", "twisted.web.client"}
OTHER_ROLES_PACKAGES = {
    "gateway": {"pipitlink.controller", "pipitlink.storage", "pipitlink.gateway"},
    "storage": {"pipitlink.controller", "pipitlink.router", "pipitlink.gateway"},
    "controller": {"pipitlink.storage", "pipitlink.router", "pipitlink.gateway"},
}


class Loaded(unittest.TestCase):
    def modules_loaded_by(self, role) -> set[str]:
        code = LOAD_SCRIPT.format(platform=str(ROOT / "platform"), root=str(ROOT), role=role)
        out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True)
        return set(out.stdout.split())

    def test_a_role_imports_no_modules_that_only_other_roles_need(self):
        for role, excluded in OTHER_ROLES_PACKAGES.items():
            with self.subTest(role=role):
                loaded_modules = self.modules_loaded_by(role)
                self.assertEqual(loaded_modules & excluded, set())
                http_packages = {"klein", "werkzeug"} if role == "controller" else set()
                self.assertEqual(loaded_modules & (LAZILY_LOADED - http_packages), set())


if __name__ == "__main__":
    unittest.main()
