"""Where the time of one piece of work goes, phase by phase."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from ..timers import ZERO, Timers, to_ms

__all__ = ["PhaseTimings"]


class PhaseTimings:
    """How long each phase of one piece of work took, from `started_at` on.

    A phase that is entered again, as by another attempt, adds up. Phases that were not entered are 0.
    """

    def __init__(self, timers: Timers, started_at: timedelta) -> None:
        self._timers = timers
        self._started_at = self._phase_started_at = started_at
        self._durations: dict[StrEnum, timedelta] = {}

    def end_phase(self, phase: StrEnum) -> None:
        """Ends a phase, which began with the end of the one before."""
        now = self._timers.now()
        self._durations[phase] = self._durations.get(phase, ZERO) + now - self._phase_started_at
        self._phase_started_at = now

    def phase_ms(self, phase: StrEnum) -> int:
        """Returns the whole milliseconds of a phase."""
        return to_ms(self._durations.get(phase, ZERO))

    def total_ms(self) -> int:
        """Returns the whole milliseconds since the start."""
        return to_ms(self._timers.now() - self._started_at)
