"""Polls the lengths of the logs that readers of this process follow."""

from collections import deque
from contextlib import contextmanager
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..timers import ZERO, RepeatingCall, ms

__all__ = ["Poller", "Seen"]

MOST_AHEAD = 256


@attrs.define
class Seen:
    """What is known here of one log's lengths, in bytes: `durable` on a majority, `cached` in the data cache.

    `proved` is when the storage nodes were last asked with an answer; times are on the timers' clock.
    """

    path: str
    durable: int = 0
    cached: int = 0
    final: bool = False
    ahead: deque = attrs.field(factory=deque)
    cached_at: timedelta = timedelta(0)
    readers: int = 0
    hot: int = 0
    asked: timedelta = timedelta(0)
    proved: timedelta | None = None

    def ahead_since(self, now: timedelta) -> timedelta:
        """Since when the oldest durable byte that is not cached yet has been known."""
        return self.ahead[0][1] if self.ahead else now


class Poller:
    """Reads lengths for all readers of the process: often from the metadata cache, less often from the storage
    nodes.
    """

    def __init__(self, ctx, cache):
        self._ctx = ctx
        self._cache = cache
        self._seen: dict[str, Seen] = {}
        self._waiters: list[defer.Deferred] = []
        self._hot = 0
        self._timers: list[RepeatingCall] = []

    def open(self):
        """Polls while anything is watched; the hot poll only while a reader waits for a length that is near."""
        p, every, report = self._ctx.settings, self._ctx.timers.call_repeatedly, self._ctx.error_reporter
        for span, do, what, watched in (
            (p.poll_ms, self._poll, "poll", lambda: self._seen),
            (p.hot_poll_ms, self._poll_hot, "hot_poll", lambda: self._hot),
            (p.durable_poll_ms, self._poll_durable, "durable_poll", lambda: self._seen),
        ):
            self._timers.append(every(ms(span), do, report(what), idle_time=lambda w=watched: ZERO if w() else None))

    def _wake(self):
        for b in self._timers:
            b.wake()

    def join(self, path: str) -> Seen:
        s = self._seen.setdefault(path, Seen(path))
        s.readers += 1
        self._wake()
        return s

    @contextmanager
    def hot(self, s: Seen):
        s.hot += 1
        self._hot += 1
        self._wake()
        try:
            yield
        finally:
            s.hot -= 1
            self._hot -= 1

    def leave(self, path: str):
        s = self._seen.get(path)
        if s is not None:
            s.readers -= 1
            if s.readers <= 0:
                del self._seen[path]

    def recall(self, s: Seen, before: Seen):
        """Lengths only grow, so what was seen of them before still holds."""
        self._grow(s, before.durable, before.cached, before.final)
        if s.proved is None:
            s.proved = before.proved

    def _grow(self, s: Seen, durable: int, cached: int, final: bool = False) -> bool:
        grew = durable > s.durable or cached > s.cached or (final and not s.final)
        if durable > s.durable:
            s.durable = durable
            if len(s.ahead) < MOST_AHEAD:
                s.ahead.append((durable, self._ctx.timers.now()))
            else:
                s.ahead[-1] = (durable, s.ahead[-1][1])
        if min(cached, s.durable) > s.cached:
            s.cached, s.cached_at = min(cached, s.durable), self._ctx.timers.now()
        while s.ahead and s.ahead[0][0] <= s.cached:
            s.ahead.popleft()
        s.final = s.final or final
        return grew

    async def _poll(self):
        await self._poll_these(list(self._seen))

    async def _poll_hot(self):
        await self._poll_these([p for p, s in self._seen.items() if s.hot])

    async def _poll_these(self, paths: list[str]):
        if paths:
            got = await self._cache.get_lengths(paths)
            self._take((p, m.durable, m.cached, False) for p, m in got.items())

    async def _poll_durable(self):
        if self._seen:
            await self.prove(list(self._seen))

    async def prove(self, paths: list[str]):
        """Asks the storage nodes themselves for the durable lengths."""
        asked = self._ctx.timers.now()
        got = await self._ctx.replicated_log.states(paths)
        self._take((p, st.committed, 0, st.final) for p, st in got.items())
        for p in got:
            if p in self._seen:
                self._seen[p].proved = asked

    def _take(self, news):
        grew = False
        for path, durable, cached, final in news:
            if path in self._seen:
                grew = self._grow(self._seen[path], durable, cached, final) or grew
        if grew:
            waiters, self._waiters = self._waiters, []
            for d in waiters:
                d.callback(None)

    async def moved(self, limit: timedelta):
        """Waits until any watched length grows, or the limit has passed."""
        d = defer.Deferred()
        self._waiters.append(d)
        try:
            await self._ctx.timers.wait_at_most(d, limit)
        finally:
            if d in self._waiters:
                self._waiters.remove(d)
