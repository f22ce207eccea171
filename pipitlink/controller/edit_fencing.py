"""Fencing of operators' edits: a copy of an edit takes effect while its client waits for it, or not at all."""

from __future__ import annotations

from datetime import timedelta

from ..cluster import OutcomeCode
from ..context import Context
from ..errors import ApiError, ServiceUnavailable
from ..timers import ZERO, ms
from ..wire.cluster_pb2 import Command, Outcome
from .edit_submission import EditSubmission
from .interfaces import ConsensusView

__all__ = ["CLIENT_TIMEOUT", "DISCONNECT_CHECK_DELAY", "EditFencing"]

CLIENT_TIMEOUT = ms(1000)
"""Clients wait at least this long before they retry an edit without a response at another controller."""
DISCONNECT_CHECK_DELAY = ms(20)
"""An edit waits this long, so that a disconnect that arrives together with it cancels it."""
SUSPENSION_CHECK_INTERVAL = ms(200)
SUSPENSION_THRESHOLD = ms(500)
"""A process that did not run for longer than this was suspended, and may read edits that were queued in a socket."""
RESUME_GRACE = ms(500)
"""How long after a suspension queued edits may still be read from a socket."""
SUBMISSION_TIMEOUT = CLIENT_TIMEOUT - SUSPENSION_THRESHOLD - ms(100)


class EditFencing:
    """Fences operators' edits, so that a delayed copy of an edit cannot undo a later edit.

    It tracks when this process last ran, and when it last resumed after a suspension.
    """

    def __init__(self, ctx: Context, consensus: ConsensusView, submission: EditSubmission) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._submission = submission
        self._last_ran_at = ZERO
        self._resumed_at: timedelta | None = None

    def open(self) -> None:
        """Starts the timer that detects suspensions of the process."""
        self._last_ran_at = self._ctx.timers.now()
        self._ctx.timers.call_repeatedly(
            SUSPENSION_CHECK_INTERVAL, self._check_for_suspension, self._ctx.error_reporter("run_check")
        )

    def _check_for_suspension(self) -> None:
        now = self._ctx.timers.now()
        paused = now - self._last_ran_at
        if paused > SUSPENSION_THRESHOLD:
            self._resumed_at = now
            self._ctx.logger.info("process_resumed", paused_s=paused.total_seconds())
        self._last_ran_at = now

    def _has_just_resumed(self) -> bool:
        """Returns whether an edit read now may have been queued in a socket while the process was suspended."""
        self._check_for_suspension()
        return self._resumed_at is not None and self._ctx.timers.now() - self._resumed_at < RESUME_GRACE

    def check_timely(self, arrived_at: timedelta) -> None:
        """Raises ServiceUnavailable if the client may have retried the edit at another controller by now."""
        if self._has_just_resumed() or self._ctx.timers.now() - arrived_at > SUBMISSION_TIMEOUT:
            raise ServiceUnavailable(
                "the request was delayed at this controller and was not executed; send it again", code="late"
            )

    async def admit(self) -> timedelta:
        """Waits long enough to detect that the client has disconnected; returns the time at which the edit arrived.

        Raises ServiceUnavailable if the edit may have been delayed before it was read.
        """
        arrived_at = self._ctx.timers.now()
        self.check_timely(arrived_at)
        await self._ctx.timers.sleep(DISCONNECT_CHECK_DELAY)
        return arrived_at

    async def submit(self, command: Command) -> Outcome:
        """Submits an edit that has just arrived, and returns its outcome.

        The fencing token is the sequence of the cluster state here when the edit arrived. The edit is rejected as
        FENCED if the part of the cluster state that it changes was changed after that sequence. It is then submitted
        again with the newer sequence, as long as its client still waits: a disconnect cancels this method.

        Raises ServiceUnavailable, without effect, if so much time has passed since the arrival (see `check_timely`)
        that the client may have retried the edit at another controller.
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
