"""Cancels batches through their owners."""

from __future__ import annotations

from enum import StrEnum

from ..context import Context
from ..errors import ApiError, NotFound, PipitlinkError, RemoteError, ServiceUnavailable, WireError
from ..timers import ms, secs
from ..wire.lots_pb2 import Ended, EndRequest, EndResponse, LogRecord
from .batch_progress import batch_log, is_valid_batch_id
from .batch_table import BatchTable
from .http_response import HttpResponse, json_error, json_response
from .owned_batch import OwnedBatch

__all__ = ["BatchCanceller", "CancelResult"]

TIMEOUT = secs(8)
RETRY_INTERVAL = ms(150)
CALL_TIMEOUT = secs(3)


class CancelResult(StrEnum):
    """The result of an attempt to cancel a batch. The values are sent over RPC."""

    CANCELLED = "ended"
    ALREADY_ENDED = "closed"
    UNCERTAIN = "unsure"
    INVALID_ID = "unknown"


class BatchCanceller:
    """Cancels batches: those owned here by ending their logs, others by an RPC to their owner."""

    def __init__(self, ctx: Context, table: BatchTable) -> None:
        self._ctx = ctx
        self._table = table

    def open(self) -> None:
        """Starts cancelling batches on behalf of other gateways."""
        self._ctx.rpc.register_handler("batches.end", EndRequest, self._handle_cancel)

    async def cancel(self, batch_id: str) -> HttpResponse:
        """Cancels a batch, and responds once the end of its log is durable."""
        try:
            if not is_valid_batch_id(batch_id):
                raise NotFound("there is no such batch", code="no_such_batch", field="id")
            await self._cancel_with_retries(batch_id)
            return json_response(200, self._ctx.dialect.format_cancelled(batch_id))
        except ApiError as error:
            return json_error(error, self._ctx.dialect.format_error(error))

    async def _cancel_with_retries(self, batch_id: str) -> None:
        deadline = self._ctx.timers.now() + TIMEOUT
        while True:
            result = await self._cancel_once(batch_id)
            if result in (CancelResult.CANCELLED, CancelResult.ALREADY_ENDED):
                return
            if self._ctx.timers.now() >= deadline:
                raise ServiceUnavailable(
                    "the owner of the batch could not be reached", code="no_owner", outcome="unknown"
                )
            await self._ctx.timers.sleep(RETRY_INTERVAL)

    async def _cancel_once(self, batch_id: str) -> str:
        """Cancels a batch here or at its owner; returns a CancelResult, or whatever other state the owner returns."""
        if self._table.get_valid(batch_id) is not None:
            return await self._cancel_here(batch_id)
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is None:
            return CancelResult.UNCERTAIN
        if state.final:
            return CancelResult.ALREADY_ENDED
        if not state.tail_epoch and not state.leaseholder:
            raise NotFound("there is no such batch", code="no_such_batch", field="id")
        if state.leaseholder in ("", self._ctx.node):
            return await self._cancel_here(batch_id)
        return await self._call_owner(batch_id, state.leaseholder)

    async def _call_owner(self, batch_id: str, owner: str) -> str:
        member = self._ctx.membership.find(owner)
        if member is None:
            return CancelResult.UNCERTAIN
        address = (member.host, member.port)
        request = EndRequest(lot=batch_id)
        try:
            response = await self._ctx.rpc.call(address, "batches.end", request, EndResponse, CALL_TIMEOUT)
        except (WireError, RemoteError) as error:
            self._ctx.logger.debug("batch_owner_unreachable", batch=batch_id, text=error)
            return CancelResult.UNCERTAIN
        return str(response.state)

    async def _handle_cancel(self, _node: str, request: EndRequest) -> EndResponse:
        if not is_valid_batch_id(request.lot):
            return EndResponse(state=CancelResult.INVALID_ID.value)
        result = await self._cancel_here(request.lot)
        return EndResponse(state=result.value)

    async def _cancel_here(self, batch_id: str) -> CancelResult:
        try:
            return await self._table.run_exclusively(batch_id, lambda: self._cancel_owned(batch_id))
        except PipitlinkError as error:
            self._ctx.logger.debug("batch_not_cancelled", batch=batch_id, text=error)
            return CancelResult.UNCERTAIN

    async def _cancel_owned(self, batch_id: str) -> CancelResult:
        """Acquires the lease and ends the log of the batch; returns only once that is durable."""
        batch = await self._table.acquire(batch_id)
        if batch.batch is None:
            is_final = batch.leaseholder.final
            await self._ctx.replicated_log.release([batch.leaseholder])
            return CancelResult.ALREADY_ENDED if is_final else CancelResult.UNCERTAIN
        if not batch.is_durable():
            return CancelResult.UNCERTAIN
        if batch.leaseholder.final:
            await batch.leaseholder.wait_durable()
            return CancelResult.ALREADY_ENDED
        await self._append_end(batch)
        self._ctx.logger.info("batch_cancelled", batch=batch_id)
        return CancelResult.CANCELLED

    async def _append_end(self, batch: OwnedBatch) -> None:
        """Appends the end of a batch to its log.

        Cancels the running items once the log has ended, even where it is unknown whether the end becomes durable.
        """
        record = LogRecord(ended=Ended(reason="ended")).SerializeToString()
        try:
            await batch.leaseholder.append([record], final=True, reserved=True)
        finally:
            if batch.leaseholder.final:
                batch.cancel_running()
