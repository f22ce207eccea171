"""From where each replica of a log gets what it lacks: from the leaseholder, or from another replica."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from typing import NamedTuple

import attrs
from twisted.internet import defer

from ..timers import ZERO, Timers, ms, secs
from ..wire.replicated_log_pb2 import LogState
from .replica_progress import ReplicaProgress, TailPosition

__all__ = ["MIN_FETCH_BYTES", "FetchPlanner", "FetchSource"]

# Less than this goes to each replica directly: a fetch takes a round trip and a sync longer.
MIN_FETCH_BYTES = 4096
# A storage node reads so much from another one in one call.
MAX_FETCH_BYTES = 4 * 1024 * 1024
# How long a direct write may take before another replica gets one as well: this, and its bytes on a slow link.
DIRECT_WRITE_ALLOWANCE: timedelta = ms(150)
SLOW_LINK_BYTES_PER_S = 1024 * 1024


class FetchSource(NamedTuple):
    """A replica that has the leaseholder's bytes up to `end` on its disk."""

    storage_node: str
    end: int


@attrs.frozen
class _DirectWrite:
    """A large write on its way from the leaseholder to one replica."""

    storage_node: str
    overdue_at: timedelta


class FetchPlanner:
    """Has the leaseholder send each large write once, to one replica, from which the others fetch it.

    The leaseholder's link is the narrowest on the way, and all that it sends shares it. Another replica gets a direct
    write where the first one fails, or does not confirm it in time.
    """

    def __init__(self, timers: Timers, progress: ReplicaProgress) -> None:
        self._timers = timers
        self._progress = progress
        self._direct: _DirectWrite | None = None
        self._waiters: list[defer.Deferred[None]] = []

    def source_for(
        self, state: LogState, start: int, epoch: int, recovered: TailPosition, excluded: Collection[str]
    ) -> FetchSource | None:
        """Returns from which replica one that has `state` may fetch the bytes from `start` on; None for none.

        Only replicas written under `epoch` count, and all of these have the recovered tail. A replica whose tail is of
        an earlier epoch has to get the rest of the recovered tail in one write, lest a part of it outrank the whole.
        """
        lengths = self._progress.match_lengths(epoch)
        sources = [FetchSource(node, length) for node, length in lengths.items() if node not in excluded]
        best = max(sources, key=lambda source: source.end, default=None)
        if best is None or best.end - start < MIN_FETCH_BYTES:
            return None
        end = min(best.end, start + MAX_FETCH_BYTES)
        if state.tail_epoch != epoch and end < recovered.length:
            return None
        return FetchSource(best.storage_node, end)

    def must_wait(self) -> bool:
        """Returns whether a direct write is on its way that another replica should wait for."""
        return self._direct is not None and self._timers.now() < self._direct.overdue_at

    def direct_write_started(self, storage_node: str, size: int) -> None:
        """Notes that a large write leaves for one replica."""
        allowance = DIRECT_WRITE_ALLOWANCE + secs(size / SLOW_LINK_BYTES_PER_S)
        self._direct = _DirectWrite(storage_node, self._timers.now() + allowance)

    def direct_write_ended(self, storage_node: str) -> None:
        """Notes that a direct write has arrived or failed, and has those that wait for it look again."""
        if self._direct is None or self._direct.storage_node != storage_node:
            return
        self._direct = None
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    async def wait_for_direct_write(self) -> None:
        """Returns once the direct write under way has ended, or is overdue."""
        if self._direct is None:
            return
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        await self._timers.wait_at_most(waiter, max(ZERO, self._direct.overdue_at - self._timers.now()))
        if waiter in self._waiters:
            self._waiters.remove(waiter)
