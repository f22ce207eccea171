"""Operators' orders at one controller: each copy takes effect while its caller waits for it, or not at all."""

from __future__ import annotations

from datetime import timedelta

from ..cluster import OutcomeCode
from ..context import Context
from ..errors import ApiError, ServiceUnavailable
from ..timers import ZERO, ms
from ..wire.cluster_pb2 import Command, Outcome
from .edit_submission import EditSubmission
from .interfaces import ConsensusView

__all__ = ["CLIENT_TIMEOUT", "HANG_UP_DELAY", "OrderFencing"]

CLIENT_TIMEOUT = ms(1000)
"""Callers wait at least this long before they send an order that got no answer to another controller."""
HANG_UP_DELAY = ms(20)
"""An order waits this long, so that a caller's hanging up that arrives together with it cancels it."""
RUN_CHECK_INTERVAL = ms(200)
PAUSE_THRESHOLD = ms(500)
"""A process that did not run for longer than this was paused, and may read orders that have waited in a socket."""
DRAIN_TIME = ms(500)
"""How long after a pause the orders that have waited in a socket are still being read."""
ORDER_TIMEOUT = CLIENT_TIMEOUT - PAUSE_THRESHOLD - ms(100)


class OrderFencing:
    """Fences the operators' orders, so that a copy that was delayed anywhere cannot undo a later order.

    It owns when this process last ran, and when it last resumed after a pause.
    """

    def __init__(self, ctx: Context, consensus: ConsensusView, submission: EditSubmission) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._submission = submission
        self._last_ran_at = ZERO
        self._resumed_at: timedelta | None = None

    def open(self) -> None:
        """Starts the timer that notices when the process was paused."""
        self._last_ran_at = self._ctx.timers.now()
        self._ctx.timers.call_repeatedly(
            RUN_CHECK_INTERVAL, self._record_running, self._ctx.error_reporter("run_check")
        )

    def _record_running(self) -> None:
        now = self._ctx.timers.now()
        paused = now - self._last_ran_at
        if paused > PAUSE_THRESHOLD:
            self._resumed_at = now
            self._ctx.logger.info("process_resumed", paused_s=paused.total_seconds())
        self._last_ran_at = now

    def _has_just_resumed(self) -> bool:
        """Returns whether an order that is read now may have waited in a socket while the process was paused."""
        self._record_running()
        return self._resumed_at is not None and self._ctx.timers.now() - self._resumed_at < DRAIN_TIME

    def check_timely(self, arrived_at: timedelta) -> None:
        """Raises ServiceUnavailable for an order that its caller may have sent to another controller meanwhile."""
        if self._has_just_resumed() or self._ctx.timers.now() - arrived_at > ORDER_TIMEOUT:
            raise ServiceUnavailable(
                "this controller was held up and did not carry the order out; send it again", code="late"
            )

    async def admit(self) -> timedelta:
        """Waits until it would be known that the caller of a new order has hung up; returns when the order arrived.

        Raises ServiceUnavailable where the order may have been delayed before.
        """
        arrived_at = self._ctx.timers.now()
        self.check_timely(arrived_at)
        await self._ctx.timers.sleep(HANG_UP_DELAY)
        return arrived_at

    async def submit(self, command: Command) -> Outcome:
        """Returns the outcome of an order that has just arrived.

        The fence is the newest sequence that was known here when the order arrived. Where that was behind, the order is
        proposed again with the newest fence, as long as its caller waits: a caller that left cancels this, and one that
        may have turned to another controller gets ServiceUnavailable, and nothing was done.
        """
        command.fencing_token = self._consensus.cluster_state.sequence
        arrived_at = await self.admit()
        while True:
            self.check_timely(arrived_at)
            outcome = await self._submission.submit(command)
            if outcome.code == OutcomeCode.EDIT_ID_USED:
                raise ApiError(
                    f"Edit-Id {command.edit} was used for another edit",
                    code=outcome.code,
                    status=409,
                    outcome="not_run",
                )
            if outcome.code != OutcomeCode.FENCED:
                return outcome
            command.fencing_token = outcome.sequence
