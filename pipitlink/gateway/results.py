"""Shows and ends any lot, whichever gateway owns it."""

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..errors import NotFound, RemoteError, ServiceUnavailable, WireError
from ..timers import ms, secs
from ..web import http_handler, send_json
from ..wire.lots_pb2 import EndRequest, EndResponse, LogRecord, Lot
from .intake import lot_parts
from .live import whole_number
from .lots import result_log

__all__ = ["Results"]

KEEP_SPAN = secs(30)
FRESH = ms(400)
READ_LIMIT = secs(4)
MOST = 500


@attrs.define(eq=False)
class _Reader:
    """One lot's result list, read in order and kept while callers ask for it."""

    tail: object
    used: timedelta
    results: list = attrs.field(factory=list)
    listed: set[int] = attrs.field(factory=set)
    ended: str = ""
    turn: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)

    def learn(self, record: LogRecord):
        what = record.WhichOneof("of")
        if what == "result" and record.result.item not in self.listed and not self.ended:
            self.listed.add(record.result.item)
            self.results.append(record.result)
        elif what == "ended":
            self.ended = self.ended or record.ended.reason


class Results:
    """Mixin: answers for any lot, whichever gateway took it or owns it.

    Offers the HTTP handlers `show_lot`, `show_results` and `end_lot`.
    Needs of the node: `_ctx`; of Lots: `open_lots`, `_known`; of Dispatch: `end_here`.
    Owns `_readers` and `_lot_cache`.
    """

    def _open_results(self):
        self._readers: dict[str, _Reader] = {}
        self._lot_cache: dict[str, Lot] = {}
        self._ctx.timers.call_repeatedly(secs(5), self._drop_readers, self._ctx.error_reporter("readers"))

    def _drop_readers(self):
        now = self._ctx.timers.now()
        for lot_id, r in list(self._readers.items()):
            if now - r.used > KEEP_SPAN:
                r.tail.close()
                del self._readers[lot_id]

    async def _find_lot(self, lot_id: str) -> Lot:
        o = self.open_lots.get(lot_id)
        if o is not None:
            return o.lot
        if lot_id in self._lot_cache:
            return self._lot_cache[lot_id]
        log, at = lot_parts(lot_id)
        tail = self._ctx.cache.tail(log)
        try:
            await self._ctx.cache.poller.confirm_durable([log])
            if tail.lengths.confirmed_at is None:
                raise ServiceUnavailable("the store cannot be read now", code="no_majority", outcome="unknown")
            if tail.lengths.durable <= at:
                raise NotFound("there is no such lot", code="no_such_lot", field="lot")
            tail.position = at
            for _ in range(20):
                for place, body in await tail.read_records():
                    record = LogRecord.FromString(body)
                    if place == at and record.WhichOneof("of") == "lot":
                        if len(self._lot_cache) > 256:
                            self._lot_cache.clear()
                        self._lot_cache[lot_id] = record.lot
                        return record.lot
                if tail.position >= tail.lengths.durable:
                    break
                if tail.readable_end() <= tail.position:
                    await tail.wait_for_growth()
            raise NotFound("there is no such lot", code="no_such_lot", field="lot")
        finally:
            tail.close()

    async def _read_results(self, lot_id: str) -> _Reader:
        """Reads on at least to where the log surely was when the caller asked."""
        now = self._ctx.timers.now()
        r = self._readers.get(lot_id)
        if r is None:
            r = self._readers[lot_id] = _Reader(self._ctx.cache.tail(result_log(lot_id), secs(1)), now)
        r.used = now
        seen = r.tail.lengths
        if seen.confirmed_at is None or now - seen.confirmed_at > FRESH:
            await self._ctx.cache.poller.confirm_durable([r.tail.path])
        if seen.confirmed_at is None or self._ctx.timers.now() - seen.confirmed_at > secs(1):
            raise ServiceUnavailable("the store cannot be read now", code="no_majority", outcome="unknown")
        if seen.final and not seen.durable:
            raise NotFound("the lot's results were removed after their retention", code="results_removed", status=410)
        async with r.turn:
            await self._read_to(r, seen.durable)
        return r

    async def _read_to(self, r: _Reader, goal: int):
        seen = r.tail.lengths
        while r.tail.position < goal or seen.cached > r.tail.position:
            before = r.tail.position
            for _, body in await r.tail.read_records():
                r.learn(LogRecord.FromString(body))
            if r.tail.position == before:
                await r.tail.wait_for_growth()

    def _shown(self, lot_id: str, lot: Lot, r: _Reader) -> dict:
        state = {"done": "done", "ended": "ended"}.get(r.ended, "open")
        return {
            "lot": lot_id,
            "state": state,
            "items": len(lot.items),
            "listed": len(r.results),
            "customer": lot.customer,
            "priority": lot.priority,
            "limit": lot.limit_ms,
        }

    @http_handler
    async def show_lot(self, request, lot: str):
        found = await self._find_lot(lot)
        r = await self._ctx.timers.with_timeout(READ_LIMIT, self._read_results(lot))
        return send_json(request, self._shown(lot, found, r))

    @http_handler
    async def show_results(self, request, lot: str):
        start = whole_number(request, "from")
        found = await self._find_lot(lot)
        r = await self._ctx.timers.with_timeout(READ_LIMIT, self._read_results(lot))
        return send_json(request, self.shown_results(lot, found, r, start))

    def shown_results(self, lot: str, found: Lot, r: _Reader, start: int) -> dict:
        page = r.results[start : start + MOST]
        listed = [
            {"n": start + k, "item": x.item, "outcome": x.outcome, "code": x.code, "text": x.text, "engine": x.engine}
            for k, x in enumerate(page)
        ]
        return {**self._shown(lot, found, r), "from": start, "next": start + len(page), "results": listed}

    @http_handler
    async def end_lot(self, request, lot: str):
        return send_json(request, {"lot": lot, "state": await self.end_anywhere(lot)})

    async def end_anywhere(self, lot: str) -> str:
        self._known(lot, await self._find_lot(lot))
        until = self._ctx.timers.now() + secs(8)
        while self._ctx.timers.now() < until:
            state = await self._ask_owner(lot)
            if state in ("ended", "closed"):
                return state
            await self._ctx.timers.sleep(ms(300))
        raise ServiceUnavailable("the lot's owner could not be asked", code="no_owner", outcome="unknown")

    async def _ask_owner(self, lot: str) -> str:
        """Asks the log's leaseholder; where there is none, this gateway takes the lot up itself."""
        log = result_log(lot)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is not None and state.final:
            return "closed"
        leaseholder = state.leaseholder if state is not None else ""
        m = self._ctx.membership.find(leaseholder) if leaseholder else None
        if not leaseholder or leaseholder == self._ctx.node:
            return await self.end_here(lot)
        if m is None:
            return "lost"
        try:
            r = await self._ctx.rpc.call((m.host, m.port), "lots.end", EndRequest(lot=lot), EndResponse, secs(3))
            return r.state
        except (WireError, RemoteError) as e:
            self._ctx.logger.debug("owner_unheard", lot=lot, text=e)
            return "lost"
