"""A batch whose lease this gateway holds."""

from __future__ import annotations

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..disk import decode_frames
from ..errors import DeadlineExceeded
from ..replicated_log import Leaseholder
from ..timers import Timers
from ..wire.lots_pb2 import Batch, LogRecord, Output
from .batch_progress import BatchProgress
from .batch_timings import ItemTimings
from .item_runner import ItemCall

__all__ = ["OwnedBatch"]


@attrs.define(eq=False)
class OwnedBatch:
    """A batch that this gateway owns: its durable progress, and the state of each of its items, by index.

    `batch` is None where its log is empty. `finished` has the items that have an output, durable or not; `progress`
    only those whose output is durable. `waiting` is in the order in which items are started. `pending_outputs` have
    not been appended yet.
    """

    id: str
    leaseholder: Leaseholder
    timings: ItemTimings
    batch: Batch | None = None
    progress: BatchProgress = attrs.field(factory=BatchProgress)
    position: int = 0
    unfinished_tokens: int = 0
    finished: set[int] = attrs.field(factory=set)
    waiting: list[int] = attrs.field(factory=list)
    running: dict[int, defer.Deferred[None]] = attrs.field(factory=dict)
    calls: dict[int, ItemCall] = attrs.field(factory=dict)
    retry_at: dict[int, timedelta] = attrs.field(factory=dict)
    backoffs: dict[int, timedelta] = attrs.field(factory=dict)
    failures: dict[int, int] = attrs.field(factory=dict)
    pending_outputs: list[Output] = attrs.field(factory=list)
    is_writing: bool = False
    is_closing: bool = False
    last_start: int = 0
    route_missing_since: timedelta | None = None
    waiters: list[defer.Deferred[None]] = attrs.field(factory=list)

    @property
    def content(self) -> Batch:
        """The batch itself. Raises ValueError where its log is empty."""
        if self.batch is None:
            raise ValueError(f"the log of batch {self.id} is empty")
        return self.batch

    def read_durable(self) -> None:
        """Applies the records that have become durable, and wakes those who wait for them."""
        data = bytes(self.leaseholder.data[self.position : self.leaseholder.committed])
        read = 0
        for _, body, end in decode_frames(data):
            self.progress.apply(LogRecord.FromString(body))
            read = end
        self.position += read
        if read or self.leaseholder.lost:
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def is_durable(self) -> bool:
        """Returns whether the complete batch is durable."""
        return self.progress.batch is not None

    def is_current(self) -> bool:
        """Returns whether the lease is valid and the log has not ended."""
        return self.leaseholder.is_held() and not self.leaseholder.final

    def is_idle(self) -> bool:
        """Returns whether the lease can be released without losing work in progress."""
        return self.is_durable() and not (self.running or self.pending_outputs or self.is_writing)

    def all_finished(self) -> bool:
        """Returns whether every item has an output, durable or not."""
        return len(self.finished) == len(self.content.items)

    def unfinished(self) -> list[int]:
        """Returns the indexes of the items that have no output yet."""
        return [index for index in range(len(self.content.items)) if index not in self.finished]

    def queue_unfinished(self) -> None:
        """Queues all items whose output is not durable."""
        items = self.content.items
        self.finished = set(self.progress.finished_items)
        self.waiting = self.unfinished()
        self.unfinished_tokens = sum(items[index].tokens for index in self.waiting)

    def cancel_running(self) -> None:
        """Cancels the running attempts."""
        for attempt in list(self.running.values()):
            attempt.cancel()

    async def wait_durable(self) -> None:
        """Waits until everything that was appended is durable, or the lease is lost.

        Raises ReplicatedLogError where it can no longer become durable.
        """
        while not self.leaseholder.lost:
            try:
                await self.leaseholder.wait_durable()
                return
            except DeadlineExceeded:
                continue

    async def wait_for_progress(self, timers: Timers, timeout: timedelta) -> None:
        """Waits until more of the batch is durable, the lease is lost, or the timeout has passed."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self.waiters.append(waiter)
        try:
            await timers.wait_at_most(waiter, timeout)
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
