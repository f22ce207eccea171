"""The open batches of the cluster, as known at a gateway."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import attrs
from twisted.internet import defer

from ..client_memory import ClientMemory, MemoryUse
from ..replicated_log import Leaseholder
from ..timers import ZERO, RepeatingCall
from ..wire.lots_pb2 import LogRecord, Lot, Result

__all__ = ["OpenBatch", "OpenBatches"]

# A batch is held as a message and as the record of its log.
KEPT_COPIES = 2


@attrs.define(eq=False)
class OpenBatch:
    """A batch as known at a gateway: its items and, if this gateway owns it, their state.

    Items are numbered by their position in the batch. `attempts` counts this owner's attempts that may have run.
    """

    id: str
    spec: Lot
    leaseholder: Leaseholder | None = None
    acquiring: bool = False
    next_acquire_at: timedelta = ZERO
    pending: list[int] = attrs.field(factory=list)
    retry_at: dict[int, timedelta] = attrs.field(factory=dict)
    attempts: dict[int, int] = attrs.field(factory=dict)
    running: dict[int, defer.Deferred[Any]] = attrs.field(factory=dict)
    started: set[int] = attrs.field(factory=set)
    results: dict[int, Result] = attrs.field(factory=dict)

    def apply(self, record: LogRecord) -> None:
        """Applies one record of the result log."""
        kind = record.WhichOneof("of")
        if kind == "started":
            self.started.add(record.started.item)
        elif kind == "result":
            self.results.setdefault(record.result.item, record.result)

    def reportable_outcome(self, item: int, outcome: str) -> str:
        """Returns an item's outcome, with `unknown` instead of `not_run` if the item may have run.

        That is so if an attempt of this owner may have run, or if an earlier owner may have run the item: starts of
        idempotent items are not recorded.
        """
        if outcome != "not_run":
            return outcome
        if self.attempts.get(item, 0) or (self.spec.items[item].repeatable and self._had_other_owner()):
            return "unknown"
        return outcome

    def is_finished(self) -> bool:
        """Returns whether all items have a result and none is running."""
        return len(self.results) == len(self.spec.items) and not self.running

    def _had_other_owner(self) -> bool:
        return self.leaseholder is not None and self.leaseholder.epoch > 1


def _kept_bytes(spec: Lot) -> int:
    return KEPT_COPIES * spec.ByteSize()


class OpenBatches:
    """The batches that are known to be open, and the ids of those that are known to be closed.

    Timers that are idle without open batches are woken when one is added.
    """

    def __init__(self, memory: ClientMemory | None = None) -> None:
        self._memory = memory or ClientMemory()
        self._batches: dict[str, OpenBatch] = {}
        self._closed: set[str] = set()
        self._timers: list[RepeatingCall] = []

    def add_timer(self, timer: RepeatingCall) -> None:
        """Adds a timer to wake for each batch that is added."""
        self._timers.append(timer)

    def add(self, batch_id: str, spec: Lot) -> None:
        """Adds a batch, unless it is known or closed already."""
        if batch_id in self._closed or batch_id in self._batches:
            return
        self._batches[batch_id] = OpenBatch(batch_id, spec)
        self._memory.count_use(MemoryUse.BATCHES, _kept_bytes(spec))
        for timer in self._timers:
            timer.wake()

    def close(self, batch_id: str) -> None:
        """Marks a batch as closed, after it is done or cancelled."""
        self._closed.add(batch_id)
        batch = self._batches.pop(batch_id, None)
        if batch is not None:
            self._memory.count_use(MemoryUse.BATCHES, -_kept_bytes(batch.spec))

    def has_room_for(self, spec: Lot, log_bytes: int) -> bool:
        """Returns whether there is memory for a further batch until its end, beside logs of `log_bytes`."""
        return self._memory.has_room_for(MemoryUse.BATCHES, _kept_bytes(spec) + log_bytes)

    def remove_closed(self, batch_ids: set[str]) -> None:
        """Removes the ids of closed batches whose log is no longer followed."""
        self._closed -= batch_ids

    def get(self, batch_id: str) -> OpenBatch | None:
        """Returns an open batch, None if it is not known to be open."""
        return self._batches.get(batch_id)

    def is_closed(self, batch_id: str) -> bool:
        """Returns whether a batch is known to be closed."""
        return batch_id in self._closed

    def all_closed(self, batch_ids: set[str]) -> bool:
        """Returns whether all of the given batches are known to be closed."""
        return not batch_ids - self._closed

    def all(self) -> list[OpenBatch]:
        """Returns the open batches in the order in which they were added."""
        return list(self._batches.values())

    def idle_wait(self) -> timedelta | None:
        """Returns how long timers may be idle: zero while there are open batches, else None, until they are woken."""
        return ZERO if self._batches else None

    def __len__(self) -> int:
        return len(self._batches)
