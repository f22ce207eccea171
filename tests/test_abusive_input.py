"""Crowds whose input costs a process far more than its bytes, or waits where the process does not see it."""

import asyncio
import itertools
import unittest

from testbed.deployment.abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from tests.abuse_scenario import (
    BODY,
    BYTES_PER_MB,
    CONFIG_LIMITS,
    HEAD_BYTES,
    LOT_ID,
    RAM_MB,
    AbuseCase,
    lot_body,
)

FEW_DESCRIPTORS = 700
QUEUED_BYTES = 1_000_000
SENDERS = 8
REQUESTS_OF_SENDER = 120
PARTS_HEADER_BYTES = 14_000


class PromptParts(AbuseCase):
    """Names of prompt parts, which a gateway remembers for each engine."""

    def test_many_parts_without_tokens(self):
        async def abuse(scenario):
            await asyncio.gather(*(self.send_parts(scenario, number) for number in range(SENDERS)))

        self.play(abuse)

    async def send_parts(self, scenario, sender):
        for number in range(REQUESTS_OF_SENDER):
            names = (f"{sender:x}{number:x}{part:x}:0" for part in itertools.count())
            parts = list(itertools.islice(names, PARTS_HEADER_BYTES // 9))
            headers = {"Pipitlink-Prompt-Prefix": ",".join(parts)}
            await scenario.exchange("POST", "/read/parts", b"x", f"parts-{sender}-{number}", headers)


class AllAddresses(AbuseCase):
    """Clients of all addresses of a process at once, which share its descriptors."""

    def test_connections_to_all_addresses_of_a_gateway(self):
        async def abuse(scenario):
            gateway = scenario.gateway
            await self.connect(
                scenario,
                gateway.public_address,
                gateway.readiness_address,
                gateway.operator_address,
                gateway.internal_address,
            )

        self.play(abuse, max_fds=FEW_DESCRIPTORS)

    def test_connections_to_all_addresses_of_a_controller(self):
        async def abuse(scenario):
            controller = scenario.controller
            await self.connect(
                scenario, controller.control_address, controller.operator_address, controller.internal_address
            )
            self.assertTrue(await scenario.is_alive(controller.control_address, "/config"))

        self.play(abuse, max_fds=FEW_DESCRIPTORS)

    async def connect(self, scenario, *addresses):
        targets = [AbuseTarget(address, "", "", {}) for address in addresses]
        await scenario.abuse_all([AbusiveClient(AbuseKind.IDLE, target) for target in targets for _ in range(600)])


class KernelBuffers(AbuseCase):
    """What the kernel holds for a process: bytes that have arrived and are not read, and bytes that are not sent."""

    def check(self, scenario):
        super().check(scenario)
        print(f"most bytes in the kernel: {scenario.most_kernel_bytes}")
        for machine in scenario.deployment.machines.values():
            with self.subTest(machine=machine.name):
                kernel_bytes = scenario.most_kernel_bytes.get(machine.name, 0)
                self.assertLess((machine.peak_memory_bytes() + kernel_bytes) / BYTES_PER_MB, RAM_MB)

    def test_input_queued_behind_requests_in_progress(self):
        async def abuse(scenario):
            self.assertEqual(await scenario.hand_in_lot(), 202)
            target = scenario.target("GET", f"/lots/{LOT_ID}?last_seen=0", b"", queued_bytes=QUEUED_BYTES)
            await scenario.abuse(AbuseKind.QUEUED_INPUT, target, 600)

        self.play(abuse)

    def test_responses_that_are_not_read(self):
        async def abuse(scenario):
            self.assertEqual(await scenario.hand_in_lot(), 202)
            target = scenario.target("GET", f"/items/{LOT_ID}?id={LOT_ID}-item", b"")
            await scenario.abuse(AbuseKind.UNREAD_RESPONSES, target, 300)

        self.play(abuse)

    def test_live_responses_that_are_not_read(self):
        async def abuse(scenario):
            for engine in scenario.engines:
                engine.slots = 300
            target = scenario.target("POST", "/read/large", b"")
            await scenario.abuse(AbuseKind.UNREAD_RESPONSES, target, 300)

        self.play(abuse)


class Waiting(AbuseCase):
    """Requests that wait for an engine with capacity."""

    def test_bodies_that_wait_for_an_engine(self):
        async def abuse(scenario):
            for engine in scenario.engines:
                engine.slots = 0
            await scenario.abuse(AbuseKind.WHOLE_BODY, scenario.target(), 100)
            for engine in scenario.engines:
                engine.slots = 24
            await scenario.wait_for_engines()

        self.play(abuse)

    def test_batches_that_wait_for_an_engine(self):
        async def abuse(scenario):
            for engine in scenario.engines:
                engine.slots = 0
            targets = [scenario.target(path=f"/rounds/lot{i}", body=lot_body(f"lot{i}")) for i in range(40)]
            await scenario.abuse_all([AbusiveClient(AbuseKind.WHOLE_BODY, target) for target in targets])
            for engine in scenario.engines:
                engine.slots = 24
            await scenario.wait_for_engines()

        self.play(abuse)


class Pieces(AbuseCase):
    """Input that comes in the smallest pieces."""

    def test_bodies_in_chunks_of_one_byte(self):
        async def abuse(scenario):
            target = scenario.target(body=BODY[: CONFIG_LIMITS["max_body_bytes"] // 8])
            await scenario.abuse(AbuseKind.UNFINISHED_TINY_CHUNKS, target, 40)

        self.play(abuse)

    def test_heads_of_the_shortest_lines(self):
        async def abuse(scenario):
            target = scenario.target(body=b"")
            await scenario.abuse(AbuseKind.UNFINISHED_SHORT_LINES, target, 300)

        self.play(abuse)

    def test_heads_at_the_operators_port_of_each_role(self):
        async def abuse(scenario):
            machines = (scenario.gateway, scenario.controller, scenario.storage)
            targets = [
                AbuseTarget(machine.operator_address, "PUT", "/v1/live", {"Host": "node"}, b"", HEAD_BYTES)
                for machine in machines
            ]
            await scenario.abuse_all(
                [AbusiveClient(AbuseKind.UNFINISHED_HEAD, target) for target in targets for _ in range(300)]
            )

        self.play(abuse)


if __name__ == "__main__":
    unittest.main()
