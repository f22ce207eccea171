"""This gateway's quota of the engines' capacity."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from typing import Protocol

import attrs
from twisted.internet import defer

from ..context import Context
from ..timers import ms, secs, spawn, wall_ms
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Load, Loads
from ..wire.rpc import Address
from .engine import Engine, PeerLoad
from .engine_registry import EngineRegistry

__all__ = ["CapacityQuota", "EngineSlots", "LoadReportContributor"]

REPORT_INTERVAL = ms(200)
REPORT_TIMEOUT = ms(400)
PEER_LOAD_VALIDITY = secs(2)
REPORT_LINGER_TIME = secs(6)
SLOW_START_DURATION = secs(8)
SLOW_START_MIN_FRACTION = 0.1
ROTATION_MS = 100
PROMPT_REPORT_DELAY = ms(5)
RANK_BYTES = 8


class LoadReportContributor(Protocol):
    """A component that adds its own data to the load reports between gateways."""

    def add_to_report(self, loads: Loads) -> None:
        """Adds its data to this gateway's report."""

    def apply_report(self, loads: Loads) -> None:
        """Reads its data from another gateway's report."""


@attrs.frozen
class CapacityQuota:
    """A gateway's quota of an engine's slots.

    The quotas of all gateways add up to the number of slots. The remainder of the division rotates among the gateways.
    """

    gateways: int
    turn: int

    def of(self, slots: int) -> int:
        """Returns this gateway's quota of a number of slots."""
        return slots // self.gateways + (self.turn < slots % self.gateways)


class EngineSlots:
    """Counts the requests on each engine, from this gateway and by the reports of others, and how many may be added.

    Gateways report their loads several times a second, and at once after a request went to an engine in slow start,
    because the slots of such an engine rotate faster than that.
    """

    def __init__(self, ctx: Context, registry: EngineRegistry) -> None:
        self._ctx = ctx
        self._registry = registry
        self._waiters: list[defer.Deferred[None]] = []
        self._reported: dict[str, int] = {}
        self._contributors: list[LoadReportContributor] = []
        self._report_scheduled = False
        self._active_at = ctx.timers.now()
        registry.add_new_engine_listener(self.notify_capacity)

    def open(self) -> None:
        """Registers the handler of reports, and starts to send reports."""
        self._ctx.rpc.register_handler("engines.loads", Loads, self.handle_loads)
        self._ctx.timers.call_repeatedly(REPORT_INTERVAL, self.report_loads, self._ctx.error_reporter("report_loads"))

    def add_contributor(self, contributor: LoadReportContributor) -> None:
        """Adds a component that fills and reads the reports too."""
        self._contributors.append(contributor)

    def record_rejection(self, engine: Engine) -> None:
        """Makes an engine that rejects requests far below its capacity suspect, and restarts its slow start."""
        if 2 * (self.running(engine) - 1) < self.capacity(engine):
            engine.failed_at = engine.ready_since = self._ctx.timers.now()

    def capacity(self, engine: Engine) -> int:
        """Returns how many requests may run on the engine now, which grows with its age in slow start."""
        age = (self._ctx.timers.now() - engine.ready_since) / SLOW_START_DURATION
        fraction = min(1.0, SLOW_START_MIN_FRACTION + (1 - SLOW_START_MIN_FRACTION) * age)
        return max(1, int(engine.update.capacity * fraction))

    def running(self, engine: Engine) -> int:
        """Returns how many requests run on the engine: this gateway's, and others' by their recent reports."""
        now = self._ctx.timers.now()
        return engine.local_requests + sum(
            load.running for load in engine.peer_loads.values() if now - load.reported_at < PEER_LOAD_VALIDITY
        )

    def free_slots(self, engine: Engine, reserve: float = 0.0) -> int:
        """Returns how many requests this gateway may add, with a fraction `reserve` of the capacity left free.

        That is the rest of its guaranteed quota or of its quota of the free slots, whichever is larger. Requests that
        it added since its last report count against its quota of the free slots. In slow start there is no guaranteed
        quota: other gateways may hold the few slots, which rotate.
        """
        capacity = int(self.capacity(engine) * (1 - reserve))
        free = capacity - self.running(engine)
        unreported = max(0, engine.local_requests - self._reported.get(engine.name, 0))
        quota = self._quota(engine)
        part_of_free = quota.of(max(0, free + unreported)) - unreported
        guaranteed = 0 if self._in_slow_start(engine) else quota.of(capacity) - engine.local_requests
        return max(0, min(free, max(guaranteed, part_of_free)))

    def acquire(self, engine: Engine, *, is_batch_item: bool) -> Callable[[], None]:
        """Acquires a slot of the engine; returns the function that releases it, to be called once."""
        engine.change_local_requests(1, is_batch_item=is_batch_item)
        if self._in_slow_start(engine) and not self._report_scheduled:
            self._report_scheduled = True
            self._ctx.timers.call_later(PROMPT_REPORT_DELAY, self.report_loads)
        return partial(self._release, engine.name, is_batch_item)

    def wait_for_capacity(self, waiter: defer.Deferred[None]) -> None:
        """Adds a Deferred to fire as soon as some engine may have more free slots."""
        self._waiters.append(waiter)

    def notify_capacity(self) -> None:
        """Fires all Deferreds that wait for a free slot."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def keep_reporting(self) -> None:
        """Keeps reports going for some seconds, because a coordinator may hold a permit in this gateway's name."""
        self._active_at = self._ctx.timers.now()

    def report_loads(self) -> None:
        """Sends this gateway's loads to the others, while there is something to report and for some seconds after."""
        self._report_scheduled = False
        now = self._registry.check_for_suspension()
        self._registry.remove_silent_engines(now)
        running = {engine.name: engine.local_requests for engine in self._registry.unordered()}
        self._reported = running
        loads = Loads(gateway=self._ctx.node, loads=[Load(engine=name, running=n) for name, n in running.items()])
        for contributor in self._contributors:
            contributor.add_to_report(loads)
        if loads.permits or loads.lots or any(running.values()):
            self._active_at = now
        if now - self._active_at < REPORT_LINGER_TIME:
            self._send(loads)
        self.notify_capacity()

    async def handle_loads(self, _: str, loads: Loads) -> None:
        """Records the report of another gateway."""
        for contributor in self._contributors:
            contributor.apply_report(loads)
        now = self._ctx.timers.now()
        for load in loads.loads:
            engine = self._registry.get(load.engine)
            if engine is not None:
                engine.peer_loads[loads.gateway] = PeerLoad(load.running, now)

    def _send(self, loads: Loads) -> None:
        for member in self._ctx.membership.members("gateway", include_self=False):
            address: Address = (member.host, member.port)
            call = spawn(self._ctx.rpc.call(address, "engines.loads", loads, Empty, REPORT_TIMEOUT))
            call.addErrback(lambda _: None)

    def _in_slow_start(self, engine: Engine) -> bool:
        return self._ctx.timers.now() - engine.ready_since < SLOW_START_DURATION

    def _quota(self, engine: Engine) -> CapacityQuota:
        """Returns this gateway's current quota of the engine.

        In slow start, gateways that were alive a short time ago keep their quotas: they may only be partitioned off.
        """
        membership = self._ctx.membership
        gateways = {member.node for member in membership.members("gateway", statuses=("alive",))} | {self._ctx.node}
        if self._in_slow_start(engine):
            gateways |= self._recently_alive_gateways()
        ranked = sorted(gateways, key=lambda gateway: _quota_rank(engine.name, gateway))
        rotation = wall_ms(self._ctx.timers.utc_now()) // ROTATION_MS
        return CapacityQuota(len(ranked), (ranked.index(self._ctx.node) + rotation) % len(ranked))

    def _recently_alive_gateways(self) -> set[str]:
        membership = self._ctx.membership
        return {
            member.node
            for member in membership.members("gateway", statuses=("suspect", "gone"))
            if membership.time_in_status(member.node) < SLOW_START_DURATION
        }

    def _release(self, name: str, is_batch_item: bool) -> None:
        engine = self._registry.get(name)
        if engine is not None:
            engine.change_local_requests(-1, is_batch_item=is_batch_item)
        self.notify_capacity()


def _quota_rank(engine: str, gateway: str) -> bytes:
    return blake2b(f"{engine}/{gateway}".encode(), digest_size=RANK_BYTES).digest()
