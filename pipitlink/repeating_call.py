"""Function calls repeated at an interval."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from inspect import isawaitable
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.defer import Deferred, ensureDeferred

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .reactor_types import DelayedCall
    from .timers import Timers

__all__ = ["ErrorReporter", "RepeatingCall"]

ErrorReporter = Callable[[BaseException | None], object]


class RepeatingCall:
    """Calls a function at an interval that is measured from the end of each run; the function may return an awaitable.

    Errors are passed to `report_error` and do not stop the repetition. `idle_time`, if given, is called after each run
    and returns for how long no run is needed, or None if none is needed until `wake` is called. Runs in that time are
    skipped: the next one starts a whole number of intervals after the end of the last run.
    """

    def __init__(
        self,
        timers: Timers,
        interval: timedelta,
        function: Callable[[], object],
        report_error: ErrorReporter,
        idle_time: Callable[[], timedelta | None] | None = None,
    ) -> None:
        self._timers = timers
        self._interval = interval
        self._function = function
        self._report_error = report_error
        self._idle_time = idle_time
        self._cancelled = False
        self._delayed_call: DelayedCall | None = None
        self._delayed_until = timedelta(0)
        self._next_slot: timedelta | None = None
        self._running: Deferred[Any] | None = None

    def run(self) -> None:
        """Calls the function now and schedules the next run when it has finished."""
        self._delayed_call = None
        self._next_slot = None
        if self._timers.stopped or self._cancelled:
            return
        try:
            result = self._function()
        except Exception as error:
            self._report_error(error)
            result = None
        if result is not None and isawaitable(result):
            self._running = ensureDeferred(cast("Coroutine[Any, Any, object]", result))
            self._running.addErrback(self._on_error).addBoth(self._on_end)
        else:
            self._schedule_next()

    def wake(self) -> None:
        """Schedules a run at the end of the current interval, whatever `idle_time` returned."""
        if self._cancelled or self._next_slot is None:
            return
        now = self._timers.now()
        intervals_passed = max(0, -((self._next_slot - now) // self._interval))
        wake_at = self._next_slot + self._interval * intervals_passed
        if self._delayed_call is not None:
            if self._delayed_until <= wake_at:
                return
            self._delayed_call.cancel()
        self._schedule(wake_at, now)

    def cancel(self) -> None:
        """Stops the repetition and cancels a run in progress."""
        self._cancelled = True
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
        if self._running is not None:
            self._running.cancel()

    def _on_error(self, failure: Failure) -> None:
        if not self._cancelled:
            self._report_error(failure.value)

    def _on_end(self, _: object) -> None:
        self._running = None
        if not self._cancelled:
            self._schedule_next()

    def _schedule_next(self) -> None:
        now = self._timers.now()
        self._next_slot = now + self._interval
        if self._idle_time is None:
            self._schedule(self._next_slot, now)
            return
        idle_time = self._idle_time()
        if idle_time is not None:
            intervals = max(1, -(-idle_time // self._interval))
            self._schedule(now + self._interval * intervals, now)

    def _schedule(self, at: timedelta, now: timedelta) -> None:
        self._delayed_until = at
        self._delayed_call = self._timers.call_later(at - now, self.run)
