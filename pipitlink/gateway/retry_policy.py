"""Decides when a failed request may be retried on another engine."""

from __future__ import annotations

from ..state_machines.request_state import RequestState
from ..timers import Timers
from .request_record import RequestRecord

__all__ = ["RetryBudget", "RetryPolicy"]

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
MAX_RETRIES_SAVED = 20.0


class RetryBudget:
    """Limits retries to a ratio of the attempts, so that they do not multiply the load during a fault."""

    def __init__(self, ratio: float = RETRY_RATIO, max_saved: float = MAX_RETRIES_SAVED) -> None:
        self._ratio = ratio
        self._max_saved = max_saved
        self._left = max_saved

    def earn(self) -> None:
        """Adds the fraction of a retry that one attempt earns."""
        self._left = min(self._max_saved, self._left + self._ratio)

    def take(self) -> bool:
        """Spends one retry; returns False if none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


class RetryPolicy:
    """Decides on retries by the request's state, its number of attempts and the gateway's budget."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._budget = RetryBudget()

    def record_attempt(self) -> None:
        """Records an attempt, which earns budget."""
        self._budget.earn()

    def begin_retry(self, request: RequestRecord) -> bool:
        """Returns whether the request may be retried on another engine now; if so, prepares it for the retry.

        A retry is allowed if none of the response was received and the request certainly did not run or is idempotent.
        """
        if request.attempts >= MAX_ATTEMPTS or request.chunks or request.size:
            return False
        if self._timers.now() >= request.deadline:
            return False
        if not self._budget.take():
            return False
        if request.state == RequestState.WAITING:
            return True
        if request.state == RequestState.LOST and request.idempotent:
            request.may_have_run = True
            request.trigger("retry")
            return True
        return False
