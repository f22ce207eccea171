"""The platform's settings file converted to settings, its header names on forwarded requests, and its programs started
with the commands of the deploy file.
"""

import ast
import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path

from pipitlink.dialect import Dialect
from testbed.processes.process_cluster import free_ports, wait_for

from .router_builders import RouterHarness, route

ROOT = Path(__file__).resolve().parent.parent
EDGE_SETTINGS = """
node_name = "edge-north-a-1"
role = "gateway"
machine_class = "edge"
serves_roles = ["edge"]
ip = "127.0.0.1"
zone = "north-a"
region = "north"
internal_ports = [{internal_port},{last_port}]
seed_nodes = ["127.0.0.3:8146","127.0.0.4:8146"]
bootstrap = true
voting = false
heartbeat_ms = 1200
a_field_not_known = [1]
[zones]
north-a = "north"
[listen_addrs]
public = "127.0.0.1:{public}"
readiness = "127.0.0.1:{ready}"
[limits]
ram_mb = 300
disk_mb = 0
[bounds]
grace_s = 8
status_poll_s = 120
"""

PENDING_SIGHUP_SCRIPT = """
import os, signal
signal.pthread_sigmask(signal.SIG_BLOCK, {{signal.SIGHUP}})
os.kill(os.getpid(), signal.SIGHUP)
from datetime import timedelta
from pipitlink import process
from pipitlink.settings import Settings
process.RELOAD_INTERVAL = timedelta(hours=1)
process.run("gateway", Settings(), reload_settings=lambda: Settings(seeds=["127.0.0.1:{port}"]))
"""


def _load(name):
    folder = str(ROOT / "platform")
    sys.path.insert(0, folder)
    try:
        spec = spec_from_file_location(f"platform_{name}", ROOT / "platform" / f"{name}.py")
        module = module_from_spec(spec)
        spec.loader.exec_module(module)
        return module
    finally:
        sys.path.remove(folder)
        for other in ("batches", "control", "headers"):
            sys.modules.pop(other, None)


def _is_listening(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


@contextlib.contextmanager
def _gateway_program():
    """Runs the gateway's command from the deploy file; yields the process and its port for clients, then kills it."""
    run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"].split()
    internal_port, last_port, public, ready = free_ports(4)
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(EDGE_SETTINGS.format(internal_port=internal_port, last_port=last_port, public=public, ready=ready))
        file.flush()
        process = subprocess.Popen(
            [sys.executable, *run[1:]],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PIPITLINK_NODE_FILE": file.name},
        )
        try:
            yield process, public
        finally:
            process.kill()
            process.wait()
            process.stderr.close()


def _blocks_sighup(pid: int) -> bool:
    """Returns whether a process blocks SIGHUP, according to its signal mask in /proc."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    mask = next((line.split()[1] for line in lines if line.startswith("SigBlk:")), "0")
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


class Settings(unittest.TestCase):
    def setUp(self):
        self.serve = _load("serve")
        self.raw = tomllib.loads(EDGE_SETTINGS.format(internal_port=7660, last_port=7675, public=8144, ready=8140))

    def test_a_gateway_gets_its_ports_and_contacts_seeds_at_the_internal_port(self):
        settings = self.serve.settings_from(self.raw)
        self.assertEqual(
            (
                settings.name,
                settings.zone,
                settings.bind,
                settings.port,
                settings.operator_port,
                settings.http_port,
                settings.ready_port,
                settings.control_port,
            ),
            ("edge-north-a-1", "north-a", "127.0.0.1", 7660, 7661, 8144, 8140, 0),
        )
        self.assertEqual(settings.seeds, ("127.0.0.3:7660", "127.0.0.4:7660"))
        self.assertEqual(settings.founders, ())
        self.assertEqual(settings.interface, "routes")
        self.assertLess(settings.drain_ms, 8000)

    def test_a_controller_has_founders_only_if_the_cluster_is_bootstrapped(self):
        self.raw.update(
            serves_roles=["control_plane"], state_dir="/data/x", listen_addrs={"control_addr": "127.0.0.1:8146"}
        )
        self.raw["limits"]["disk_mb"] = 128
        settings = self.serve.settings_from(self.raw)
        self.assertEqual((settings.control_port, settings.founders, settings.data), (8146, settings.seeds, "/data/x"))
        self.assertLess(settings.budget_mb, 128)
        self.assertEqual(self.serve.settings_from({**self.raw, "bootstrap": False}).founders, ())

    def test_machine_losses_are_taken_from_the_fault_budget(self):
        self.assertEqual(self.serve.settings_from(self.raw).machine_losses, 1)
        for budget, losses in (({"machine_losses": 2, "zones": 1}, 2), ({"machine_losses": 0, "zones": 0}, 1)):
            settings = self.serve.settings_from({**self.raw, "fault_budget": budget})
            self.assertEqual((settings.machine_losses, settings.replica_count), (losses, 2 * losses + 1))

    def test_a_missing_field_raises_an_error(self):
        del self.raw["ip"]
        with self.assertRaises(KeyError):
            self.serve.settings_from(self.raw)


class Headers(unittest.TestCase):
    def test_a_request_with_the_platforms_header_names_is_forwarded(self):
        header_names = _load("headers").PlatformHeaderNames
        harness = RouterHarness([route("f", "/f/", kind="idempotent")])
        harness.ctx.dialect = type("Format", (header_names, Dialect), {})()
        harness.announce_engine("e1")
        client = harness.connect_client()
        client.dataReceived(
            b"POST /f/1 HTTP/1.1\r\nHost: h.example\r\nPipitlink-Request-Id: ab\r\n"
            b"Pipitlink-Deadline-Ms: 700\r\nPipitlink-Model: m\r\nContent-Length: 2\r\n\r\nhi"
        )
        _, link, data = harness.take_engine_request()
        low = data.lower()
        for line in (
            b"pipitlink-request-id: ab",
            b"pipitlink-deadline-ms: 700",
            b"pipitlink-model: m",
            b"pipitlink-target-instance: e1",
        ):
            self.assertEqual(low.count(line), 1, line)
        link.dataReceived(
            b"HTTP/1.1 200 OK\r\nPipitlink-Request-Id: ab\r\nPipitlink-Server-Seal: 1\r\nContent-Length: 2\r\n\r\nok"
        )
        self.assertTrue(harness.client_output(client).endswith(b"\r\n\r\nok"))
        self.assertIn(b"pipitlink-server-seal: 1", harness.client_output(client).lower())

    def test_the_package_contains_no_name_of_the_platform(self):
        files_with_names = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "pipitlink").rglob("*.py")
            if any(
                word in path.read_text().lower()
                for word in (
                    "pipitlink-request",
                    "weighted_backends",
                    "evacuation",
                    'last_seen"',
                    "queue_cap_tokens",
                    "call_seq",
                )
            )
        ]
        self.assertEqual(files_with_names, [])

    def test_the_platform_code_is_smaller_than_a_tenth_of_the_package(self):
        def lines(folder):
            return sum(
                len(path.read_text().splitlines()) for path in (ROOT / folder).rglob("*.py") if "_pb2" not in path.name
            )

        self.assertLess(10 * lines("platform"), lines("pipitlink"))
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


class Programs(unittest.TestCase):
    def test_the_deploy_file_lists_the_packages_that_the_build_needs(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertIn("python3 -m pip", deploy["build"])
        self.assertEqual(deploy["packages"], ["python3", "python3-pip", "ca-certificates"])

    def test_a_gateway_started_from_the_deploy_file_listens_and_shuts_down(self):
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"].split()
        internal_port, last_port, public, ready = free_ports(4)
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(
                EDGE_SETTINGS.format(
                    internal_port=internal_port, last_port=last_port, public=public, ready=ready
                ).replace("grace_s = 8", "grace_s = 3")
            )
            file.flush()
            process = subprocess.Popen(
                [sys.executable, *run[1:]],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "PIPITLINK_NODE_FILE": file.name},
            )
            try:
                seen = ""
                for line in process.stderr:
                    seen += line
                    if "event=started" in line:
                        break
                self.assertIn(f"http={public}", seen)
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                seen += process.stderr.read()
                self.assertEqual(process.wait(20), 0, seen)
            finally:
                process.kill()
                process.wait()
                process.stderr.close()

    def test_sighup_during_start_up_does_not_end_the_process(self):
        """Sends SIGHUP once the socket for clients listens, while the rest of the program is still being loaded."""
        with _gateway_program() as (process, public):
            wait_for(lambda: _is_listening(public), 20, "the socket for clients listens")
            process.send_signal(signal.SIGHUP)
            line = next((line for line in process.stderr if "event=started" in line), "")
            self.assertIn(f"http={public}", line)

    def test_sighup_directly_after_it_is_blocked_does_not_end_the_process(self):
        """Sends SIGHUP as soon as the process blocks it.

        The program cannot block the signal while the interpreter is starting, so the test does not send it earlier.
        """
        with _gateway_program() as (process, public):
            wait_for(lambda: _blocks_sighup(process.pid), 20, "the process blocks SIGHUP")
            process.send_signal(signal.SIGHUP)
            line = next((line for line in process.stderr if "event=started" in line), "")
            self.assertIn(f"http={public}", line)
            wait_for(lambda: not _blocks_sighup(process.pid), 20, "the process unblocks SIGHUP")
            self.assertIsNone(process.poll())

    def test_a_pending_sighup_reloads_the_settings_once_the_process_runs(self):
        (port,) = free_ports(1)
        process = subprocess.Popen(
            [sys.executable, "-c", PENDING_SIGHUP_SCRIPT.format(port=port)], cwd=ROOT, stderr=subprocess.PIPE, text=True
        )
        try:
            line = next((line for line in process.stderr if "event=settings_reloaded " in line), "")
            self.assertIn(f"seeds=127.0.0.1:{port}", line)
        finally:
            process.kill()
            process.wait()
            process.stderr.close()

    def test_the_program_imports_only_signal_before_it_blocks_sighup(self):
        body = ast.parse((ROOT / "platform" / "serve.py").read_text()).body
        imports = [index for index, node in enumerate(body) if isinstance(node, (ast.Import, ast.ImportFrom))]
        first_block = next(index for index, node in enumerate(body) if "pthread_sigmask" in ast.unparse(node))
        self.assertEqual([ast.unparse(body[index]) for index in imports if index < first_block], ["import signal"])


if __name__ == "__main__":
    unittest.main()
