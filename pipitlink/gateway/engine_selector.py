"""The pipeline step that chooses an engine by weight, status, zone, prefix affinity and bounded load."""

from __future__ import annotations

import math
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from twisted.internet import defer

from ..context import Context
from ..errors import NotFound, ServiceUnavailable
from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from .engine import Engine
from .engine_candidates import Candidate, EngineCandidates
from .engine_slots import EngineSlots
from .rate_limits import RateLimits
from .request_record import RequestRecord
from .retry_after import RetryAfterEstimator
from .serving_state import ServingState

__all__ = ["EngineSelector"]

SLOT_WAIT = ms(500)
RECHECK_INTERVAL = ms(100)
MAX_WAITING = 128
STARTUP_TIME = secs(4)
UNANNOUNCED_RETRY_AFTER_S = 2
LOAD_BOUND = 1.25
RANK_VALUES = 2**64


def _affinity_score(key: str, candidate: Candidate) -> float:
    """Returns a candidate's score for a prefix key by weighted rendezvous hashing; the highest score is preferred."""
    value = int.from_bytes(rank(key, candidate.engine.name), "big")
    return -candidate.weight / math.log((value + 1) / (RANK_VALUES + 1))


class EngineSelector:
    """Chooses an engine for each attempt; a bounded number of requests may wait a short time for a free slot."""

    def __init__(
        self,
        ctx: Context,
        serving: ServingState,
        slots: EngineSlots,
        candidates: EngineCandidates,
        rate_limits: RateLimits,
        retry_after: RetryAfterEstimator,
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._slots = slots
        self._candidates = candidates
        self._rate_limits = rate_limits
        self._retry_after = retry_after
        self._waiting = 0

    async def choose_engine(self, request: RequestRecord) -> bool:
        """Pipeline step: acquires a slot of an engine, and a permit if the request's row limits the concurrency.

        Raises ApiError if no engine serves the request, all were tried, or none has a free slot in time.
        """
        await self._rate_limits.acquire_permit(request)
        engine = await self._wait_for_engine(request)
        request.engine = engine
        release_slot = self._slots.acquire(engine, is_batch_item=request.is_batch_item)
        request.release_slot = partial(self._release_slot, release_slot)
        request.attempts += 1
        request.trigger("choose_engine")
        return False

    def select(self, request: RequestRecord) -> Engine | None:
        """Returns the best engine with a free slot, None if there is none now."""
        ready = [
            candidate
            for candidate in self._candidates.find_ready(request.model, request.pool)
            if candidate.engine.name not in request.excluded_engines
        ]
        free = [candidate for candidate in ready if self._has_capacity(request, candidate.engine)]
        if not free:
            return None
        loads = {candidate.engine.name: self._load(candidate.engine) for candidate in ready}
        if request.prefix_key:
            return self._select_by_prefix(request.prefix_key, free, loads)
        return min(
            free,
            key=lambda candidate: (loads[candidate.engine.name] / candidate.weight, self._ctx.rng.random()),
        ).engine

    async def _wait_for_engine(self, request: RequestRecord) -> Engine:
        deadline = min(request.deadline, self._ctx.timers.now() + SLOT_WAIT)
        while True:
            engine = self.select(request)
            if engine is not None:
                return engine
            self._check_candidates(request)
            left = deadline - self._ctx.timers.now()
            if left <= ZERO or self._waiting >= MAX_WAITING:
                raise ServiceUnavailable("no engine has a free slot", retry_after=self._retry_after.seconds())
            await self._wait_for_capacity(left)

    def _check_candidates(self, request: RequestRecord) -> None:
        """Raises ApiError if waiting for a free slot cannot succeed."""
        candidates = self._candidates.find(request.model, request.pool)
        wanted = request.pool or request.model
        if not candidates and self._may_be_announced_soon(request):
            raise ServiceUnavailable(
                f"no engine that serves {wanted!r} is available now",
                code="none_heard",
                retry_after=UNANNOUNCED_RETRY_AFTER_S,
            )
        if not candidates:
            raise NotFound(f"no engine serves {wanted!r}", field="pool" if request.pool else "model")
        if all(candidate.engine.name in request.excluded_engines for candidate in candidates):
            raise request.last_rejection or ServiceUnavailable("no other engine is left to try")

    def _has_capacity(self, request: RequestRecord, engine: Engine) -> bool:
        reserve = self._candidates.batch_reserve(request.model, engine) if request.is_batch_item else 0.0
        return self._slots.free_slots(engine, reserve) > 0

    def _load(self, engine: Engine) -> float:
        return self._slots.running(engine) / max(1, self._slots.capacity(engine))

    def _select_by_prefix(self, prefix_key: str, free: list[Candidate], loads: dict[str, float]) -> Engine:
        """Returns, of the free engines within a load bound, the one with the highest affinity score for the key.

        The bound is LOAD_BOUND times the mean load of all ready engines, plus one request. If all free engines are
        above it, returns the one with the highest score.
        """
        bound = LOAD_BOUND * sum(loads.values()) / len(loads)
        free.sort(key=lambda candidate: -_affinity_score(prefix_key, candidate))
        for candidate in free:
            one_request = 1 / max(1, self._slots.capacity(candidate.engine))
            if loads[candidate.engine.name] <= bound + one_request:
                return candidate.engine
        return free[0].engine

    def _may_be_announced_soon(self, request: RequestRecord) -> bool:
        """Returns whether an engine for the request may be announced soon.

        A gateway that just started may not know all engines yet, and an engine for a row of the table may return.
        """
        starting = self._ctx.timers.now() - self._serving.started_at < STARTUP_TIME
        return starting or self._ctx.cluster.row(request.model, request.pool) is not None

    async def _wait_for_capacity(self, left: timedelta) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        self._slots.wait_for_capacity(waiter)
        self._waiting += 1
        try:
            await self._ctx.timers.wait_at_most(waiter, min(left, RECHECK_INTERVAL))
        finally:
            self._waiting -= 1

    def _release_slot(self, release_slot: Callable[[], None]) -> None:
        release_slot()
        self._retry_after.record_release()
