"""Owns batch jobs by the leases of their result logs."""

from __future__ import annotations

from enum import StrEnum

from ..context import Context
from ..disk import decode_frames
from ..errors import DeadlineExceeded, PipitlinkError
from ..replicated_log import Leaseholder
from ..timers import ms, secs, spawn
from ..wire.lots_pb2 import Ended, EndRequest, EndResponse, LogRecord, Result
from .job_ids import result_log
from .open_jobs import OpenJob, OpenJobs
from .owner_selection import acquire_log, choose_owner
from .serving_state import ServingState

__all__ = ["ACQUIRE_BACKOFF", "CancelStatus", "JobOwnership"]

CHECK_INTERVAL = ms(200)
ACQUIRE_BACKOFF = ms(700)
MAX_ACQUIRING = 8
RELEASE_DELAY = secs(1)


class CancelStatus(StrEnum):
    """What became of a request to cancel a job; callers see the first two values."""

    CANCELLED = "ended"
    CLOSED = "closed"
    UNKNOWN = "unknown"
    NOT_OWNED = "not_owned"
    OWNER_UNREACHABLE = "lost"


class JobOwnership:
    """Takes up the jobs that are this gateway's by rendezvous hashing, records results, and closes finished jobs.

    The owner of a job is the holder of its result log's lease. It owns all of an OpenJob but its `id` and `spec`.
    """

    def __init__(self, ctx: Context, serving: ServingState, open_jobs: OpenJobs) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_jobs = open_jobs

    def start(self) -> None:
        """Registers the handler of cancellations, and starts to look for jobs to take up or to close."""
        self._ctx.rpc.register_handler("lots.end", EndRequest, self._handle_cancel)
        timer = self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL,
            self._check_jobs,
            self._ctx.error_reporter("adopt_lots"),
            idle_time=self._open_jobs.idle_wait,
        )
        self._open_jobs.add_timer(timer)

    def give_up_all(self) -> None:
        """Cancels the items that run and gives up all jobs, for a graceful shutdown."""
        for job in self._open_jobs.all():
            self._give_up(job)

    async def record_result(self, job: OpenJob, result: Result) -> None:
        """Appends an item's result, if this gateway still owns the job and the item has none."""
        if result.item in job.results or job.leaseholder is None or job.leaseholder.final:
            return
        job.results[result.item] = result
        await job.leaseholder.append([LogRecord(result=result).SerializeToString()], reserved=True)

    async def finish_if_done(self, job: OpenJob) -> None:
        """Ends the result log and closes the job once all results are durable."""
        leaseholder = job.leaseholder
        if leaseholder is None or leaseholder.lost:
            return
        if not leaseholder.final and self._has_work_left(job, leaseholder):
            return
        await self._end_log(leaseholder, "done")
        if job.leaseholder is not leaseholder:
            return
        self._ctx.logger.info("lot_completed", lot=job.id)
        await self._close(job)

    async def cancel_local_job(self, job_id: str) -> CancelStatus:
        """Cancels a job as its owner: first for good in its log, then its running items."""
        job = self._open_jobs.get(job_id)
        if job is None:
            return CancelStatus.CLOSED if self._open_jobs.is_closed(job_id) else CancelStatus.UNKNOWN
        if job.leaseholder is None:
            await self._acquire(job)
        if job.leaseholder is None:
            return CancelStatus.CLOSED if self._open_jobs.is_closed(job_id) else CancelStatus.NOT_OWNED
        leaseholder = job.leaseholder
        try:
            await self._end_log(leaseholder, "ended")
        finally:
            if leaseholder.final:
                _cancel_items(job)
        self._ctx.logger.info("lot_cancelled", lot=job_id)
        spawn(self._close(job)).addErrback(lambda _: None)
        return CancelStatus.CANCELLED

    async def _handle_cancel(self, _: str, request: EndRequest) -> EndResponse:
        status = await self.cancel_local_job(request.lot)
        return EndResponse(state=status.value)

    def _check_jobs(self) -> None:
        """Gives up jobs whose lease is lost, closes finished ones, and takes up those that are this gateway's."""
        if not self._serving.is_current():
            return
        if self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            self._hand_over_idle_jobs()
        now = self._ctx.timers.now()
        jobs = self._open_jobs.all()
        acquiring = sum(job.acquiring for job in jobs)
        for job in sorted(jobs, key=lambda job: job.spec.limit_ms):
            self._check_owned(job)
            if job.leaseholder or job.acquiring or job.next_acquire_at > now or acquiring >= MAX_ACQUIRING:
                continue
            if choose_owner(self._ctx, job.id) == self._ctx.node:
                job.acquiring = True
                acquiring += 1
                work = spawn(self._acquire(job))
                work.addErrback(lambda failure: self._ctx.logger.failure("lot_acquire_failed", failure.value))

    def _check_owned(self, job: OpenJob) -> None:
        if job.leaseholder is None:
            return
        if job.leaseholder.lost:
            self._give_up(job)
        elif job.leaseholder.final or job.is_finished():
            self._ctx.run_in_background(self.finish_if_done(job), "finish_lot")

    async def _acquire(self, job: OpenJob) -> None:
        """Takes the lease and reads the log; items that another owner had started are recorded as unknown."""
        try:
            leaseholder = await acquire_log(self._ctx, result_log(job.id))
        except (PipitlinkError, DeadlineExceeded) as error:
            job.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF
            self._ctx.logger.debug("lot_not_acquired", lot=job.id, text=error)
            return
        finally:
            job.acquiring = False
        _replay(job, leaseholder)
        if leaseholder.final:
            self._ctx.run_in_background(self._ctx.replicated_log.release([leaseholder]), "release_lease")
            self._open_jobs.close(job.id)
            return
        job.leaseholder = leaseholder
        self._begin_owning(job, leaseholder)
        await self.finish_if_done(job)

    def _begin_owning(self, job: OpenJob, leaseholder: Leaseholder) -> None:
        items = job.spec.items
        unknown = [item for item in job.started if item not in job.results and not items[item].repeatable]
        self._ctx.logger.info(
            "lot_acquired",
            lot=job.id,
            epoch=leaseholder.epoch,
            items=len(items),
            done=len(job.results),
            doubtful=len(unknown),
        )
        job.pending = [item for item in range(len(items)) if item not in job.results and item not in unknown]
        for item in unknown:
            result = Result(item=item, outcome="unknown", code="owner_lost")
            self._ctx.run_in_background(self.record_result(job, result), "record_unknown")

    def _hand_over_idle_jobs(self) -> None:
        """In an emptied zone a gateway gives up its jobs once nothing of theirs runs; others take them up."""
        for job in self._open_jobs.all():
            if job.leaseholder is not None and not job.running and not job.leaseholder.lost:
                self._ctx.run_in_background(self._ctx.replicated_log.release([job.leaseholder]), "hand_over")
                self._give_up(job)

    def _give_up(self, job: OpenJob) -> None:
        for work in job.running.values():
            work.cancel()
        job.leaseholder = None
        job.pending = []
        job.running = {}
        job.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF

    def _has_work_left(self, job: OpenJob, leaseholder: Leaseholder) -> bool:
        if len(job.results) < len(job.spec.items) or job.running.keys() - job.results:
            return True
        return leaseholder.committed < len(leaseholder.data)

    async def _end_log(self, leaseholder: Leaseholder, reason: str) -> None:
        """Writes the end record; where that does not get durable, the job is still open for the next owner."""
        if leaseholder.final:
            await leaseholder.wait_durable()
        else:
            record = LogRecord(ended=Ended(reason=reason))
            await leaseholder.append([record.SerializeToString()], final=True, reserved=True)

    async def _close(self, job: OpenJob) -> None:
        leaseholder, job.leaseholder = job.leaseholder, None
        if leaseholder is not None:
            self._open_jobs.close(job.id)
            await self._ctx.timers.sleep(RELEASE_DELAY)
            await self._ctx.replicated_log.release([leaseholder])


def _replay(job: OpenJob, leaseholder: Leaseholder) -> None:
    """Rebuilds what is known of the items from the result log."""
    job.results.clear()
    job.started.clear()
    for _, body, _ in decode_frames(bytes(leaseholder.data)):
        job.apply(LogRecord.FromString(body))


def _cancel_items(job: OpenJob) -> None:
    for work in list(job.running.values()):
        work.cancel()
