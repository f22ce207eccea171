"""Retention: deletes the bytes of logs that ended long ago, and later their remaining records."""

from __future__ import annotations

from datetime import timedelta
from functools import partial

from ..context import Context
from ..group_commit import GroupCommit
from ..timers import secs, wall_ms
from .durable import sync
from .log_store import LogStore
from .replica import Replica
from .segment_compaction import SegmentCompactor

__all__ = ["Retention"]

RETENTION_INTERVAL: timedelta = secs(5)
TOMBSTONE_RETENTION_MS = 40 * 86_400_000
"""How long an expired log is remembered after its bytes were deleted, so that it is not copied back from a peer."""


class Retention:
    """Expires and deletes logs by the time since they ended, then compacts segment files."""

    def __init__(self, ctx: Context, log_store: LogStore, group_commit: GroupCommit) -> None:
        self._ctx = ctx
        self._log_store = log_store
        self._group_commit = group_commit
        self._compactor = SegmentCompactor(ctx, log_store, group_commit)

    def open(self) -> None:
        """Starts the periodic task."""
        self._ctx.timers.call_repeatedly(RETENTION_INTERVAL, self._run, self._ctx.error_reporter("retention"))

    async def _run(self) -> None:
        now_ms = wall_ms(self._ctx.timers.utc_now())
        for replica in list(self._log_store.logs.values()):
            if replica.final and replica.closed_ms:
                await self._apply_retention(replica, now_ms - replica.closed_ms)
        await self._compactor.compact_one()

    async def _apply_retention(self, replica: Replica, age_ms: int) -> None:
        retention_ms = self._ctx.settings.retention_s * 1000
        if age_ms > retention_ms + TOMBSTONE_RETENTION_MS:
            await sync(self._group_commit, partial(self._log_store.delete, replica.log))
        elif replica.length and age_ms > retention_ms:
            await sync(self._group_commit, partial(self._log_store.expire, replica.log))
            self._ctx.logger.info("log_expired", log=replica.log)
