"""The lots that are open."""

from datetime import timedelta
from typing import Any

import attrs
from twisted.internet import defer

from ..replicated_log import Leaseholder
from ..timers import ZERO, RepeatingCall
from ..wire.lots_pb2 import LogRecord, Lot, Result

__all__ = ["OpenLot", "OpenLots"]


@attrs.define(eq=False)
class OpenLot:
    """A lot as a gateway knows it: its items and, where this gateway owns it, what has become of each.

    Items are numbered by their place in the lot. `attempts` counts those of this owner that may have run.
    """

    id: str
    lot: Lot
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
        """Takes one record of the result log."""
        kind = record.WhichOneof("of")
        if kind == "started":
            self.started.add(record.started.item)
        elif kind == "result":
            self.results.setdefault(record.result.item, record.result)

    def provable_outcome(self, item: int, outcome: str) -> str:
        """Returns an item's outcome, `unknown` in place of `not_run` where it may have run.

        It may have where an attempt of this owner did, or where an earlier owner need not have recorded its start.
        """
        if outcome != "not_run":
            return outcome
        if self.attempts.get(item, 0) or (self.lot.items[item].repeatable and self._had_other_owner()):
            return "unknown"
        return outcome

    def is_finished(self) -> bool:
        """Returns whether all items have a result and none is running."""
        return len(self.results) == len(self.lot.items) and not self.running

    def _had_other_owner(self) -> bool:
        return self.leaseholder is not None and self.leaseholder.epoch > 1


class OpenLots:
    """The lots that are known here to be open, and which ones were closed.

    Timers that have nothing to do without open lots are woken when one is added.
    """

    def __init__(self) -> None:
        self._lots: dict[str, OpenLot] = {}
        self._closed: set[str] = set()
        self._timers: list[RepeatingCall] = []

    def add_timer(self, timer: RepeatingCall) -> None:
        """Has a timer woken for each lot that is added."""
        self._timers.append(timer)

    def add(self, lot_id: str, lot: Lot) -> None:
        """Enters a lot, unless it is known already or closed."""
        if lot_id in self._closed or lot_id in self._lots:
            return
        self._lots[lot_id] = OpenLot(lot_id, lot)
        for timer in self._timers:
            timer.wake()

    def close(self, lot_id: str) -> None:
        """Removes a lot that is done or ended."""
        self._closed.add(lot_id)
        self._lots.pop(lot_id, None)

    def forget_closed(self, lot_ids: set[str]) -> None:
        """Forgets closed lots that no log names any more."""
        self._closed -= lot_ids

    def get(self, lot_id: str) -> OpenLot | None:
        """Returns an open lot, None where it is not known to be open."""
        return self._lots.get(lot_id)

    def is_closed(self, lot_id: str) -> bool:
        """Returns whether a lot is known to be closed."""
        return lot_id in self._closed

    def all_closed(self, lot_ids: set[str]) -> bool:
        """Returns whether all of some lots are known to be closed."""
        return not lot_ids - self._closed

    def all(self) -> list[OpenLot]:
        """Returns the open lots in the order in which they were added."""
        return list(self._lots.values())

    def idle_wait(self) -> timedelta | None:
        """Returns for how long timers that serve open lots have nothing to do: until woken where there is none."""
        return ZERO if self._lots else None

    def __len__(self) -> int:
        return len(self._lots)
