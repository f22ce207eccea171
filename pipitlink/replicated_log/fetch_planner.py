"""Decides whether a replica gets missing log bytes from the leaseholder or from another replica."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta
from typing import NamedTuple

import attrs
from twisted.internet import defer

from ..timers import Timers, ms, secs
from ..wire.replicated_log_pb2 import LogState
from .replica_progress import ReplicaProgress, TailPosition

__all__ = ["MIN_FETCH_BYTES", "FetchPlanner", "FetchSource"]

# Smaller writes go to each replica directly: a fetch takes one more round trip and sync.
MIN_FETCH_BYTES = 4096
# How much a storage node reads from another one in one call, at most.
MAX_FETCH_BYTES = 4 * 1024 * 1024
# A direct write is overdue after this time plus the transfer time of its bytes on a slow link; then another replica
# gets a direct write as well.
DIRECT_WRITE_ALLOWANCE: timedelta = ms(150)
SLOW_LINK_BYTES_PER_S = 1024 * 1024


class FetchSource(NamedTuple):
    """A replica that has the leaseholder's bytes up to position `end` on disk."""

    storage_node: str
    end: int


@attrs.frozen
class _Transfer:
    """A large write in progress to one replica, from the leaseholder or from another replica."""

    storage_node: str
    zone: str
    overdue_at: timedelta


class FetchPlanner:
    """Plans transfers so that the leaseholder sends each large write to one replica, from which the others fetch it.

    The leaseholder's link is the bottleneck, and everything it sends shares that link. If the first replica fails, or
    does not confirm the write in time, another replica gets a direct write. Of the replicas in one zone, only one
    fetches from another zone, and the others fetch from it. `zone_of` returns the zone of a storage node, or "" if it
    is unknown.
    """

    def __init__(self, timers: Timers, progress: ReplicaProgress, zone_of: Callable[[str], str]) -> None:
        self._timers = timers
        self._progress = progress
        self._zone_of = zone_of
        self._direct_write: _Transfer | None = None
        self._fetches: dict[str, _Transfer] = {}
        self._waiters: list[defer.Deferred[None]] = []

    def source_for(
        self,
        storage_node: str,
        state: LogState,
        start: int,
        epoch: int,
        recovered: TailPosition,
        excluded: Collection[str],
    ) -> FetchSource | None:
        """Returns the replica from which a storage node in `state` may fetch the bytes from `start` on, or None.

        Only replicas written under `epoch` are sources, and all of these have the recovered tail. A replica whose tail
        has an earlier epoch must get the rest of the recovered tail in one write: a part of that tail, written under
        the new epoch, would otherwise count as more up to date than the complete tail.
        """
        lengths = self._progress.match_lengths(epoch)
        sources = [
            FetchSource(node, length)
            for node, length in lengths.items()
            if node not in excluded and length - start >= MIN_FETCH_BYTES
        ]
        best = max(
            sources,
            key=lambda source: (self._in_same_zone(source.storage_node, storage_node), source.end),
            default=None,
        )
        if best is None:
            return None
        end = min(best.end, start + MAX_FETCH_BYTES)
        if state.tail_epoch != epoch and end < recovered.length:
            return None
        return FetchSource(best.storage_node, end)

    def _in_same_zone(self, node: str, other: str) -> bool:
        zone = self._zone_of(node)
        return bool(zone) and zone == self._zone_of(other)

    def must_wait(self) -> bool:
        """Returns whether a direct write is in progress and not overdue, so that other replicas should wait for it."""
        return self._direct_write is not None and self._timers.now() < self._direct_write.overdue_at

    def must_wait_for_zone_peer(self, storage_node: str, source: FetchSource) -> bool:
        """Returns whether another replica in a storage node's zone is already fetching the bytes from another zone."""
        if self._in_same_zone(source.storage_node, storage_node):
            return False
        zone, now = self._zone_of(storage_node), self._timers.now()
        return bool(zone) and any(
            fetch.zone == zone and now < fetch.overdue_at
            for node, fetch in self._fetches.items()
            if node != storage_node
        )

    def _new_transfer(self, storage_node: str, size: int) -> _Transfer:
        allowance = DIRECT_WRITE_ALLOWANCE + secs(size / SLOW_LINK_BYTES_PER_S)
        return _Transfer(storage_node, self._zone_of(storage_node), self._timers.now() + allowance)

    def direct_write_started(self, storage_node: str, size: int) -> None:
        """Records that a large write to one replica has started."""
        self._direct_write = self._new_transfer(storage_node, size)

    def fetch_started(self, storage_node: str, size: int) -> None:
        """Records that a storage node has started to fetch from another one."""
        self._fetches[storage_node] = self._new_transfer(storage_node, size)

    def transfer_ended(self, storage_node: str) -> None:
        """Records that a transfer to a storage node has succeeded or failed, and wakes the waiting senders."""
        is_direct = self._direct_write is not None and self._direct_write.storage_node == storage_node
        fetch = self._fetches.pop(storage_node, None)
        if is_direct:
            self._direct_write = None
        if not is_direct and fetch is None:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    async def wait_for_transfer(self) -> None:
        """Returns once a transfer has ended or become overdue; at once if there is none, or if all are overdue."""
        now = self._timers.now()
        transfers = [*self._fetches.values(), *([self._direct_write] if self._direct_write is not None else [])]
        overdue_at = min((transfer.overdue_at for transfer in transfers if transfer.overdue_at > now), default=now)
        if overdue_at <= now:
            return
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        await self._timers.wait_at_most(waiter, overdue_at - now)
        if waiter in self._waiters:
            self._waiters.remove(waiter)
