"""Monotonic time, delayed and repeated work, and time limits on Deferreds."""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet import defer

from .errors import DeadlineExceeded
from .repeating_call import ErrorReporter, RepeatingCall
from .single_flight import SingleFlight

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .reactor_types import Clock, DelayedCall

__all__ = [
    "ErrorReporter",
    "RepeatingCall",
    "SingleFlight",
    "YIELD_DELAY",
    "Timers",
    "ZERO",
    "ms",
    "secs",
    "spawn",
    "to_ms",
    "wall_ms",
]

ResultT = TypeVar("ResultT")

ZERO = timedelta(0)
# Short enough to be negligible, and long enough for data that was written before to be sent.
YIELD_DELAY = timedelta(milliseconds=1)


def ms(n: float) -> timedelta:
    """Returns a duration of `n` milliseconds."""
    return timedelta(milliseconds=n)


def secs(n: float) -> timedelta:
    """Returns a duration of `n` seconds."""
    return timedelta(seconds=n)


def to_ms(duration: timedelta) -> int:
    """Returns the whole milliseconds in a duration, rounded towards zero."""
    return int(duration / timedelta(milliseconds=1))


def wall_ms(at: datetime) -> int:
    """Returns a wall-clock time as milliseconds since the Unix epoch."""
    return int(at.timestamp() * 1000)


def spawn(coroutine: Coroutine[Any, Any, ResultT]) -> defer.Deferred[ResultT]:
    """Starts a coroutine without waiting for it, and returns a Deferred of its result."""
    return defer.ensureDeferred(coroutine)


def _spawn_unless_deferred(
    work: defer.Deferred[ResultT] | Coroutine[Any, Any, ResultT],
) -> defer.Deferred[ResultT]:
    return work if isinstance(work, defer.Deferred) else spawn(work)


def _cancel_if_active(timer: DelayedCall) -> None:
    if timer.active():
        timer.cancel()


def _fire_unless_called(event: defer.Deferred[None]) -> None:
    if not event.called:
        event.callback(None)


def _expire(limited: defer.Deferred[Any], pending: defer.Deferred[Any], timeout: timedelta) -> None:
    limited.errback(DeadlineExceeded(f"no response within {timeout.total_seconds():g} s"))
    pending.cancel()


def _forward_result(result: ResultT | Failure, limited: defer.Deferred[ResultT], timer: DelayedCall) -> None:
    _cancel_if_active(timer)
    if not limited.called:
        limited.callback(result)


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timers:
    """Monotonic time, which includes the time that the machine is suspended, and the timers of one process.

    `seconds` returns the time in seconds since an arbitrary fixed point. Tests inject a clock for both arguments.
    """

    def __init__(self, reactor: Clock, seconds: Callable[[], float] = _boot_time) -> None:
        self._reactor = reactor
        self._seconds = seconds
        self.stopped = False
        self._repeating_calls: list[RepeatingCall] = []

    def now(self) -> timedelta:
        """Returns the monotonic time since a point that stays the same until the machine is restarted."""
        return timedelta(seconds=self._seconds())

    def utc_now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.now(UTC)

    def call_later(self, delay: timedelta, function: Callable[..., object], *args: object) -> DelayedCall:
        """Calls a function after a delay; a negative delay counts as zero."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), function, *args)

    def sleep(self, duration: timedelta) -> defer.Deferred[None]:
        """Returns a Deferred that fires after a duration; cancelling it cancels the timer."""
        done: defer.Deferred[None] = defer.Deferred(lambda _: _cancel_if_active(timer))
        timer = self.call_later(duration, done.callback, None)
        return done

    def yield_to_reactor(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires in a later iteration of the reactor.

        Long work awaits it between its parts, so that the reactor can send responses and handle requests in between.
        """
        return self.sleep(YIELD_DELAY)

    async def wait_at_most(self, event: defer.Deferred[None], timeout: timedelta) -> None:
        """Waits until a Deferred fires; fires it with None if it has not fired when the timeout expires."""
        timer = self.call_later(timeout, _fire_unless_called, event)
        try:
            await event
        finally:
            _cancel_if_active(timer)

    async def run_while(
        self,
        condition: Callable[[], bool],
        interval: timedelta,
        work: defer.Deferred[ResultT] | Coroutine[Any, Any, ResultT],
    ) -> ResultT:
        """Returns the result of work that may run while a condition holds; the condition is checked at an interval.

        If the condition does not hold, cancels the work and raises CancelledError.
        """
        pending = _spawn_unless_deferred(work)
        self._cancel_unless(condition, interval, pending)
        return await pending

    def _cancel_unless(self, condition: Callable[[], bool], interval: timedelta, pending: defer.Deferred[Any]) -> None:
        """Checks a condition at an interval while work is pending, and cancels the work if it does not hold."""
        if pending.called:
            return
        if not condition():
            pending.cancel()
        self.call_later(interval, self._cancel_unless, condition, interval, pending)

    def with_timeout(
        self, timeout: timedelta, work: defer.Deferred[ResultT] | Coroutine[Any, Any, ResultT]
    ) -> defer.Deferred[ResultT]:
        """Returns the result of work; cancels it and fails with DeadlineExceeded when the timeout expires."""
        pending = _spawn_unless_deferred(work)
        limited: defer.Deferred[ResultT] = defer.Deferred(lambda _: pending.cancel())
        timer = self.call_later(timeout, _expire, limited, pending, timeout)
        pending.addBoth(_forward_result, limited, timer)
        return limited

    def call_repeatedly(
        self,
        interval: timedelta,
        function: Callable[[], object],
        report_error: ErrorReporter,
        idle_time: Callable[[], timedelta | None] | None = None,
    ) -> RepeatingCall:
        """Calls a function now, and again one interval after the end of each run, until the timers are stopped.

        `idle_time`, if given, returns for how long no run is needed, or None if none is needed until `wake` is called.
        """
        repeating_call = RepeatingCall(self, interval, function, report_error, idle_time)
        self._repeating_calls.append(repeating_call)
        repeating_call.run()
        return repeating_call

    def stop(self) -> None:
        """Cancels all repeating calls and starts no further runs."""
        self.stopped = True
        repeating_calls, self._repeating_calls = self._repeating_calls, []
        for repeating_call in repeating_calls:
            repeating_call.cancel()
