"""Takes batches in, each at most once."""

from datetime import timedelta

from ..errors import (
    ApiError,
    BadRequest,
    LeaseNotHeld,
    PipitlinkError,
    ReplicatedLogError,
    ServiceUnavailable,
    WireError,
)
from ..timers import ZERO, SingleFlight, ms, secs, wall_ms
from ..wire.lots_pb2 import Batch, LogRecord
from .batches import HEAD_ALONE, OpenBatch, batch_log, good_id, head_of

__all__ = ["BatchIntake", "refusal"]

MARGIN = ms(30)
LOOK_AGAIN = ms(40)
QUOTA_WAIT = secs(1.5)
COMPARE_SPAN = ms(400)
COME_BACK = 0.2


def refusal(e: ApiError, dialect) -> tuple[int, dict, bytes]:
    """Returns the HTTP response to a refused batch call: status, headers and body."""
    headers = {"Content-Type": "application/json"}
    if e.retry_after:
        headers["Retry-After"] = str(e.retry_after)
    return e.status, headers, dialect.format_error(e)


def _unknown(text: str, status: int = 504) -> ApiError:
    return ApiError(text, code="unknown_outcome", status=status, outcome="unknown")


class BatchIntake:
    """Mixin: takes batches in. Whoever takes the lease of a batch's empty log writes the batch there, and owns it.

    429 and 503 are only said where this try wrote nothing; once a write has left, the answer is 202 or unknown.

    Offers `take_batch`.
    Needs of the node: `_ctx`, `dialect`; of Batches: `batches`, `_closing_batches`, `_hold_batch`, `_in_batch_turn`,
    `_adopt_batch`, `_lose_batch`; of BatchRun: `_await_batch_durable`; of BatchRead: `_batch_of`; of Quota:
    `_await_quota`, `_drop_grant`.
    Owns `_batches_taking`.
    """

    def _open_batch_intake(self):
        self._batches_taking = SingleFlight()

    async def take_batch(self, route, host: str, path: str, lot_id: str, raw: bytes, deadline: timedelta):
        """`deadline` is a point on the timers' time."""
        try:
            if not good_id(lot_id):
                raise BadRequest("the batch needs an id of 1 to 64 letters, digits, - and _", code="bad_id", field="id")
            items = self.dialect.parse_batch(raw)
            taken = wall_ms(self._ctx.timers.utc_now())
            batch = Batch(id=lot_id, host=host, path=path, route=route.name, taken_ms=taken, items=items.items)
            left = deadline - MARGIN - self._ctx.timers.now()
            if left <= ZERO:
                raise ServiceUnavailable("the deadline has passed", code="deadline_passed", retry_after=COME_BACK)
            same = await self._ctx.timers.with_timeout(
                left, self._batches_taking.run(lot_id, lambda: self._take_once(batch, route, deadline - MARGIN))
            )
            if not self._same_batch(same, batch):
                raise ApiError(
                    "this id was used for another batch", code="id_in_use", field="id", status=409, outcome="not_run"
                )
            return 202, {"Content-Type": "application/json"}, self.dialect.format_accepted(lot_id, len(batch.items))
        except ApiError as e:
            return refusal(e, self.dialect)
        except (PipitlinkError, TimeoutError) as e:
            return refusal(_unknown(f"the batch may yet be taken: {e}"), self.dialect)

    def _same_batch(self, one: Batch | None, other: Batch) -> bool:
        return one is None or (one.host, one.path, list(one.items)) == (other.host, other.path, list(other.items))

    async def _take_once(self, batch: Batch, route, until: timedelta) -> Batch | None:
        """The batch as it is durable now; None where it surely is but could not be read again."""
        o = self.batches.get(batch.id)
        if o is None or o.leaseholder.lost:
            try:
                if not self._ctx.cluster.usable():
                    raise ServiceUnavailable(
                        "this gateway takes no batches now", code="not_current", retry_after=COME_BACK
                    )
                await self._await_quota(route, batch, min(until, self._ctx.timers.now() + QUOTA_WAIT))
            except ApiError as e:
                return await self._batch_taken_already(batch.id, e)
        try:
            return await self._in_batch_turn(batch.id, lambda: self._write_batch(batch, until))
        finally:
            self._drop_grant(batch.id)
            o = self.batches.get(batch.id)
            if self._closing_batches and o is not None and o.idle():
                self._ctx.run_in_background(self._ctx.replicated_log.release([o.leaseholder]), "hand_over")

    async def _batch_taken_already(self, batch_id: str, refused: ApiError) -> Batch | None:
        """What an earlier try has taken is not refused."""
        try:
            known = await self._known_batch(batch_id)
        except ServiceUnavailable:
            raise refused from None
        if known is None:
            raise refused
        return known or None

    async def _known_batch(self, batch_id: str) -> Batch | bool | None:
        """None where nothing is durable of it but a head; False where it is but cannot be read at once."""
        state = (await self._ctx.replicated_log.states([batch_log(batch_id)])).get(batch_log(batch_id))
        if state is None:
            raise ServiceUnavailable("the store cannot be read now", code="no_majority", retry_after=COME_BACK)
        if not state.committed and not state.final:
            return None
        try:
            return await self._ctx.timers.with_timeout(COMPARE_SPAN, self._batch_of(batch_id))
        except PipitlinkError as e:
            return None if isinstance(e, ApiError) and e.code == HEAD_ALONE else False

    async def _write_batch(self, batch: Batch, until: timedelta) -> Batch | None:
        o = await self._hold_for_intake(batch.id, until)
        if not isinstance(o, OpenBatch):
            return o or None
        if o.batch is None:
            if o.leaseholder.final:
                await self._ctx.replicated_log.release([o.leaseholder])
                return None
            await self._append_batch(o, batch)
        elif not o.taken():
            await self._batch_durable(o)
        return o.batch

    async def _hold_for_intake(self, batch_id: str, until: timedelta) -> OpenBatch | Batch | bool:
        """The batch held here, or as another gateway has taken it; waits while one may be about to."""
        while True:
            try:
                return await self._hold_batch(batch_id)
            except (ReplicatedLogError, WireError) as e:
                fault = e
            try:
                known = await self._known_batch(batch_id)
                if known is not None:
                    return known
            except ServiceUnavailable as e:
                fault = e
            if not isinstance(fault, LeaseNotHeld) or self._ctx.timers.now() + 2 * LOOK_AGAIN >= until:
                raise ServiceUnavailable(
                    f"the batch cannot be taken here now: {fault}", code="store", retry_after=COME_BACK
                )
            await self._ctx.timers.sleep(LOOK_AGAIN)

    async def _append_batch(self, o: OpenBatch, batch: Batch):
        h = o.leaseholder
        before = len(h.data)
        o.batch = batch
        o.prepare()
        self._adopt_batch(o)
        try:
            await h.append(
                [LogRecord(head=head_of(batch)).SerializeToString(), LogRecord(batch=batch).SerializeToString()]
            )
        except PipitlinkError as e:
            if len(h.data) > before:
                if not h.lost:
                    await self._batch_durable(o)
                    return
                raise _unknown(f"the batch may yet be taken: {e}", 500) from e
            self._lose_batch(o)
            await self._ctx.replicated_log.release([h])
            raise ServiceUnavailable(f"the store takes no batches now: {e}", code="store", retry_after=COME_BACK) from e

    async def _batch_durable(self, o: OpenBatch):
        try:
            await self._await_batch_durable(o)
        except PipitlinkError as e:
            raise _unknown(f"the batch may yet be taken: {e}", 500) from e
        if o.leaseholder.lost:
            raise _unknown("the lease ended before the batch was durable", 500)
