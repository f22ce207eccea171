"""Load balancing: chooses the engine for each call by its expected wait."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from math import log
from typing import NamedTuple

from twisted.internet import defer

from ..context import Context
from ..errors import ServiceUnavailable
from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from .call import Call, PromptPart, weighted_pools
from .connection_pool import ConnectionPool
from .engine import Engine, EngineLoad, EngineStatus
from .engine_registry import EngineRegistry
from .slow_start import SlowStart

__all__ = ["EngineSelector"]

# Costs are in ms of expected wait, according to the speed of the engines.
PREFILL_TOKENS_PER_MS = 150
RUNNING_COST_MS = 1.5
OTHER_ZONE_COST_MS = 5.0
CONNECT_COST_MS = 5.0
FULL_COST_MS = 20.0
# The random part of the costs, as a fraction of the average cost per engine of the requests of other gateways.
SPREAD_FRACTION = 0.5
MIN_SPREAD_MS = 0.5
# A live call on an engine whose remaining slots are taken by batch items makes the engine preempt one of them.
PREEMPTION_COST_MS = 6.0
# The maximum number of requests on an engine, as a multiple of its slots.
MAX_LIVE_FILL = 1.5
MAX_BATCH_FILL = 1.3
# A live call waits for capacity for WAIT_FRACTION of its latency target, but at most MAX_WAIT.
MAX_WAIT = ms(60)
WAIT_FRACTION = 0.2
RECHECK_INTERVAL = ms(15)
MAX_WAITING = 256
# Calls that share a prefix of at least this many tokens prefer the same engine (prefix affinity).
MIN_AFFINITY_TOKENS = 256
LONG_PROMPT_TOKENS = 3000
# For LONG_PROMPT_WINDOW after a long prompt to a pool with at least MIN_ENGINES_TO_SEPARATE engines, long prompts and
# batch items prefer this fraction of its engines, and other calls prefer the rest.
LONG_PROMPT_FRACTION = 0.67
LONG_PROMPT_WINDOW = secs(10)
MIN_ENGINES_TO_SEPARATE = 4
LONG_PROMPT_ELSEWHERE_COST_MS = 60.0
NEAR_LONG_PROMPTS_COST_MS = 20.0
BATCH_ITEM_ELSEWHERE_COST_MS = 8.0
DEFAULT_MAX_CONNECTIONS = 1000
# All gateways together may use this fraction of an engine's connections; the rest is reserved for gateways that join.
CONNECTION_FRACTION = 0.9
MIN_RETRY_AFTER_S = 0.05
RETRY_AFTER_JITTER_S = 0.15


class _CallTraits(NamedTuple):
    """The properties of a call that the choice of its engine depends on."""

    shared_parts: list[PromptPart]
    is_long: bool
    is_batch_item: bool
    own_part_tokens: int
    long_prompt_engines: set[str]
    preferred_engine: str
    max_connections: int

    def competing_requests(self, load: EngineLoad) -> int:
        """Returns the number of requests that the call cannot preempt: live calls preempt batch items."""
        return load.running if self.is_batch_item else load.running - load.batch_items


def _preferred_engine(shared_parts: Sequence[PromptPart], engines: Sequence[str]) -> str:
    """Returns the engine that should have a shared prefix in its cache, or an empty string for a short prefix.

    All gateways that know the same engines choose the same one.
    """
    if sum(part.tokens for part in shared_parts) < MIN_AFFINITY_TOKENS:
        return ""
    key = "/".join(part.part_id for part in shared_parts)
    return max(engines, key=lambda name: rank(key, name))


def _separation_cost(traits: _CallTraits, has_long_prompts: bool) -> float:
    if traits.is_long:
        return 0.0 if has_long_prompts else LONG_PROMPT_ELSEWHERE_COST_MS
    if traits.is_batch_item:
        return 0.0 if has_long_prompts else BATCH_ITEM_ELSEWHERE_COST_MS
    return NEAR_LONG_PROMPTS_COST_MS if has_long_prompts else 0.0


class EngineSelector:
    """Chooses an engine for each call: by pool, status, zone, prefix cache, pending prefill and load.

    Owns the number of calls that wait for capacity, and the time at which each pool last had a long prompt.
    """

    def __init__(
        self, ctx: Context, engines: EngineRegistry, slow_start: SlowStart, connections: ConnectionPool
    ) -> None:
        self._ctx = ctx
        self._engines = engines
        self._slow_start = slow_start
        self._connections = connections
        self._waiting = 0
        self._last_long_prompt: dict[str, timedelta] = {}

    async def choose(self, call: Call) -> Engine:
        """Returns the engine to send a call to; if none has capacity, waits a short time for one.

        Raises ServiceUnavailable, with the time after which to retry, if no engine has capacity after the wait.
        """
        if not call.pool:
            call.pool = self._choose_pool(call)
        deadline = self._wait_deadline(call)
        while True:
            engine = self._best_engine(call)
            if engine is not None:
                return engine
            remaining = deadline - self._ctx.timers.now()
            if remaining <= ZERO or self._waiting >= MAX_WAITING:
                raise ServiceUnavailable("no engine has capacity", code="no_room", retry_after=self.retry_after())
            await self._wait_for_capacity(min(remaining, RECHECK_INTERVAL))

    def _wait_deadline(self, call: Call) -> timedelta:
        now = self._ctx.timers.now()
        if call.is_batch_item:
            return min(call.deadline, now)
        wait = min(MAX_WAIT, timedelta(milliseconds=call.route.latency_target_ms * WAIT_FRACTION))
        return min(call.deadline, now + wait)

    async def _wait_for_capacity(self, timeout: timedelta) -> None:
        capacity: defer.Deferred[None] = defer.Deferred()
        self._engines.wait_for_capacity(capacity)
        self._waiting += 1
        try:
            await self._ctx.timers.wait_at_most(capacity, timeout)
        finally:
            self._waiting -= 1

    def retry_after(self) -> float:
        """Returns the number of seconds after which to retry, with jitter so that clients do not retry in step."""
        return round(MIN_RETRY_AFTER_S + RETRY_AFTER_JITTER_S * self._ctx.rng.random(), 3)

    def _choose_pool(self, call: Call) -> str:
        """Returns a random pool of the route, chosen by weight; the call keeps it for its retries."""
        candidates = weighted_pools(call.route)
        if len(candidates) == 1:
            return candidates[0].pool
        remainder = self._ctx.rng.random() * sum(candidate.share for candidate in candidates)
        for candidate in candidates:
            remainder -= candidate.share
            if remainder < 0:
                return candidate.pool
        return candidates[-1].pool

    def ready_engines(self, pool: str) -> list[Engine]:
        """Returns the engines of a pool that are ready and whose zone is in service."""
        return self._engines_in_status(pool, EngineStatus.READY)

    def _engines_in_status(self, pool: str, status: EngineStatus) -> list[Engine]:
        empty_zones = self._ctx.cluster.cluster_state.empty_zones
        return [
            engine
            for engine in self._engines.pool(pool)
            if engine.update.zone not in empty_zones and self._engines.status(engine) == status
        ]

    def _candidates(self, call: Call) -> list[Engine]:
        """Returns the engines that a call may be sent to, regardless of their load."""
        engines = self.ready_engines(call.pool)
        if not engines and not call.is_batch_item:
            engines = self._engines_in_status(call.pool, EngineStatus.SUSPECT)
        if call.budget_spent:
            return [engine for engine in engines if engine.name in call.engines_run]
        untried = [engine for engine in engines if engine.name not in call.avoided_engines]
        if untried or call.engines_run:
            return untried
        return engines

    def _best_engine(self, call: Call) -> Engine | None:
        """Returns the engine with the shortest expected wait among those with capacity, or None."""
        candidates = self._candidates(call)
        traits = self._traits(call, candidates)
        now = self._ctx.timers.now()
        loads = [engine.load(now) for engine in candidates]
        spread_ms = self._spread_ms(candidates, loads, traits)
        best, least_cost = None, 0.0
        for engine, load in zip(candidates, loads, strict=True):
            if not self._has_capacity(engine, load, traits):
                continue
            cost = self._cost(engine, load, traits) + spread_ms * log(self._ctx.rng.expovariate(1))
            if best is None or cost < least_cost:
                best, least_cost = engine, cost
        return best

    def _spread_ms(self, candidates: Sequence[Engine], loads: Sequence[EngineLoad], traits: _CallTraits) -> float:
        """Returns the scale of the random part of the costs, with which the probability of choosing an engine falls
        exponentially with its cost.

        The load from other gateways is known with a delay of some hundred ms, and without randomness all gateways with
        the same reports would choose the same engine until the next report. The larger the part of the load that comes
        from other gateways, the less a difference in load means.
        """
        if not candidates:
            return 0.0
        running = sum(traits.competing_requests(load) for load in loads)
        own_running = sum(
            traits.competing_requests(EngineLoad(engine.running, engine.batch_items)) for engine in candidates
        )
        peers_running = running - own_running
        return max(MIN_SPREAD_MS, SPREAD_FRACTION * RUNNING_COST_MS * peers_running / len(candidates))

    def _traits(self, call: Call, candidates: Sequence[Engine]) -> _CallTraits:
        is_long = sum(part.tokens for part in call.prompt_parts) >= LONG_PROMPT_TOKENS
        shared_parts = call.shared_parts
        long_prompt_engines = self._long_prompt_engines(call.pool, is_long, candidates)
        names = [engine.name for engine in candidates]
        if is_long and long_prompt_engines:
            names = [name for name in names if name in long_prompt_engines]
        return _CallTraits(
            shared_parts=shared_parts,
            is_long=is_long,
            is_batch_item=call.is_batch_item,
            own_part_tokens=call.own_part_tokens,
            long_prompt_engines=long_prompt_engines,
            preferred_engine=_preferred_engine(shared_parts, names) if len(candidates) > 1 else "",
            max_connections=self._max_connections(call.pool),
        )

    def _has_capacity(self, engine: Engine, load: EngineLoad, traits: _CallTraits) -> bool:
        max_fill = MAX_BATCH_FILL if traits.is_batch_item else MAX_LIVE_FILL
        if traits.competing_requests(load) >= max_fill * engine.slots or not self._slow_start.admits(engine):
            return False
        if self._connections.idle_count(engine.address) > 0:
            return True
        return self._connections.open_count(engine.address) < traits.max_connections

    def _cost(self, engine: Engine, load: EngineLoad, traits: _CallTraits) -> float:
        """Returns the expected wait in ms."""
        slots, competing_requests = engine.slots, traits.competing_requests(load)
        missing_tokens = traits.own_part_tokens
        if engine.name != traits.preferred_engine and traits.shared_parts:
            missing_tokens += engine.prefix_cache.missing_tokens(traits.shared_parts)
        prefill_ms = (missing_tokens + engine.prefill_tokens) / PREFILL_TOKENS_PER_MS
        cost = prefill_ms + RUNNING_COST_MS * competing_requests
        if competing_requests >= slots:
            cost += FULL_COST_MS * (1 + competing_requests - slots)
        elif not traits.is_batch_item and load.running >= slots:
            cost += PREEMPTION_COST_MS
        if engine.update.zone != self._ctx.settings.zone:
            cost += OTHER_ZONE_COST_MS
        if not self._connections.idle_count(engine.address):
            cost += CONNECT_COST_MS
        if traits.long_prompt_engines:
            cost += _separation_cost(traits, engine.name in traits.long_prompt_engines)
        return cost

    def _long_prompt_engines(self, pool: str, is_long: bool, candidates: Sequence[Engine]) -> set[str]:
        """Returns the engines that long prompts and batch items prefer.

        Returns an empty set if the pool is small or this gateway had no long prompt for it recently.

        A long prefill delays the decoding of all other requests on its engine, so short requests with a latency target
        are kept on other engines. All gateways that know the same engines choose the same ones.
        """
        now = self._ctx.timers.now()
        if is_long:
            self._last_long_prompt[pool] = now
        last_at = self._last_long_prompt.get(pool)
        if last_at is None or now - last_at > LONG_PROMPT_WINDOW or len(candidates) < MIN_ENGINES_TO_SEPARATE:
            return set()
        ranked = sorted(candidates, key=lambda engine: rank(f"long/{pool}", engine.name))
        return {engine.name for engine in ranked[: round(LONG_PROMPT_FRACTION * len(ranked))]}

    def max_connections(self, engine: Engine) -> int:
        """Returns how many connections this gateway may have to an engine: its part of the engine's maximum."""
        return self._max_connections(engine.update.pool)

    def _max_connections(self, pool_name: str) -> int:
        pool = self._ctx.cluster.cluster_state.routes.pools.get(pool_name)
        maximum = pool.max_connections if pool is not None and pool.max_connections else DEFAULT_MAX_CONNECTIONS
        return max(1, int(CONNECTION_FRACTION * maximum / max(1, self._engines.gateway_count())))
