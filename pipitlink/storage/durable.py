"""Waiting for the group sync of queued entries."""

from collections.abc import Callable

from ..syncing import Syncer
from .log_store import SyncTicket

__all__ = ["sync"]


async def sync(syncer: Syncer, queue: Callable[[SyncTicket], bool | None]) -> bool:
    """Calls `queue` with a ticket and waits until what it queued is on disk; returns False where it queued nothing.

    Raises what `queue` raises, and StorageFull where the disk refuses the write.
    """
    ticket = syncer.put(queue)
    if ticket is None:
        return False
    await ticket
    return True
