"""Starts the items of owned batches, the most urgent batches first."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum, auto
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from twisted.internet import defer

from ..context import Context
from ..timers import ms, secs, wall_ms
from ..wire.cluster_pb2 import Route
from .batch_table import BatchListener, BatchTable
from .engine_registry import EngineRegistry
from .interfaces import ItemCapacity, RoutesView
from .item_attempts import ItemAttempts
from .owned_batch import OwnedBatch
from .waiting_tokens import WaitingTokens

__all__ = ["BatchScheduler"]

INTERVAL = ms(25)
IDLE_INTERVAL = secs(1)
IDLE_INTERVAL_WITHOUT_BATCHES = secs(60)
# How many items are started in one turn of the reactor. Starting one takes milliseconds on a small machine, and other
# work that is due, such as an acknowledgement or a live request, must not wait for all of them.
MAX_STARTS_PER_TURN = 4
# Batches whose deadlines fall into the same interval of this length are equally urgent, and are served round-robin.
DEADLINE_CLASS_MS = 2000
# A route that has been missing for this long counts as removed.
ROUTE_GONE_AFTER = secs(3)


class _RoundOutcome(Enum):
    """The outcome of one scheduling round."""

    NO_WORK = auto()
    NO_CAPACITY = auto()
    TURN_LIMIT_REACHED = auto()
    """As many items were started as one turn allows; there may be capacity for more."""


class _Urgency(NamedTuple):
    """Orders batches: those that can still meet their deadline first, then by deadline, then round-robin."""

    is_late: bool
    deadline_class: int
    last_start: int
    taken_ms: int


class _ReadyBatch(NamedTuple):
    """A heap entry for a batch whose waiting items may be started; unique ids keep the batches from being compared."""

    urgency: _Urgency
    batch_id: str
    batch: OwnedBatch
    route: Route


class _Moment(NamedTuple):
    """The same moment on the timers' clock, and on the wall clock in ms since the Unix epoch."""

    now: timedelta
    wall_ms: int


def _urgency(batch: OwnedBatch, route: Route, wall_clock_ms: int) -> _Urgency:
    """Returns the urgency of a batch, for the order of starts only: the wall clocks that it compares may differ."""
    deadline_ms = batch.content.taken_ms + route.due_ms
    is_late = deadline_ms < wall_clock_ms
    return _Urgency(
        is_late, 0 if is_late else deadline_ms // DEADLINE_CLASS_MS, batch.last_start, batch.content.taken_ms
    )


class BatchScheduler(BatchListener):
    """Starts items of the batches that this gateway owns while there is capacity, the most urgent batches first."""

    def __init__(
        self,
        ctx: Context,
        engines: EngineRegistry,
        table: BatchTable,
        waiting: WaitingTokens,
        capacity: ItemCapacity,
        attempts: ItemAttempts,
        routes: RoutesView,
    ) -> None:
        self._ctx = ctx
        self._engines = engines
        self._table = table
        self._waiting = waiting
        self._capacity = capacity
        self._attempts = attempts
        self._routes = routes
        self._wake: defer.Deferred[None] | None = None
        self._start_count = 0

    def open(self) -> None:
        """Starts the scheduling loop."""
        self._ctx.run_in_background(self._run(), "schedule_batches")

    def work_changed(self) -> None:
        """Runs the next scheduling round now instead of at the end of the interval."""
        wake, self._wake = self._wake, None
        if wake is not None and not wake.called:
            wake.callback(None)

    async def _run(self) -> None:
        while not self._ctx.timers.stopped:
            outcome = self._start_items_safely()
            if outcome == _RoundOutcome.TURN_LIMIT_REACHED:
                await self._ctx.timers.yield_to_reactor()
                continue
            wake: defer.Deferred[None] = defer.Deferred()
            self._wake = wake
            if outcome == _RoundOutcome.NO_CAPACITY:
                self._engines.wait_for_capacity(wake)
                await self._ctx.timers.wait_at_most(wake, INTERVAL)
            else:
                interval = IDLE_INTERVAL if self._table.batches else IDLE_INTERVAL_WITHOUT_BATCHES
                await self._ctx.timers.wait_at_most(wake, interval)

    def _start_items_safely(self) -> _RoundOutcome:
        try:
            return self._start_items()
        except Exception as error:
            self._ctx.logger.failure("schedule_batches", error)
            return _RoundOutcome.NO_CAPACITY

    def _start_items(self) -> _RoundOutcome:
        """Runs one scheduling round: starts items while there is capacity, up to the limit per turn."""
        if self._table.is_closing or not self._ctx.cluster.usable():
            return _RoundOutcome.NO_CAPACITY if self._table.batches else _RoundOutcome.NO_WORK
        moment = _Moment(self._ctx.timers.now(), wall_ms(self._ctx.timers.utc_now()))
        routes = self._routes()
        slots: dict[str, int] = {}
        ready: list[_ReadyBatch] = []
        has_waiting = False
        for batch in list(self._table.batches.values()):
            if not batch.is_durable() or not batch.is_current() or batch.all_finished():
                continue
            route = routes.get(batch.content.route)
            self._abandon_expired(batch, route, moment)
            if route is None or not batch.waiting:
                continue
            has_waiting = True
            if route.name not in slots:
                slots[route.name] = self._capacity.available(route, self._waiting.backlog(route.name))
            if slots[route.name] > 0:
                ready.append(_ReadyBatch(_urgency(batch, route, moment.wall_ms), batch.id, batch, route))
        if self._fill_slots(ready, slots, moment) == MAX_STARTS_PER_TURN:
            return _RoundOutcome.TURN_LIMIT_REACHED
        return _RoundOutcome.NO_CAPACITY if has_waiting else _RoundOutcome.NO_WORK

    def _fill_slots(self, ready: list[_ReadyBatch], slots: dict[str, int], moment: _Moment) -> int:
        """Starts items one by one, each from the most urgent batch whose route has slots left; returns how many."""
        heapify(ready)
        started = 0
        while ready and started < MAX_STARTS_PER_TURN:
            _, _, batch, route = heappop(ready)
            index = self._next_item(batch, moment.now) if slots[route.name] > 0 else None
            if index is None:
                continue
            slots[route.name] -= 1
            batch.waiting.remove(index)
            self._start_count += 1
            batch.last_start = self._start_count
            self._attempts.start(batch, index, route)
            started += 1
            heappush(ready, _ReadyBatch(_urgency(batch, route, moment.wall_ms), batch.id, batch, route))
        return started

    def _next_item(self, batch: OwnedBatch, now: timedelta) -> int | None:
        """Returns the index of the first waiting item whose backoff is over, or None."""
        return next((index for index in batch.waiting if batch.retry_at.get(index, now) <= now), None)

    def _abandon_expired(self, batch: OwnedBatch, route: Route | None, moment: _Moment) -> None:
        """Abandons all unfinished items of a batch once its route is removed or its retention has passed.

        The age of its log counts, by monotonic clocks: the wall clocks of acceptor and owner may differ by any time.
        """
        if route is not None:
            batch.route_missing_since = None
            is_expired = bool(route.retain_ms) and batch.leaseholder.age() > ms(route.retain_ms)
        else:
            batch.route_missing_since = batch.route_missing_since or moment.now
            is_expired = moment.now - batch.route_missing_since >= ROUTE_GONE_AFTER
        if is_expired:
            self._attempts.abandon_unfinished(batch)
