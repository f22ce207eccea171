"""The batch log that a gateway writes."""

from __future__ import annotations

from ..context import Context
from ..replicated_log import Leaseholder
from ..timers import SingleFlight, secs
from .batch_ids import BATCH_LOG_PREFIX
from .owner_selection import acquire_log

__all__ = ["BatchLog"]

MAX_LOG_BYTES = 4 * 1024 * 1024
MAX_LOG_AGE = secs(43_200)


class BatchLog:
    """This gateway's own batch log, which is replaced by a new one when it is too long or old, or its lease is lost."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._leaseholder: Leaseholder | None = None
        self._opened_at = ctx.timers.now()
        self._opening: SingleFlight[str, Leaseholder] = SingleFlight()
        self.number = 0

    async def leaseholder(self) -> Leaseholder:
        """Returns the leaseholder of the current log. Raises PipitlinkError if no log can be opened."""
        leaseholder = self._leaseholder
        if leaseholder is None or self._needs_rotation(leaseholder):
            leaseholder = await self._opening.run("lots", self._open)
        return leaseholder

    def _needs_rotation(self, leaseholder: Leaseholder) -> bool:
        if leaseholder.lost or len(leaseholder.data) >= MAX_LOG_BYTES:
            return True
        return self._ctx.timers.now() - self._opened_at > MAX_LOG_AGE

    async def _open(self) -> Leaseholder:
        self.number += 1
        self._opened_at = self._ctx.timers.now()
        self._leaseholder = await acquire_log(self._ctx, f"{BATCH_LOG_PREFIX}{self._ctx.node}.{self.number}")
        return self._leaseholder
