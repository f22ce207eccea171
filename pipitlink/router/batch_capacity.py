"""Limits how many batch items a gateway may run and start."""

from __future__ import annotations

from ..context import Context
from ..wire.cluster_pb2 import Route
from .call import weighted_pools
from .engine import ROOM_FRACTION, Engine
from .engine_registry import EngineRegistry
from .engine_selector import EngineSelector
from .slow_start import SlowStart
from .waiting_tokens import RouteBacklog

__all__ = ["BatchCapacity"]

# Batch items fill engines up to this fraction of their slots; the rest is reserved for live requests that arrive.
MAX_FILL_FRACTION = 0.85
# How many items may wait for the first event from their engine, as a fraction of the engines' slots that is divided
# among the gateways like the slots. While engines are overloaded and respond late, fewer items start, and the other
# gateways learn of them before the next ones start.
MAX_STARTING_FRACTION = 0.3
# What each gateway may run, and start at once, even where its fraction of the slots is smaller, so that every batch
# makes progress.
MIN_OWN_SLOTS = 1
MIN_STARTING_ITEMS = 2


class BatchCapacity:
    """Divides the capacity of the engines among the gateways that have unfinished batch items."""

    def __init__(self, ctx: Context, engines: EngineRegistry, selector: EngineSelector, slow_start: SlowStart) -> None:
        self._ctx = ctx
        self._engines = engines
        self._selector = selector
        self._slow_start = slow_start

    def available(self, route: Route, backlog: RouteBacklog) -> int:
        """Returns how many batch items on this route this gateway may start now; 0 or less if none.

        The slots that live requests leave free are divided among the gateways in proportion to the unfinished tokens
        of their batches; an engine in slow start counts as one slot while it admits a request. Each gateway fills only
        its share (but at least MIN_OWN_SLOTS), so it need not know what the others have started since their last
        reports, and cannot use up their shares. The number of its items that wait for the first event from their engine
        is limited in the same proportion (but at least MIN_STARTING_ITEMS).
        """
        slots = total_slots = running = 0
        engines = self._ready_engines(route)
        for engine in engines:
            if self._slow_start.in_slow_start(engine):
                slots += self._slow_start.admits(engine)
                continue
            total_slots += engine.slots
            load, batch_items = engine.load(self._ctx.timers.now())
            slots += max(0, int(MAX_FILL_FRACTION * engine.slots) - (load - batch_items))
            running += engine.batch_items
        if not engines:
            return 0
        fraction = backlog.own_tokens / backlog.total_tokens if backlog.total_tokens else 1.0
        own_slots = max(MIN_OWN_SLOTS, int(slots * fraction))
        max_starting = max(MIN_STARTING_ITEMS, int(MAX_STARTING_FRACTION * total_slots * fraction))
        return min(own_slots - running, max_starting - self._engines.starting_items)

    def has_room(self, route: Route) -> bool:
        """Returns whether fewer than ROOM_FRACTION of the slots of a route's ready engines are in use."""
        now = self._ctx.timers.now()
        engines = self._ready_engines(route)
        running = sum(engine.load(now).running for engine in engines)
        return running < ROOM_FRACTION * sum(engine.slots for engine in engines)

    def _ready_engines(self, route: Route) -> list[Engine]:
        return [
            engine
            for weighted_pool in weighted_pools(route)
            for engine in self._selector.ready_engines(weighted_pool.pool)
        ]
