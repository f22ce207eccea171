"""Polls the lengths of the logs that have readers in this process."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import defer

from ..context import Context
from ..replicated_log.commit_proof import CommittedEnd
from ..timers import ZERO, RepeatingCall, ms
from .stores import durable_end

if TYPE_CHECKING:
    from .cache import Cache

__all__ = ["KnownLengths", "Poller"]

MAX_UNCACHED_STEPS = 256


@attrs.frozen
class _UncachedStep:
    """A durable length that the cache has not reached yet, and when it became known."""

    length: int
    known_at: timedelta


@attrs.frozen
class _LengthUpdate:
    """The lengths of a log, in bytes, from a response."""

    path: str
    durable: CommittedEnd
    cached: int = 0
    final: bool = False


@attrs.define
class KnownLengths:
    """The known lengths of one log, in bytes: `durable` on a majority of its replicas, `cached` in the data cache.

    The bytes below `durable` are known to be committed under `durable_epoch`, which is 0 if none is known. `final`
    means that the log has ended. `cached_at` is the time at which `cached` last grew, `confirmed_at` the time of the
    last request that the storage nodes responded to, both on the timers' clock. The log has `readers` readers, of
    which `waiting_readers` wait for a length that is expected soon.
    """

    path: str
    durable: int = 0
    durable_epoch: int = 0
    cached: int = 0
    final: bool = False
    uncached_steps: deque[_UncachedStep] = attrs.field(factory=deque)
    cached_at: timedelta = timedelta(0)
    readers: int = 0
    waiting_readers: int = 0
    confirmed_at: timedelta | None = None

    @property
    def durable_end(self) -> CommittedEnd:
        """The end of the durable bytes, with the epoch under which they are known to be committed."""
        return CommittedEnd(self.durable, self.durable_epoch)

    def uncached_since(self, now: timedelta) -> timedelta:
        """Returns when the oldest byte that is durable but not cached became known; `now` if there is none."""
        return self.uncached_steps[0].known_at if self.uncached_steps else now


class Poller:
    """Reads lengths for all readers of the process: often from the metadata cache, less often from the storage nodes.

    It polls only while a log has readers, and at the shortest interval only while a reader waits for a length that is
    expected soon.
    """

    def __init__(self, ctx: Context, cache: Cache) -> None:
        self._ctx = ctx
        self._cache = cache
        self._known: dict[str, KnownLengths] = {}
        self._growth_waiters: list[defer.Deferred[None]] = []
        self._waiting_readers = 0
        self._calls: list[RepeatingCall] = []

    def open(self) -> None:
        """Starts polling whenever a log has readers."""
        settings = self._ctx.settings
        self._start_polling(settings.poll_ms, self._poll, "poll", self._idle_unless_followed)
        self._start_polling(settings.hot_poll_ms, self._poll_awaited_logs, "hot_poll", self._idle_unless_awaited)
        self._start_polling(settings.durable_poll_ms, self._poll_durable, "durable_poll", self._idle_unless_followed)

    def add_reader(self, path: str) -> KnownLengths:
        """Registers a reader of a log; returns the log's lengths, which the poller keeps up to date."""
        known = self._known.setdefault(path, KnownLengths(path))
        known.readers += 1
        self._wake()
        return known

    def remove_reader(self, path: str) -> None:
        """Unregisters a reader of a log, which is no longer polled after its last reader has left."""
        known = self._known.get(path)
        if known is not None:
            known.readers -= 1
            if known.readers <= 0:
                del self._known[path]

    @contextmanager
    def polling_fast(self, known: KnownLengths) -> Iterator[None]:
        """Polls a log at the shortest interval while the context is open."""
        known.waiting_readers += 1
        self._waiting_readers += 1
        self._wake()
        try:
            yield
        finally:
            known.waiting_readers -= 1
            self._waiting_readers -= 1

    def restore_lengths(self, known: KnownLengths, before: KnownLengths) -> None:
        """Restores lengths that were known before a reader left; they are still valid, since lengths only grow."""
        self._raise_lengths(known, _LengthUpdate(known.path, before.durable_end, before.cached, before.final))
        if known.confirmed_at is None:
            known.confirmed_at = before.confirmed_at

    async def confirm_durable(self, paths: list[str]) -> None:
        """Requests the durable lengths of logs from the storage nodes themselves."""
        requested_at = self._ctx.timers.now()
        states = await self._ctx.replicated_log.states(paths)
        self._update(
            _LengthUpdate(path, CommittedEnd(state.committed, state.committed_epoch), final=state.final)
            for path, state in states.items()
        )
        for path in states:
            if path in self._known:
                self._known[path].confirmed_at = requested_at

    async def wait_for_growth(self, timeout: timedelta) -> None:
        """Waits until any polled log grows, or until the timeout."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._growth_waiters.append(waiter)
        try:
            await self._ctx.timers.wait_at_most(waiter, timeout)
        finally:
            if waiter in self._growth_waiters:
                self._growth_waiters.remove(waiter)

    def _start_polling(
        self, interval_ms: float, poll: Callable[[], Any], name: str, idle_time: Callable[[], timedelta | None]
    ) -> None:
        report = self._ctx.error_reporter(name)
        self._calls.append(self._ctx.timers.call_repeatedly(ms(interval_ms), poll, report, idle_time=idle_time))

    def _idle_unless_followed(self) -> timedelta | None:
        return ZERO if self._known else None

    def _idle_unless_awaited(self) -> timedelta | None:
        return ZERO if self._waiting_readers else None

    def _wake(self) -> None:
        for call in self._calls:
            call.wake()

    def _raise_lengths(self, known: KnownLengths, update: _LengthUpdate) -> bool:
        """Raises known lengths to those of a response; returns whether the response contained anything new."""
        has_grown = update.durable.length > known.durable
        has_news = has_grown or update.cached > known.cached or (update.final and not known.final)
        durable = known.durable_end.merge(update.durable)
        known.durable, known.durable_epoch = durable.length, durable.epoch
        if has_grown:
            self._add_uncached_step(known)
        if min(update.cached, known.durable) > known.cached:
            known.cached = min(update.cached, known.durable)
            known.cached_at = self._ctx.timers.now()
        while known.uncached_steps and known.uncached_steps[0].length <= known.cached:
            known.uncached_steps.popleft()
        known.final = known.final or update.final
        return has_news

    def _add_uncached_step(self, known: KnownLengths) -> None:
        steps = known.uncached_steps
        if len(steps) < MAX_UNCACHED_STEPS:
            steps.append(_UncachedStep(known.durable, self._ctx.timers.now()))
        else:
            steps[-1] = _UncachedStep(known.durable, steps[-1].known_at)

    async def _poll(self) -> None:
        await self._poll_cache(list(self._known))

    async def _poll_awaited_logs(self) -> None:
        await self._poll_cache([path for path, known in self._known.items() if known.waiting_readers])

    async def _poll_cache(self, paths: list[str]) -> None:
        if paths:
            lengths = await self._cache.get_lengths(paths)
            self._update(_LengthUpdate(path, durable_end(found), found.cached) for path, found in lengths.items())

    async def _poll_durable(self) -> None:
        if self._known:
            await self.confirm_durable(list(self._known))

    def _update(self, updates: Iterable[_LengthUpdate]) -> None:
        grew = False
        for update in updates:
            known = self._known.get(update.path)
            if known is not None:
                grew = self._raise_lengths(known, update) or grew
        if grew:
            waiters, self._growth_waiters = self._growth_waiters, []
            for waiter in waiters:
                waiter.callback(None)
