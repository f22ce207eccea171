"""Group commit: entries queued while the disk is busy are written and synced together."""

from __future__ import annotations

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
    """Flushes segment files on a thread while entries are queued.

    After a failed write, the queued entries are dropped, `recover` is called to restore the state in memory from the
    files, and the writers get StorageFull. A failed sync stops the process, since the contents of the files are then
    unknown.
    """

    def __init__(self, ctx: Context, segments: Segments, recover: Callable[[], object]) -> None:
        self._ctx = ctx
        self._segments = segments
        self._recover = recover
        self.in_progress = False

    def submit(self, enqueue: Callable[[defer.Deferred[None]], object]) -> defer.Deferred[None] | None:
        """Calls `enqueue` with a completion for the entries that it appends, and returns that completion.

        The completion fires once the entries are durable, and fails with StorageFull if the disk refuses the write.
        Returns None if `enqueue` returns False because it appended nothing.
        """
        completion: defer.Deferred[None] = defer.Deferred()
        if enqueue(completion) is False:
            return None
        if not self.in_progress:
            self._start()
        return completion

    def _start(self) -> None:
        self.in_progress = True
        spawn(self._flush_pending())

    async def _flush_pending(self) -> None:
        try:
            while self._segments.has_pending():
                for completion in await self._ctx.run_in_thread(self._segments.flush):
                    if completion is not None:
                        completion.callback(None)
        except CorruptData as error:
            self._ctx.logger.failure("disk_sync_failed", error)
            self._ctx.reactor.stop()
        except Exception as error:
            self._ctx.logger.failure("disk_write_failed", error)
            self._fail_pending(error)
        finally:
            self.in_progress = False
            if self._segments.has_pending():
                self._start()

    def _fail_pending(self, error: Exception) -> None:
        completions = self._segments.discard_pending()
        self._recover()
        for completion in completions:
            if completion is not None:
                completion.errback(StorageFull(f"disk write failed: {error}"))
