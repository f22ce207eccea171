"""Monotonic time, delayed and repeated work, and time limits on Deferreds."""

import time
from collections.abc import Callable, Coroutine, Hashable
from datetime import UTC, datetime, timedelta
from inspect import isawaitable
from typing import TYPE_CHECKING, Any, Generic, TypeVar, cast

from twisted.internet import defer

from .errors import DeadlineExceeded

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .reactor_types import Clock, DelayedCall

__all__ = ["Timers", "RepeatingCall", "ms", "secs", "to_ms", "wall_ms", "ZERO", "spawn", "SingleFlight"]

ResultT = TypeVar("ResultT")
KeyT = TypeVar("KeyT", bound=Hashable)
ErrorReporter = Callable[[BaseException | None], object]

ZERO = timedelta(0)


def ms(n: float) -> timedelta:
    """Returns a span of `n` milliseconds."""
    return timedelta(milliseconds=n)


def secs(n: float) -> timedelta:
    """Returns a span of `n` seconds."""
    return timedelta(seconds=n)


def to_ms(span: timedelta) -> int:
    """Returns the whole milliseconds in a span, rounded towards zero."""
    return int(span / timedelta(milliseconds=1))


def spawn(work: Coroutine[Any, Any, ResultT]) -> defer.Deferred[ResultT]:
    """Starts a coroutine, without waiting for it, and returns the Deferred of its result."""
    return defer.ensureDeferred(work)


def wall_ms(at: datetime) -> int:
    """Returns a wall-clock time as milliseconds since the Unix epoch."""
    return int(at.timestamp() * 1000)


class SingleFlight(Generic[KeyT, ResultT]):
    """Work that several may wait for while it is done once; a waiter that gives up ends only its own wait."""

    def __init__(self) -> None:
        self._waiting: dict[KeyT, list[defer.Deferred[ResultT]]] = {}

    def run(self, key: KeyT, make: Callable[[], Coroutine[Any, Any, ResultT]]) -> defer.Deferred[ResultT]:
        fresh = key not in self._waiting
        waiting = self._waiting.setdefault(key, [])

        def give_up(d: defer.Deferred[Any]) -> None:
            if d in waiting:
                waiting.remove(d)

        out: defer.Deferred[ResultT] = defer.Deferred(give_up)
        waiting.append(out)
        if fresh:
            spawn(make()).addBoth(self._share, key)
        return out

    def _share(self, result: "ResultT | Failure", key: KeyT) -> None:
        for d in self._waiting.pop(key):
            d.callback(result)


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timers:
    """Monotonic time that also counts while the machine sleeps, and the timers hung on it."""

    def __init__(self, reactor: "Clock", seconds: Callable[[], float] = _boot_time) -> None:
        self._reactor = reactor
        self._seconds = seconds
        self.ended = False
        self._repeats: list[RepeatingCall] = []

    def now(self) -> timedelta:
        return timedelta(seconds=self._seconds())

    def utc_now(self) -> datetime:
        return datetime.now(UTC)

    def call_later(self, span: timedelta, do: Callable[..., object], *words: object) -> "DelayedCall":
        return self._reactor.callLater(max(0.0, span.total_seconds()), do, *words)

    def sleep(self, span: timedelta) -> defer.Deferred[None]:
        def drop(_: defer.Deferred[Any]) -> None:
            if call.active():
                call.cancel()

        d: defer.Deferred[None] = defer.Deferred(drop)
        call = self.call_later(span, d.callback, None)
        return d

    async def wait_at_most(self, d: defer.Deferred[None], span: timedelta) -> None:
        """Waits until the Deferred fires, or fires it when the span has passed."""

        def pass_span() -> None:
            if not d.called:
                d.callback(None)

        beat = self.call_later(span, pass_span)
        try:
            await d
        finally:
            if beat.active():
                beat.cancel()

    async def run_while(
        self,
        holds: Callable[[], bool],
        interval: timedelta,
        work: defer.Deferred[ResultT] | Coroutine[Any, Any, ResultT],
    ) -> ResultT:
        """Waits for work as long as a condition holds; then cancels it and raises CancelledError."""
        d = work if isinstance(work, defer.Deferred) else spawn(work)

        def look() -> None:
            if not d.called:
                if not holds():
                    d.cancel()
                self.call_later(interval, look)

        look()
        return await d

    def with_timeout(
        self, span: timedelta, work: defer.Deferred[ResultT] | Coroutine[Any, Any, ResultT]
    ) -> defer.Deferred[ResultT]:
        d = work if isinstance(work, defer.Deferred) else spawn(work)
        out: defer.Deferred[ResultT] = defer.Deferred(lambda _: d.cancel())

        def lapse() -> None:
            beat[0] = None
            out.errback(DeadlineExceeded(f"no response within {span.total_seconds():g} s"))
            d.cancel()

        def settle(result: "ResultT | Failure") -> None:
            if beat[0] is not None and beat[0].active():
                beat[0].cancel()
            if not out.called:
                out.callback(result)

        beat: list[DelayedCall | None] = [self.call_later(span, lapse)]
        d.addBoth(settle)
        return out

    def call_repeatedly(
        self,
        span: timedelta,
        do: Callable[[], object],
        report: ErrorReporter,
        due: Callable[[], timedelta | None] | None = None,
    ) -> "RepeatingCall":
        """Runs `do` now, then `span` after each end; `due` may tell how long nothing is due, None for until woken."""
        r = RepeatingCall(self, span, do, report, due)
        self._repeats.append(r)
        r.begin()
        return r

    def end(self) -> None:
        self.ended = True
        repeats, self._repeats = self._repeats, []
        for r in repeats:
            r.cancel()


class RepeatingCall:
    """Work repeated at an interval. Runs on which nothing is due are left out; the others keep their phase."""

    def __init__(
        self,
        timers: Timers,
        span: timedelta,
        do: Callable[[], object],
        report: ErrorReporter,
        due: Callable[[], timedelta | None] | None = None,
    ) -> None:
        self._timers, self._span, self._do, self._report, self._due = timers, span, do, report, due
        self._ended = False
        self._call: DelayedCall | None = None
        self._work: defer.Deferred[Any] | None = None
        self._next_at: timedelta | None = None
        self._at = ZERO

    def begin(self) -> None:
        self._call = self._next_at = None
        if self._timers.ended or self._ended:
            return
        try:
            r = self._do()
        except Exception as e:
            self._report(e)
            r = None
        if r is not None and isawaitable(r):
            self._work = spawn(cast("Coroutine[Any, Any, object]", r))
            self._work.addErrback(self._failed).addBoth(self._settled)
        else:
            self._rest()

    def _failed(self, f: "Failure") -> None:
        if not self._ended:
            self._report(f.value)

    def _settled(self, _: object) -> None:
        self._work = None
        if not self._ended:
            self._rest()

    def _rest(self) -> None:
        now = self._timers.now()
        self._next_at = now + self._span
        if self._due is None:
            self._hang(self._next_at, now)
            return
        due = self._due()
        if due is not None:
            self._hang(now + self._span * max(1, -(-due // self._span)), now)

    def _hang(self, at: timedelta, now: timedelta) -> None:
        self._at = at
        self._call = self._timers.call_later(at - now, self.begin)

    def wake(self) -> None:
        """Something is due: it runs at the end of the interval."""
        if self._ended or self._next_at is None:
            return
        now = self._timers.now()
        at = self._next_at + self._span * max(0, -((self._next_at - now) // self._span))
        if self._call is not None:
            if self._at <= at:
                return
            self._call.cancel()
        self._hang(at, now)

    def cancel(self) -> None:
        self._ended = True
        if self._call is not None and self._call.active():
            self._call.cancel()
        if self._work is not None:
            self._work.cancel()
