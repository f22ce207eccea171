"""Waiting for the group sync of queued entries."""

from __future__ import annotations

from collections.abc import Callable

from ..group_commit import GroupCommit
from .log_store import SyncTicket

__all__ = ["sync"]


async def sync(group_commit: GroupCommit, queue: Callable[[SyncTicket], object]) -> bool:
    """Calls `queue` with a ticket and waits until what it queued is on disk; returns False where
    `queue` returns False because it queued nothing.

    Raises what `queue` raises, and StorageFull where the disk refuses the write.
    """
    ticket = group_commit.submit(queue)
    if ticket is None:
        return False
    await ticket
    return True
