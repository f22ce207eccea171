"""The table of the requests of this gateway."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..errors import NotFound
from ..timers import secs
from .latency_histogram import LatencyHistogram
from .request_record import RequestKind, RequestRecord
from .run import Run

__all__ = ["RequestTable"]


class RequestTable:
    """All requests of this gateway by id.

    A live request is kept for the resume window after its end, so that a client that lost the connection can resume it.
    A running one whose last reader has left is cancelled unless a reader returns within the window.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._resume_window = secs(ctx.settings.resume_hold_s)
        self.requests: dict[str, RequestRecord] = {}
        self.first_chunk_latency = LatencyHistogram()

    def add(self, request: RequestRecord) -> None:
        """Adds a request; for a live request, the latency of its first chunk is recorded."""
        self.requests[request.id] = request
        if request.kind == RequestKind.LIVE:
            arrived_at = self._ctx.timers.now()
            request.on_first_chunk = lambda: self.first_chunk_latency.add(self._ctx.timers.now() - arrived_at)

    def find_run(self, run_id: str) -> RequestRecord:
        """Returns the live request of a run. Raises NotFound if this gateway never had it or has removed it."""
        request = self.requests.get(run_id)
        if request is None or request.kind != RequestKind.LIVE:
            raise NotFound(
                "this gateway does not have the run, or no longer; its outcome is not known",
                code="run_not_held",
                outcome="unknown",
            )
        return request

    def unsettled_live_requests(self) -> int:
        """Returns how many running requests are not items of batches."""
        return sum(not request.settled and not request.is_batch_item for request in self.requests.values())

    def has_unsettled(self) -> bool:
        """Returns whether any request is still running."""
        return any(not request.settled for request in self.requests.values())

    def unassigned_items(self, model: str) -> int:
        """Returns how many items for a model were started and have no engine yet."""
        return sum(
            request.is_batch_item and request.model == model and request.engine is None
            for request in self.requests.values()
        )

    def retire(self, run: Run) -> None:
        """Removes a settled request: a live one after the resume window, others at once."""
        request = self.requests.get(run.id)
        if request is None:
            return
        if request.kind == RequestKind.LIVE:
            self._ctx.timers.call_later(self._resume_window, self.requests.pop, run.id, None)
        else:
            self.requests.pop(run.id, None)

    def reader_left(self, run: Run) -> None:
        """Schedules the cancellation of a run whose last reader has left, unless a reader returns in time."""
        request = self.requests.get(run.id)
        if run.settled or run.readers or request is None:
            return
        request.abandoned_at = self._ctx.timers.now()
        self._ctx.timers.call_later(self._resume_window, _cancel_if_abandoned, request, request.abandoned_at)


def _cancel_if_abandoned(request: RequestRecord, abandoned_at: timedelta) -> None:
    if request.abandoned_at == abandoned_at and not request.readers and not request.settled:
        assert request.task is not None
        request.task.cancel()
