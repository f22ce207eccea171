"""Rate and concurrency limits that hold over all gateways."""

import math
from collections import deque
from datetime import timedelta
from hashlib import blake2b

import attrs

from ..context import random_id
from ..errors import RemoteError, ServiceUnavailable, WireError
from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from ..wire.membership_pb2 import Loads, Permit, PermitRequest, PermitResponse

__all__ = ["Limits", "ComeBack"]

SETTLE_SPAN = ms(600)
PERMIT_SPAN = secs(5)
GIVEN_SPAN = secs(1)
KNOWN_SPAN = secs(60)
ASK_LIMIT = ms(400)
WAIT_STEP = ms(60)
LONGEST_WAIT = secs(1)
MAX_BACK = 30


@attrs.define(eq=False)
class _Book:
    """What a row's steward keeps of it: its turns, and the places that are out at each gateway."""

    left: float = 0.0
    at: timedelta = ZERO
    moved_at: timedelta | None = None
    turn: timedelta = ZERO
    permits: dict[str, tuple[str, timedelta, timedelta]] = attrs.field(factory=dict)

    def take_turn(self, rate: float, now: timedelta, moved_at: timedelta) -> timedelta:
        """Zero where one may pass now, else when to come back: each that is refused gets a later turn."""
        if moved_at != self.moved_at:
            self.left, self.at, self.moved_at = 0.0, max(moved_at, now - timedelta(seconds=1)), moved_at
        self.left = min(max(1.0, rate), self.left + rate * (now - self.at).total_seconds())
        self.at = now
        if self.left >= 1:
            self.left -= 1
            return ZERO
        first = now + timedelta(seconds=(1 - self.left) / rate)
        self.turn = max(first, min(self.turn, now + secs(MAX_BACK)) + timedelta(seconds=1 / rate))
        return self.turn - now

    def take_place(self, row, permit: str, gateway: str, now: timedelta) -> bool:
        for p, (_, until, _) in list(self.permits.items()):
            if until <= now:
                del self.permits[p]
        if len(self.permits) >= row.concurrency:
            return False
        self.permits[permit] = (gateway, now + PERMIT_SPAN, now)
        return True


class ComeBack:
    """When to come back: each request that found no room gets the next place that is expected to fall free."""

    def __init__(self, timers, most: int = 64):
        self._timers = timers
        self._freed: deque[timedelta] = deque(maxlen=most)
        self._next = ZERO

    def freed(self):
        self._freed.append(self._timers.now())

    def seconds(self) -> int:
        now = self._timers.now()
        recent = [at for at in self._freed if now - at < secs(10)]
        span = (now - recent[0]) / secs(1) if recent else 1.0
        rate = max(0.5, len(recent) / max(0.5, span))
        self._next = max(now, self._next) + timedelta(seconds=1 / rate)
        if self._next > now + secs(MAX_BACK):
            self._next = now + timedelta(seconds=MAX_BACK * self._chance())
        return max(1, math.ceil((self._next - now) / secs(1)))

    def _chance(self) -> float:
        return int.from_bytes(blake2b(repr(self._next).encode(), digest_size=2).digest(), "big") / 65536


class Limits:
    """Mixin: a row's rate and concurrency hold over the whole fleet: one gateway, its steward, hands out all of it.

    Every gateway hears which places the others hold with their loads, so that a new steward knows them at once.

    Offers `_keep_rate` and `_keep_concurrency`, and answers `limits.take` as a steward.
    Needs of the node: `_ctx`, `engines`, `come_back`; of Picking: `candidates`.
    Owns `_books`, `_held`, `_gateways_then`, `_moved_at` and `_looked_at`.
    """

    def _open_limits(self):
        self._books: dict[str, _Book] = {}
        self._held: dict[str, str] = {}
        self._gateways_then: frozenset = frozenset()
        self._moved_at = self._looked_at = self._ctx.timers.now()
        self._ctx.rpc.register_handler("limits.take", PermitRequest, self._permit_for)
        self.engines.carry(self._fill_permits, self._told_permits)

    def _row_of(self, ask):
        return next(
            (
                r
                for e, _ in self.candidates(ask.model, ask.pool)
                if (r := self._ctx.cluster.row(ask.model, e.news.pool)) is not None
            ),
            None,
        )

    def _steward(self, row: str) -> str:
        gateways = {m.node for m in self._ctx.membership.members("gateway", statuses=("alive",))} | {self._ctx.node}
        return max(gateways, key=lambda g: rank(row, g))

    def _look(self):
        """Notes when the gateways changed, or this one slept: places may be out of which a new steward has not
        heard.
        """
        now = self._ctx.timers.now()
        gateways = frozenset(m.node for m in self._ctx.membership.members("gateway", statuses=("alive",)))
        if gateways != self._gateways_then or now - self._looked_at > secs(1):
            self._gateways_then, self._moved_at = gateways, now
        self._looked_at = now

    def _may_grant(self) -> bool:
        """Not while gateways change, nor on the smaller side of a cut, nor where the cluster state is not proved."""
        self._look()
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        places = {(m.host, m.port) for m in alive}
        away = [
            m
            for m in self._ctx.membership.members("gateway", statuses=("suspect", "gone"), include_self=False)
            if (m.host, m.port) not in places and self._ctx.membership.time_in_status(m.node) < KNOWN_SPAN
        ]
        return (
            self._ctx.cluster.ready()
            and len(alive) >= len(away)
            and self._ctx.timers.now() - self._moved_at >= SETTLE_SPAN
        )

    async def _permit_for(self, node, ask: PermitRequest) -> PermitResponse:
        return self._permit_here(node, ask)

    def _permit_here(self, node: str, ask: PermitRequest) -> PermitResponse:
        book = self._books.setdefault(ask.row, _Book())
        if ask.release:
            book.permits.pop(ask.id, None)
            return PermitResponse()
        row = self._ctx.cluster.cluster_state.rows.get(ask.row)
        if row is None:
            return PermitResponse(granted=True)
        now = self._ctx.timers.now()
        if not self._may_grant():
            return PermitResponse(wait_ms=1000)
        if ask.id:
            return PermitResponse(granted=not row.concurrency or book.take_place(row, ask.id, node, now), wait_ms=1000)
        wait = book.take_turn(row.rate, now, self._moved_at) if row.rate else ZERO
        return PermitResponse(granted=not wait, wait_ms=math.ceil(wait / ms(1)))

    async def _ask_steward(self, ask: PermitRequest) -> PermitResponse:
        steward = self._steward(ask.row)
        if steward == self._ctx.node:
            return self._permit_here(steward, ask)
        m = self._ctx.membership.find(steward)
        try:
            return await self._ctx.rpc.call((m.host, m.port), "limits.take", ask, PermitResponse, ASK_LIMIT)
        except (WireError, RemoteError):
            return PermitResponse(wait_ms=1000)

    async def _keep_rate(self, ask):
        row = self._row_of(ask)
        if row is None or not row.rate:
            return
        r = await self._ask_steward(PermitRequest(row=row.name))
        if not r.granted:
            raise ServiceUnavailable(
                f"row {row.name} allows {row.rate:g} a second",
                code="rate_limited",
                status=429,
                retry_after=max(1, math.ceil(r.wait_ms / 1000)),
            )

    async def _keep_concurrency(self, ask):
        """A request of a row with a limit holds one of the row's places from before its pick to its end."""
        row = self._row_of(ask)
        if row is None or not row.concurrency or ask.permit:
            return
        until = min(ask.limit, self._ctx.timers.now() + LONGEST_WAIT)
        permit = random_id()
        while True:
            self.engines.stir()
            r = await self._ask_steward(PermitRequest(row=row.name, id=permit))
            if r.granted:
                break
            if self._ctx.timers.now() + WAIT_STEP >= until:
                raise ServiceUnavailable(
                    f"row {row.name} allows {row.concurrency} at once",
                    code="concurrency_limited",
                    status=429,
                    retry_after=self.come_back.seconds(),
                )
            await self._ctx.timers.sleep(WAIT_STEP)
        self._held[permit] = row.name
        ask.permit = lambda: self._give_permit(permit)

    def _give_permit(self, permit: str):
        row = self._held.pop(permit)
        self._ctx.run_in_background(self._ask_steward(PermitRequest(row=row, id=permit, release=True)), "give_permit")

    def _fill_permits(self, what: Loads):
        self._look()
        what.permits.extend(Permit(row=row, id=p) for p, row in self._held.items())

    def _told_permits(self, what: Loads):
        """What a gateway says it holds is so; what it no longer names it has given back."""
        now = self._ctx.timers.now()
        named = {p.id for p in what.permits}
        for p in what.permits:
            book = self._books.setdefault(p.row, _Book())
            book.permits[p.id] = (what.gateway, now + PERMIT_SPAN, now)
        for book in self._books.values():
            for p, (gateway, _, granted) in list(book.permits.items()):
                if gateway == what.gateway and p not in named and now - granted > GIVEN_SPAN:
                    del book.permits[p]
