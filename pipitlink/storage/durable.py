"""Queues entries and waits for their group sync."""

from __future__ import annotations

from collections.abc import Callable

from ..group_commit import GroupCommit
from .log_store import SyncCompletion

__all__ = ["sync"]


async def sync(group_commit: GroupCommit, queue: Callable[[SyncCompletion], object]) -> bool:
    """Calls `queue` with a completion and waits until the entry that it queued is on disk.

    Returns False if `queue` returned False because it queued nothing. Raises the errors of `queue`, and StorageFull if
    the disk refuses the write.
    """
    completion = group_commit.submit(queue)
    if completion is None:
        return False
    await completion
    return True
