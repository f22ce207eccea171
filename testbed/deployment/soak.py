"""A soak run of the programs of the deploy file: load, a seeded schedule of faults, and checks by the rules."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from random import Random

import attrs

from .abuse import AbuseLoop, MemoryMonitor
from .balancer import Balancer
from .bounds import ZONES
from .client_connection import exchange_once
from .clients import LiveClient, Style
from .engines import Engine
from .faults import FaultInjector, Profile, schedule
from .lots import LotClient
from .machines import ROOT, Deployment, Role
from .operator import Operator
from .record import ActionKind, LotRecord, Record, RunEnd
from .rules import violations

__all__ = ["DEFAULT_COUNTS", "HEAVY_LOAD", "LIGHT_LOAD", "DeployedSoak", "SoakPlan"]

DEFAULT_COUNTS: Mapping[Role, int] = {Role.CONTROLLER: 3, Role.STORAGE: 3, Role.GATEWAY: 6}
ENGINES = {"lm": 4, "api": 3, "alt": 2}
LIGHT_LOAD = {Style.STREAMS: 5}
HEAVY_LOAD = {Style.KEPT: 12, Style.FRESH: 4, Style.QUEUED: 3, Style.HALF_SENT: 2, Style.SLOW: 1}
LOT_CLIENTS = 6
ABUSIVE_CLIENTS = 12
MALFORMED_EVERY = 40
RAM_MB = 160
START_TIMEOUT_S = 30.0
SETTLE_S = 3.0
AFTER_FAULTS_S = 3.0
# How long closed connections of engines may take to end.
CLOSE_S = 0.2
# The longest that a client waits for a response when it is stopped.
CLIENT_STOP_TIMEOUT_S = 10.0


@attrs.frozen
class SoakPlan:
    """What one run does; `minutes` is the duration of its faults, and `clients` the number of clients by style.

    `abusive_clients` come beside those, and each process has `ram_mb` of memory.
    """

    seed: int
    minutes: float
    profile: Profile
    clients: Mapping[Style, int] = attrs.field(factory=lambda: HEAVY_LOAD)
    counts: Mapping[Role, int] = attrs.field(factory=lambda: DEFAULT_COUNTS)
    abusive_clients: int = ABUSIVE_CLIENTS
    ram_mb: int = RAM_MB
    keep: str | None = None
    root: Path = ROOT


class DeployedSoak:
    """One run. The load depends on the seed and on what happens; the schedule depends on the seed alone."""

    def __init__(self, plan: SoakPlan) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self.record = Record()
        self._deployment = Deployment(plan.counts, plan.keep, plan.root, {"ram_mb": plan.ram_mb})
        gateways = self._deployment.of(Role.GATEWAY)
        self._controllers = [machine.control_address for machine in self._deployment.of(Role.CONTROLLER)]
        self._operator = Operator(self._controllers, self.record, Random(plan.seed + 1))
        self._balancer = Balancer(gateways, Random(plan.seed + 2))
        self._engines: list[Engine] = []
        self._injector = FaultInjector(self._deployment, self._engines, self._operator, self.record, self._start_engine)
        self._clients = [self._live_client(style) for style, count in plan.clients.items() for _ in range(count)]
        self._lot_clients = [self._lot_client(number) for number in range(LOT_CLIENTS)]
        self._abuse = [self._abuse_loop(number) for number in range(plan.abusive_clients)]
        self._memory = MemoryMonitor(self._deployment, self.record, plan.ram_mb)

    def _live_client(self, style: Style) -> LiveClient:
        rng = Random(self._rng.getrandbits(32))
        return LiveClient(style, self._balancer, self.record, rng, self._operator.extra_routes)

    def _lot_client(self, number: int) -> LotClient:
        rng = Random(self._rng.getrandbits(32))
        return LotClient(self._balancer, self.record, rng, keeps_connection=number % 2 == 0)

    def _abuse_loop(self, number: int) -> AbuseLoop:
        rng = Random(f"{self._plan.seed}/{number}")
        return AbuseLoop(self._deployment, self._balancer, self.record, rng)

    def run(self) -> list[str]:
        """Runs the soak and returns a line for each broken rule."""
        try:
            asyncio.run(self._run())
        finally:
            self._deployment.close()
        core = {machine.name for machine in self._deployment.of(Role.CONTROLLER)}
        disks = {machine.name for machine in self._deployment.of(Role.STORAGE)}
        return violations(self.record, core, disks)

    async def _run(self) -> None:
        await self._start()
        balancer = asyncio.create_task(self._balancer.run())
        memory = asyncio.create_task(self._memory.run())
        await asyncio.sleep(SETTLE_S)
        live = [asyncio.create_task(client.run()) for client in self._clients]
        lots = [asyncio.create_task(client.run()) for client in self._lot_clients]
        abuse = [asyncio.create_task(loop.run()) for loop in self._abuse]
        await self._injector.inject(schedule(self._plan.seed, self._plan.profile, 60 * self._plan.minutes))
        await asyncio.sleep(AFTER_FAULTS_S)
        await self._finish_lots(lots)
        self.record.final_config = await self._operator.read_back()
        await self._stop_all_gateways()
        await self._stop_clients(live)
        await self._stop_abuse(abuse)
        balancer.cancel()
        memory.cancel()
        self._check_own_ends()
        for client in self._lot_clients:
            client.close()
        for engine in self._engines:
            engine.end()
        await asyncio.sleep(CLOSE_S)

    async def _start(self) -> None:
        for machine in self._deployment.machines.values():
            self.record.act(ActionKind.START, machine.name)
            self._deployment.start(machine)
        await self._operator.hand_in_first()
        for service, count in ENGINES.items():
            for number in range(count):
                await self._start_engine(service, ZONES[number % len(ZONES)])
        for gateway in self._deployment.of(Role.GATEWAY):
            await asyncio.wait_for(self._wait_until_ready(gateway.readiness_address), START_TIMEOUT_S)

    async def _wait_until_ready(self, address: str) -> None:
        while await exchange_once(address, "GET", "/ready", {}, b"", 1.0) != 200:
            await asyncio.sleep(0.1)

    async def _start_engine(self, service: str, zone: str) -> None:
        host = self._deployment.engine_host(len(self.record.runs))
        engine = Engine(service, zone, host, self._controllers, self.record, malformed_every=MALFORMED_EVERY)
        await engine.start()
        self._engines.append(engine)

    async def _finish_lots(self, tasks: list[asyncio.Task[None]]) -> None:
        """Stops the clients of lots, and reads all lots that were accepted once more."""
        for client in self._lot_clients:
            client.is_stopped = True
        await self._wait_for(tasks)
        accepted = [lot for lot in self.record.lots if lot.accepted_at is not None]
        readers = self._lot_clients
        await asyncio.gather(
            *(self._read_lots(reader, accepted[number :: len(readers)]) for number, reader in enumerate(readers))
        )

    async def _read_lots(self, reader: LotClient, lots: list[LotRecord]) -> None:
        for lot in lots:
            await reader.read_all(lot)

    async def _stop_all_gateways(self) -> None:
        """Stops all gateways at once, while clients go on with the connections that they have."""
        gateways = self._deployment.of(Role.GATEWAY)
        for gateway in gateways:
            self.record.act(ActionKind.TERMINATE, gateway.name)
            gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self._injector.wait_for_exit(gateway) for gateway in gateways))

    async def _stop_clients(self, tasks: list[asyncio.Task[None]]) -> None:
        for client in self._clients:
            client.is_stopped = True
        await self._wait_for(tasks)

    async def _stop_abuse(self, tasks: list[asyncio.Task[None]]) -> None:
        for loop in self._abuse:
            loop.is_stopped = True
        if tasks:
            await self._wait_for(tasks)

    async def _wait_for(self, tasks: list[asyncio.Task[None]]) -> None:
        done, pending = await asyncio.wait(tasks, timeout=CLIENT_STOP_TIMEOUT_S)
        for task in pending:
            task.cancel()
        for task in done:
            task.result()

    def _check_own_ends(self) -> None:
        """Notes processes that ended although nothing was done to them."""
        for machine in self._deployment.machines.values():
            if machine.role != Role.GATEWAY and not machine.is_running:
                self.record.failures.append(f"{machine.name} has ended by itself")

    def summary(self) -> str:
        """Returns counts of what happened in one line."""
        record = self.record
        live = [x for x in record.exchanges if not x.is_lot_call and x.sent_at is not None]
        statuses = Counter(x.status if x.is_complete else "cut" for x in live)
        malformed = sum(run.end == RunEnd.MALFORMED for run in record.runs)
        actions = Counter(action.kind.value for action in record.actions)
        return (
            f"{len(record.exchanges)} exchanges, live {dict(statuses)}; "
            f"{len(record.runs)} runs, {malformed} of them with a malformed response; "
            f"{sum(lot.accepted_at is not None for lot in record.lots)} of {len(record.lots)} lots accepted; "
            f"{dict(actions)}; {len(record.orders)} orders; {self._injector.skipped} faults skipped; "
            f"{len(self._abuse)} abusive clients at a time, most memory {self._memory.most_mb:.0f} MB"
        )
