"""Reads and ends batches at any gateway."""

from contextlib import contextmanager
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..cache.chunks import CHUNK
from ..errors import ApiError, NotFound, PipitlinkError, RemoteError, ServiceUnavailable, WireError
from ..timers import ZERO, ms, secs
from ..wire.lots_pb2 import Batch, Ended, EndRequest, EndResponse, LogRecord
from .batch_intake import refusal
from .batches import HEAD_ALONE, Listing, batch_log, good_id

__all__ = ["BatchRead"]

KEEP_SPAN = secs(30)
FRESH = ms(400)
PROVED_SPAN = secs(1)
READ_LIMIT = ms(1200)
LONGEST_WAIT = secs(20)
BATCH_TAG = LogRecord(batch=Batch()).SerializeToString()[:1]
END_LIMIT = secs(8)
END_INTERVAL = ms(150)
ASK_LIMIT = secs(3)


@attrs.define(eq=False)
class _Reader:
    """A batch that another gateway owns, or nobody any more, read in order and kept while callers ask for it."""

    tail: object
    used: timedelta
    listing: Listing = attrs.field(factory=Listing)
    batch_span: tuple[int, int] | None = None
    turn: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)
    users: int = 0
    closed: bool = False

    def close(self):
        self.closed = True
        self.tail.close()

    @contextmanager
    def in_use(self):
        """Lengths are polled only while somebody waits for more."""
        self.users += 1
        if not self.closed:
            self.tail.resume()
        try:
            yield
        finally:
            self.users -= 1
            if not self.users:
                self.tail.pause()

    def over(self) -> bool:
        return bool(self.listing.ended) and self.listing.head is not None


class BatchRead:
    """Mixin: tells any batch's outputs and items at any gateway, and ends batches through their owners.

    Offers `read_batch`, `read_item`, `end_batch`, `_batch_of` and `_listing_of`, and answers `batches.end`.
    Needs of the node: `_ctx`, `dialect`; of Batches: `batches`, `_closing_batches`, `_hold_batch`, `_in_batch_turn`.
    Owns `_batch_readers`.
    """

    def _open_batch_reads(self):
        self._batch_readers: dict[str, _Reader] = {}
        self._ctx.rpc.register_handler("batches.end", EndRequest, self._end_batch_for)
        self._ctx.timers.call_repeatedly(secs(5), self._drop_batch_readers, self._ctx.error_reporter("follow_batches"))

    def _drop_batch_readers(self):
        now = self._ctx.timers.now()
        for b, r in list(self._batch_readers.items()):
            if now - r.used > KEEP_SPAN:
                self._drop_batch_reader(b, r)

    def _drop_batch_reader(self, batch_id: str, r: _Reader):
        r.close()
        if self._batch_readers.get(batch_id) is r:
            del self._batch_readers[batch_id]

    def _owned_listing(self, batch_id: str):
        o = self.batches.get(batch_id)
        return o if o is not None and o.taken() and o.leaseholder.is_held() else None

    async def _listing_of(self, batch_id: str) -> Listing:
        """The batch as it surely is by now; an error where it is not known, or nothing is sure."""
        o = self._owned_listing(batch_id)
        return o.listing if o is not None else (await self._read_on(batch_id)).listing

    async def _batch_of(self, batch_id: str) -> Batch:
        """The whole batch, with its items' bodies."""
        o = self._owned_listing(batch_id)
        if o is not None:
            return o.listing.batch
        r = await self._read_on(batch_id)
        if r.listing.batch is None:
            try:
                await self._ctx.timers.with_timeout(READ_LIMIT, self._read_bodies(r))
            except PipitlinkError:
                if r.over():
                    self._drop_batch_reader(batch_id, r)
                raise
        return r.listing.batch

    async def _read_bodies(self, r: _Reader):
        async with r.turn:
            if r.listing.batch is None:
                r.listing.batch = LogRecord.FromString(await r.tail.read_record(*r.batch_span)).batch

    async def _read_on(self, batch_id: str) -> _Reader:
        if not good_id(batch_id):
            raise NotFound("there is no such batch", code="no_such_batch", field="id")
        r = self._batch_readers.get(batch_id)
        if r is None:
            r = self._batch_readers[batch_id] = _Reader(
                self._ctx.cache.tail(batch_log(batch_id), secs(1)), self._ctx.timers.now()
            )
        r.used = self._ctx.timers.now()
        if not r.over():
            try:
                with r.in_use():
                    await self._ctx.timers.with_timeout(READ_LIMIT, self._read_batch_on(batch_id, r))
            except ApiError:
                if r.listing.head is None:
                    self._drop_batch_reader(batch_id, r)
                raise
        return r

    async def _read_batch_on(self, batch_id: str, r: _Reader):
        seen = r.tail.lengths
        now = self._ctx.timers.now()
        if seen.confirmed_at is None or now - seen.confirmed_at > FRESH:
            await self._ctx.cache.poller.confirm_durable([r.tail.path])
        if seen.confirmed_at is None or self._ctx.timers.now() - seen.confirmed_at > PROVED_SPAN:
            raise ServiceUnavailable("the store cannot be read now", code="no_majority", outcome="unknown")
        if not seen.durable:
            await self._say_batch_absent(batch_id, seen)
        async with r.turn:
            await self._catch_up_reader(r, seen.durable)
        if r.listing.head is None:
            alone = r.listing.announced is not None and r.tail.at_record_boundary()
            raise ServiceUnavailable(
                "the batch cannot be read now", code=HEAD_ALONE if alone else "unread", outcome="unknown"
            )
        if r.over():
            r.close()

    async def _say_batch_absent(self, batch_id: str, seen):
        """404 only where a majority of the storage nodes shows not one byte of it, not even such as may yet be
        durable.
        """
        if seen.final:
            raise NotFound("the batch was removed after its retention", code="batch_removed", status=410)
        state = (await self._ctx.replicated_log.states([batch_log(batch_id)])).get(batch_log(batch_id))
        if state is None or state.tail_epoch:
            raise ServiceUnavailable("the store is not sure of this batch now", code="not_sure", outcome="unknown")
        raise NotFound("there is no such batch", code="no_such_batch", field="id")

    async def _catch_up_reader(self, r: _Reader, goal: int):
        seen = r.tail.lengths
        while not r.closed and (r.tail.position < goal or seen.cached > r.tail.position):
            before = r.tail.position
            if r.listing.head is None:
                await self._read_head(r)
            else:
                self._learn_records(r, await r.tail.read_records())
            if r.tail.position == before:
                await r.tail.wait_for_growth()

    def _learn_records(self, r: _Reader, records):
        for _, body in records:
            r.listing.learn(LogRecord.FromString(body))

    async def _read_head(self, r: _Reader):
        """Reads as little as it takes to know the batch's items, and passes over their bodies."""
        most = r.tail.missing_bytes() if r.listing.announced is not None else max(CHUNK, r.tail.missing_bytes())
        self._learn_records(r, await r.tail.read_records(most))
        if r.listing.head is None and r.listing.announced is not None:
            r.batch_span = r.tail.skip_record(BATCH_TAG)
            if r.batch_span is not None:
                r.listing.pass_over()

    async def read_batch(self, lot_id: str, start: int, wait: timedelta):
        """Outputs from a position on; held until there is one, the batch is whole, or `wait` has passed."""
        try:
            until = self._ctx.timers.now() + min(max(wait, ZERO), LONGEST_WAIT)
            listing = None
            while True:
                try:
                    listing = await self._listing_of(lot_id)
                except PipitlinkError:
                    if listing is None:
                        raise
                    break
                left = until - self._ctx.timers.now()
                if len(listing.outputs) > start or listing.whole() or left <= ZERO or self._closing_batches:
                    break
                await self._listing_moves(lot_id, left)
            body = self.dialect.format_outputs(listing.head, listing.outputs, start)
            return 200, {"Content-Type": "application/json"}, body
        except ApiError as e:
            return refusal(e, self.dialect)
        except PipitlinkError as e:
            return refusal(ServiceUnavailable(f"the batch cannot be read now: {e}", code="unread"), self.dialect)

    async def _listing_moves(self, batch_id: str, left: timedelta):
        o = self._owned_listing(batch_id)
        if o is not None:
            d = defer.Deferred()
            o.waiters.append(d)
            try:
                await self._ctx.timers.wait_at_most(d, min(left, secs(1)))
            finally:
                if d in o.waiters:
                    o.waiters.remove(d)
            return
        r = self._batch_readers.get(batch_id)
        if r is None or r.closed:
            return
        until = self._ctx.timers.now() + left
        with r.in_use():
            while r.tail.readable_end() <= r.tail.position and self._ctx.timers.now() < until and not r.closed:
                await self._ctx.cache.poller.wait_for_growth(min(until - self._ctx.timers.now(), FRESH))

    async def read_item(self, lot_id: str, item_id: str):
        try:
            batch = await self._batch_of(lot_id)
            item = next((i for i in batch.items if i.id == item_id), None)
            if item is None:
                raise NotFound("there is no such item", code="no_such_item", field="id")
            return 200, {"Content-Type": "application/octet-stream"}, item.body
        except ApiError as e:
            return refusal(e, self.dialect)
        except PipitlinkError as e:
            return refusal(ServiceUnavailable(f"the batch cannot be read now: {e}", code="unread"), self.dialect)

    async def end_batch(self, lot_id: str):
        try:
            if not good_id(lot_id):
                raise NotFound("there is no such batch", code="no_such_batch", field="id")
            until = self._ctx.timers.now() + END_LIMIT
            while True:
                state = await self._end_batch_once(lot_id)
                if state in ("ended", "closed"):
                    return 200, {"Content-Type": "application/json"}, self.dialect.format_cancelled(lot_id)
                if self._ctx.timers.now() >= until:
                    raise ServiceUnavailable("the batch's owner could not be asked", code="no_owner", outcome="unknown")
                await self._ctx.timers.sleep(END_INTERVAL)
        except ApiError as e:
            return refusal(e, self.dialect)

    async def _end_batch_once(self, batch_id: str) -> str:
        if self._owned_listing(batch_id) is not None:
            return await self._end_batch_here(batch_id)
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is None:
            return "unsure"
        if state.final:
            return "closed"
        if not state.tail_epoch and not state.leaseholder:
            raise NotFound("there is no such batch", code="no_such_batch", field="id")
        if state.leaseholder in ("", self._ctx.node):
            return await self._end_batch_here(batch_id)
        m = self._ctx.membership.find(state.leaseholder)
        if m is None:
            return "unsure"
        try:
            r = await self._ctx.rpc.call(
                (m.host, m.port), "batches.end", EndRequest(lot=batch_id), EndResponse, ASK_LIMIT
            )
            return r.state
        except (WireError, RemoteError) as e:
            self._ctx.logger.debug("owner_unheard", batch=batch_id, text=e)
            return "unsure"

    async def _end_batch_for(self, node, ask: EndRequest) -> EndResponse:
        return EndResponse(state=await self._end_batch_here(ask.lot) if good_id(ask.lot) else "unknown")

    async def _end_batch_here(self, batch_id: str) -> str:
        try:
            return await self._in_batch_turn(batch_id, lambda: self._end_batch_held(batch_id))
        except PipitlinkError as e:
            self._ctx.logger.debug("batch_not_ended", batch=batch_id, text=e)
            return "unsure"

    async def _end_batch_held(self, batch_id: str) -> str:
        """Ended for good in its log first; only then, or where that is under way, is it told."""
        o = await self._hold_batch(batch_id)
        if o.batch is None:
            final = o.leaseholder.final
            await self._ctx.replicated_log.release([o.leaseholder])
            return "closed" if final else "unsure"
        if not o.taken():
            return "unsure"
        if o.leaseholder.final:
            await o.leaseholder.wait_durable()
            return "closed"
        work = o.leaseholder.append(
            [LogRecord(ended=Ended(reason="ended")).SerializeToString()], final=True, reserved=True
        )
        try:
            await work
        finally:
            if o.leaseholder.final:
                for run in list(o.running.values()):
                    run.cancel()
        self._ctx.logger.info("batch_ended", batch=batch_id)
        return "ended"
