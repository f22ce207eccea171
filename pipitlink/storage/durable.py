"""Queues entries and waits for their group sync."""

from __future__ import annotations

from collections.abc import Callable

from ..group_commit import GroupCommit
from .log_store import SyncTicket

__all__ = ["sync"]


async def sync(group_commit: GroupCommit, queue: Callable[[SyncTicket], object]) -> bool:
    """Calls `queue` with a ticket and waits until the entry that it queued is on disk.

    Returns False if `queue` returned False because it queued nothing. Raises the errors of `queue`, and StorageFull if
    the disk refuses the write.
    """
    ticket = group_commit.submit(queue)
    if ticket is None:
        return False
    await ticket
    return True
