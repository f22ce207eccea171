"""Group commit: turns queued writes of segment files into syncs on a thread."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import defer

from .errors import CorruptData, StorageFull
from .segments import Segments
from .timers import spawn

if TYPE_CHECKING:
    from .context import Context

__all__ = ["GroupCommit"]


class GroupCommit:
    """Group sync: whatever is queued while the disk is busy goes to it together."""

    def __init__(self, ctx: "Context", segments: Segments, recover: Callable[[], object]) -> None:
        self._ctx = ctx
        self._segments = segments
        self._recover = recover
        self.busy = False

    def put(self, queue: Callable[[defer.Deferred[None]], object]) -> defer.Deferred[None] | None:
        """Queues what `queue` makes for a ticket; fires when it is synced. None where it queued nothing."""
        ticket: defer.Deferred[None] = defer.Deferred()
        if queue(ticket) is False:
            return None
        if not self.busy:
            self._start()
        return ticket

    def _start(self) -> None:
        self.busy = True
        spawn(self._flush())

    async def _flush(self) -> None:
        try:
            while self._segments.has_pending():
                for ticket in await self._ctx.run_in_thread(self._segments.flush):
                    if ticket is not None:
                        ticket.callback(None)
        except CorruptData as e:
            self._ctx.logger.failure("disk_lost", e)
            self._ctx.reactor.stop()
        except Exception as e:
            self._ctx.logger.failure("disk_failed", e)
            lost = self._segments.discard_pending()
            self._recover()
            for ticket in filter(None, lost):
                ticket.errback(StorageFull(f"the disk refused: {e}"))
        finally:
            self.busy = False
            if self._segments.has_pending():
                self._start()
