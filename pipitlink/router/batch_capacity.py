"""How many items of batches a gateway may start."""

from __future__ import annotations

from ..context import Context
from ..wire.cluster_pb2 import Route
from .call import weighted_pools
from .engine_registry import EngineRegistry
from .engine_selector import EngineSelector
from .slow_start import SlowStart
from .waiting_tokens import RouteBacklog

__all__ = ["BatchCapacity"]

# How far engines are filled by items of batches, in parts of their slots.
BATCH_FILL = 1.0
# How many items a gateway may start into slots that other gateways' items still hold.
MAX_AHEAD = 8


class BatchCapacity:
    """Divides the capacity of the engines among the gateways that have items of batches."""

    def __init__(self, ctx: Context, engines: EngineRegistry, selector: EngineSelector, slow_start: SlowStart) -> None:
        self._ctx = ctx
        self._engines = engines
        self._selector = selector
        self._slow_start = slow_start

    def available(self, route: Route, backlog: RouteBacklog) -> int:
        """Returns how many items of batches on this route may be started now from this gateway.

        These are as many as fit into free slots, or into what its share of all slots still lacks. Shares go by the
        tokens that wait at each gateway, so that in a crowd of batches none waits behind the slots that others hold.
        """
        free = slots = running = 0
        for weighted_pool in weighted_pools(route):
            for engine in self._selector.ready_engines(weighted_pool.pool):
                if self._slow_start.is_warming_up(engine):
                    free += self._slow_start.admits(engine)
                    continue
                load, batch_items = engine.load(self._ctx.timers.now())
                batch_slots = int(BATCH_FILL * engine.slots)
                free += max(0, batch_slots - load)
                slots += max(0, batch_slots - (load - batch_items))
                running += engine.batch_items
        own_slots = int(slots * backlog.own_tokens / backlog.total_tokens) if backlog.total_tokens else 0
        return max(free, min(own_slots - running, MAX_AHEAD))
