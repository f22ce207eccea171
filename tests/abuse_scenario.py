"""A small deployment under clients that use up memory and connections, with lowered limits."""

import asyncio
import base64
import json
import os
import unittest
from pathlib import Path
from random import Random

from testbed.deployment.abusive_clients import AbuseTarget, AbusiveClient
from testbed.deployment.client_connection import ClientConnection, exchange_once
from testbed.deployment.configurations import HOST
from testbed.deployment.engines import HEARTBEAT_S, Engine
from testbed.deployment.machines import ROOT, Deployment, Role
from testbed.deployment.operator import Operator
from testbed.deployment.record import Exchange, Record, RouteKind

PROGRAMS_ROOT = Path(os.environ.get("DEPLOYMENT_ROOT", ROOT))
"""The folder of the project whose programs are tested; the variable selects another release."""

COUNTS = {Role.CONTROLLER: 3, Role.STORAGE: 3, Role.GATEWAY: 1}
RAM_MB = 120
MAX_FDS = 1600
BYTES_PER_MB = 1024 * 1024
CONFIG_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_048_576,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
BODY = b"b" * CONFIG_LIMITS["max_body_bytes"]
HEAD_BYTES = 15_000
ITEM_BYTES = 700_000
# An item with so many events is not complete within a test.
ITEM_EVENTS = 100_000
LOT_ID = "watched"
SEND_S = 12.0
SCENARIO_TIMEOUT_S = 120
REQUEST_DEADLINE_S = 4.0
REQUEST_TRIES = 30
RETRY_PAUSE_S = 0.5
SAMPLE_PAUSE_S = 0.05


def lot_body(name, item_bytes=ITEM_BYTES):
    item = {
        "id": f"{name}-item",
        "path": f"/rounds/{name}-item",
        "headers": {"Pipitlink-Model": "m", "Pipitlink-Token-Counts": f"100,{ITEM_EVENTS}"},
        "body": base64.b64encode(b"i" * item_bytes).decode(),
        "token_count": 300,
    }
    return json.dumps({"requests": [item]}).encode()


class AbuseScenario:
    """Starts the programs of the deploy file, then clients of one kind against one of their addresses."""

    def __init__(self, max_fds=MAX_FDS, **config_limits):
        self.record = Record()
        self.max_fds = max_fds
        limits = {"ram_mb": RAM_MB, "max_fds": max_fds}
        self.deployment = Deployment(COUNTS, root=PROGRAMS_ROOT, limits=limits)
        (self.gateway,) = self.deployment.of(Role.GATEWAY)
        self.controller = self.deployment.of(Role.CONTROLLER)[0]
        self.storage = self.deployment.of(Role.STORAGE)[0]
        controllers = [machine.control_address for machine in self.deployment.of(Role.CONTROLLER)]
        self.operator = Operator(controllers, self.record, Random(1), {**CONFIG_LIMITS, **config_limits})
        self.engines = [
            Engine(service, "zone-a", self.deployment.engine_host(0), controllers, self.record)
            for service in ("lm", "api")
        ]
        self.clients: list[AbusiveClient] = []
        self.most_descriptors: dict[str, int] = {}
        self.most_kernel_bytes: dict[str, int] = {}

    async def start(self):
        for machine in self.deployment.machines.values():
            self.deployment.start(machine)
        await self.operator.hand_in_first()
        for engine in self.engines:
            await engine.start()
        while await exchange_once(self.gateway.readiness_address, "GET", "/ready", {}, b"", 1.0) != 200:
            await asyncio.sleep(0.1)
        while await self.exchange("POST", "/read/first", b"x") != 200:
            await asyncio.sleep(0.1)

    def close(self):
        for client in self.clients:
            client.close()
        for engine in self.engines:
            engine.end()
        self.deployment.close()

    async def exchange(self, method, path, body, request_id="ordinary", more_headers=None, **connection_fields):
        exchange = Exchange(request_id, "", "read", RouteKind.IDEMPOTENT, path, body, REQUEST_DEADLINE_S)
        connection = ClientConnection(self.gateway.public_address, **connection_fields)
        headers = {
            "Host": HOST,
            "Pipitlink-Request-Id": request_id,
            "Pipitlink-Deadline-Ms": str(int(1000 * REQUEST_DEADLINE_S)),
            **(more_headers or {}),
        }
        try:
            await connection.open()
            await connection.exchange(exchange, method, headers)
        except (OSError, TimeoutError):
            return 0
        finally:
            connection.close()
        return exchange.status if exchange.is_complete else 0

    async def hand_in_lot(self, name=LOT_ID, body=None):
        return await self.exchange("POST", f"/rounds/{name}", body or lot_body(name), name)

    async def hand_in_large_config(self, padding_bytes):
        """Hands in a configuration whose routes take about so many bytes more."""
        self.operator.add_padding(padding_bytes)
        await self.operator.change_config()

    async def wait_for_engines(self):
        """Returns once the engines have announced themselves again."""
        await asyncio.sleep(2 * HEARTBEAT_S)

    def target(self, method="POST", path="/read/abuse", body=BODY, **fields):
        return AbuseTarget(
            self.gateway.public_address,
            method,
            path,
            {"Host": HOST, "Pipitlink-Deadline-Ms": "20000", "Pipitlink-Poll-Wait-Ms": "20000"},
            body,
            HEAD_BYTES,
            "Pipitlink-Request-Id",
            **fields,
        )

    async def abuse(self, kind, target, count):
        """Lets clients send for a time, and leaves their connections open."""
        await self.abuse_all([AbusiveClient(kind, target) for _ in range(count)])

    async def abuse_all(self, clients, send_s=SEND_S):
        self.clients += clients
        sampling = asyncio.create_task(self._sample())
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.wait(tasks, timeout=send_s)
        await asyncio.sleep(1.0)
        sampling.cancel()
        for task in tasks:
            task.cancel()

    async def _sample(self):
        while True:
            for machine in self.deployment.machines.values():
                if machine.is_running:
                    most = self.most_descriptors.get(machine.name, 0)
                    self.most_descriptors[machine.name] = max(most, machine.descriptor_count())
            for name, size in self.deployment.kernel_bytes().items():
                self.most_kernel_bytes[name] = max(size, self.most_kernel_bytes.get(name, 0))
            await asyncio.sleep(SAMPLE_PAUSE_S)

    def peaks(self):
        """Returns the most memory in MB and the most descriptors of each process that runs."""
        return {
            machine.name: (
                machine.peak_memory_bytes() // BYTES_PER_MB,
                self.most_descriptors.get(machine.name, 0),
            )
            for machine in self.deployment.machines.values()
            if machine.is_running
        }

    async def has_answer(self):
        """Sends an ordinary request until it is answered; returns whether it was."""
        for _ in range(REQUEST_TRIES):
            if await self.exchange("POST", "/read/ordinary", b"x") == 200:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def is_alive(self, address, path):
        """Asks one address until it answers with any status; returns whether it did."""
        for _ in range(REQUEST_TRIES):
            if await exchange_once(address, "GET", path, {}, b"", REQUEST_DEADLINE_S):
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False


class AbuseCase(unittest.TestCase):
    """Runs a scenario and checks the processes."""

    def play(self, abuse, **fields):
        """Runs a scenario; checks that no process ends, and that all stay within their memory and descriptors."""
        asyncio.run(asyncio.wait_for(self._play(abuse, fields), SCENARIO_TIMEOUT_S))

    async def _play(self, abuse, fields):
        scenario = AbuseScenario(**fields)
        try:
            await scenario.start()
            await abuse(scenario)
            self.check(scenario)
            self.assertTrue(await scenario.has_answer(), "an ordinary request while the clients are there")
            for client in scenario.clients:
                client.close()
            self.assertTrue(await scenario.has_answer(), "an ordinary request once the clients are gone")
            self.check(scenario)
        finally:
            scenario.close()

    def check(self, scenario):
        print(f"most memory (MB) and descriptors: {scenario.peaks()}")
        for machine in scenario.deployment.machines.values():
            with self.subTest(machine=machine.name):
                self.assertTrue(machine.is_running)
                self.assertLess(machine.peak_memory_bytes() / BYTES_PER_MB, RAM_MB)
                self.assertLess(scenario.most_descriptors.get(machine.name, 0), scenario.max_fds)
