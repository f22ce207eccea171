"""Compaction: frees the space of segment files whose content is mostly obsolete."""

from __future__ import annotations

from collections import Counter
from functools import partial

from ..context import Context
from ..group_commit import GroupCommit
from .durable import sync
from .log_store import LogStore
from .replica import Replica

__all__ = ["SegmentCompactor"]

MAX_LIVE_FRACTION = 0.5


class SegmentCompactor:
    """Rewrites the logs that still use an old segment file to the newest one, then deletes the old file."""

    def __init__(self, ctx: Context, log_store: LogStore, group_commit: GroupCommit) -> None:
        self._ctx = ctx
        self._log_store = log_store
        self._group_commit = group_commit

    async def compact_one(self) -> None:
        """Compacts the segment file with the smallest live fraction, if that is at most MAX_LIVE_FRACTION."""
        segment = self._select_segment()
        if segment is None:
            return
        for replica in [replica for replica in self._log_store.logs.values() if replica.uses_segment(segment)]:
            if not await self._rewrite(replica):
                return
        if any(replica.uses_segment(segment) for replica in self._log_store.logs.values()):
            return
        await sync(self._group_commit, self._log_store.write_no_op)
        self._log_store.segments.remove_segment(segment)
        self._ctx.logger.info("segment_compacted", file=segment, used=self._log_store.used_bytes())

    def _select_segment(self) -> int | None:
        live_bytes: Counter[int] = Counter()
        for replica in self._log_store.logs.values():
            for extent in replica.extents:
                live_bytes[extent.segment] += extent.length
        segments = self._log_store.segments
        older = segments.segment_numbers()[:-1]
        live_fractions = {
            number: live_bytes[number] / max(1, segments.segment_size(number))
            for number in older
            if number == older[0] or number not in self._log_store.delete_segments
        }
        if not live_fractions:
            return None
        selected = min(live_fractions, key=lambda number: live_fractions[number])
        return selected if live_fractions[selected] <= MAX_LIVE_FRACTION else None

    async def _rewrite(self, replica: Replica) -> bool:
        """Rewrites one log; returns False, without a rewrite, if its replica changed in the meantime."""
        before = (replica.epoch, replica.tail)
        extents = self._log_store.extents(replica.log, 0, replica.length)
        data = await self._ctx.run_in_thread(self._log_store.read_extents, extents)
        changed = before != (replica.epoch, replica.tail)
        if changed or len(data) != replica.length or replica.synced != replica.tail:
            return False
        await sync(self._group_commit, partial(self._log_store.rewrite, replica, data))
        return True
