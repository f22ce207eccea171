"""Handles read requests for batches at any gateway."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..errors import ApiError, CorruptData, NotFound, PipitlinkError, ServiceUnavailable
from ..timers import ZERO, secs
from .batch_followers import BatchFollowers
from .batch_progress import BatchProgress
from .batch_table import BatchTable
from .http_response import HttpResponse, json_error, json_response

__all__ = ["BatchReader"]

MAX_WAIT = secs(20)


class BatchReader:
    """Responds to requests for the outputs and items of batches."""

    def __init__(self, ctx: Context, table: BatchTable, followers: BatchFollowers) -> None:
        self._ctx = ctx
        self._table = table
        self._followers = followers

    async def read_outputs(self, batch_id: str, start: int, wait: timedelta) -> HttpResponse:
        """Responds with the outputs from position `start` on, as a long poll.

        Waits until there is an output, the batch is complete, or `wait` has passed.
        """
        try:
            progress = await self._poll_progress(batch_id, start, wait)
            body = self._ctx.dialect.format_outputs(progress.durable_head, progress.outputs, start)
            return json_response(200, body)
        except PipitlinkError as error:
            return self._error_response(error)

    async def _poll_progress(self, batch_id: str, start: int, wait: timedelta) -> BatchProgress:
        deadline = self._ctx.timers.now() + min(max(wait, ZERO), MAX_WAIT)
        progress: BatchProgress | None = None
        while True:
            try:
                progress = await self._followers.get_progress(batch_id)
            except PipitlinkError as error:
                if progress is None or isinstance(error, CorruptData):
                    raise
                return progress
            remaining = deadline - self._ctx.timers.now()
            has_changed = len(progress.outputs) > start or progress.is_complete()
            if has_changed or remaining <= ZERO or self._table.is_closing:
                return progress
            await self._followers.wait_for_progress(batch_id, remaining)

    async def read_item(self, batch_id: str, item_id: str) -> HttpResponse:
        """Responds with the body of one item as it was submitted."""
        try:
            batch = await self._followers.get_batch(batch_id)
            item = next((item for item in batch.items if item.id == item_id), None)
            if item is None:
                raise NotFound("there is no such item", code="no_such_item", field="id")
            return HttpResponse(200, {"Content-Type": "application/octet-stream"}, item.body)
        except PipitlinkError as error:
            return self._error_response(error)

    def _error_response(self, error: PipitlinkError) -> HttpResponse:
        if not isinstance(error, ApiError):
            error = ServiceUnavailable(f"the batch cannot be read now: {error}", code="unread")
        return json_error(error, self._ctx.dialect.format_error(error))
