import time
from datetime import datetime, timedelta, timezone
from inspect import isawaitable

from twisted.internet import defer

from .faults import Overdue

__all__ = ["Beats", "ms", "secs", "to_ms", "wall_ms", "ZERO", "spawn", "Joined"]

ZERO = timedelta(0)


def ms(n: float) -> timedelta:
    return timedelta(milliseconds=n)


def secs(n: float) -> timedelta:
    return timedelta(seconds=n)


def to_ms(span: timedelta) -> int:
    return int(span / timedelta(milliseconds=1))


def spawn(work) -> defer.Deferred:
    return defer.ensureDeferred(work)


def wall_ms(at: datetime) -> int:
    return int(at.timestamp() * 1000)


class Joined:
    """Work that several may wait for while it is done once; a waiter that gives up ends only its own wait."""

    def __init__(self):
        self._waiting: dict = {}

    def run(self, key, make) -> defer.Deferred:
        waiting = self._waiting.get(key)
        fresh = waiting is None
        if fresh:
            waiting = self._waiting[key] = []
        out = defer.Deferred(lambda d: waiting.remove(d) if d in waiting else None)
        waiting.append(out)
        if fresh:
            spawn(make()).addBoth(self._share, key)
        return out

    def _share(self, result, key):
        for d in self._waiting.pop(key):
            d.callback(result)


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Beats:
    """Monotonic time that also counts while the machine sleeps, and the beats hung on it."""

    def __init__(self, reactor, seconds=_boot_time):
        self._reactor = reactor
        self._seconds = seconds
        self.ended = False
        self._repeats: set[defer.Deferred] = set()

    def now(self) -> timedelta:
        return timedelta(seconds=self._seconds())

    def wall(self) -> datetime:
        return datetime.now(timezone.utc)

    def later(self, span: timedelta, do, *words):
        return self._reactor.callLater(max(0.0, span.total_seconds()), do, *words)

    def pause(self, span: timedelta) -> defer.Deferred:
        d = defer.Deferred(lambda _: call.active() and call.cancel())
        call = self.later(span, d.callback, None)
        return d

    async def await_or_lapse(self, d: defer.Deferred, span: timedelta):
        """Waits until the Deferred fires, or fires it when the span has passed."""
        beat = self.later(span, lambda: d.called or d.callback(None))
        try:
            await d
        finally:
            if beat.active():
                beat.cancel()

    def within(self, span: timedelta, work) -> defer.Deferred:
        d = work if isinstance(work, defer.Deferred) else spawn(work)
        out = defer.Deferred(lambda _: d.cancel())

        def lapse():
            beat[0] = None
            out.errback(Overdue(f"no receipt within {span.total_seconds():g} s"))
            d.cancel()

        def settle(result):
            if beat[0] is not None and beat[0].active():
                beat[0].cancel()
            if not out.called:
                out.callback(result)

        beat = [self.later(span, lapse)]
        d.addBoth(settle)
        return out

    def every(self, span: timedelta, do, report) -> defer.Deferred:
        async def go():
            while not self.ended:
                try:
                    r = do()
                    if isawaitable(r):
                        await r
                except defer.CancelledError:
                    raise
                except Exception as e:
                    report(e)
                await self.pause(span)

        d = spawn(go())
        d.addErrback(lambda f: f.trap(defer.CancelledError) and None)
        self._repeats.add(d)
        return d

    def end(self):
        self.ended = True
        for d in list(self._repeats):
            d.cancel()
