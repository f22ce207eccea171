"""Runs the items of the batches that this gateway owns."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..errors import LeaseNotHeld, ReplicatedLogError
from ..timers import ms, secs, spawn, wall_ms
from ..wire.lots_pb2 import Item, LogRecord, Result, Started
from .batch_capacity import BatchCapacity
from .batch_ownership import ACQUIRE_BACKOFF, BatchOwnership
from .open_batches import OpenBatch, OpenBatches
from .request_bodies import DEFAULT_MAX_TOKENS
from .request_pipeline import RequestPipeline
from .request_record import RequestKind, RequestRecord
from .request_table import RequestTable
from .serving_state import ServingState

__all__ = ["ItemDispatcher"]

DISPATCH_INTERVAL = ms(50)
ITEM_TIMEOUT = secs(120)
MIN_RETRY_DELAY = ms(100)
MAX_ATTEMPTS = 8
# Bounds the items that are started in one turn of the reactor, so that requests and responses are handled in between.
MAX_STARTS_PER_TURN = 4
URGENCY_STEPS_MS = (5_000, 30_000, 300_000, 3_600_000, 21_600_000)


@attrs.define(eq=False)
class _DispatchRound:
    """The state of one dispatch round: batches with pending items, running items by customer, and free slots."""

    now: timedelta
    wall_ms: int
    batches: list[OpenBatch]
    running_by_customer: dict[str, int]
    full_models: set[str] = attrs.field(factory=set)
    free_slots: dict[str, int] = attrs.field(factory=dict)


class ItemDispatcher:
    """Starts the items of batches while the engines have capacity that is not reserved for live requests.

    Batches are ordered by urgency, priority, the customer's number of running items, and deadline.
    """

    def __init__(
        self,
        ctx: Context,
        serving: ServingState,
        open_batches: OpenBatches,
        ownership: BatchOwnership,
        capacity: BatchCapacity,
        table: RequestTable,
        pipeline: RequestPipeline,
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_batches = open_batches
        self._ownership = ownership
        self._capacity = capacity
        self._table = table
        self._pipeline = pipeline

    def open(self) -> None:
        """Starts to dispatch items periodically."""
        timer = self._ctx.timers.call_repeatedly(
            DISPATCH_INTERVAL,
            self.dispatch,
            self._ctx.error_reporter("dispatch_items"),
            idle_time=self._open_batches.idle_wait,
        )
        self._open_batches.add_timer(timer)

    def dispatch(self) -> defer.Deferred[None]:
        """Starts all items that can be started now; the Deferred fires once no more can be started."""
        return spawn(self._dispatch_in_turns())

    async def _dispatch_in_turns(self) -> None:
        while self._start_items() == MAX_STARTS_PER_TURN:
            await self._ctx.timers.yield_to_reactor()

    def _start_items(self) -> int:
        """Starts up to MAX_STARTS_PER_TURN items and returns how many.

        An item needs a free slot of an engine, unless its batch has passed its time limit: such an item is not run, and
        only its result is recorded.
        """
        if not self._serving.is_current() or self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            return 0
        dispatch_round = self._begin_round()
        started = 0
        while dispatch_round.batches and started < MAX_STARTS_PER_TURN:
            batch = min(dispatch_round.batches, key=lambda batch: self._order_key(batch, dispatch_round))
            index = self._next_item(batch, dispatch_round)
            if index is None or batch.leaseholder is None or not batch.leaseholder.is_held():
                dispatch_round.batches.remove(batch)
                continue
            overdue = batch.spec.limit_ms <= dispatch_round.wall_ms
            if not overdue and not self._reserve_slot(batch.spec.items[index].model, dispatch_round):
                continue
            self._start_item(batch, index, overdue, dispatch_round)
            started += 1
        return started

    def _begin_round(self) -> _DispatchRound:
        running_by_customer: dict[str, int] = {}
        batches = self._open_batches.all()
        for batch in batches:
            customer = batch.spec.customer
            running_by_customer[customer] = running_by_customer.get(customer, 0) + len(batch.running)
        owned = [
            batch
            for batch in batches
            if batch.leaseholder is not None and batch.pending and not batch.leaseholder.final
        ]
        return _DispatchRound(self._ctx.timers.now(), wall_ms(self._ctx.timers.utc_now()), owned, running_by_customer)

    def _order_key(self, batch: OpenBatch, dispatch_round: _DispatchRound) -> tuple[int, int, int, int]:
        return (
            _urgency(batch, dispatch_round.wall_ms),
            -self._priority(batch),
            dispatch_round.running_by_customer[batch.spec.customer],
            batch.spec.limit_ms,
        )

    def _priority(self, batch: OpenBatch) -> int:
        """Returns the batch's own priority plus the table's priority for the model of its first pending item."""
        row = self._ctx.cluster.row(batch.spec.items[batch.pending[0]].model, "") if batch.pending else None
        return batch.spec.priority + (row.priority if row is not None else 0)

    def _next_item(self, batch: OpenBatch, dispatch_round: _DispatchRound) -> int | None:
        """Returns the first pending item that may be attempted now and whose model may have free slots."""
        for index in batch.pending:
            may_run = batch.retry_at.get(index, dispatch_round.now) <= dispatch_round.now
            if may_run and batch.spec.items[index].model not in dispatch_round.full_models:
                return index
        return None

    def _reserve_slot(self, model: str, dispatch_round: _DispatchRound) -> bool:
        if model not in dispatch_round.free_slots:
            dispatch_round.free_slots[model] = self._capacity.free_slots(model) - self._table.unassigned_items(model)
        if dispatch_round.free_slots[model] <= 0:
            dispatch_round.full_models.add(model)
            return False
        dispatch_round.free_slots[model] -= 1
        return True

    def _start_item(self, batch: OpenBatch, index: int, overdue: bool, dispatch_round: _DispatchRound) -> None:
        batch.pending.remove(index)
        dispatch_round.running_by_customer[batch.spec.customer] += 1
        batch.running[index] = work = spawn(self._run_item(batch, index, batch.spec.items[index], overdue))
        work.addBoth(self._item_ended, batch, index)
        if not batch.pending:
            dispatch_round.batches.remove(batch)

    def _item_ended(self, result: Any, batch: OpenBatch, index: int) -> None:
        batch.running.pop(index, None)
        if isinstance(result, Failure) and not result.check(defer.CancelledError, ReplicatedLogError):
            self._ctx.logger.failure("item_failed", result.value, lot=batch.id, item=index)
        if batch.leaseholder is None or batch.leaseholder.lost or batch.leaseholder.final:
            return
        if index not in batch.results and index not in batch.pending:
            batch.pending.append(index)
            batch.retry_at[index] = self._ctx.timers.now() + ACQUIRE_BACKOFF

    async def _run_item(self, batch: OpenBatch, index: int, item: Item, overdue: bool) -> None:
        if overdue:
            outcome = batch.reportable_outcome(index, "not_run")
            await self._ownership.record_result(batch, Result(item=index, outcome=outcome, code="limit_passed"))
            await self._ownership.finish_if_done(batch)
            return
        request = self._request_for(batch, index, item)
        work = spawn(self._pipeline.run(request))
        try:
            await work
        except defer.CancelledError:
            work.cancel()
            raise
        if request.error is None:
            text = "".join(request.chunks)
            result = Result(item=index, outcome="done", text=text, engine=request.engine_name, run=request.id)
        else:
            batch.attempts[index] = batch.attempts.get(index, 0) + (request.outcome != "not_run")
            if self._schedule_retry(batch, index, request):
                return
            result = self._failed_result(batch, index, request)
        await self._ownership.record_result(batch, result)
        await self._ownership.finish_if_done(batch)

    def _request_for(self, batch: OpenBatch, index: int, item: Item) -> RequestRecord:
        now = self._ctx.timers.now()
        left = ms(batch.spec.limit_ms) - ms(wall_ms(self._ctx.timers.utc_now()))
        return RequestRecord(
            kind=RequestKind.ITEM,
            model=item.model,
            prompt=item.prompt,
            prefix_key=item.prefix,
            idempotent=item.repeatable,
            max_tokens=item.max_tokens or DEFAULT_MAX_TOKENS,
            deadline=now + min(ITEM_TIMEOUT, left),
            customer=batch.spec.customer,
            before_send=partial(self._record_start, batch, index, item),
            check_before_send=partial(self._check_owned, batch),
        )

    def _schedule_retry(self, batch: OpenBatch, index: int, request: RequestRecord) -> bool:
        """Makes a failed item pending again if a retry is safe; returns whether it did."""
        error = request.error
        assert error is not None
        outcome = request.outcome
        safe = outcome == "not_run" or (request.idempotent and outcome == "unknown")
        if not safe or batch.attempts[index] >= MAX_ATTEMPTS or error.code == "limit_passed":
            return False
        delay = max(MIN_RETRY_DELAY, secs(error.retry_after) / 4)
        batch.retry_at[index] = self._ctx.timers.now() + delay
        batch.pending.append(index)
        return True

    def _failed_result(self, batch: OpenBatch, index: int, request: RequestRecord) -> Result:
        error = request.error
        assert error is not None
        outcome = "failed" if error.outcome == "failed" else request.outcome
        return Result(item=index, outcome=batch.reportable_outcome(index, outcome), code=error.code, run=request.id)

    async def _record_start(self, batch: OpenBatch, index: int, item: Item) -> None:
        """Durably records the start of an item that is not idempotent, then checks that the lease is still held."""
        if not item.repeatable and index not in batch.started:
            assert batch.leaseholder is not None
            record = LogRecord(started=Started(item=index))
            await batch.leaseholder.append([record.SerializeToString()], reserved=True)
            batch.started.add(index)
        self._check_owned(batch)

    def _check_owned(self, batch: OpenBatch) -> None:
        """Raises LeaseNotHeld if this gateway no longer owns the batch."""
        if batch.leaseholder is None or not batch.leaseholder.is_held() or batch.leaseholder.final:
            raise LeaseNotHeld(f"batch {batch.id}: the lease was lost before the item was sent")


def _urgency(batch: OpenBatch, now_ms: int) -> int:
    """Returns the index of the first bound in URGENCY_STEPS_MS above the time that is left; lower is more urgent."""
    left_ms = max(0, batch.spec.limit_ms - now_ms)
    for step, bound_ms in enumerate(URGENCY_STEPS_MS):
        if left_ms < bound_ms:
            return step
    return len(URGENCY_STEPS_MS)
