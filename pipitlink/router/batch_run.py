"""Runs the items of owned batches and writes their outputs."""

from heapq import heapify, heappop, heappush

from twisted.internet import defer

from ..errors import DeadlineExceeded, LeaseNotHeld, PipitlinkError, ReplicatedLogError, StaleEpoch
from ..timers import ms, secs, spawn, wall_ms
from ..wire.lots_pb2 import Ended, LogRecord, Output
from .batches import OpenBatch
from .items import ItemAnswer, ItemCall

__all__ = ["BatchRun"]

FEED_INTERVAL = ms(25)
FIRST_PAUSE = ms(50)
LONGEST_PAUSE = secs(1)
DUE_CLASS_MS = 2000
SKEW = ms(1500)
LINGER = ms(100)
LINGER_DUE_MS = 2000
HELD_INTERVAL = ms(100)
GONE_SPAN = secs(3)
DONE, ABANDONED = "done", "abandoned"


class BatchRun:
    """Mixin: runs the items of the batches that this gateway owns, and lists what became of them.

    Offers `_wake_feed`, `_finish_if_listed` and `_await_batch_durable`.
    Needs of the node: `_ctx`, `engines`; of Batches: `batches`, `_closing_batches`, `_batch_routes`; of Choosing:
    `batch_room`; of Items: `run_item`.
    Owns `_feed_wake` and `_batch_turn`.
    """

    def _open_batch_run(self):
        self._feed_wake: defer.Deferred | None = None
        self._batch_turn = 0
        self._ctx.run_in_background(self._feed_batches(), "schedule_batches")

    def _wake_feed(self):
        d, self._feed_wake = self._feed_wake, None
        if d is not None and not d.called:
            d.callback(None)

    async def _feed_batches(self):
        while not self._ctx.timers.stopped:
            try:
                waits = self._feed_once()
            except Exception as e:
                self._ctx.logger.failure("schedule_batches", e)
                waits = True
            d = self._feed_wake = defer.Deferred()
            if waits:
                self.engines.wait_room(d)
                await self._ctx.timers.wait_at_most(d, FEED_INTERVAL)
            else:
                await self._ctx.timers.wait_at_most(d, secs(1) if self.batches else secs(60))

    def _feed_once(self) -> bool:
        """Starts items while there is room: what is due first goes first, by turns among batches due alike."""
        if self._closing_batches or not self._ctx.cluster.usable():
            return bool(self.batches)
        now = self._ctx.timers.now()
        wall = wall_ms(self._ctx.timers.utc_now())
        routes = self._batch_routes()
        room: dict[str, int] = {}
        ready, waits = [], False
        for o in list(self.batches.values()):
            if not (o.taken() and o.current() and len(o.done) < len(o.batch.items)):
                continue
            route = routes.get(o.batch.route)
            self._give_up_dead(o, route, now, wall)
            if route is None or not o.waiting:
                continue
            waits = True
            if route.name not in room:
                room[route.name] = self.batch_room(route)
            if room[route.name] > 0:
                ready.append((self._batch_urgency(o, route, wall), o.id, o, route))
        heapify(ready)
        while ready:
            _, _, o, route = heappop(ready)
            i = next((i for i in o.waiting if o.again_at.get(i, now) <= now), None) if room[route.name] > 0 else None
            if i is None:
                continue
            room[route.name] -= 1
            o.waiting.remove(i)
            self._batch_turn += 1
            o.turn = self._batch_turn
            self._start_batch_item(o, i, route)
            heappush(ready, (self._batch_urgency(o, route, wall), o.id, o, route))
        return waits

    def _batch_urgency(self, o: OpenBatch, route, wall: int):
        """What can still be in time goes before what is late already."""
        due = o.batch.taken_ms + route.due_ms
        late = due < wall
        return late, 0 if late else due // DUE_CLASS_MS, o.turn, o.batch.taken_ms

    def _give_up_dead(self, o: OpenBatch, route, now, wall: int):
        """Items are abandoned once their route is gone for good, or their retention has passed."""
        if route is not None:
            o.route_gone = None
            dead = route.retain_ms and wall > o.batch.taken_ms + route.retain_ms + SKEW / ms(1)
        else:
            o.route_gone = o.route_gone or now
            dead = now - o.route_gone >= GONE_SPAN
        if dead:
            for i in [i for i in range(len(o.batch.items)) if i not in o.done]:
                self._list_output(o, i, ABANDONED)

    def _start_batch_item(self, o: OpenBatch, i: int, route):
        item = o.batch.items[i]
        call = o.calls.get(i)
        if call is None:
            call = o.calls[i] = ItemCall(
                id=item.id,
                route=route,
                path=item.path,
                headers=[(h.name, h.value) for h in item.headers],
                body=item.body,
                tokens=item.tokens,
                still=lambda: self._check_batch_item(o, i),
            )
        call.route = route
        work = spawn(self._try_batch_item(o, i, call))
        o.running[i] = work
        work.addBoth(self._batch_item_ended, o, i, work)

    def _check_batch_item(self, o: OpenBatch, i: int):
        if not o.current() or i in o.done or self.batches.get(o.id) is not o:
            raise LeaseNotHeld(f"{o.id}: item {i} must not be sent any more")

    async def _try_batch_item(self, o: OpenBatch, i: int, call: ItemCall):
        before = call.last_event
        try:
            answer = await self.run_item(call)
        except PipitlinkError as e:
            self._ctx.logger.debug("item_fault", batch=o.id, item=call.id, text=e)
            answer = ItemAnswer()
        if i in o.done or not o.current():
            return
        if answer.complete:
            self._list_output(o, i, DONE, b"\n".join(call.texts))
            return
        if answer.status == 422:
            self._list_output(o, i, ABANDONED)
            return
        if answer.status == 500:
            o.failures[i] = o.failures.get(i, 0) + 1
            if o.failures[i] >= max(1, call.route.max_attempts):
                self._list_output(o, i, ABANDONED)
                return
        pause = o.pauses.get(i, FIRST_PAUSE) if call.last_event == before else FIRST_PAUSE
        o.pauses[i] = min(LONGEST_PAUSE, pause * 2)
        o.again_at[i] = self._ctx.timers.now() + max(pause, min(answer.wait, LONGEST_PAUSE))

    def _batch_item_ended(self, r, o: OpenBatch, i: int, work):
        if o.running.get(i) is work:
            del o.running[i]
        if hasattr(r, "value") and not r.check(defer.CancelledError):
            self._ctx.logger.failure("item_failed", r.value, batch=o.id, item=i)
            o.again_at[i] = self._ctx.timers.now() + LONGEST_PAUSE
        if i not in o.done and i not in o.waiting and i not in o.running and self.batches.get(o.id) is o:
            o.waiting.append(i)
        self._wake_feed()

    def _list_output(self, o: OpenBatch, i: int, state: str, text: bytes = b""):
        """The first word on an item stands; it goes to the log with all that has come by then."""
        if i in o.done:
            return
        o.done.add(i)
        o.tokens_left -= o.batch.items[i].tokens
        if i in o.waiting:
            o.waiting.remove(i)
        o.calls.pop(i, None)
        o.queue.append(Output(item=i, state=state, text=text))
        if state == ABANDONED and i in o.running:
            o.running[i].cancel()
        self._flush_outputs(o)

    def _finish_if_listed(self, o: OpenBatch):
        if len(o.done) == len(o.batch.items):
            self._flush_outputs(o)

    def _flush_outputs(self, o: OpenBatch):
        if not o.flushing:
            o.flushing = True
            self._ctx.run_in_background(self._flush_queue(o), "flush_batch")

    def _may_linger(self, o: OpenBatch) -> bool:
        """Outputs wait a little for others to share their write, unless nothing more comes soon or time is short."""
        route = self._batch_routes().get(o.batch.route)
        left = o.batch.taken_ms + route.due_ms - wall_ms(self._ctx.timers.utc_now()) if route is not None else 0
        return bool(o.running) and left > LINGER_DUE_MS and not self._closing_batches

    async def _flush_queue(self, o: OpenBatch):
        try:
            if self._may_linger(o):
                await self._ctx.timers.sleep(LINGER)
            while not o.leaseholder.lost and not o.leaseholder.final and (o.queue or len(o.done) == len(o.batch.items)):
                if not o.leaseholder.is_held():
                    await self._ctx.timers.sleep(HELD_INTERVAL)
                    continue
                group, o.queue = o.queue, []
                records = [LogRecord(output=x).SerializeToString() for x in group]
                final = len(o.done) == len(o.batch.items)
                if final:
                    records.append(LogRecord(ended=Ended(reason="done")).SerializeToString())
                try:
                    await o.leaseholder.append(records, final=final, reserved=True)
                except DeadlineExceeded:
                    await self._await_batch_durable(o)
        except ReplicatedLogError as e:
            if not isinstance(e, (StaleEpoch, LeaseNotHeld)):
                self._ctx.logger.failure("outputs_unlisted", e, batch=o.id)
            if not o.leaseholder.lost and not o.leaseholder.final:
                o.leaseholder.invalidate("outputs could not be listed")
        finally:
            o.flushing = False

    async def _await_batch_durable(self, o: OpenBatch):
        while not o.leaseholder.lost:
            try:
                return await o.leaseholder.wait_durable()
            except DeadlineExceeded:
                continue
