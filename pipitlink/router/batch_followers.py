"""Provides the progress and content of any batch, whichever gateway owns it."""

from __future__ import annotations

from datetime import timedelta

from ..cache.poller import KnownLengths
from ..client_memory import MemoryUse
from ..context import Context
from ..errors import ApiError, CorruptData, NotFound, PipitlinkError, ServiceUnavailable
from ..http_refusals import NO_MEMORY
from ..timers import ms, secs
from ..wire.lots_pb2 import Batch
from .batch_follower import BatchFollower
from .batch_progress import BatchProgress, batch_log, is_valid_batch_id
from .batch_table import BatchTable

__all__ = ["BatchFollowers", "HEAD_ONLY"]

HEAD_ONLY = "head_alone"
# A follower that has not been used for this long is dropped.
UNUSED_FOLLOWER_RETENTION = secs(30)
DROP_INTERVAL = secs(5)
READ_TIMEOUT = ms(1200)
MAX_TAIL_LAG = secs(1)
# Lengths that the storage nodes confirmed more recently than this are not requested again.
RECONFIRM_AFTER = ms(400)
# An owned batch is checked at least this often, since its lease may be lost.
MAX_WAIT_OWNED = secs(1)
# Lengths that were confirmed longer ago than this are too old to rely on.
MAX_STALENESS = secs(1)


class BatchFollowers:
    """Reads any batch: owned ones from the table, others through followers of their logs.

    Followers are kept for as long as clients keep reading their batches.
    """

    def __init__(self, ctx: Context, table: BatchTable) -> None:
        self._ctx = ctx
        self._table = table
        self.followers: dict[str, BatchFollower] = {}
        self._counted_bytes: dict[BatchFollower, int] = {}

    def open(self) -> None:
        """Starts dropping unused followers periodically."""
        self._ctx.timers.call_repeatedly(DROP_INTERVAL, self._drop_unused, self._ctx.error_reporter("follow_batches"))

    def _drop_unused(self) -> None:
        now = self._ctx.timers.now()
        for batch_id, follower in list(self.followers.items()):
            if now - follower.used_at > UNUSED_FOLLOWER_RETENTION:
                self.drop(batch_id, follower)

    def drop(self, batch_id: str, follower: BatchFollower) -> None:
        """Closes a follower; the next read of its batch starts from the beginning of the log."""
        follower.close()
        self._ctx.client_memory.count_use(MemoryUse.BATCHES, -self._counted_bytes.pop(follower, 0))
        if self.followers.get(batch_id) is follower:
            del self.followers[batch_id]

    async def get_progress(self, batch_id: str) -> BatchProgress:
        """Returns the confirmed progress of a batch, with its head set.

        Raises NotFound where the batch is known not to exist, another PipitlinkError where its state is unknown.
        """
        owned = self._table.get_valid(batch_id)
        if owned is not None:
            return owned.progress
        return (await self._updated_follower(batch_id)).progress

    async def get_batch(self, batch_id: str) -> Batch:
        """Returns a batch with the bodies of its items. Raises the same errors as `get_progress`."""
        owned = self._table.get_valid(batch_id)
        if owned is not None:
            return owned.progress.complete_batch
        follower = await self._updated_follower(batch_id)
        if follower.progress.batch is None:
            if not self._ctx.client_memory.has_room_for(MemoryUse.BATCHES, follower.missing_body_bytes()):
                raise ServiceUnavailable("no memory to read the bodies of the items", code=NO_MEMORY.code)
            try:
                await self._ctx.timers.with_timeout(READ_TIMEOUT, follower.read_bodies())
            except PipitlinkError as error:
                if follower.has_ended() or isinstance(error, CorruptData):
                    self.drop(batch_id, follower)
                raise
            finally:
                self._count_memory(batch_id, follower)
        return follower.progress.complete_batch

    def _count_memory(self, batch_id: str, follower: BatchFollower) -> None:
        if self.followers.get(batch_id) is follower:
            self._ctx.client_memory.count_use(
                MemoryUse.BATCHES, follower.held_bytes - self._counted_bytes.get(follower, 0)
            )
            self._counted_bytes[follower] = follower.held_bytes

    async def _updated_follower(self, batch_id: str) -> BatchFollower:
        """Returns the follower of a batch, after it has read all that is durable."""
        if not is_valid_batch_id(batch_id):
            raise NotFound("there is no such batch", code="no_such_batch", field="id")
        follower = self.followers.get(batch_id)
        if follower is None:
            tail = self._ctx.cache.tail(batch_log(batch_id), MAX_TAIL_LAG)
            follower = self.followers[batch_id] = BatchFollower(tail, self._ctx.timers.now())
        follower.used_at = self._ctx.timers.now()
        if not follower.has_ended():
            try:
                with follower.in_use():
                    await self._ctx.timers.with_timeout(READ_TIMEOUT, self._read(batch_id, follower))
            except (ApiError, CorruptData) as error:
                if follower.progress.head is None or isinstance(error, CorruptData):
                    self.drop(batch_id, follower)
                raise
            finally:
                self._count_memory(batch_id, follower)
        return follower

    async def _read(self, batch_id: str, follower: BatchFollower) -> None:
        known = follower.tail.lengths
        await self._confirm_lengths(follower, known)
        if not known.durable:
            await self._raise_absent(batch_id, known)
        await follower.catch_up(known)
        if follower.progress.head is None:
            raise ServiceUnavailable(
                "the batch cannot be read now",
                code=HEAD_ONLY if follower.has_only_head() else "unread",
                outcome="unknown",
            )
        if follower.has_ended():
            follower.close()

    async def _confirm_lengths(self, follower: BatchFollower, known: KnownLengths) -> None:
        """Confirms the lengths of the log with the storage nodes. Raises ServiceUnavailable where too few respond."""
        if known.confirmed_at is None or self._ctx.timers.now() - known.confirmed_at > RECONFIRM_AFTER:
            await self._ctx.cache.poller.confirm_durable([follower.tail.path])
        if known.confirmed_at is None or self._ctx.timers.now() - known.confirmed_at > MAX_STALENESS:
            raise ServiceUnavailable("too few storage nodes responded", code="no_majority", outcome="unknown")

    async def _raise_absent(self, batch_id: str, known: KnownLengths) -> None:
        """Raises NotFound, or ServiceUnavailable where the batch may still become durable.

        The batch is known to be absent only where a majority of the storage nodes has not a single byte of its log.
        """
        if known.final:
            raise NotFound("the batch was removed after its retention", code="batch_removed", status=410)
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is None or state.tail_epoch:
            raise ServiceUnavailable("it is unknown whether this batch exists", code="not_sure", outcome="unknown")
        raise NotFound("there is no such batch", code="no_such_batch", field="id")

    async def wait_for_progress(self, batch_id: str, timeout: timedelta) -> None:
        """Waits until there may be more of a batch to read, or until the timeout."""
        owned = self._table.get_valid(batch_id)
        if owned is not None:
            await owned.wait_for_progress(self._ctx.timers, min(timeout, MAX_WAIT_OWNED))
            return
        follower = self.followers.get(batch_id)
        if follower is not None and not follower.is_closed:
            await self._wait_for_growth(follower, timeout)

    async def _wait_for_growth(self, follower: BatchFollower, timeout: timedelta) -> None:
        deadline = self._ctx.timers.now() + timeout
        tail = follower.tail
        with follower.in_use():
            while tail.readable_end() <= tail.position and self._ctx.timers.now() < deadline and not follower.is_closed:
                await self._ctx.cache.poller.wait_for_growth(min(deadline - self._ctx.timers.now(), RECONFIRM_AFTER))
