"""Attempts to run the items of owned batches, with their retries."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus

from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..errors import LeaseNotHeld, PipitlinkError
from ..timers import ms, secs, spawn
from ..wire.cluster_pb2 import Route
from .batch_table import BatchTable
from .interfaces import ItemExecutor
from .item_runner import ItemCall, ItemResult
from .output_writer import ItemState, OutputWriter
from .owned_batch import OwnedBatch

__all__ = ["ItemAttempts"]

MIN_BACKOFF = ms(50)
MAX_BACKOFF = secs(1)


class ItemAttempts:
    """Makes attempts to run items, and finishes the items or retries them after a backoff."""

    def __init__(self, ctx: Context, table: BatchTable, executor: ItemExecutor, writer: OutputWriter) -> None:
        self._ctx = ctx
        self._table = table
        self._executor = executor
        self._writer = writer

    def abandon_unfinished(self, batch: OwnedBatch) -> None:
        """Abandons all items of a batch that are not finished."""
        for index in batch.unfinished():
            self._writer.finish_item(batch, index, ItemState.ABANDONED)

    def start(self, batch: OwnedBatch, index: int, route: Route) -> None:
        """Starts an attempt to run an item in the background."""
        call = batch.calls.get(index)
        if call is None:
            call = batch.calls[index] = self._make_call(batch, index, route)
        call.route = route
        batch.timings.attempt_started(index)
        attempt = spawn(self._attempt(batch, index, call))
        batch.running[index] = attempt
        attempt.addBoth(self._attempt_ended, batch, index, attempt)

    def _make_call(self, batch: OwnedBatch, index: int, route: Route) -> ItemCall:
        item = batch.content.items[index]
        return ItemCall(
            id=item.id,
            route=route,
            path=item.path,
            headers=[(header.name, header.value) for header in item.headers],
            body=item.body,
            token_count=item.tokens,
            precondition=partial(self._check_may_send, batch, index),
            on_event=partial(batch.timings.event_received, index),
        )

    def _check_may_send(self, batch: OwnedBatch, index: int) -> None:
        """Raises LeaseNotHeld where an item must no longer be sent."""
        if not batch.is_current() or index in batch.finished or not self._table.owns(batch):
            raise LeaseNotHeld(f"{batch.id}: item {index} must no longer be sent")

    async def _attempt(self, batch: OwnedBatch, index: int, call: ItemCall) -> None:
        first_event = call.last_event
        try:
            result = await self._executor.run(call)
        except PipitlinkError as error:
            self._ctx.logger.debug("item_attempt_failed", batch=batch.id, item=call.id, text=error)
            result = ItemResult()
        if index in batch.finished or not batch.is_current():
            return
        if result.is_complete:
            self._writer.finish_item(batch, index, ItemState.DONE, b"\n".join(call.texts))
        elif self._should_abandon(batch, index, call, result.status):
            self._writer.finish_item(batch, index, ItemState.ABANDONED)
        else:
            self._back_off(batch, index, result, has_progressed=call.last_event != first_event)

    def _should_abandon(self, batch: OwnedBatch, index: int, call: ItemCall, status: int) -> bool:
        """Counts engine failures of an item, and returns whether it must not be retried."""
        if status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return True
        if status != HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        batch.failures[index] = batch.failures.get(index, 0) + 1
        return bool(batch.failures[index] >= max(1, call.route.max_attempts))

    def _back_off(self, batch: OwnedBatch, index: int, result: ItemResult, has_progressed: bool) -> None:
        batch.timings.attempt_failed(index)
        backoff = MIN_BACKOFF if has_progressed else batch.backoffs.get(index, MIN_BACKOFF)
        batch.backoffs[index] = min(MAX_BACKOFF, backoff * 2)
        batch.retry_at[index] = self._ctx.timers.now() + max(backoff, min(result.backoff, MAX_BACKOFF))

    def _attempt_ended(
        self, result: Failure | None, batch: OwnedBatch, index: int, attempt: defer.Deferred[None]
    ) -> None:
        if batch.running.get(index) is attempt:
            del batch.running[index]
        if isinstance(result, Failure) and not result.check(defer.CancelledError):
            self._ctx.logger.failure("item_failed", result.value, batch=batch.id, item=index)
            batch.retry_at[index] = self._ctx.timers.now() + MAX_BACKOFF
        is_pending = index in batch.finished or index in batch.waiting or index in batch.running
        if not is_pending and self._table.owns(batch):
            batch.waiting.append(index)
        self._table.announce_work()
