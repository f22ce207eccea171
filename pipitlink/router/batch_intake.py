"""Accepts submitted batches, each of them at most once."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from ..context import Context
from ..errors import (
    ApiError,
    BadRequest,
    LeaseNotHeld,
    PipitlinkError,
    ReplicatedLogError,
    ServiceUnavailable,
    WireError,
)
from ..http_refusals import NO_MEMORY
from ..timers import ZERO, SingleFlight, ms, secs, wall_ms
from ..wire.cluster_pb2 import Route
from ..wire.lots_pb2 import Batch, LogRecord
from .batch_api import Submission
from .batch_followers import HEAD_ONLY, BatchFollowers
from .batch_progress import batch_head, batch_log, is_valid_batch_id
from .batch_table import BatchTable
from .batch_timings import IntakePhase
from .http_response import HttpResponse, json_error, json_response
from .owned_batch import OwnedBatch
from .phase_timings import PhaseTimings
from .quota import QuotaCoordinator

__all__ = ["BatchIntake"]

# The part of the client's deadline that is reserved for sending the response.
RESPONSE_MARGIN = ms(30)
RETRY_INTERVAL = ms(40)
QUOTA_TIMEOUT = secs(1.5)
COMPARE_TIMEOUT = ms(400)
RETRY_AFTER_S = 0.2


class _AcceptedBatch(NamedTuple):
    """A batch that is known to be durable; `batch` is None where it could not be read."""

    batch: Batch | None = None


def _unavailable(text: str, code: str) -> ServiceUnavailable:
    return ServiceUnavailable(text, code=code, retry_after=RETRY_AFTER_S)


def _unknown_outcome(text: str, status: int = 504) -> ApiError:
    return ApiError(text, code="unknown_outcome", status=status, outcome="unknown")


def _is_same(accepted: Batch, submitted: Batch) -> bool:
    is_same_route = (accepted.host, accepted.path) == (submitted.host, submitted.path)
    return is_same_route and list(accepted.items) == list(submitted.items)


class BatchIntake:
    """Accepts batches. The gateway that acquires the lease of a batch's empty log writes the batch to it and owns it.

    Responds with 429 or 503 only where this attempt has written nothing. Once a write has been sent, the response is
    202 or an unknown outcome.
    """

    def __init__(self, ctx: Context, table: BatchTable, quota: QuotaCoordinator, followers: BatchFollowers) -> None:
        self._ctx = ctx
        self._table = table
        self._quota = quota
        self._followers = followers
        self._submissions: SingleFlight[str, _AcceptedBatch] = SingleFlight()

    async def submit(self, submission: Submission) -> HttpResponse:
        """Accepts a batch, or responds for the batch that was accepted under its id earlier."""
        dialect = self._ctx.dialect
        timings = PhaseTimings(self._ctx.timers, submission.started_at)
        timings.end_phase(IntakePhase.RECEIVE)
        try:
            batch = self._parse(submission)
            timings.end_phase(IntakePhase.PARSE)
            accepted = await self._accept_before_deadline(batch, submission, timings)
            if accepted.batch is not None and not _is_same(accepted.batch, batch):
                raise ApiError(
                    "this id was used for another batch", code="id_in_use", field="id", status=409, outcome="not_run"
                )
            self._log_accepted(batch, submission, timings)
            return json_response(202, dialect.format_accepted(batch.id, len(batch.items)))
        except ApiError as error:
            return json_error(error, dialect.format_error(error))
        except (PipitlinkError, TimeoutError) as error:
            unknown = _unknown_outcome(f"the batch may still be accepted: {error}")
            return json_error(unknown, dialect.format_error(unknown))

    def _log_accepted(self, batch: Batch, submission: Submission, timings: PhaseTimings) -> None:
        self._ctx.logger.info(
            "batch_accepted",
            batch=batch.id,
            items=len(batch.items),
            bytes=len(submission.body),
            receive_ms=timings.phase_ms(IntakePhase.RECEIVE),
            parse_ms=timings.phase_ms(IntakePhase.PARSE),
            reserve_ms=timings.phase_ms(IntakePhase.RESERVE),
            acquire_ms=timings.phase_ms(IntakePhase.ACQUIRE),
            append_ms=timings.phase_ms(IntakePhase.APPEND),
            total_ms=timings.total_ms(),
            rpc_sent_bytes=self._ctx.rpc.sent_bytes,
        )

    def _parse(self, submission: Submission) -> Batch:
        batch_id = submission.batch_id
        if not is_valid_batch_id(batch_id):
            raise BadRequest("the batch needs an id of 1 to 64 letters, digits, - and _", code="bad_id", field="id")
        parsed = self._ctx.dialect.parse_batch(submission.body)
        return Batch(
            id=batch_id,
            host=submission.host,
            path=submission.path,
            route=submission.route.name,
            taken_ms=wall_ms(self._ctx.timers.utc_now()),
            items=parsed.items,
        )

    async def _accept_before_deadline(
        self, batch: Batch, submission: Submission, timings: PhaseTimings
    ) -> _AcceptedBatch:
        deadline = submission.deadline - RESPONSE_MARGIN
        remaining = deadline - self._ctx.timers.now()
        if remaining <= ZERO:
            raise _unavailable("the deadline has passed", "deadline_passed")
        work = self._submissions.run(batch.id, lambda: self._accept(batch, submission, deadline, timings))
        return await self._ctx.timers.with_timeout(remaining, work)

    async def _accept(
        self, batch: Batch, submission: Submission, deadline: timedelta, timings: PhaseTimings
    ) -> _AcceptedBatch:
        """Returns the batch that is durable under this id, whether this attempt wrote it or an earlier one."""
        owned = self._table.get(batch.id)
        if owned is None or owned.leaseholder.lost:
            try:
                await self._admit(batch, submission.route, deadline, len(submission.body))
            except ApiError as error:
                return await self._accepted_earlier(batch.id, error)
            timings.end_phase(IntakePhase.RESERVE)
        try:
            return await self._table.run_exclusively(batch.id, lambda: self._write(batch, deadline, timings))
        finally:
            self._quota.release(batch.id)
            self._hand_over_if_closing(batch.id)

    async def _admit(self, batch: Batch, route: Route, deadline: timedelta, body_bytes: int) -> None:
        if not self._ctx.cluster.usable():
            raise _unavailable("this gateway cannot accept batches now", "not_current")
        if not self._table.has_room_for(body_bytes):
            raise _unavailable("this gateway has no memory for a further batch now", NO_MEMORY.code)
        await self._quota.reserve(route, batch, min(deadline, self._ctx.timers.now() + QUOTA_TIMEOUT))

    def _hand_over_if_closing(self, batch_id: str) -> None:
        owned = self._table.get(batch_id)
        if self._table.is_closing and owned is not None and owned.is_idle():
            self._ctx.run_in_background(self._ctx.replicated_log.release([owned.leaseholder]), "hand_over")

    async def _accepted_earlier(self, batch_id: str, refusal: ApiError) -> _AcceptedBatch:
        """Returns the batch that an earlier attempt had accepted; raises this attempt's refusal where there is none."""
        try:
            accepted = await self._find_accepted(batch_id)
        except ServiceUnavailable:
            raise refusal from None
        if accepted is None:
            raise refusal
        return accepted

    async def _find_accepted(self, batch_id: str) -> _AcceptedBatch | None:
        """Returns the batch that is durable under an id; None where there is none, or only its head.

        Raises ServiceUnavailable where too few storage nodes respond.
        """
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is None:
            raise _unavailable("too few storage nodes responded", "no_majority")
        if not state.committed and not state.final:
            return None
        try:
            batch = await self._ctx.timers.with_timeout(COMPARE_TIMEOUT, self._followers.get_batch(batch_id))
        except PipitlinkError as error:
            is_head_only = isinstance(error, ApiError) and error.code == HEAD_ONLY
            return None if is_head_only else _AcceptedBatch()
        return _AcceptedBatch(batch)

    async def _write(self, batch: Batch, deadline: timedelta, timings: PhaseTimings) -> _AcceptedBatch:
        owned = await self._acquire(batch.id, deadline)
        timings.end_phase(IntakePhase.ACQUIRE)
        if isinstance(owned, _AcceptedBatch):
            return owned
        if owned.batch is None:
            if owned.leaseholder.final:
                await self._ctx.replicated_log.release([owned.leaseholder])
                return _AcceptedBatch()
            await self._append(owned, batch)
        elif not owned.is_durable():
            await self._wait_durable(owned)
        timings.end_phase(IntakePhase.APPEND)
        return _AcceptedBatch(owned.batch)

    async def _acquire(self, batch_id: str, deadline: timedelta) -> OwnedBatch | _AcceptedBatch:
        """Returns the batch with its lease held here, or the batch as another gateway has accepted it.

        Waits while another gateway may be about to accept it. Raises ServiceUnavailable.
        """
        while True:
            last_error: PipitlinkError
            try:
                return await self._table.acquire(batch_id)
            except (ReplicatedLogError, WireError) as error:
                last_error = error
            try:
                accepted = await self._find_accepted(batch_id)
                if accepted is not None:
                    return accepted
            except ServiceUnavailable as error:
                last_error = error
            has_time = self._ctx.timers.now() + 2 * RETRY_INTERVAL < deadline
            if not isinstance(last_error, LeaseNotHeld) or not has_time:
                raise _unavailable(f"this gateway cannot accept the batch now: {last_error}", "store")
            await self._ctx.timers.sleep(RETRY_INTERVAL)

    async def _append(self, owned: OwnedBatch, batch: Batch) -> None:
        """Appends a batch to its empty log, and returns once it is durable."""
        leaseholder = owned.leaseholder
        length_before = len(leaseholder.data)
        owned.batch = batch
        owned.queue_unfinished()
        self._table.add(owned)
        records = [LogRecord(head=batch_head(batch)), LogRecord(batch=batch)]
        try:
            await leaseholder.append([record.SerializeToString() for record in records])
        except PipitlinkError as error:
            await self._append_failed(owned, length_before, error)

    async def _append_failed(self, owned: OwnedBatch, length_before: int, error: PipitlinkError) -> None:
        """Keeps waiting for durability where a write was sent.

        Raises ApiError where no write was sent, or the outcome is unknown.
        """
        leaseholder = owned.leaseholder
        if len(leaseholder.data) <= length_before:
            self._table.remove(owned)
            await self._ctx.replicated_log.release([leaseholder])
            raise _unavailable(f"the batch could not be written: {error}", "store") from error
        if leaseholder.lost:
            raise _unknown_outcome(f"the batch may still be accepted: {error}", 500) from error
        await self._wait_durable(owned)

    async def _wait_durable(self, owned: OwnedBatch) -> None:
        try:
            await owned.wait_durable()
        except PipitlinkError as error:
            raise _unknown_outcome(f"the batch may still be accepted: {error}", 500) from error
        if owned.leaseholder.lost:
            raise _unknown_outcome("the lease ended before the batch was durable", 500)
