"""Crowds of clients that do not behave, against each address of the deploy file's programs, with lowered limits."""

import asyncio
import json
import os
import struct
import unittest

from testbed.deployment.abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from testbed.deployment.machines import peak_memory_bytes
from testbed.processes.process_cluster import ProcessCluster, wait_for
from tests.abuse_scenario import (
    BODY,
    BYTES_PER_MB,
    CONFIG_LIMITS,
    HEAD_BYTES,
    LOT_ID,
    RAM_MB,
    SCENARIO_TIMEOUT_S,
    SEND_S,
    AbuseCase,
    AbuseScenario,
    lot_body,
)

LARGEST_ITEM_BYTES = 780_000
SLOW_BODY = b"slow"
SLOW_BODY_PAUSE_S = 1.0
# The part of the header timeout that the slowest client takes.
SLOWEST_HEAD = 0.8
DRIP_PAUSE_S = 0.2
# Far beyond the lowered timeouts, and below the default ones.
CLOSE_TIMEOUT_S = 12.0
# The default of the setting of that name, which the process needs beside.
CACHE_MB = 64
MODELS_ITEM = {"model": "pipit-small", "prompt": "p" * 250_000, "max_tokens": 30_000}
MODELS_BODY = json.dumps({"items": [MODELS_ITEM] * 4}).encode()
FRAME_CLIENTS = 20
FRAME_BYTES = 8 * 1024 * 1024


class GatewayAddress(AbuseCase):
    """The address for clients."""

    def abuse_gateway(self, kind, count, **target):
        async def abuse(scenario):
            await scenario.abuse(kind, scenario.target(**target), count)

        self.play(abuse)

    def test_large_bodies_at_once(self):
        self.abuse_gateway(AbuseKind.WHOLE_BODY, 100)

    def test_large_bodies_that_stop_short_of_their_end(self):
        self.abuse_gateway(AbuseKind.UNFINISHED_BODY, 100)

    def test_large_chunks_that_stop_short_of_their_end(self):
        self.abuse_gateway(AbuseKind.UNFINISHED_LARGE_CHUNKS, 100)

    def test_small_chunks_that_stop_short_of_their_end(self):
        self.abuse_gateway(AbuseKind.UNFINISHED_SMALL_CHUNKS, 80)

    def test_trailers_that_stop_short_of_their_end(self):
        self.abuse_gateway(AbuseKind.UNFINISHED_TRAILERS, 100)

    def test_heads_that_stop_short_of_their_end(self):
        self.abuse_gateway(AbuseKind.UNFINISHED_HEAD, 1000)

    def test_large_batches_at_once(self):
        async def abuse(scenario):
            targets = [scenario.target(path=f"/rounds/lot{i}", body=lot_body(f"lot{i}")) for i in range(40)]
            await scenario.abuse_all([AbusiveClient(AbuseKind.WHOLE_BODY, target) for target in targets])

        self.play(abuse)

    def test_input_queued_behind_requests_in_progress(self):
        async def abuse(scenario):
            self.assertEqual(await scenario.hand_in_lot(), 202)
            target = scenario.target("GET", f"/lots/{LOT_ID}?last_seen=0", b"")
            await scenario.abuse(AbuseKind.QUEUED_INPUT, target, 1200)

        self.play(abuse)

    def test_responses_that_are_not_read(self):
        async def abuse(scenario):
            self.assertEqual(await scenario.hand_in_lot(), 202)
            target = scenario.target("GET", f"/items/{LOT_ID}?id={LOT_ID}-item", b"")
            await scenario.abuse(AbuseKind.UNREAD_RESPONSES, target, 4)

        self.play(abuse)

    def test_bodies_for_an_engine_that_does_not_read(self):
        async def abuse(scenario):
            for engine in scenario.engines:
                engine.stops_reading = True
            await scenario.abuse(AbuseKind.WHOLE_BODY, scenario.target(), 100)
            for engine in scenario.engines:
                engine.stops_reading = False

        self.play(abuse)

    def test_more_connections_than_descriptors(self):
        async def abuse(scenario):
            await scenario.abuse(AbuseKind.IDLE, scenario.target(), 1000)

        self.play(abuse, max_fds=700)


class RequestsInCalm(unittest.TestCase):
    """Requests at the limits, without any other clients: limits on memory must not meet them."""

    def play(self, requests):
        async def run():
            scenario = AbuseScenario()
            try:
                await scenario.start()
                await requests(scenario)
            finally:
                scenario.close()

        asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))

    def test_the_largest_body_and_the_largest_batch(self):
        async def requests(scenario):
            self.assertEqual(await scenario.exchange("POST", "/read/largest", BODY), 200)
            self.assertEqual(await scenario.exchange("POST", "/write/largest", BODY), 200)
            self.assertEqual(await scenario.hand_in_lot("largest", lot_body("largest", LARGEST_ITEM_BYTES)), 202)

        self.play(requests)

    def test_the_slowest_head_and_body(self):
        async def requests(scenario):
            reader, writer = await asyncio.open_connection(*scenario.gateway.public_address.split(":"))
            length = {"Content-Length": str(len(SLOW_BODY))}
            head = scenario.target().head(length)
            writer.write(head[:-1])
            await asyncio.sleep(CONFIG_LIMITS["header_timeout_ms"] / 1000 * SLOWEST_HEAD)
            writer.write(head[-1:])
            for byte in SLOW_BODY:
                await asyncio.sleep(SLOW_BODY_PAUSE_S)
                writer.write(bytes([byte]))
            self.assertIn(b"200", await reader.readline())
            writer.close()

        self.play(requests)


class ConfiguredLimits(unittest.TestCase):
    """The limits of the configuration hold."""

    def play(self, send, **config_limits):
        """Sends something on a connection; returns what the gateway sends until it closes the connection."""

        async def run():
            scenario = AbuseScenario(**config_limits)
            try:
                await scenario.start()
                reader, writer = await asyncio.open_connection(*scenario.gateway.public_address.split(":"))
                sending = asyncio.create_task(send(scenario, writer))
                output = await asyncio.wait_for(reader.read(), CLOSE_TIMEOUT_S)
                sending.cancel()
                self.assertTrue(await scenario.has_answer())
                return output
            finally:
                scenario.close()

        return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))

    def test_a_head_that_is_sent_byte_by_byte_ends_at_the_header_timeout(self):
        async def send(scenario, writer):
            for byte in scenario.target().head({})[:-2] * 100:
                writer.write(bytes([byte]))
                await asyncio.sleep(DRIP_PAUSE_S)

        self.assertIn(b" 408 ", self.play(send, header_timeout_ms=1000))

    def test_a_head_beyond_the_limit_is_refused(self):
        async def send(scenario, writer):
            writer.write(scenario.target().head({"X": "v" * 9000}))

        self.assertIn(b" 431 ", self.play(send, max_header_bytes=8192))

    def test_an_announced_body_beyond_the_limit_is_refused_before_it_is_sent(self):
        async def send(scenario, writer):
            writer.write(scenario.target().head({"Content-Length": str(len(BODY) + 1)}))

        self.assertIn(b" 413 ", self.play(send))

    def test_a_connection_without_requests_ends_at_the_idle_timeout(self):
        async def send(scenario, writer):
            pass

        self.assertEqual(self.play(send, idle_timeout_ms=1000), b"")


class OtherAddresses(AbuseCase):
    """The addresses for operators, engines, the platform and other nodes."""

    def abuse_address(self, kind, count, choose, path, method="PUT", **fields):
        async def abuse(scenario):
            address = choose(scenario)
            target = AbuseTarget(address, method, path, {"Host": "node"}, BODY, HEAD_BYTES)
            await scenario.abuse(kind, target, count)
            self.assertTrue(await scenario.is_alive(address, path), address)

        self.play(abuse, **fields)

    def control(self, scenario):
        return scenario.controller.control_address

    def test_bodies_at_the_control_address(self):
        self.abuse_address(AbuseKind.UNFINISHED_BODY, 100, self.control, "/config")

    def test_chunks_at_the_control_address(self):
        self.abuse_address(AbuseKind.UNFINISHED_LARGE_CHUNKS, 100, self.control, "/config")

    def test_heads_at_the_control_address(self):
        self.abuse_address(AbuseKind.UNFINISHED_HEAD, 1000, self.control, "/config")

    def test_connections_to_the_control_address(self):
        self.abuse_address(AbuseKind.IDLE, 1000, self.control, "/config", max_fds=700)

    def test_heads_at_the_readiness_address(self):
        self.abuse_address(
            AbuseKind.UNFINISHED_HEAD, 1000, lambda scenario: scenario.gateway.readiness_address, "/ready", "GET"
        )

    def test_connections_to_the_readiness_address(self):
        self.abuse_address(
            AbuseKind.IDLE, 1000, lambda scenario: scenario.gateway.readiness_address, "/ready", max_fds=700
        )

    def test_bodies_at_the_operators_port_of_each_role(self):
        async def abuse(scenario):
            machines = (scenario.gateway, scenario.controller, scenario.storage)
            targets = [
                AbuseTarget(machine.operator_address, "PUT", "/v1/live", {"Host": "node"}, BODY, HEAD_BYTES)
                for machine in machines
            ]
            clients = [AbusiveClient(AbuseKind.UNFINISHED_BODY, target) for target in targets for _ in range(100)]
            await scenario.abuse_all(clients)
            for target in targets:
                self.assertTrue(await scenario.is_alive(target.address, "/v1/live"), target.address)

        self.play(abuse)

    def test_frames_at_the_internal_port_of_each_role(self):
        async def abuse(scenario):
            frame = struct.pack("!I", FRAME_BYTES) + b"f" * (FRAME_BYTES - 1)
            clients = [
                AbusiveClient(AbuseKind.RAW_INPUT, AbuseTarget(machine.internal_address, "", "", {}, frame))
                for machine in (scenario.gateway, scenario.controller, scenario.storage)
                for _ in range(FRAME_CLIENTS)
            ]
            await scenario.abuse_all(clients)

        self.play(abuse)

    def test_connections_to_the_internal_port_of_each_role(self):
        async def abuse(scenario):
            clients = [
                AbusiveClient(AbuseKind.IDLE, AbuseTarget(machine.internal_address, "", "", {}))
                for machine in (scenario.gateway, scenario.controller, scenario.storage)
                for _ in range(1000)
            ]
            await scenario.abuse_all(clients)

        self.play(abuse, max_fds=700)


class ModelsGateway(unittest.TestCase):
    """The address for clients of a gateway that chooses engines by model."""

    @classmethod
    def setUpClass(cls):
        settings = {} if "DEPLOYMENT_ROOT" in os.environ else {"memory_mb": RAM_MB + CACHE_MB, "max_descriptors": 1600}
        cls.cluster = ProcessCluster(gateways=1, storage_nodes=3, controllers=3, engines=1, cards=0, settings=settings)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    def setUp(self):
        self.program = self.cluster.programs["gateway0"]
        self.program.end()
        self.program.start()
        self.wait_for_answer()

    def wait_for_answer(self):
        body = {"model": "pipit-small", "prompt": "a"}
        wait_for(lambda: self.cluster.call("gateway0", "POST", "/v1/generate", body)[0] == 200, 30, "an answer")

    def play(self, kind, count, path="/v1/lots", body=MODELS_BODY):
        async def run():
            address = f"127.0.0.1:{self.program.ports[1]}"
            headers = {"Host": "a", "Content-Type": "application/json"}
            target = AbuseTarget(address, "POST", path, headers, body, HEAD_BYTES)
            clients = [AbusiveClient(kind, target) for _ in range(count)]
            tasks = [asyncio.create_task(client.run()) for client in clients]
            await asyncio.wait(tasks, timeout=SEND_S)
            await asyncio.sleep(1.0)
            self.check()
            for client in clients:
                client.close()

        asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))
        self.wait_for_answer()
        self.check()

    def check(self):
        peak = peak_memory_bytes(self.program.process.pid) / BYTES_PER_MB
        print(f"most memory: {peak:.0f} MB")
        self.assertLess(peak, RAM_MB + CACHE_MB)
        self.assertIsNone(self.program.process.poll())

    def test_bodies_that_stop_short_of_their_end(self):
        self.play(AbuseKind.UNFINISHED_BODY, 200)

    def test_large_chunks_that_stop_short_of_their_end(self):
        self.play(AbuseKind.UNFINISHED_LARGE_CHUNKS, 250)

    def test_heads_that_stop_short_of_their_end(self):
        self.play(AbuseKind.UNFINISHED_HEAD, 2000)

    def test_large_batches_at_once(self):
        self.play(AbuseKind.WHOLE_BODY, 80)

    def submit_and_cancel(self, count, **fields):
        """Submits batches and cancels each at once, so that none is open."""
        accepted = 0
        for number in range(count):
            keys = {name: f"{prefix}{number}" for name, prefix in fields.items()}
            body = {"items": [MODELS_ITEM] * 4, **keys}
            status, response, _ = self.cluster.call("gateway0", "POST", "/v1/lots", body)
            if status == 201:
                accepted += 1
                self.cluster.call("gateway0", "DELETE", f"/v1/lots/{response['lot']}")
        print(f"{accepted} of {count} batches were accepted")
        self.assertGreater(accepted, 0)
        self.wait_for_answer()
        self.check()

    def test_batches_that_are_cancelled(self):
        self.submit_and_cancel(120)

    def test_batches_with_keys_that_are_cancelled(self):
        self.submit_and_cancel(120, idempotency_key="key")

    def test_announcements_of_large_engines(self):
        announcement = {"address": "127.0.0.1:9", "pool": "models", "zone": "zone-a", "models": ["m" * 900_000]}
        for number in range(200):
            body = {"engine": f"unknown{number}", **announcement}
            self.cluster.call("gateway0", "POST", "/v1/engines", body)
        self.wait_for_answer()
        self.check()


if __name__ == "__main__":
    unittest.main()
