"""Limits the request rate of engines in slow start."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..rendezvous import rank
from ..timers import ms
from .engine import Engine

__all__ = ["SlowStart"]

# Each gateway's token bucket may hold one token, so the largest burst to an engine grows with the number of gateways.
MAX_GATEWAYS = 8
# The remaining fraction is a margin for the difference between the clocks of the gateways and the engine.
RATE_FRACTION = 0.9


class SlowStart:
    """Admits requests to engines in slow start, with a token bucket per engine.

    An engine is in slow start for a time after its start and after its zone was put back into service. Its rate is
    divided among at most MAX_GATEWAYS gateways; nodes that know the same gateways choose the same ones.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._restored_zones: dict[str, timedelta] = {}
        self._empty_zones: frozenset[str] = frozenset()

    def open(self) -> None:
        """Starts to follow which zones are in service."""
        self._ctx.cluster.add_listener(self._on_cluster_state)

    def _on_cluster_state(self) -> None:
        now = self._ctx.timers.now()
        empty_zones = frozenset(self._ctx.cluster.cluster_state.empty_zones)
        for zone in self._empty_zones - empty_zones:
            self._restored_zones[zone] = now
        self._empty_zones = empty_zones

    def in_slow_start(self, engine: Engine) -> bool:
        """Returns whether an engine is in slow start."""
        now = self._ctx.timers.now()
        if engine.slow_start_until > now:
            return True
        restored_at = self._restored_zones.get(engine.update.zone)
        pool = self._ctx.cluster.cluster_state.routes.pools.get(engine.update.pool)
        return restored_at is not None and pool is not None and now - restored_at < ms(pool.warmup_ms)

    def admits(self, engine: Engine) -> bool:
        """Returns whether an engine may get one more request now; the EngineSlot of the request takes the token."""
        pool = self._ctx.cluster.cluster_state.routes.pools.get(engine.update.pool)
        if pool is None or not pool.slow_start_rate or not self.in_slow_start(engine):
            return True
        gateways = self._gateways_of(engine)
        if self._ctx.node not in gateways:
            return False
        now = self._ctx.timers.now()
        rate = RATE_FRACTION * pool.slow_start_rate / len(gateways)
        elapsed = now - engine.slow_start_refilled_at
        engine.slow_start_tokens = min(1.0, engine.slow_start_tokens + rate * elapsed.total_seconds())
        engine.slow_start_refilled_at = now
        return engine.slow_start_tokens >= 1.0

    def _gateways_of(self, engine: Engine) -> frozenset[str]:
        """Returns the gateways that may send requests to an engine in slow start."""
        candidates = tuple(member.node for member in self._ctx.membership.members("gateway"))
        if engine.slow_start_candidates != candidates:
            ranked = sorted(candidates, key=lambda node: rank(engine.name, node), reverse=True)
            engine.slow_start_candidates = candidates
            engine.slow_start_gateways = frozenset(ranked[:MAX_GATEWAYS])
        return engine.slow_start_gateways
