"""Measures the phases of a batch's intake, and of its items until their outputs are durable."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from enum import StrEnum
from statistics import mean

import attrs

from ..timers import Timers, to_ms

__all__ = ["IntakePhase", "ItemPhase", "ItemProgress", "ItemTimings"]


class IntakePhase(StrEnum):
    """The phases of an intake, in order."""

    RECEIVE = "receive"
    PARSE = "parse"
    RESERVE = "reserve"
    ACQUIRE = "acquire"
    APPEND = "append"


class ItemPhase(StrEnum):
    """The phases of an item. Each attempt enters all of them again, except the last, which is entered once."""

    WAITING = "waiting"
    FIRST_EVENT = "first_event"
    RUNNING = "running"
    APPEND = "append"


@attrs.define
class ItemProgress:
    """The phase that an item is in, since when, and when it last made progress: by an event, or by a new phase."""

    phase: ItemPhase
    since: timedelta
    progressed_at: timedelta


class ItemTimings:
    """Records how long the items of one batch spent in each phase, and the number of `attempts` to run them."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._durable_at = timers.now()
        self._current: dict[int, ItemProgress] = {}
        self._durations_ms: dict[ItemPhase, list[int]] = {phase: [] for phase in ItemPhase}
        self.attempts = 0

    def batch_durable(self) -> None:
        """Records that the batch is durable, and its items wait from now on."""
        self._durable_at = self._timers.now()

    def attempt_started(self, index: int) -> None:
        """Records the start of an attempt to run an item."""
        self.attempts += 1
        self._current.setdefault(index, self.progress(index))
        self._enter(index, ItemPhase.FIRST_EVENT)

    def event_received(self, index: int) -> None:
        """Records an event of an item's output."""
        current = self._current.get(index)
        if current is None:
            return
        if current.phase == ItemPhase.FIRST_EVENT:
            self._enter(index, ItemPhase.RUNNING)
        else:
            current.progressed_at = self._timers.now()

    def attempt_failed(self, index: int) -> None:
        """Records that an item waits for another attempt."""
        self._enter(index, ItemPhase.WAITING)

    def finished(self, index: int) -> None:
        """Records that the output of an item is ready to be appended."""
        self._enter(index, ItemPhase.APPEND)

    def appended(self, indexes: Iterable[int]) -> None:
        """Records that the outputs of items are durable."""
        for index in indexes:
            self._leave(self._current.pop(index, None))

    def _enter(self, index: int, phase: ItemPhase) -> None:
        self._leave(self._current.get(index))
        now = self._timers.now()
        self._current[index] = ItemProgress(phase, now, now)

    def _leave(self, current: ItemProgress | None) -> None:
        if current is not None:
            self._durations_ms[current.phase].append(to_ms(self._timers.now() - current.since))

    def progress(self, index: int) -> ItemProgress:
        """Returns the progress of an item; one that was never attempted has waited since its batch became durable."""
        current = self._current.get(index)
        return current or ItemProgress(ItemPhase.WAITING, self._durable_at, self._durable_at)

    def summary(self, phase: ItemPhase) -> str:
        """Returns the mean and maximum duration of a phase in whole milliseconds, such as `120/340`.

        Returns `0/0` where no item has left the phase yet.
        """
        durations = self._durations_ms[phase]
        return f"{round(mean(durations))}/{max(durations)}" if durations else "0/0"
