"""HTTP handlers to submit, show and cancel batches at any gateway."""

from __future__ import annotations

from typing import Any

from twisted.web.server import Request

from ..context import Context
from ..errors import RemoteError, ServiceUnavailable, WireError
from ..json_api import http_handler, send_json
from ..timers import ms, secs
from ..wire.lots_pb2 import EndRequest, EndResponse, Lot, Result
from .batch_ids import result_log
from .batch_intake import BatchIntake
from .batch_ownership import BatchOwnership, CancelResult
from .open_batches import OpenBatches
from .query_parameters import non_negative_number
from .request_bodies import BatchBody, read_json
from .result_reader import BatchResults, ResultReader

__all__ = ["BatchApi", "results_page"]

READ_TIMEOUT = secs(4)
CANCEL_TIMEOUT = secs(8)
CANCEL_RETRY_INTERVAL = ms(300)
CALL_TIMEOUT = secs(3)
MAX_RESULTS = 500
OK = 200
CREATED = 201


class BatchApi:
    """Handles clients' requests for batches, whichever gateway stored or owns them."""

    def __init__(
        self,
        ctx: Context,
        intake: BatchIntake,
        open_batches: OpenBatches,
        reader: ResultReader,
        ownership: BatchOwnership,
    ) -> None:
        self._ctx = ctx
        self._intake = intake
        self._open_batches = open_batches
        self._reader = reader
        self._ownership = ownership

    @http_handler
    async def submit_batch(self, request: Request) -> bytes:
        """Stores a submitted batch; responds with its id."""
        body = read_json(request, BatchBody)
        stored = await self._intake.submit(body)
        response: bytes = send_json(
            request,
            {"lot": stored.batch_id, "items": len(body.items), "again": stored.duplicate},
            OK if stored.duplicate else CREATED,
            {"Location": f"/v1/lots/{stored.batch_id}"},
        )
        return response

    @http_handler
    async def show_batch(self, request: Request, batch_id: str) -> bytes:
        """Responds with the state of a batch."""
        found = await self._reader.find_batch(batch_id)
        results = await self._ctx.timers.with_timeout(READ_TIMEOUT, self._reader.read_results(batch_id))
        response: bytes = send_json(request, _summary(batch_id, found, results))
        return response

    @http_handler
    async def show_results(self, request: Request, batch_id: str) -> bytes:
        """Responds with the results of a batch, starting at the number in the query parameter `from`."""
        start = non_negative_number(request, "from")
        found = await self._reader.find_batch(batch_id)
        results = await self._ctx.timers.with_timeout(READ_TIMEOUT, self._reader.read_results(batch_id))
        response: bytes = send_json(request, results_page(batch_id, found, results, start))
        return response

    @http_handler
    async def cancel_batch(self, request: Request, batch_id: str) -> bytes:
        """Cancels a batch permanently; responds with its state."""
        response: bytes = send_json(request, {"lot": batch_id, "state": await self.cancel_anywhere(batch_id)})
        return response

    async def cancel_anywhere(self, batch_id: str) -> str:
        """Cancels a batch through its owner; returns `ended` or `closed`.

        Raises ServiceUnavailable if the owner cannot be reached in time.
        """
        self._open_batches.add(batch_id, await self._reader.find_batch(batch_id))
        deadline = self._ctx.timers.now() + CANCEL_TIMEOUT
        while self._ctx.timers.now() < deadline:
            result = await self._cancel_at_owner(batch_id)
            if result in (CancelResult.CANCELLED, CancelResult.ALREADY_ENDED):
                return result.value
            await self._ctx.timers.sleep(CANCEL_RETRY_INTERVAL)
        raise ServiceUnavailable("the owner of the batch could not be reached", code="no_owner", outcome="unknown")

    async def _cancel_at_owner(self, batch_id: str) -> CancelResult:
        """Cancels a batch at the leaseholder of its result log; without one, acquires the lease here."""
        log = result_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is not None and state.final:
            return CancelResult.ALREADY_ENDED
        owner = state.leaseholder if state is not None else ""
        member = self._ctx.membership.find(owner) if owner else None
        if not owner or owner == self._ctx.node:
            return await self._ownership.cancel_local_batch(batch_id)
        if member is None:
            return CancelResult.OWNER_UNREACHABLE
        address = (member.host, member.port)
        try:
            request = EndRequest(lot=batch_id)
            response = await self._ctx.rpc.call(address, "lots.end", request, EndResponse, CALL_TIMEOUT)
            return CancelResult(response.state)
        except (WireError, RemoteError) as error:
            self._ctx.logger.debug("owner_unreachable", lot=batch_id, text=error)
            return CancelResult.OWNER_UNREACHABLE


def results_page(batch_id: str, spec: Lot, results: BatchResults, start: int) -> dict[str, Any]:
    """Returns a page of results as JSON, starting at number `start`, with the number at which the next page starts."""
    page = results.results[start : start + MAX_RESULTS]
    return {
        **_summary(batch_id, spec, results),
        "from": start,
        "next": start + len(page),
        "results": [_result_json(start + k, result) for k, result in enumerate(page)],
    }


def _summary(batch_id: str, spec: Lot, results: BatchResults) -> dict[str, Any]:
    return {
        "lot": batch_id,
        "state": results.end_reason if results.end_reason in ("done", "ended") else "open",
        "items": len(spec.items),
        "listed": len(results.results),
        "customer": spec.customer,
        "priority": spec.priority,
        "limit": spec.limit_ms,
    }


def _result_json(number: int, result: Result) -> dict[str, Any]:
    return {
        "n": number,
        "item": result.item,
        "outcome": result.outcome,
        "code": result.code,
        "text": result.text,
        "engine": result.engine,
    }
