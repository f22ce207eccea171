"""HTTP handlers of lots: submit, show and end them at any gateway."""

from typing import Any

from twisted.web.server import Request

from ..context import Context
from ..errors import RemoteError, ServiceUnavailable, WireError
from ..timers import ms, secs
from ..web import answered, send_json
from ..wire.lots_pb2 import EndRequest, EndResponse, Lot, Result
from .lot_ids import result_log
from .lot_intake import LotIntake
from .lot_ownership import EndStatus, LotOwnership
from .open_lots import OpenLots
from .query_parameters import whole_number
from .request_bodies import LotBody, read_json
from .result_reader import LotResults, ResultReader

__all__ = ["LotApi", "results_page"]

READ_TIMEOUT = secs(4)
END_TIMEOUT = secs(8)
END_RETRY_INTERVAL = ms(300)
CALL_TIMEOUT = secs(3)
MAX_RESULTS = 500
OK = 200
CREATED = 201


class LotApi:
    """Serves lots to callers, whichever gateway took or owns them."""

    def __init__(
        self, ctx: Context, intake: LotIntake, open_lots: OpenLots, reader: ResultReader, ownership: LotOwnership
    ) -> None:
        self._ctx = ctx
        self._intake = intake
        self._open_lots = open_lots
        self._reader = reader
        self._ownership = ownership

    @answered
    async def take_lot(self, request: Request) -> bytes:
        """Stores a submitted lot; responds with its id."""
        body = read_json(request, LotBody)
        stored = await self._intake.submit(body)
        response: bytes = send_json(
            request,
            {"lot": stored.lot_id, "items": len(body.items), "again": stored.duplicate},
            OK if stored.duplicate else CREATED,
            {"Location": f"/v1/lots/{stored.lot_id}"},
        )
        return response

    @answered
    async def show_lot(self, request: Request, lot: str) -> bytes:
        """Responds with a lot's state."""
        found = await self._reader.find_lot(lot)
        results = await self._ctx.timers.with_timeout(READ_TIMEOUT, self._reader.read_results(lot))
        response: bytes = send_json(request, _summary(lot, found, results))
        return response

    @answered
    async def show_results(self, request: Request, lot: str) -> bytes:
        """Responds with a lot's results from a number on."""
        start = whole_number(request, "from")
        found = await self._reader.find_lot(lot)
        results = await self._ctx.timers.with_timeout(READ_TIMEOUT, self._reader.read_results(lot))
        response: bytes = send_json(request, results_page(lot, found, results, start))
        return response

    @answered
    async def end_lot(self, request: Request, lot: str) -> bytes:
        """Ends a lot for good; responds with its state."""
        response: bytes = send_json(request, {"lot": lot, "state": await self.end_anywhere(lot)})
        return response

    async def end_anywhere(self, lot_id: str) -> str:
        """Ends a lot through its owner; returns `ended` or `closed`.

        Raises ServiceUnavailable where the owner cannot be reached in time.
        """
        self._open_lots.add(lot_id, await self._reader.find_lot(lot_id))
        give_up_at = self._ctx.timers.now() + END_TIMEOUT
        while self._ctx.timers.now() < give_up_at:
            status = await self._end_at_owner(lot_id)
            if status in (EndStatus.ENDED, EndStatus.CLOSED):
                return status.value
            await self._ctx.timers.sleep(END_RETRY_INTERVAL)
        raise ServiceUnavailable("the lot's owner could not be asked", code="no_owner", outcome="unknown")

    async def _end_at_owner(self, lot_id: str) -> EndStatus:
        """Has the holder of the result log's lease end a lot; where there is none, this gateway takes the lot up."""
        log = result_log(lot_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is not None and state.final:
            return EndStatus.CLOSED
        owner = state.leaseholder if state is not None else ""
        member = self._ctx.membership.find(owner) if owner else None
        if not owner or owner == self._ctx.node:
            return await self._ownership.end_local_lot(lot_id)
        if member is None:
            return EndStatus.OWNER_UNREACHABLE
        address = (member.host, member.port)
        try:
            request = EndRequest(lot=lot_id)
            response = await self._ctx.rpc.call(address, "lots.end", request, EndResponse, CALL_TIMEOUT)
            return EndStatus(response.state)
        except (WireError, RemoteError) as error:
            self._ctx.logger.debug("owner_unreachable", lot=lot_id, text=error)
            return EndStatus.OWNER_UNREACHABLE


def results_page(lot_id: str, lot: Lot, results: LotResults, start: int) -> dict[str, Any]:
    """Returns a page of results from a number on as JSON, with the number at which the next page starts."""
    page = results.results[start : start + MAX_RESULTS]
    return {
        **_summary(lot_id, lot, results),
        "from": start,
        "next": start + len(page),
        "results": [_result_json(start + k, result) for k, result in enumerate(page)],
    }


def _summary(lot_id: str, lot: Lot, results: LotResults) -> dict[str, Any]:
    return {
        "lot": lot_id,
        "state": results.end_reason if results.end_reason in ("done", "ended") else "open",
        "items": len(lot.items),
        "listed": len(results.results),
        "customer": lot.customer,
        "priority": lot.priority,
        "limit": lot.limit_ms,
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
