"""The step that admits a request or rejects it early."""

from __future__ import annotations

from ..context import Context
from ..errors import ApiError, ServiceUnavailable
from ..timers import ms
from .rate_limits import RateLimits
from .request_record import RequestRecord
from .request_table import RequestTable
from .retry_after import RetryAfterEstimator
from .serving_state import ServingState

__all__ = ["Admission"]

CURRENT_WAIT = ms(600)
CURRENT_POLL_INTERVAL = ms(20)


class Admission:
    """Admits requests while this gateway is current and not overloaded, and the rates of the rows allow it."""

    def __init__(
        self,
        ctx: Context,
        serving: ServingState,
        table: RequestTable,
        rate_limits: RateLimits,
        retry_after: RetryAfterEstimator,
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._table = table
        self._rate_limits = rate_limits
        self._retry_after = retry_after

    async def admit(self, request: RequestRecord) -> bool:
        """Pipeline step: raises ApiError where the request may not run now.

        A retry is only checked against its deadline.
        """
        await self._wait_until_current()
        if request.deadline <= self._ctx.timers.now():
            raise ApiError("the limit has passed", code="limit_passed", status=504, outcome="not_run")
        if request.attempts:
            return False
        if not request.is_batch_item and self._table.unsettled_live_requests() > self._ctx.settings.max_running:
            raise ServiceUnavailable("too many requests are running here", retry_after=self._retry_after.seconds())
        await self._rate_limits.check_rate(request)
        return False

    async def _wait_until_current(self) -> None:
        """Gives a node that was suspended a short while to confirm its cluster state again."""
        give_up_at = self._ctx.timers.now() + CURRENT_WAIT
        while not self._serving.is_current():
            if self._ctx.timers.now() >= give_up_at:
                raise ServiceUnavailable("this gateway cannot prove its cluster state now", code="not_current")
            await self._ctx.timers.sleep(CURRENT_POLL_INTERVAL)
