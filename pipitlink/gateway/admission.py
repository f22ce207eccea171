"""The pipeline step that admits or rejects a request."""

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
    """Admits requests if the cluster state is current, the gateway is not overloaded and the rate limits allow it."""

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
        """Pipeline step: raises ApiError if the request may not run now.

        A retry is checked only for a current cluster state and for its deadline.
        """
        await self._wait_until_current()
        if request.deadline <= self._ctx.timers.now():
            raise ApiError("the deadline has passed", code="limit_passed", status=504, outcome="not_run")
        if request.attempts:
            return False
        if not request.is_batch_item and self._table.unsettled_live_requests() > self._ctx.settings.max_running:
            raise ServiceUnavailable(
                "too many requests are running at this gateway", retry_after=self._retry_after.seconds()
            )
        await self._rate_limits.check_rate(request)
        return False

    async def _wait_until_current(self) -> None:
        """Waits a short time for a node that was suspended to confirm its cluster state again."""
        deadline = self._ctx.timers.now() + CURRENT_WAIT
        while not self._serving.is_current():
            if self._ctx.timers.now() >= deadline:
                raise ServiceUnavailable("this gateway cannot confirm its cluster state", code="not_current")
            await self._ctx.timers.sleep(CURRENT_POLL_INTERVAL)
