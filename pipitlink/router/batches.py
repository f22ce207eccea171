"""Ownership of batches by the leases of their logs."""

import re
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..disk import decode_frames
from ..errors import PipitlinkError
from ..rendezvous import rank
from ..timers import ZERO, RepeatingCall, ms, secs
from ..wire.lots_pb2 import Batch, BatchHead, BatchItem, LogRecord, Output

__all__ = ["Batches", "HEAD_ALONE", "Listing", "OpenBatch", "batch_log", "good_id", "head_of"]

PREFIX = "batch/"
HEAD_ALONE = "head_alone"
LIST_INTERVAL = secs(1)
LIST_SELDOM = secs(4)
LIST_RESTLESS = secs(2)
LISTING_GATEWAYS = 16
RESTLESS = secs(10)
NEXT_OWNER = secs(1.5)
RELEASE_AFTER = secs(1)
DRAIN = secs(3)
MAX_ADOPTING = 16
_ID = re.compile(r"[A-Za-z0-9_-]{1,64}\Z")


def batch_log(batch_id: str) -> str:
    """Returns the name of a batch's log."""
    return PREFIX + batch_id


def good_id(batch_id: str) -> bool:
    """Returns whether this can be a batch's id: 1 to 64 letters, digits, `-` and `_`."""
    return bool(_ID.match(batch_id))


def head_of(batch: Batch) -> BatchHead:
    """Returns a batch's head: all of it but the items' paths, headers and bodies."""
    return BatchHead(
        id=batch.id,
        host=batch.host,
        path=batch.path,
        route=batch.route,
        taken_ms=batch.taken_ms,
        items=[i.id for i in batch.items],
        tokens=[i.tokens for i in batch.items],
    )


def _without_bodies(head: BatchHead) -> Batch:
    return Batch(
        id=head.id,
        host=head.host,
        path=head.path,
        route=head.route,
        taken_ms=head.taken_ms,
        items=[BatchItem(id=i, tokens=n) for i, n in zip(head.items, head.tokens, strict=True)],
    )


class Listing:
    """A batch as its log tells it: its head, the whole of it, then outputs in the order of their positions.

    `head` is set once the batch is durable, and knows at least the ids and tokens of its items; `batch` knows all.
    """

    def __init__(self):
        self.head: Batch | None = None
        self.batch: Batch | None = None
        self.announced: Batch | None = None
        self.outputs: list[Output] = []
        self.listed: set[int] = set()
        self.ended = ""

    def learn(self, record: LogRecord):
        what = record.WhichOneof("of")
        if what == "head" and self.head is None:
            self.announced = _without_bodies(record.head)
        elif what == "batch" and self.head is None:
            self.head, self.batch, self.announced = record.batch, record.batch, None
        elif what == "output" and not self.ended and record.output.item not in self.listed:
            self.listed.add(record.output.item)
            self.outputs.append(record.output)
        elif what == "ended":
            self.ended = self.ended or record.ended.reason

    def pass_over(self):
        """The batch stands in its log right after what was announced of it, and is not read."""
        self.head, self.announced = self.announced, None

    def whole(self) -> bool:
        return bool(self.ended) or self.head is not None and len(self.outputs) == len(self.head.items)


@attrs.define(eq=False)
class OpenBatch:
    """A batch that this gateway owns: what is durable of it, and what each item waits for."""

    id: str
    leaseholder: object
    batch: Batch | None = None
    listing: Listing = attrs.field(factory=Listing)
    position: int = 0
    tokens_left: int = 0
    done: set[int] = attrs.field(factory=set)
    waiting: list[int] = attrs.field(factory=list)
    running: dict[int, object] = attrs.field(factory=dict)
    calls: dict[int, object] = attrs.field(factory=dict)
    again_at: dict[int, timedelta] = attrs.field(factory=dict)
    pauses: dict[int, timedelta] = attrs.field(factory=dict)
    failures: dict[int, int] = attrs.field(factory=dict)
    queue: list[Output] = attrs.field(factory=list)
    flushing: bool = False
    closing: bool = False
    turn: int = 0
    route_gone: timedelta | None = None
    waiters: list[defer.Deferred] = attrs.field(factory=list)

    def learn(self):
        """Takes in what has become durable."""
        data = bytes(self.leaseholder.data[self.position : self.leaseholder.committed])
        at = 0
        for _, body, end in decode_frames(data):
            self.listing.learn(LogRecord.FromString(body))
            at = end
        self.position += at
        if at or self.leaseholder.lost:
            waiters, self.waiters = self.waiters, []
            for d in waiters:
                d.called or d.callback(None)

    def taken(self) -> bool:
        return self.listing.batch is not None

    def current(self) -> bool:
        return self.leaseholder.is_held() and not self.leaseholder.final

    def idle(self) -> bool:
        return self.taken() and not (self.running or self.queue or self.flushing)

    def prepare(self):
        self.done = set(self.listing.listed)
        self.waiting = [i for i in range(len(self.batch.items)) if i not in self.done]
        self.tokens_left = sum(self.batch.items[i].tokens for i in self.waiting)


class Batches:
    """Mixin: one log for each batch, whose leaseholder owns it; what nobody owns is taken up again.

    Opens the other batch mixins. Offers `batches`, `batch_metrics`, `_hold_batch`, `_in_batch_turn`, `_adopt_batch`,
    `_lose_batch`, `_batch_routes`, `_list_batches` and `_end_batches`.
    Needs of the node: `_ctx`; of BatchRun: `_wake_feed`, `_finish_if_listed`; of Quota: `_listed_lots`, `_told_done`,
    `_quota_told`, `_quota_unknown`, `_quota_moved_at`.
    Owns `batches`, `_closing_batches`, `_batch_turns`, `_adopting_batches`, `_orphan_batches` and `_taking_up_batches`.
    """

    _list_timer: RepeatingCall | None = None

    def _open_batches(self):
        self.batches: dict[str, OpenBatch] = {}
        self._batch_turns: dict[str, defer.DeferredLock] = {}
        self._adopting_batches = defer.DeferredSemaphore(MAX_ADOPTING)
        self._orphan_batches: dict[str, timedelta] = {}
        self._taking_up_batches: set[str] = set()
        self._closing_batches = False
        self._open_quota()
        self._open_batch_intake()
        self._open_batch_run()
        self._open_batch_reads()
        self._list_timer = self._ctx.timers.call_repeatedly(
            LIST_INTERVAL, self._list_batches, self._ctx.error_reporter("list_batches"), idle_time=self._list_due
        )

    async def _end_batches(self):
        """Takes nothing new, lets what runs end for a short while, and hands the leases over."""
        self._closing_batches = True
        until = self._ctx.timers.now() + DRAIN
        while self.batches and self._ctx.timers.now() < until:
            idle = [o.leaseholder for o in self.batches.values() if o.idle()]
            self._ctx.run_in_background(self._ctx.replicated_log.release(idle), "hand_over")
            await self._ctx.timers.sleep(ms(25))
        await self._ctx.replicated_log.release([o.leaseholder for o in list(self.batches.values())])

    def batch_metrics(self) -> dict:
        open_ = [o for o in self.batches.values() if not o.leaseholder.final]
        return {
            "batches_owned": ("Batches this gateway owns", len(open_)),
            "batch_items_waiting": ("Items that wait for an engine here", sum(len(o.waiting) for o in open_)),
            "batch_items_running": ("Items on engines from here", sum(len(o.running) for o in open_)),
        }

    def _batch_routes(self) -> dict:
        return self._ctx.cluster.cluster_state.routes.routes

    async def _in_batch_turn(self, batch_id: str, do):
        """Work on one batch's lease, one after another."""
        lock = self._batch_turns.setdefault(batch_id, defer.DeferredLock())
        try:
            async with lock:
                return await do()
        finally:
            if not lock.locked and not lock.waiting and self._batch_turns.get(batch_id) is lock:
                del self._batch_turns[batch_id]

    async def _hold_batch(self, batch_id: str, gone: str | None = None) -> OpenBatch:
        """The batch with its lease held here: as it was, or taken anew; without a `batch` where its log is empty."""
        o = self.batches.get(batch_id)
        if o is not None and not o.leaseholder.lost:
            return o
        h = await self._ctx.replicated_log.acquire(batch_log(batch_id), gone)
        o = OpenBatch(batch_id, h)
        o.learn()
        o.batch = o.listing.batch
        if o.batch is not None:
            o.prepare()
            self._adopt_batch(o)
            self._ctx.logger.info(
                "batch_adopted",
                batch=batch_id,
                epoch=h.epoch,
                items=len(o.batch.items),
                listed=len(o.done),
                final=h.final,
            )
            if h.final:
                self._batch_moved(o)
            else:
                self._finish_if_listed(o)
        return o

    def _adopt_batch(self, o: OpenBatch):
        self.batches[o.id] = o
        self._ctx.cache.start_log_writer(o.leaseholder.log, o.leaseholder)
        o.leaseholder.watch(lambda h: self._batch_moved(o))
        self._wake_feed()

    def _batch_moved(self, o: OpenBatch):
        before = o.taken()
        o.learn()
        if o.leaseholder.lost:
            self._lose_batch(o)
        elif o.leaseholder.final and o.listing.ended and not o.closing:
            o.closing = True
            self._ctx.run_in_background(self._close_batch(o), "close_batch")
        elif not before:
            self._wake_feed()

    def _lose_batch(self, o: OpenBatch):
        if self.batches.get(o.id) is o:
            del self.batches[o.id]
        o.waiting.clear()
        for work in list(o.running.values()):
            work.cancel()

    async def _close_batch(self, o: OpenBatch):
        """The third replica gets a short while to follow before the lease is given back."""
        self._told_done(o.id, o.batch.route)
        self._ctx.logger.info("batch_closed", batch=o.id, why=o.listing.ended, listed=len(o.listing.outputs))
        await self._ctx.timers.sleep(RELEASE_AFTER)
        await self._ctx.replicated_log.release([o.leaseholder])

    def _list_soon(self):
        if self._list_timer is not None:
            self._list_timer.wake()

    def _list_due(self) -> timedelta:
        """Seldom where no gateway tells of open batches and none has come or gone of late.

        Among many gateways each lists less often, since all of them look: more often while one has come or gone.
        """
        quiet = not (self.batches or self._quota_told or self._quota_unknown or self._orphan_batches)
        settled = self._ctx.timers.now() - self._quota_moved_at > RESTLESS
        if quiet and settled:
            return LIST_SELDOM
        many = len(self._quota_gateways) / LISTING_GATEWAYS
        return max(ZERO, min(LIST_SELDOM if settled else LIST_RESTLESS, LIST_INTERVAL * many))

    async def _list_batches(self):
        started = self._ctx.timers.now()
        found, sure = await self._ctx.replicated_log.list_open(PREFIX)
        self._listed_lots({log.removeprefix(PREFIX) for log in found}, started, sure)
        now = self._ctx.timers.now()
        me = self._ctx.node
        owned = set(self.batches) | self._taking_up_batches
        free = {
            log.removeprefix(PREFIX)
            for log, s in found.items()
            if s.leaseholder in ("", me) or self._ctx.membership.status(s.leaseholder) == "gone"
        } - owned
        self._orphan_batches = {b: self._orphan_batches.get(b, now) for b in free}
        if self._closing_batches or not self._ctx.cluster.usable():
            return
        gateways = [m.node for m in self._ctx.membership.members("gateway", statuses=("alive",))]
        for b in sorted(free):
            place = sorted(gateways, key=lambda g: rank(b, g), reverse=True).index(me)
            if now - self._orphan_batches[b] >= place * NEXT_OWNER:
                self._orphan_batches[b] = now
                self._ctx.run_in_background(self._take_up_batch(b), "adopt_batch")

    async def _take_up_batch(self, batch_id: str):
        self._taking_up_batches.add(batch_id)
        try:
            async with self._adopting_batches:
                await self._in_batch_turn(batch_id, lambda: self._take_up_batch_now(batch_id))
        finally:
            self._taking_up_batches.discard(batch_id)

    async def _take_up_batch_now(self, batch_id: str):
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is not None and state.final:
            return
        if (
            state is not None
            and state.leaseholder not in ("", self._ctx.node)
            and self._ctx.membership.status(state.leaseholder) != "gone"
        ):
            return
        try:
            o = await self._hold_batch(batch_id, state.leaseholder if state is not None else None)
        except PipitlinkError as e:
            self._ctx.logger.debug("batch_not_taken_up", batch=batch_id, text=e)
            return
        if o.batch is None:
            await self._ctx.replicated_log.release([o.leaseholder])
