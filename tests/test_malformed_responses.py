"""Malformed responses of engines reach no client of a gateway of the deploy file, over real sockets.

A malformed response counts as bytes that are no response: it refuses nothing, promises nothing, and its connection is
closed. A request that may be repeated is served by another engine, any other one gets 502 after one run.
"""

import asyncio
import os
import re
import unittest
from itertools import product
from pathlib import Path
from random import Random

from testbed.deployment.balancer import OnlyGateway
from testbed.deployment.bounds import ZONES
from testbed.deployment.client_connection import ClientConnection, exchange_once, fetch_once
from testbed.deployment.clients import request_headers
from testbed.deployment.engines import event_data
from testbed.deployment.lots import LotClient
from testbed.deployment.machines import ROOT, Deployment, Role
from testbed.deployment.operator import Operator
from testbed.deployment.record import Exchange, LotRecord, Record, RouteKind
from testbed.standins.response_cases import (
    CUT,
    MALFORMED_CHUNKS,
    MALFORMED_HEADS,
    REFUSED_STATUSES,
    SOUND,
    malformed_refusal,
)

from .case_engine import CaseEngine, Script, whole_body

PROGRAMS_ROOT = Path(os.environ.get("DEPLOYMENT_ROOT", ROOT))
"""The folder of the project whose programs are tested; the variable selects another release."""

COUNTS = {Role.CONTROLLER: 3, Role.STORAGE: 3, Role.GATEWAY: 1}
SERVICES = ("lm", "api")
# So many that some are always ready, although each one that fails twice is ejected for a time.
ENGINES_PER_SERVICE = 12
REFUSALS = tuple(malformed_refusal(status, "Pipitlink-Not-Executed") for status in REFUSED_STATUSES)
HEADS = (*MALFORMED_HEADS, *REFUSALS)
CASES = (*HEADS, *MALFORMED_CHUNKS, *SOUND, CUT)
EVENTS = {"quick": 2, "once": 2, "write": 0, "read": 0, "item": 2}
KINDS = {
    "quick": RouteKind.STREAMING,
    "once": RouteKind.STREAMING,
    "write": RouteKind.MUTATING,
    "read": RouteKind.IDEMPOTENT,
}
UNREPEATABLE = ("once", "write")
REPEATABLE = ("quick", "read")
MODES = ("whole", "pieces")
DEADLINE_S = 6.0
CLOSE_TIMEOUT_S = 5.0


class _Scenario:
    """Sends a request of each kind for each case, whose responses come whole or in pieces, and an item for each."""

    def __init__(self):
        self.record = Record()
        self.script = Script(malformed={*HEADS, *MALFORMED_CHUNKS})
        self.deployment = Deployment(COUNTS, root=PROGRAMS_ROOT)
        (self.gateway,) = self.deployment.of(Role.GATEWAY)
        self.controllers = [machine.control_address for machine in self.deployment.of(Role.CONTROLLER)]
        self.exchanges: dict[tuple, Exchange] = {}
        self.items: dict[tuple, str] = {}
        self.messages: dict[str, str] = {}

    async def run(self):
        for machine in self.deployment.machines.values():
            self.deployment.start(machine)
        await Operator(self.controllers, self.record, Random(1)).hand_in_first()
        engines = [
            await self._start_engine(service, ZONES[number % 2])
            for service in SERVICES
            for number in range(ENGINES_PER_SERVICE)
        ]
        while await exchange_once(self.gateway.readiness_address, "GET", "/ready", {}, b"", 1.0) != 200:
            await asyncio.sleep(0.1)
        for routes in (UNREPEATABLE, REPEATABLE):
            await self._wait_until_engines_are_ready()
            await asyncio.gather(*(self._send_all(route) for route in routes))
        for mode in MODES:
            await self._wait_until_engines_are_ready()
            await self._run_items(mode)
        await self._wait_for_closes()
        _, self.metrics = await fetch_once(self.gateway.operator_address, "GET", "/metrics", {}, b"", 5.0)
        for engine in engines:
            engine.end()
        await asyncio.sleep(0)

    async def _start_engine(self, service, zone):
        engine = CaseEngine(service, zone, self.deployment.engine_host(0), self.controllers, self.record)
        engine.script = self.script
        await engine.start()
        return engine

    async def _wait_until_engines_are_ready(self):
        """Waits until the gateway knows all engines, and has ejected none."""
        state = b""
        while state.count(b"ready 127.") != len(SERVICES) * ENGINES_PER_SERVICE:
            await asyncio.sleep(0.1)
            _, state = await fetch_once(self.gateway.operator_address, "GET", "/v1/status", {}, b"", 5.0)

    def _plan(self, kind, number, case, mode) -> str:
        request_id = f"{kind}-{number}-{mode}"
        self.script.cases[request_id] = case
        if mode == "pieces":
            self.script.in_pieces.add(request_id)
        return request_id

    async def _send_all(self, route):
        connection = None
        for mode in MODES:
            for number, case in enumerate(CASES):
                request_id = self._plan(route, number, case, mode)
                kind, events = KINDS[route], EVENTS[route]
                path = f"/{route}/{request_id}"
                exchange = Exchange(
                    request_id, self.gateway.name, route, kind, path, b"prompt", DEADLINE_S, events=events
                )
                self.exchanges[route, mode, case] = exchange
                if connection is None or not connection.is_reusable or connection.has_ended():
                    connection = ClientConnection(self.gateway.public_address)
                    await connection.open()
                await connection.exchange(exchange, "POST", request_headers(exchange))
        connection.close()

    async def _run_items(self, mode):
        cases = dict(enumerate(CASES))
        ids = {number: self._plan("item", number, case, mode) for number, case in cases.items()}
        self.items.update({(mode, case): ids[number] for number, case in cases.items()})
        items = [(item, EVENTS["item"]) for item in ids.values()]
        lot = LotRecord(f"lot-{mode}", items, dict.fromkeys(ids.values(), b"body"))
        client = LotClient(OnlyGateway(self.gateway), self.record, Random(1), keeps_connection=False)
        await client._hand_in(lot)
        assert lot.accepted_at is not None, lot.tries
        await client.read_all(lot)
        self.messages.update({row["id"]: row["message"] for row in lot.final_outputs if row["state"] == "complete"})

    async def _wait_for_closes(self):
        loop = asyncio.get_running_loop()
        until = loop.time() + CLOSE_TIMEOUT_S
        while self.script.still_open and loop.time() < until:
            await asyncio.sleep(0.02)

    def engines_run(self, request_id):
        return [run.engine for run in self.record.runs if run.request_id == request_id]


class MalformedResponses(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.scenario = scenario = _Scenario()
        cls.addClassCleanup(scenario.deployment.close)
        asyncio.run(scenario.run())
        log = scenario.deployment.folder / f"{scenario.gateway.name}.log"
        cls.log = log.read_text()
        metric = re.search(rb"^pipitlink_calls_malformed (\S+)$", scenario.metrics, re.MULTILINE)
        cls.counted = float(metric.group(1)) if metric else None

    def check_each(self, routes, cases, check):
        """Calls `check` with the exchange of each route, case and mode, and with the engines that ran it."""
        for route, mode, case in product(routes, MODES, cases):
            exchange = self.scenario.exchanges[route, mode, case]
            with self.subTest(route=route, mode=mode, case=case.name):
                check(exchange, self.scenario.engines_run(exchange.request_id))

    def seen(self, exchange):
        state = "complete" if exchange.is_complete else f"incomplete, {exchange.error}"
        return f"{exchange.status} {exchange.response[:60]!r} {state}"

    def check_served(self, exchange):
        whole = whole_body(exchange.request_id, exchange.events)
        self.assertTrue(exchange.is_complete, self.seen(exchange))
        self.assertEqual((exchange.status, exchange.response), (200, whole), self.seen(exchange))

    def check_not_served(self, exchange):
        self.assertEqual((exchange.status, exchange.is_complete), (502, True), self.seen(exchange))
        self.assertNotIn("pipitlink-server-seal", exchange.headers)

    def test_a_malformed_head_ends_a_request_that_must_not_be_repeated_with_502_after_one_run(self):
        def check(exchange, engines):
            self.check_not_served(exchange)
            self.assertEqual(len(engines), 1)

        self.check_each(UNREPEATABLE, HEADS, check)

    def check_served_elsewhere(self, exchange, engines):
        self.check_served(exchange)
        self.assertEqual((len(engines), len(set(engines))), (2, 2))

    def test_after_a_malformed_head_a_request_that_may_be_repeated_is_served_by_another_engine(self):
        self.check_each(REPEATABLE, HEADS, self.check_served_elsewhere)

    def test_a_stream_with_a_malformed_chunk_is_resumed_at_another_engine(self):
        self.check_each(("quick",), MALFORMED_CHUNKS, self.check_served_elsewhere)

    def test_a_malformed_chunk_never_makes_a_complete_response(self):
        def check(exchange, engines):
            if exchange.is_complete and len(engines) > 1:
                self.check_served(exchange)
            elif exchange.is_complete:
                self.check_not_served(exchange)
            self.assertLessEqual(len(engines), 1 if exchange.route in UNREPEATABLE else 2)

        self.check_each((*UNREPEATABLE, "read"), MALFORMED_CHUNKS, check)

    def test_sound_responses_are_passed_on_whole_after_one_run(self):
        def check(exchange, engines):
            self.check_served(exchange)
            self.assertEqual(exchange.headers.get("pipitlink-server-seal"), f"seal-{exchange.request_id}")
            self.assertEqual(len(engines), 1)

        self.check_each(KINDS, SOUND, check)

    def test_items_run_again_after_a_malformed_response_and_once_after_a_sound_one(self):
        for (mode, case), item in self.scenario.items.items():
            with self.subTest(mode=mode, case=case.name):
                message = "\n".join(event_data(item, number) for number in range(1, EVENTS["item"] + 1))
                self.assertEqual(self.scenario.messages.get(item), message)
                self.assertEqual(len(self.scenario.engines_run(item)), 1 if case in SOUND else 2)

    def test_the_connection_of_a_malformed_response_is_closed_and_not_used_again(self):
        self.assertEqual(self.scenario.script.still_open, 0)
        self.assertEqual(self.scenario.script.used_again, [])

    def test_malformed_responses_are_counted_and_logged_and_lost_connections_are_not(self):
        sent = self.scenario.script.malformed_sent
        self.assertEqual(sent, 5 * len(MODES) * len((*HEADS, *MALFORMED_CHUNKS)))
        self.assertEqual(self.counted, sent)
        self.assertEqual(self.log.count("event=engine_response_malformed"), sent)


if __name__ == "__main__":
    unittest.main()
