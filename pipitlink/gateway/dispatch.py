"""Runs the items of the lots that this gateway owns."""

from datetime import timedelta

from twisted.internet import defer

from ..disk import decode_frames
from ..errors import DeadlineExceeded, LeaseNotHeld, PipitlinkError, ReplicatedLogError
from ..rendezvous import rank
from ..timers import ZERO, ms, secs, spawn, wall_ms
from ..wire.lots_pb2 import Ended, EndRequest, EndResponse, Item, LogRecord, Result, Started
from .lots import OpenLot, result_log
from .requests import RequestRecord

__all__ = ["Dispatch"]

TAKE_INTERVAL = ms(200)
FEED_INTERVAL = ms(50)
TAKE_AGAIN = ms(700)
ITEM_LIMIT = secs(120)
MAX_TRIES = 8
MAX_TAKING = 8


class Dispatch:
    """Mixin: owns lots by the lease of their result logs and runs their items in the room that is left.

    Offers `_owner`, `_lose` and `end_here`, and answers `lots.end`.
    Needs of the node: `_ctx`, `engines`, `current`, `keep`; of Lots: `open_lots`, `_lot_timers`, `_closed`, `_close`;
    of RequestTable: `asks`, `run`; of Picking: `candidates`, `lot_reserve`.
    Owns no attributes of the node, but all of an OpenLot except its `id` and `lot`.
    """

    def _open_dispatch(self):
        self._ctx.rpc.register_handler("lots.end", EndRequest, self._end_for)
        for span, do, what in ((TAKE_INTERVAL, self._take_lots, "take_lots"), (FEED_INTERVAL, self._feed, "feed")):
            self._lot_timers.append(
                self._ctx.timers.call_repeatedly(
                    span, do, self._ctx.error_reporter(what), idle_time=lambda: ZERO if self.open_lots else None
                )
            )

    def _owner(self, lot_id: str) -> str:
        gateways = self._ctx.membership.members("gateway", statuses=("alive",))
        gateways = [m for m in gateways if not self._ctx.cluster.zone_empty(m.zone)] or gateways
        return max(gateways, key=lambda m: rank(lot_id, m.node)).node

    def _take_lots(self):
        if not self.current():
            return
        if self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            self._hand_over()
        now = self._ctx.timers.now()
        taking = sum(o.taking for o in self.open_lots.values())
        for o in sorted(self.open_lots.values(), key=lambda o: o.lot.limit_ms):
            if o.leaseholder is not None and o.leaseholder.lost:
                self._lose(o)
            elif o.leaseholder is not None and (
                o.leaseholder.final or len(o.results) == len(o.lot.items) and not o.running
            ):
                self._ctx.run_in_background(self._finish_if_done(o), "finish")
            if o.leaseholder or o.taking or o.try_at > now or taking >= MAX_TAKING:
                continue
            if self._owner(o.id) == self._ctx.node:
                o.taking = True
                taking += 1
                spawn(self._own(o)).addErrback(lambda f: self._ctx.logger.failure("own_failed", f.value))

    async def _own(self, o: OpenLot):
        """Takes the lease, reads what is there, and lists as unknown what another owner had started."""
        try:
            h = await self.keep(result_log(o.id))
        except (PipitlinkError, DeadlineExceeded) as e:
            o.try_at = self._ctx.timers.now() + TAKE_AGAIN
            self._ctx.logger.debug("lot_not_taken", lot=o.id, text=e)
            return
        finally:
            o.taking = False
        o.results.clear()
        o.started.clear()
        for _, body, _ in decode_frames(bytes(h.data)):
            o.learn(LogRecord.FromString(body))
        if h.final:
            self._ctx.run_in_background(self._ctx.replicated_log.release([h]), "release")
            self._close(o.id)
            return
        o.leaseholder = h
        doubtful = [i for i in o.started if i not in o.results and not o.lot.items[i].repeatable]
        self._ctx.logger.info(
            "lot_owned", lot=o.id, epoch=h.epoch, items=len(o.lot.items), done=len(o.results), doubtful=len(doubtful)
        )
        o.waiting = [i for i in range(len(o.lot.items)) if i not in o.results and i not in doubtful]
        for i in doubtful:
            self._ctx.run_in_background(
                self._list(o, Result(item=i, outcome="unknown", code="owner_lost")), "list_doubtful"
            )
        await self._finish_if_done(o)

    def _hand_over(self):
        """In an emptied zone a gateway gives up its lots once nothing of theirs runs; others take them up."""
        for o in self.open_lots.values():
            if o.leaseholder is not None and not o.running and not o.leaseholder.lost:
                self._ctx.run_in_background(self._ctx.replicated_log.release([o.leaseholder]), "hand_over")
                self._lose(o)

    def _lose(self, o: OpenLot):
        for work in o.running.values():
            work.cancel()
        o.leaseholder, o.waiting, o.running = None, [], {}
        o.try_at = self._ctx.timers.now() + TAKE_AGAIN

    def _feed(self):
        """Starts items while there is room: by limit, then priority, and by turns among customers."""
        if not self.current() or self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            return
        now = self._ctx.timers.now()
        wall = wall_ms(self._ctx.timers.utc_now())
        owned = [
            o for o in self.open_lots.values() if o.leaseholder is not None and o.waiting and not o.leaseholder.final
        ]
        busy: dict[str, int] = {}
        for o in self.open_lots.values():
            busy[o.lot.customer] = busy.get(o.lot.customer, 0) + len(o.running)
        full: set[str] = set()
        room: dict[str, int] = {}
        while owned:
            o = min(
                owned, key=lambda o: (self._urgency(o, wall), -self._priority(o), busy[o.lot.customer], o.lot.limit_ms)
            )
            i = next((i for i in o.waiting if o.again_at.get(i, now) <= now and o.lot.items[i].model not in full), None)
            if i is None or not o.leaseholder.is_held():
                owned.remove(o)
                continue
            item = o.lot.items[i]
            late = o.lot.limit_ms <= wall
            if not late:
                if item.model not in room:
                    room[item.model] = self._room_for(item.model)
                if room[item.model] <= 0:
                    full.add(item.model)
                    continue
                room[item.model] -= 1
            o.waiting.remove(i)
            busy[o.lot.customer] += 1
            o.running[i] = work = spawn(self._run_item(o, i, item, late))
            work.addBoth(self._ran, o, i)
            if not o.waiting:
                owned.remove(o)

    def _urgency(self, o: OpenLot, wall: int) -> int:
        """Steps of time left: lots due within seconds go before those due within minutes, hours, days."""
        left = max(0, o.lot.limit_ms - wall)
        return next((n for n, span in enumerate((5_000, 30_000, 300_000, 3_600_000, 21_600_000)) if left < span), 5)

    def _priority(self, o: OpenLot) -> int:
        """The lot's own priority, and what the table adds for the model that it waits for first."""
        row = self._ctx.cluster.row(o.lot.items[o.waiting[0]].model, "") if o.waiting else None
        return o.lot.priority + (row.priority if row is not None else 0)

    def _room_for(self, model: str) -> int:
        """How many items may be started now, less those that have no back end yet."""
        free = sum(
            self.engines.room(e, self.lot_reserve(model, e))
            for e, _ in self.candidates(model)
            if self.engines.status(e) == "ready"
        )
        return free - sum(a.kind == "item" and a.model == model and a.engine is None for a in self.asks.values())

    def _ran(self, r, o: OpenLot, i: int):
        o.running.pop(i, None)
        if isinstance(getattr(r, "value", None), Exception) and not r.check(defer.CancelledError, ReplicatedLogError):
            self._ctx.logger.failure("item_failed", r.value, lot=o.id, item=i)
        if (
            o.leaseholder is not None
            and not o.leaseholder.lost
            and not o.leaseholder.final
            and i not in o.results
            and i not in o.waiting
        ):
            o.waiting.append(i)
            o.again_at[i] = self._ctx.timers.now() + TAKE_AGAIN

    async def _run_item(self, o: OpenLot, i: int, item: Item, late: bool):
        if late:
            await self._list(o, Result(item=i, outcome=self._proved(o, i, "not_run"), code="limit_passed"))
            return await self._finish_if_done(o)
        now = self._ctx.timers.now()
        left = timedelta(milliseconds=o.lot.limit_ms) - timedelta(milliseconds=wall_ms(self._ctx.timers.utc_now()))
        ask = RequestRecord(
            kind="item",
            model=item.model,
            prompt=item.prompt,
            prefix=item.prefix,
            repeatable=item.repeatable,
            max_tokens=item.max_tokens or 256,
            limit=now + min(ITEM_LIMIT, left),
            customer=o.lot.customer,
            mark=lambda: self._mark_started(o, i, item),
            still=lambda: self._check_owned(o),
        )
        work = spawn(self.run(ask))
        try:
            await work
        except defer.CancelledError:
            work.cancel()
            raise
        if ask.fault is None:
            r = Result(item=i, outcome="done", text="".join(ask.pieces), engine=ask.engine.name, run=ask.id)
        else:
            o.tries[i] = o.tries.get(i, 0) + (ask.outcome != "not_run")
            again = ask.outcome == "not_run" or (item.repeatable and ask.outcome == "unknown")
            if again and o.tries[i] < MAX_TRIES and ask.fault.code != "limit_passed":
                o.again_at[i] = self._ctx.timers.now() + max(ms(100), secs(ask.fault.retry_after) / 4)
                o.waiting.append(i)
                return
            outcome = "failed" if ask.fault.outcome == "failed" else ask.outcome
            r = Result(item=i, outcome=self._proved(o, i, outcome), code=ask.fault.code, run=ask.id)
        await self._list(o, r)
        await self._finish_if_done(o)

    def _proved(self, o: OpenLot, i: int, outcome: str) -> str:
        """`not_run` only where no try of this owner, nor one that an earlier owner need not have noted, may have
        run.
        """
        touched = o.tries.get(i, 0) or (o.lot.items[i].repeatable and o.leaseholder.epoch > 1)
        return "unknown" if outcome == "not_run" and touched else outcome

    async def _mark_started(self, o: OpenLot, i: int, item: Item):
        """An item that may not be repeated is durably started before its call; then the lease must still hold."""
        if not item.repeatable and i not in o.started:
            await o.leaseholder.append([LogRecord(started=Started(item=i)).SerializeToString()], reserved=True)
            o.started.add(i)
        self._check_owned(o)

    def _check_owned(self, o: OpenLot):
        if o.leaseholder is None or not o.leaseholder.is_held() or o.leaseholder.final:
            raise LeaseNotHeld(f"{o.id}: the lease ended before the item was sent")

    async def _list(self, o: OpenLot, r: Result):
        if r.item in o.results or o.leaseholder is None or o.leaseholder.final:
            return
        o.results[r.item] = r
        await o.leaseholder.append([LogRecord(result=r).SerializeToString()], reserved=True)

    async def _finish_if_done(self, o: OpenLot):
        h = o.leaseholder
        if (
            h is None
            or h.lost
            or not h.final
            and (len(o.results) < len(o.lot.items) or o.running.keys() - o.results or h.committed < len(h.data))
        ):
            return
        await self._end_log(h, "done")
        if o.leaseholder is not h:
            return
        self._ctx.logger.info("lot_done", lot=o.id)
        await self._let_go(o)

    async def _end_log(self, h, why: str):
        """The end is a mark of the leaseholder: if it does not get durable, the lot is open for the next
        one.
        """
        if h.final:
            await h.wait_durable()
        else:
            await h.append([LogRecord(ended=Ended(reason=why)).SerializeToString()], final=True, reserved=True)

    async def _let_go(self, o: OpenLot):
        h, o.leaseholder = o.leaseholder, None
        if h is not None:
            self._close(o.id)
            await self._ctx.timers.sleep(secs(1))
            await self._ctx.replicated_log.release([h])

    async def _end_for(self, node, ask: EndRequest):
        return EndResponse(state=await self.end_here(ask.lot))

    async def end_here(self, lot_id: str) -> str:
        """Ends a lot that this gateway owns: first for good in its log, then its running items."""
        o = self.open_lots.get(lot_id)
        if o is None:
            return "closed" if lot_id in self._closed else "unknown"
        if o.leaseholder is None:
            await self._own(o)
        if o.leaseholder is None:
            return "closed" if lot_id in self._closed else "not_owned"
        h = o.leaseholder
        try:
            await self._end_log(h, "ended")
        finally:
            if h.final:
                for work in list(o.running.values()):
                    work.cancel()
        self._ctx.logger.info("lot_ended", lot=lot_id)
        spawn(self._let_go(o)).addErrback(lambda f: None)
        return "ended"
