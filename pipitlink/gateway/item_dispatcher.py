"""Runs the items of the batch jobs that this gateway owns."""

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
from .job_capacity import JobCapacity
from .job_ownership import ACQUIRE_BACKOFF, JobOwnership
from .open_jobs import OpenJob, OpenJobs
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
# How many items are started in one turn of the reactor, so that requests and responses go in between.
MAX_STARTS_PER_TURN = 4
URGENCY_STEPS_MS = (5_000, 30_000, 300_000, 3_600_000, 21_600_000)


@attrs.define(eq=False)
class _DispatchRound:
    """What one round of dispatching works with: jobs with pending items, items under way, and free slots."""

    now: timedelta
    wall_ms: int
    jobs: list[OpenJob]
    running_by_customer: dict[str, int]
    full_models: set[str] = attrs.field(factory=set)
    free_slots: dict[str, int] = attrs.field(factory=dict)


class ItemDispatcher:
    """Starts items in the capacity that is left, by their job's deadline and priority and by turns among customers."""

    def __init__(
        self,
        ctx: Context,
        serving: ServingState,
        open_jobs: OpenJobs,
        ownership: JobOwnership,
        capacity: JobCapacity,
        table: RequestTable,
        pipeline: RequestPipeline,
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_jobs = open_jobs
        self._ownership = ownership
        self._capacity = capacity
        self._table = table
        self._pipeline = pipeline

    def start(self) -> None:
        """Starts to look for items that may run."""
        timer = self._ctx.timers.call_repeatedly(
            DISPATCH_INTERVAL,
            self.dispatch,
            self._ctx.error_reporter("dispatch_items"),
            idle_time=self._open_jobs.idle_wait,
        )
        self._open_jobs.add_timer(timer)

    def dispatch(self) -> defer.Deferred[None]:
        """Starts items while there are free slots; returns a Deferred that fires once there is no more to start."""
        return spawn(self._dispatch_in_turns())

    async def _dispatch_in_turns(self) -> None:
        while self._start_items() == MAX_STARTS_PER_TURN:
            await self._ctx.timers.next_turn()

    def _start_items(self) -> int:
        """Starts items while there are free slots, as many as may be started in one turn; returns how many."""
        if not self._serving.is_current() or self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            return 0
        current = self._begin_round()
        started = 0
        while current.jobs and started < MAX_STARTS_PER_TURN:
            job = min(current.jobs, key=lambda job: self._order_key(job, current))
            index = self._next_item(job, current)
            if index is None or job.leaseholder is None or not job.leaseholder.is_held():
                current.jobs.remove(job)
                continue
            overdue = job.spec.limit_ms <= current.wall_ms
            if not overdue and not self._reserve_slot(job.spec.items[index].model, current):
                continue
            self._start_item(job, index, overdue, current)
            started += 1
        return started

    def _begin_round(self) -> _DispatchRound:
        running_by_customer: dict[str, int] = {}
        jobs = self._open_jobs.all()
        for job in jobs:
            customer = job.spec.customer
            running_by_customer[customer] = running_by_customer.get(customer, 0) + len(job.running)
        owned = [job for job in jobs if job.leaseholder is not None and job.pending and not job.leaseholder.final]
        return _DispatchRound(self._ctx.timers.now(), wall_ms(self._ctx.timers.utc_now()), owned, running_by_customer)

    def _order_key(self, job: OpenJob, current: _DispatchRound) -> tuple[int, int, int, int]:
        return (
            _urgency(job, current.wall_ms),
            -self._priority(job),
            current.running_by_customer[job.spec.customer],
            job.spec.limit_ms,
        )

    def _priority(self, job: OpenJob) -> int:
        """Returns the job's own priority, and what the table adds for the model that it waits for first."""
        row = self._ctx.cluster.row(job.spec.items[job.pending[0]].model, "") if job.pending else None
        return job.spec.priority + (row.priority if row is not None else 0)

    def _next_item(self, job: OpenJob, current: _DispatchRound) -> int | None:
        """Returns the first pending item that may be tried now and whose model is not known to be full."""
        for index in job.pending:
            may_run = job.retry_at.get(index, current.now) <= current.now
            if may_run and job.spec.items[index].model not in current.full_models:
                return index
        return None

    def _reserve_slot(self, model: str, current: _DispatchRound) -> bool:
        if model not in current.free_slots:
            current.free_slots[model] = self._capacity.free_slots(model) - self._table.unassigned_items(model)
        if current.free_slots[model] <= 0:
            current.full_models.add(model)
            return False
        current.free_slots[model] -= 1
        return True

    def _start_item(self, job: OpenJob, index: int, overdue: bool, current: _DispatchRound) -> None:
        job.pending.remove(index)
        current.running_by_customer[job.spec.customer] += 1
        job.running[index] = work = spawn(self._run_item(job, index, job.spec.items[index], overdue))
        work.addBoth(self._item_ended, job, index)
        if not job.pending:
            current.jobs.remove(job)

    def _item_ended(self, result: Any, job: OpenJob, index: int) -> None:
        job.running.pop(index, None)
        if isinstance(result, Failure) and not result.check(defer.CancelledError, ReplicatedLogError):
            self._ctx.logger.failure("item_failed", result.value, lot=job.id, item=index)
        if job.leaseholder is None or job.leaseholder.lost or job.leaseholder.final:
            return
        if index not in job.results and index not in job.pending:
            job.pending.append(index)
            job.retry_at[index] = self._ctx.timers.now() + ACQUIRE_BACKOFF

    async def _run_item(self, job: OpenJob, index: int, item: Item, overdue: bool) -> None:
        if overdue:
            outcome = job.provable_outcome(index, "not_run")
            await self._ownership.record_result(job, Result(item=index, outcome=outcome, code="limit_passed"))
            await self._ownership.finish_if_done(job)
            return
        request = self._request_for(job, index, item)
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
            job.attempts[index] = job.attempts.get(index, 0) + (request.outcome != "not_run")
            if self._schedule_retry(job, index, request):
                return
            result = self._failed_result(job, index, request)
        await self._ownership.record_result(job, result)
        await self._ownership.finish_if_done(job)

    def _request_for(self, job: OpenJob, index: int, item: Item) -> RequestRecord:
        now = self._ctx.timers.now()
        left = ms(job.spec.limit_ms) - ms(wall_ms(self._ctx.timers.utc_now()))
        return RequestRecord(
            kind=RequestKind.ITEM,
            model=item.model,
            prompt=item.prompt,
            prefix_key=item.prefix,
            idempotent=item.repeatable,
            max_tokens=item.max_tokens or DEFAULT_MAX_TOKENS,
            deadline=now + min(ITEM_TIMEOUT, left),
            customer=job.spec.customer,
            before_send=partial(self._record_start, job, index, item),
            check_before_send=partial(self._check_owned, job),
        )

    def _schedule_retry(self, job: OpenJob, index: int, request: RequestRecord) -> bool:
        """Makes a failed item pending again where that is safe; returns whether it did."""
        error = request.error
        assert error is not None
        outcome = request.outcome
        safe = outcome == "not_run" or (request.idempotent and outcome == "unknown")
        if not safe or job.attempts[index] >= MAX_ATTEMPTS or error.code == "limit_passed":
            return False
        delay = max(MIN_RETRY_DELAY, secs(error.retry_after) / 4)
        job.retry_at[index] = self._ctx.timers.now() + delay
        job.pending.append(index)
        return True

    def _failed_result(self, job: OpenJob, index: int, request: RequestRecord) -> Result:
        error = request.error
        assert error is not None
        outcome = "failed" if error.outcome == "failed" else request.outcome
        return Result(item=index, outcome=job.provable_outcome(index, outcome), code=error.code, run=request.id)

    async def _record_start(self, job: OpenJob, index: int, item: Item) -> None:
        """Records durably that an item that is not idempotent was started; then the lease must still be held."""
        if not item.repeatable and index not in job.started:
            assert job.leaseholder is not None
            record = LogRecord(started=Started(item=index))
            await job.leaseholder.append([record.SerializeToString()], reserved=True)
            job.started.add(index)
        self._check_owned(job)

    def _check_owned(self, job: OpenJob) -> None:
        """Raises LeaseNotHeld where this gateway does not own the job any more."""
        if job.leaseholder is None or not job.leaseholder.is_held() or job.leaseholder.final:
            raise LeaseNotHeld(f"{job.id}: the lease ended before the item was sent")


def _urgency(job: OpenJob, now_ms: int) -> int:
    """Returns steps of time left: jobs due within seconds go before those due within minutes, hours, days."""
    left_ms = max(0, job.spec.limit_ms - now_ms)
    for step, bound_ms in enumerate(URGENCY_STEPS_MS):
        if left_ms < bound_ms:
            return step
    return len(URGENCY_STEPS_MS)
