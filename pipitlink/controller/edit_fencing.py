"""Fencing of operators' edits: a copy of an edit takes effect while its client waits for it, or not at all."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from twisted.web.server import Request

from ..cluster import OutcomeCode
from ..context import Context
from ..errors import ApiError, ServiceUnavailable
from ..timers import ZERO, ms
from ..wire.cluster_pb2 import Command, Outcome
from .edit_submission import EditSubmission
from .interfaces import ConsensusView

__all__ = ["CLIENT_TIMEOUT", "DISCONNECT_CHECK_DELAY", "ClientContact", "EditFencing", "last_contact"]

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


class ClientContact(NamedTuple):
    """A moment at which a client had sent nothing on a connection that this process had not read.

    That holds if it sends no request before it has the response to the one before. `sequence` is the newest one that
    was known here at the time `at`.
    """

    at: timedelta
    sequence: int


def last_contact(request: Request) -> ClientContact | None:
    """Returns the last contact with the client of a request before it sent the request, or None if it is unknown."""
    contact = getattr(getattr(request, "channel", None), "last_contact", None)
    return contact if isinstance(contact, ClientContact) else None


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
        # The highest sequence of the outcome of a zone edit, which the cluster state here may not have reached yet.
        self._newest_zone_outcome = 0

    def open(self) -> None:
        """Starts the timer that detects suspensions of the process."""
        self._last_ran_at = self._ctx.timers.now()
        self._ctx.timers.call_repeatedly(
            SUSPENSION_CHECK_INTERVAL, self._check_for_suspension, self._ctx.error_reporter("run_check")
        )

    def contact(self) -> ClientContact:
        """Returns a contact with a client that takes place now."""
        sequence = max(self._consensus.cluster_state.sequence, self._newest_zone_outcome)
        return ClientContact(self._ctx.timers.now(), sequence)

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
            raise _late()

    async def admit(self) -> timedelta:
        """Waits long enough to detect that the client has disconnected; returns the time at which the edit arrived.

        Raises ServiceUnavailable if the edit may have been delayed before it was read.
        """
        arrived_at = self._ctx.timers.now()
        self.check_timely(arrived_at)
        await self._ctx.timers.sleep(DISCONNECT_CHECK_DELAY)
        return arrived_at

    async def submit(self, command: Command, contact: ClientContact | None = None) -> Outcome:
        """Submits an edit that has just arrived, and returns its outcome.

        The fencing token is the sequence of the cluster state here at the last contact with the client, or when the
        edit arrived if that is not known. The edit is rejected as FENCED if the part of the cluster state that it
        changes was changed after that sequence. It is then submitted again with the newer sequence, as long as its
        client still waits: a disconnect cancels this method.

        Raises ServiceUnavailable, without effect, if so much time has passed since the arrival (see `check_timely`)
        that the client may have retried the edit at another controller, or if the edit is FENCED and may have been
        held up for that long on its way since the last contact.
        """
        sequence = self._consensus.cluster_state.sequence
        contact = contact or ClientContact(self._ctx.timers.now(), sequence)
        command.fencing_token = contact.sequence
        arrived_at = await self.admit()
        while True:
            self.check_timely(arrived_at)
            outcome = await self._submission.submit(command)
            if command.HasField("zone"):
                self._newest_zone_outcome = max(self._newest_zone_outcome, outcome.sequence)
            if outcome.code == OutcomeCode.EDIT_ID_USED:
                raise ApiError(
                    f"Edit-Id {command.edit} was used for another edit",
                    code=outcome.code,
                    status=409,
                    outcome="not_run",
                )
            if outcome.code != OutcomeCode.FENCED:
                return outcome
            if arrived_at - contact.at > SUBMISSION_TIMEOUT:
                raise _late()
            command.fencing_token = outcome.sequence


def _late() -> ServiceUnavailable:
    text = "the request was delayed and was not executed; send it again"
    return ServiceUnavailable(text, code="late")
