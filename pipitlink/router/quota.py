"""Admission of batches by the tokens that wait on a route, counted over all gateways."""

from datetime import timedelta

import attrs

from ..errors import ApiError, PipitlinkError, RemoteError, ServiceUnavailable, WireError
from ..rendezvous import rank
from ..timers import SingleFlight, ms, secs
from ..wire.membership_pb2 import Loads, QuotaRequest, QuotaResponse, WaitingLot

__all__ = ["Quota"]

SLEPT_SPAN = secs(1.5)
GRANT_SPAN = secs(5)
LISTED_LATE = secs(1)
DONE_TOLD_SPAN = secs(3)
UNREAD_SPAN = secs(10)
KNOWN_SPAN = secs(60)
ASK_LIMIT = ms(400)
WAIT_STEP = ms(50)
COME_BACK = 0.2


@attrs.define
class _Told:
    """The tokens of a batch that are not finished, as its owner last told; without a gateway where nobody does now."""

    route: str
    tokens: int
    gateway: str
    at: timedelta


@attrs.define
class _Grant:
    route: str
    tokens: int
    until: timedelta


class Quota:
    """Mixin: the waiting tokens of a route are counted over all gateways by one of them, its steward.

    Owners tell what waits with their loads, so every gateway has the count; grants not told yet are the steward's own.

    Offers `_await_quota`, `_drop_grant`, `_told_done`, `_listed_lots` and `waiting_tokens`, answers `quota.take`, and
    lets Batches read `_quota_told`, `_quota_unknown` and `_quota_moved_at`.
    Needs of the node: `_ctx`, `engines`; of Batches: `batches`, `_batch_routes`, `_list_batches`; of BatchRead:
    `_listing_of`.
    Owns all attributes that begin with `_quota_`, `_listing_lots` and `_lots_listed_at`.
    """

    def _open_quota(self):
        self._quota_told: dict[str, _Told] = {}
        self._quota_grants: dict[str, _Grant] = {}
        self._quota_mine: dict[str, tuple[str, int]] = {}
        self._quota_done: dict[str, tuple[str, timedelta]] = {}
        self._quota_unknown: dict[str, timedelta] = {}
        self._quota_counting: set[str] = set()
        self._quota_gateways: frozenset = frozenset()
        self._quota_last: tuple = (frozenset(), {})
        self._quota_moved_at = self._quota_looked_at = self._ctx.timers.now()
        self._lots_listed_at: timedelta | None = None
        self._listing_lots = SingleFlight()
        self._ctx.rpc.register_handler("quota.take", QuotaRequest, self._quota_for)
        self.engines.carry(self._fill_lots, self._take_lots_told)

    def _quota_own(self) -> list[WaitingLot]:
        now = self._ctx.timers.now()
        out = {b: WaitingLot(lot=b, route=route, tokens=n) for b, (route, n) in self._quota_mine.items()}
        for b, (route, until) in list(self._quota_done.items()):
            if until <= now:
                del self._quota_done[b]
            else:
                out[b] = WaitingLot(lot=b, route=route)
        for b, o in self.batches.items():
            if not o.leaseholder.lost:
                out[b] = WaitingLot(lot=b, route=o.batch.route, tokens=0 if o.leaseholder.final else o.tokens_left)
        return list(out.values())

    def _told_done(self, batch_id: str, route: str):
        self._quota_done[batch_id] = route, self._ctx.timers.now() + DONE_TOLD_SPAN

    def _fill_lots(self, what: Loads) -> bool:
        """Says whether anything of it is news: also to gateways that were not there when it was told last."""
        self._look_at_gateways()
        own = self._quota_own()
        what.lots.extend(own)
        news = self._quota_gateways, {w.lot: w.tokens for w in own}
        before, self._quota_last = self._quota_last, news
        return bool(own or before[1]) and news != before

    def _take_lots_told(self, what: Loads):
        self._quota_learn(what.gateway, what.lots)

    def _quota_learn(self, gateway: str, lots):
        now = self._ctx.timers.now()
        named = set()
        for w in lots:
            named.add(w.lot)
            self._quota_told[w.lot] = _Told(w.route, w.tokens, gateway, now)
            self._quota_grants.pop(w.lot, None)
            self._quota_unknown.pop(w.lot, None)
        for b, t in self._quota_told.items():
            if t.gateway == gateway and b not in named:
                t.gateway, t.at = "", now

    def _listed_lots(self, names: set[str], started: timedelta, sure: bool):
        """What a list of the open logs says: of which batches nobody has told yet, and which are over."""
        now = self._ctx.timers.now()
        self._quota_unknown = {
            b: self._quota_unknown.get(b, now) for b in names if b not in self._quota_told and b not in self.batches
        }
        if not sure:
            return
        self._lots_listed_at = started
        for b, t in list(self._quota_told.items()):
            if (
                t.gateway
                and t.gateway != self._ctx.node
                and self._ctx.membership.status(t.gateway) in ("gone", "unknown")
            ):
                t.gateway, t.at = "", now
            if b not in names and (not t.gateway or not t.tokens) and started - t.at >= LISTED_LATE:
                del self._quota_told[b]

    def _look_at_gateways(self):
        now = self._ctx.timers.now()
        gateways = frozenset(m.node for m in self._ctx.membership.members("gateway", statuses=("alive",)))
        if gateways != self._quota_gateways or now - self._quota_looked_at > SLEPT_SPAN:
            self._quota_gateways, self._quota_moved_at = gateways, now
            self._list_soon()
        self._quota_looked_at = now

    def _quota_steward(self, route: str) -> str:
        gateways = {m.node for m in self._ctx.membership.members("gateway", statuses=("alive",))} | {self._ctx.node}
        return max(gateways, key=lambda g: rank(f"quota/{route}", g))

    def _count_is_sure(self) -> bool:
        """Not while gateways change, nor on the smaller side of a cut, nor before all open batches are counted."""
        self._look_at_gateways()
        now = self._ctx.timers.now()
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        places = {(m.host, m.port) for m in alive}
        away = [
            m
            for m in self._ctx.membership.members("gateway", statuses=("suspect", "gone"), include_self=False)
            if (m.host, m.port) not in places and self._ctx.membership.time_in_status(m.node) < KNOWN_SPAN
        ]
        if (
            not self._ctx.cluster.usable()
            or len(alive) < len(away)
            or now - self._quota_moved_at < self.engines.told_span()
        ):
            return False
        if self._lots_listed_at is None or self._lots_listed_at < self._quota_moved_at + self.engines.told_span() / 2:
            self._ctx.run_in_background(self._listing_lots.run("list", self._list_batches), "list_batches")
            return False
        unread = [b for b, at in self._quota_unknown.items() if now - at < UNREAD_SPAN]
        for b in unread:
            if b not in self._quota_counting:
                self._quota_counting.add(b)
                self._ctx.run_in_background(self._count_lot(b), "count_lot")
        return not unread

    async def _count_lot(self, batch_id: str):
        """Counts a batch from its log, since nobody has told of it."""
        try:
            listing = await self._listing_of(batch_id)
        except PipitlinkError as e:
            self._ctx.logger.debug("batch_not_counted", batch=batch_id, text=e)
            await self._ctx.timers.sleep(ms(200))
            return
        finally:
            self._quota_counting.discard(batch_id)
        if batch_id in self._quota_unknown:
            left = (
                0
                if listing.ended
                else sum(x.tokens for i, x in enumerate(listing.head.items) if i not in listing.listed)
            )
            self._quota_told[batch_id] = _Told(listing.head.route, left, "", self._ctx.timers.now())
            del self._quota_unknown[batch_id]

    async def _quota_for(self, node, ask: QuotaRequest) -> QuotaResponse:
        return self._quota_here(ask)

    def _quota_here(self, ask: QuotaRequest) -> QuotaResponse:
        if not ask.tokens:
            self._quota_grants.pop(ask.lot, None)
            return QuotaResponse()
        route = self._batch_routes().get(ask.route)
        if self._quota_steward(ask.route) != self._ctx.node or route is None or not self._count_is_sure():
            return QuotaResponse(uncertain=True)
        if not route.max_waiting_tokens:
            return QuotaResponse(granted=True)
        now = self._ctx.timers.now()
        self._quota_learn(self._ctx.node, self._quota_own())
        for b in [b for b, g in self._quota_grants.items() if g.until <= now]:
            del self._quota_grants[b]
        told = sum(t.tokens for b, t in self._quota_told.items() if t.route == ask.route and b != ask.lot)
        granted = sum(g.tokens for b, g in self._quota_grants.items() if g.route == ask.route and b != ask.lot)
        if told + granted + ask.tokens > route.max_waiting_tokens:
            return QuotaResponse(wait_ms=1000)
        self._quota_grants[ask.lot] = _Grant(ask.route, ask.tokens, now + GRANT_SPAN)
        return QuotaResponse(granted=True)

    async def _ask_quota(self, ask: QuotaRequest) -> QuotaResponse:
        steward = self._quota_steward(ask.route)
        if steward == self._ctx.node:
            return self._quota_here(ask)
        m = self._ctx.membership.find(steward)
        try:
            return await self._ctx.rpc.call((m.host, m.port), "quota.take", ask, QuotaResponse, ASK_LIMIT)
        except (WireError, RemoteError):
            return QuotaResponse(uncertain=True)

    async def _await_quota(self, route, batch, until: timedelta):
        """Room for the whole batch, or a refusal: 429 where it surely does not fit, 503 where nobody can tell."""
        tokens = sum(i.tokens for i in batch.items)
        if not route.max_waiting_tokens or not tokens:
            return
        ask = QuotaRequest(route=route.name, lot=batch.id, tokens=tokens)
        while True:
            r = QuotaResponse() if tokens > route.max_waiting_tokens else await self._ask_quota(ask)
            if r.granted:
                self._quota_mine[batch.id] = route.name, tokens
                return
            if not r.uncertain:
                raise ApiError(
                    f"route {route.name} has no room for {tokens} more waiting tokens",
                    code="over_quota",
                    status=429,
                    outcome="not_run",
                    retry_after=1,
                )
            if self._ctx.timers.now() + WAIT_STEP > until:
                raise ServiceUnavailable(
                    "the tokens that wait cannot be counted now", code="not_counted", retry_after=COME_BACK
                )
            await self._ctx.timers.sleep(WAIT_STEP)

    def waiting_tokens(self, route: str) -> tuple[int, int]:
        """Tokens of items on a route that are not finished: of this gateway's batches, and of all that is told of."""
        mine = sum(o.tokens_left for o in self.batches.values() if not o.leaseholder.lost and o.batch.route == route)
        theirs = sum(t.tokens for b, t in self._quota_told.items() if t.route == route and b not in self.batches)
        return mine, mine + theirs

    def _drop_grant(self, batch_id: str):
        """A grant is told as this gateway's own until its batch is, and given back where it came to nothing."""
        granted = self._quota_mine.pop(batch_id, None)
        if granted is not None and batch_id not in self.batches:
            self._ctx.run_in_background(self._ask_quota(QuotaRequest(route=granted[0], lot=batch_id)), "give_quota")
