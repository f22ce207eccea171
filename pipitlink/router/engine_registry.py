"""The engines that the control plane announces, their health, and the requests of this gateway on them."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.internet import defer

from ..context import Context
from ..engine_memory import EngineMemory
from ..timers import ZERO, ms, secs
from ..wire.membership_pb2 import EngineList, EngineUpdate
from .engine import Engine, EngineStatus
from .prefix_cache import PrefixCacheMemory

__all__ = ["EngineRegistry", "EngineSlot"]

SILENCE_TIMEOUT = secs(3.6)
ENGINE_RETENTION = secs(30)
GONE_RETENTION = secs(60)
# If two checks of the clock are further apart than this, the process or its machine is assumed to have been suspended.
SUSPENSION_THRESHOLD = secs(1.5)
# For this long after a suspension, updates may come from a buffer and do not prove that an engine is still alive.
RESUME_GRACE = ms(500)
MIN_EJECTION = ms(700)
MAX_EJECTION = secs(6)
MAX_COUNTED_FAILURES = 6
# The fraction of an engine's cache that is assumed to hold prefixes; the rest holds the requests being decoded.
PREFIX_CACHE_FRACTION = 0.8


class EngineSlot:
    """A slot of an engine that one attempt of a call holds, and its pending prefill tokens."""

    def __init__(self, registry: EngineRegistry, engine: Engine, prefill_tokens: int, is_batch_item: bool) -> None:
        self._registry = registry
        self._engine = engine
        self._prefill_tokens = prefill_tokens
        self._is_batch_item = is_batch_item
        self._is_starting_item = is_batch_item
        registry.starting_items += is_batch_item
        engine.running += 1
        engine.batch_items += is_batch_item
        engine.prefill_tokens += prefill_tokens
        engine.slow_start_tokens = max(0.0, engine.slow_start_tokens - 1.0)

    def prefill_done(self) -> None:
        """Records that the engine has started its response; may be called more than once."""
        self._engine.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0
        self._registry.starting_items -= self._is_starting_item
        self._is_starting_item = False

    def release(self) -> None:
        """Frees the slot; must be called exactly once."""
        self.prefill_done()
        self._engine.running -= 1
        self._engine.batch_items -= self._is_batch_item
        self._registry.notify_capacity()


class EngineRegistry:
    """The engines that the control plane has announced to this gateway, by name and by pool, and their health.

    Owns them and the counts of this gateway's requests on them; `starting_items` counts the batch items that still wait
    for their first event. Every release of a slot wakes those that wait for capacity.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.starting_items = 0
        self._engines: dict[str, Engine] = {}
        self._pools: dict[str, list[Engine]] = {}
        self._capacity_waiters: list[defer.Deferred[None]] = []
        self._gone_listeners: list[Callable[[Engine], None]] = []
        self._gone_at: dict[str, timedelta] = {}
        self._memory = EngineMemory(ctx.client_memory)
        self._prefix_caches = PrefixCacheMemory(ctx.client_memory)
        self._checked_at = ctx.timers.now()
        self._resumed_at = ZERO

    def open(self) -> None:
        """Starts to receive engine updates."""
        self._ctx.rpc.register_handler("engines.tell", EngineList, self._handle_updates)

    def add_gone_listener(self, listener: Callable[[Engine], None]) -> None:
        """Registers a function that is called with each engine that is removed."""
        self._gone_listeners.append(listener)

    def all(self) -> list[Engine]:
        """Returns all engines, sorted by name."""
        return sorted(self._engines.values(), key=lambda engine: engine.name)

    def unordered(self) -> list[Engine]:
        """Returns all engines in the order in which they were added."""
        return list(self._engines.values())

    def get(self, name: str) -> Engine | None:
        """Returns an engine by its name, or None if it is unknown or gone."""
        return self._engines.get(name)

    def is_gone(self, name: str) -> bool:
        """Returns whether an engine of that name was removed and must not be added again."""
        return name in self._gone_at

    def pool(self, name: str) -> list[Engine]:
        """Returns the engines of a pool, in the order in which they were added."""
        return self._pools.get(name, [])

    def gateway_count(self) -> int:
        """Returns the number of gateways, including this one."""
        return len(self._ctx.membership.members("gateway"))

    async def _handle_updates(self, _node: str, message: EngineList) -> None:
        for update in message.engines:
            self.merge(update)

    def merge(self, update: EngineUpdate) -> None:
        """Applies an update of one engine from the control plane; outdated updates are ignored."""
        now = self.check_for_suspension()
        updated_at = now - ms(update.age_ms)
        engine = self._engines.get(update.engine)
        if engine is None:
            self._add(update, updated_at, now)
        elif update.state == EngineStatus.GONE:
            self.remove(engine)
        else:
            self._refresh(engine, update, updated_at, now)

    def _add(self, update: EngineUpdate, updated_at: timedelta, now: timedelta) -> None:
        name = update.engine
        if update.state == EngineStatus.GONE:
            self._gone_at[name] = now
        if name in self._gone_at or now - updated_at > SILENCE_TIMEOUT or not name:
            return
        if not self._memory.try_keep(update):
            self._ctx.logger.debug("engine_ignored", engine=name, text="no memory for its announcement")
            return
        own_update = EngineUpdate()
        own_update.CopyFrom(update)
        prefix_cache = self._prefix_caches.create(self._prefix_cache_tokens(update.pool))
        engine = Engine(own_update, updated_at, updated_at + ms(update.slow_start_ms), prefix_cache)
        engine.last_bytes_at = now
        self._engines[name] = engine
        for other in self.unordered():
            if other is not engine and other.address == engine.address:
                self.remove(other)
        self._pools.setdefault(update.pool, []).append(engine)
        self._ctx.logger.info(
            "engine_status_changed", engine=name, state=update.state, address=update.address, pool=update.pool
        )
        self.notify_capacity()

    def _prefix_cache_tokens(self, pool_name: str) -> int:
        pool = self._ctx.cluster.cluster_state.routes.pools.get(pool_name)
        return int(PREFIX_CACHE_FRACTION * pool.cache_tokens) if pool is not None else 0

    def _refresh(self, engine: Engine, update: EngineUpdate, updated_at: timedelta, now: timedelta) -> None:
        if update.state == EngineStatus.DRAINING and engine.update.state != EngineStatus.DRAINING:
            engine.update.state = EngineStatus.DRAINING.value
            self._ctx.logger.info("engine_status_changed", engine=engine.name, state=engine.update.state)
        just_resumed = self._resumed_at and now - self._resumed_at < RESUME_GRACE
        if update.sequence < engine.update.sequence or just_resumed:
            return
        engine.updated_at = max(engine.updated_at, updated_at)
        if update.sequence > engine.update.sequence:
            engine.slow_start_until = updated_at + ms(update.slow_start_ms)
            engine.update.sequence = update.sequence

    def remove(self, engine: Engine) -> None:
        """Removes an engine that is gone, or whose address now belongs to another engine."""
        if self._engines.pop(engine.name, None) is None:
            return
        self._pools[engine.update.pool].remove(engine)
        engine.prefix_cache.close()
        self._memory.forget(engine.name)
        self._ctx.logger.info("engine_status_changed", engine=engine.name, state=EngineStatus.GONE.value)
        engine.update.state = EngineStatus.GONE.value
        self._gone_at[engine.name] = self._ctx.timers.now()
        for listener in self._gone_listeners:
            listener(engine)

    def remove_silent_engines(self, now: timedelta) -> None:
        """Removes engines that are no longer announced; they are added again when they are announced again."""
        for engine in self.unordered():
            if now - engine.updated_at > ENGINE_RETENTION and not engine.running:
                self.remove(engine)
                del self._gone_at[engine.name]
        for name, gone_at in list(self._gone_at.items()):
            if now - gone_at > GONE_RETENTION:
                del self._gone_at[name]

    def check_for_suspension(self) -> timedelta:
        """Returns the time, and detects whether this process was suspended since the last check."""
        now = self._ctx.timers.now()
        if now - self._checked_at > SUSPENSION_THRESHOLD:
            self._resumed_at = now
        self._checked_at = now
        return now

    def status(self, engine: Engine) -> str:
        """Returns the status of an engine: an EngineStatus, or another state that the control plane announces."""
        now = self.check_for_suspension()
        if engine.update.state != EngineStatus.READY:
            return engine.update.state
        if now - engine.updated_at > SILENCE_TIMEOUT:
            return EngineStatus.SILENT
        if engine.updated_at < self._resumed_at - SILENCE_TIMEOUT or engine.suspect_until > now:
            return EngineStatus.SUSPECT
        return EngineStatus.READY

    def record_failure(self, engine: Engine) -> None:
        """Counts a failed request; from the second consecutive one on, ejects the engine for a time that doubles."""
        engine.failures = min(engine.failures + 1, MAX_COUNTED_FAILURES)
        if engine.failures > 1:
            self._eject(engine)

    def record_unreachable(self, engine: Engine) -> None:
        """Ejects an engine to which no connection can be opened, or that sends nothing at all."""
        engine.failures = min(max(2, engine.failures + 1), MAX_COUNTED_FAILURES)
        self._eject(engine)

    def _eject(self, engine: Engine) -> None:
        ejection = min(MIN_EJECTION * 2 ** (engine.failures - 2), MAX_EJECTION)
        engine.suspect_until = self._ctx.timers.now() + ejection

    def record_success(self, engine: Engine) -> None:
        """Resets the failure count of an engine that has served a request."""
        engine.failures = 0

    def acquire_slot(self, engine: Engine, prefill_tokens: int, is_batch_item: bool) -> EngineSlot:
        """Acquires a slot of an engine, which the caller must release."""
        return EngineSlot(self, engine, prefill_tokens, is_batch_item)

    def wait_for_capacity(self, waiter: defer.Deferred[None]) -> None:
        """Fires a Deferred once an engine may have capacity, unless it was already fired."""
        self._capacity_waiters.append(waiter)

    def notify_capacity(self) -> None:
        """Fires the Deferreds of all that wait for capacity."""
        waiters, self._capacity_waiters = self._capacity_waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)
