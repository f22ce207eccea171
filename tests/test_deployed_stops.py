"""Gateways of the deploy file are stopped while clients use their connections in all ways that they may."""

import asyncio
import os
import signal
import unittest
from pathlib import Path
from random import Random

from testbed.deployment.balancer import OnlyGateway
from testbed.deployment.client_connection import ClientConnection, exchange_once
from testbed.deployment.clients import request_headers
from testbed.deployment.configurations import HOST
from testbed.deployment.engines import Engine, large_body
from testbed.deployment.lots import LotClient
from testbed.deployment.machines import ROOT, Deployment, Role
from testbed.deployment.operator import Operator
from testbed.deployment.record import Exchange, LotRecord, Record, RouteKind, now

PROGRAMS_ROOT = Path(os.environ.get("DEPLOYMENT_ROOT", ROOT))
"""The folder of the project whose programs are tested; the variable selects another release."""

COUNTS = {Role.CONTROLLER: 3, Role.STORAGE: 3, Role.GATEWAY: 2}
LOT_EVENTS = 60
FIRST_STREAM_EVENTS = 27
SECOND_STREAM_EVENTS = 12
SECOND_SIGTERM_S = 1.0
SIGHUP_S = 1.5
AFTER_ACCEPTING_S = 2.5


class _Stop:
    """Starts a small deployment, stops its gateways, and records what clients saw meanwhile.

    One gateway has a single kept connection, the other one all other connections, and gets further signals.
    """

    def __init__(self):
        self.record = Record()
        self.deployment = Deployment(COUNTS, root=PROGRAMS_ROOT)
        self.gateway, self.quiet_gateway = self.deployment.of(Role.GATEWAY)
        self.controllers = [machine.control_address for machine in self.deployment.of(Role.CONTROLLER)]
        self.seen: dict[str, list[Exchange]] = {}
        self.exit_s = 0.0

    async def run(self):
        for machine in self.deployment.machines.values():
            self.deployment.start(machine)
        await Operator(self.controllers, self.record, Random(1)).hand_in_first()
        engines = [
            Engine(service, zone, self.deployment.engine_host(0), self.controllers, self.record)
            for service, zone in (("lm", "zone-a"), ("lm", "zone-b"), ("api", "zone-a"))
        ]
        for engine in engines:
            await engine.start()
        for gateway in (self.gateway, self.quiet_gateway):
            while await exchange_once(gateway.readiness_address, "GET", "/ready", {}, b"", 1.0) != 200:
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        await self._hand_in_lot("lot", self.gateway)
        await self._hand_in_lot("lot2", self.quiet_gateway)
        scenarios = (self.kept, self.unused, self.queued, self.half_sent, self.slow, self.waiting_read, self.lot_call)
        tasks = [asyncio.create_task(scenario(scenario.__name__)) for scenario in scenarios]
        await asyncio.sleep(0.4)
        await self._stop()
        await asyncio.gather(*tasks)
        for engine in engines:
            engine.end()

    async def _stop(self):
        self.stopped_at = now()
        self.gateway.send_signal(signal.SIGTERM)
        self.quiet_gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(SECOND_SIGTERM_S)
        self.gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(SIGHUP_S - SECOND_SIGTERM_S)
        self.gateway.send_signal(signal.SIGHUP)
        while self.gateway.is_running:
            await asyncio.sleep(0.02)
        self.exit_s = now() - self.stopped_at

    async def _hand_in_lot(self, lot_id, gateway):
        lot = LotRecord(lot_id, [(f"{lot_id}-0", LOT_EVENTS)], {f"{lot_id}-0": b"body"})
        client = LotClient(OnlyGateway(gateway), self.record, Random(1), keeps_connection=False)
        await client._hand_in(lot)
        assert lot.accepted_at is not None, lot.tries

    async def connect(self, gateway=None, **fields):
        connection = ClientConnection((gateway or self.gateway).public_address, **fields)
        await connection.open()
        return connection

    def exchange(self, scenario, route, kind, path, events=0):
        request_id = f"{scenario}-{len(self.seen.get(scenario, ()))}"
        exchange = Exchange(request_id, self.gateway.name, route, kind, f"{path}{request_id}", b"x", 6.0, events)
        self.seen.setdefault(scenario, []).append(exchange)
        return exchange

    def stream(self, scenario, events):
        return self.exchange(scenario, "quick", RouteKind.STREAMING, "/quick/", events)

    async def _until(self, seconds_after_stop):
        while not hasattr(self, "stopped_at"):
            await asyncio.sleep(0.02)
        await asyncio.sleep(max(0.0, self.stopped_at + seconds_after_stop - now()))

    async def kept(self, name):
        """Sends requests on one connection as long as it stands; the first stream ends after the port is closed."""
        connection = await self.connect(self.quiet_gateway)
        events = FIRST_STREAM_EVENTS
        while connection.is_reusable and not connection.has_ended():
            stream = self.stream(name, events)
            await connection.exchange(stream, "POST", request_headers(stream))
            events = SECOND_STREAM_EVENTS
            await asyncio.sleep(0.05)

    async def unused(self, name):
        """Uses a connection for the first time after the stop has begun."""
        connection = await self.connect()
        await self._until(1.2)
        stream = self.stream(name, SECOND_STREAM_EVENTS)
        await connection.exchange(stream, "POST", request_headers(stream))

    async def queued(self, name):
        """Sends a request behind another one, both before the stop."""
        connection = await self.connect()
        first, second = (self.exchange(name, "read", RouteKind.IDEMPOTENT, "/read/") for _ in range(2))
        await self._until(0.5)
        await connection.send(first, "POST", request_headers(first))
        await connection.send(second, "POST", request_headers(second))
        await connection.receive(first)
        await connection.receive(second)

    async def half_sent(self, name):
        """Sends the last byte of a request after the port is closed."""
        connection = await self.connect(pause_in_request_s=AFTER_ACCEPTING_S + 0.6)
        stream = self.stream(name, SECOND_STREAM_EVENTS)
        await connection.exchange(stream, "POST", request_headers(stream))

    async def slow(self, name):
        """Reads a large response slowly."""
        connection = await self.connect(reads_slowly=True)
        await self._until(1.5)
        exchange = self.exchange(name, "read", RouteKind.IDEMPOTENT, "/read/large/")
        await connection.exchange(exchange, "POST", request_headers(exchange))

    async def waiting_read(self, name):
        """Waits for a result of a batch, on a kept connection."""
        connection = await self.connect()
        exchange = self.exchange(name, "rounds", RouteKind.BULK, "/lots/")
        exchange.path, exchange.body = "/lots/lot?last_seen=0", b""
        await connection.exchange(exchange, "GET", {"Host": HOST, "Pipitlink-Poll-Wait-Ms": "1000"})

    async def lot_call(self, name):
        """Reads the body of an item on a connection that was kept since before the stop."""
        connection = await self.connect()
        await self._until(1.8)
        exchange = self.exchange(name, "rounds", RouteKind.BULK, "/items/")
        exchange.path, exchange.body = "/items/lot?id=lot-0", b""
        await connection.exchange(exchange, "GET", {"Host": HOST})


class DeployedStops(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.stop = _Stop()
        cls.addClassCleanup(cls.stop.deployment.close)
        asyncio.run(asyncio.wait_for(cls.stop.run(), 90))

    def assert_answered(self, name):
        for exchange in self.stop.seen[name]:
            self.assertEqual((exchange.status, exchange.is_complete), (200, True), exchange)
            self.assertTrue(exchange.announces_close or exchange is not self.stop.seen[name][-1], exchange.headers)

    def test_requests_of_a_kept_connection_are_answered_or_not_read(self):
        """Guards against a stream that is passed on and cut while batches are handed over (review/4)."""
        first, *others = self.stop.seen["kept"]
        self.assertTrue(first.is_complete, first)
        self.assertGreater(first.ended_at - self.stop.stopped_at, 2.3)
        runs = {run.request_id for run in self.stop.record.runs}
        cut = [exchange for exchange in others if exchange.request_id in runs and not exchange.is_complete]
        self.assertEqual(cut, [])

    def test_a_connection_that_is_first_used_after_the_stop_began(self):
        self.assert_answered("unused")

    def test_a_request_queued_behind_another(self):
        self.assert_answered("queued")

    def test_a_request_that_is_complete_after_the_port_is_closed(self):
        self.assert_answered("half_sent")

    def test_a_large_response_that_is_read_slowly(self):
        self.assert_answered("slow")
        (exchange,) = self.stop.seen["slow"]
        self.assertEqual(exchange.response, large_body(exchange.request_id))

    def test_calls_for_batches(self):
        self.assert_answered("waiting_read")
        self.assert_answered("lot_call")

    def test_further_signals_neither_shorten_nor_prolong_the_stop(self):
        self.assertEqual(self.stop.gateway.process.returncode, 0)
        self.assertGreater(self.stop.exit_s, 2.3)
        self.assertLess(self.stop.exit_s, 8.0)


if __name__ == "__main__":
    unittest.main()
