"""Measures the time that an operation spends in each of its phases."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from ..timers import ZERO, Timers, to_ms

__all__ = ["PhaseTimings"]


class PhaseTimings:
    """The durations of the phases of one operation that started at `started_at`.

    Durations of a phase that is entered again, for example by a retry, are added. Phases that were not entered are 0.
    """

    def __init__(self, timers: Timers, started_at: timedelta) -> None:
        self._timers = timers
        self._started_at = self._phase_started_at = started_at
        self._durations: dict[StrEnum, timedelta] = {}

    def end_phase(self, phase: StrEnum) -> None:
        """Ends a phase, which started at the end of the previous one."""
        now = self._timers.now()
        self._durations[phase] = self._durations.get(phase, ZERO) + now - self._phase_started_at
        self._phase_started_at = now

    def phase_ms(self, phase: StrEnum) -> int:
        """Returns the whole milliseconds spent in a phase."""
        return to_ms(self._durations.get(phase, ZERO))

    def total_ms(self) -> int:
        """Returns the whole milliseconds since the start."""
        return to_ms(self._timers.now() - self._started_at)
