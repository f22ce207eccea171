"""The engines of the models interface: status, load, and this gateway's part of their capacity."""

from datetime import timedelta
from hashlib import blake2b

import attrs

from ..timers import ZERO, ms, secs, spawn, to_ms, wall_ms
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import EngineList, EngineUpdate, Gossip, Load, Loads

__all__ = ["Engines", "Engine"]

SILENT_SPAN = secs(3)
FORGET_SPAN = secs(60)
LOADS_INTERVAL = ms(200)
LOADS_SPAN = secs(2)
STIR_SPAN = secs(6)
RAMP_SPAN = secs(8)
BACK_OFF = secs(1)
TURN_MS = 100
SOON = ms(5)
SLEPT_SPAN = secs(1.5)
HELD_SPAN = ms(500)


@attrs.define(eq=False)
class Engine:
    """One engine as this gateway knows it; times are on the timers' clock.

    `live` and `lots` count this gateway's requests on it; `others` holds what each other gateway last told, and when.
    """

    news: EngineUpdate
    renewed: timedelta
    ready_since: timedelta
    live: int = 0
    lots: int = 0
    failed_at: timedelta | None = None
    others: dict[str, tuple[int, timedelta]] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        return self.news.engine

    @property
    def mine(self) -> int:
        return self.live + self.lots


class Engines:
    """The back ends as this gateway believes them to be, kept alike among gateways by pushes and gossip."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._engines: dict[str, Engine] = {}
        self._room: list = []
        self._told: dict[str, int] = {}
        self._carriers: list = []
        self._telling = False
        self._stirred_at = ctx.timers.now()
        self._looked_at = ctx.timers.now()
        self._woke_at = ZERO

    def carry(self, fill, take):
        """More that goes to all gateways with the loads."""
        self._carriers.append((fill, take))

    def open(self):
        self._ctx.rpc.register_handler("engines.tell", EngineList, self._told_engines)
        self._ctx.rpc.register_handler("engines.loads", Loads, self._told_loads)
        self._ctx.membership.add_gossip_carrier(self)
        self._ctx.timers.call_repeatedly(LOADS_INTERVAL, self._tell_loads, self._ctx.error_reporter("loads"))

    def all(self) -> list[Engine]:
        return sorted(self._engines.values(), key=lambda e: e.name)

    def announce(self, news: EngineUpdate):
        news.age_ms = 0
        self._merge(news)
        self._push(EngineList(engines=[self._engines[news.engine].news]))

    def _push(self, what: EngineList):
        for m in self._ctx.membership.members("gateway", include_self=False):
            place = (m.host, m.port)
            spawn(self._ctx.rpc.call(place, "engines.tell", what, Empty, ms(500))).addErrback(lambda f: None)

    async def _told_engines(self, node, what: EngineList):
        if not self._just_woke():
            for n in what.engines:
                self._merge(n)

    def fill_gossip(self, g: Gossip):
        now = self._ctx.timers.now()
        for e in self._engines.values():
            n = g.engines.add()
            n.CopyFrom(e.news)
            n.age_ms = to_ms(now - e.renewed)

    def absorb_gossip(self, g: Gossip):
        if not self._just_woke():
            for n in g.engines[:1024]:
                self._merge(n)

    def _just_woke(self) -> bool:
        """What arrives now may have waited while this gateway slept, and tells ages as of then."""
        now = self._look()
        return self._woke_at > ZERO and now - self._woke_at < HELD_SPAN

    def _merge(self, n: EngineUpdate):
        now = self._ctx.timers.now()
        renewed = now - ms(n.age_ms)
        if now - renewed > FORGET_SPAN or not n.engine:
            return
        e = self._engines.get(n.engine)
        if e is None or n.incarnation > e.news.incarnation:
            kept = EngineUpdate()
            kept.CopyFrom(n)
            back = Engine(kept, renewed, now)
            if e is not None:
                back.live, back.lots, back.others = e.live, e.lots, e.others
            self._engines[n.engine] = back
            self._ctx.logger.info(
                "engine", engine=n.engine, state=n.state, incarnation=n.incarnation, address=n.address
            )
            self.roomier()
            return
        if n.incarnation < e.news.incarnation:
            return
        if now - e.renewed > SILENT_SPAN and now - renewed < SILENT_SPAN:
            e.ready_since = now
        e.renewed = max(e.renewed, renewed)
        if n.state == "leaving" and e.news.state != "leaving":
            e.news.state = "leaving"
            self._ctx.logger.info("engine", engine=n.engine, state="leaving", incarnation=n.incarnation)

    def _look(self) -> timedelta:
        """Notes where this gateway slept: what engines said meanwhile is not known until they are heard again."""
        now = self._ctx.timers.now()
        if now - self._looked_at > SLEPT_SPAN:
            self._woke_at = now
        self._looked_at = now
        return now

    def status(self, e: Engine) -> str:
        now = self._look()
        if e.news.state == "leaving":
            return "leaving"
        if now - e.renewed > SILENT_SPAN:
            return "gone"
        if e.renewed < self._woke_at or e.failed_at is not None and now - e.failed_at < BACK_OFF:
            return "suspect"
        return "ready"

    def failed(self, e: Engine):
        e.failed_at = self._ctx.timers.now()

    def refused(self, e: Engine):
        """It refuses though it has room by all that is known: it is in trouble, and is filled anew step by step."""
        if 2 * (self.running(e) - 1) < self.capacity(e):
            e.failed_at = e.ready_since = self._ctx.timers.now()

    def capacity(self, e: Engine) -> int:
        """What may run on it now: a cold engine is filled step by step."""
        age = (self._ctx.timers.now() - e.ready_since) / RAMP_SPAN
        return max(1, int(e.news.capacity * min(1.0, 0.1 + 0.9 * age)))

    def _cold(self, e: Engine) -> bool:
        return self._ctx.timers.now() - e.ready_since < RAMP_SPAN

    def running(self, e: Engine) -> int:
        now = self._ctx.timers.now()
        return e.mine + sum(n for n, at in e.others.values() if now - at < LOADS_SPAN)

    def room(self, e: Engine, reserve: float = 0.0) -> int:
        """This gateway's sure share, or its part of what the shared counts leave between two tellings.

        A cold engine has no sure shares: others may hold its few places, which go round by turns.
        """
        cap = int(self.capacity(e) * (1 - reserve))
        free = cap - self.running(e)
        borrowed = max(0, e.mine - self._told.get(e.name, 0))
        part = self._parts(e)
        left = part(max(0, free + borrowed)) - borrowed
        sure = 0 if self._cold(e) else part(cap) - e.mine
        return max(0, min(free, max(sure, left)))

    def _parts(self, e: Engine):
        """Tells this gateway's part of n places. The parts of all gateways add up to n; the odd ones go round by turns.

        While the engine is cold, gateways that were heard a short while ago keep their parts: they may only be cut off.
        """
        membership = self._ctx.membership
        gateways = {m.node for m in membership.members("gateway", statuses=("alive",))} | {self._ctx.node}
        if self._cold(e):
            gateways |= {
                m.node
                for m in membership.members("gateway", statuses=("suspect", "gone"))
                if membership.time_in_status(m.node) < RAMP_SPAN
            }
        ranked = sorted(gateways, key=lambda g: blake2b(f"{e.name}/{g}".encode(), digest_size=8).digest())
        turn = (ranked.index(self._ctx.node) + wall_ms(self._ctx.timers.utc_now()) // TURN_MS) % len(ranked)
        return lambda n: n // len(ranked) + (turn < n % len(ranked))

    def take(self, e: Engine, lot: bool):
        """Takes a place on the back end; returns what gives it back."""
        kind = "lots" if lot else "live"
        setattr(e, kind, getattr(e, kind) + 1)
        if self._cold(e) and not self._telling:
            self._telling = True
            self._ctx.timers.call_later(SOON, self._tell_loads)
        return lambda: self._give(e.name, kind)

    def _give(self, name: str, kind: str):
        e = self._engines.get(name)
        if e is not None:
            setattr(e, kind, max(0, getattr(e, kind) - 1))
        self.roomier()

    def wait_room(self, d):
        self._room.append(d)

    def roomier(self):
        room, self._room = self._room, []
        for d in room:
            if not d.called:
                d.callback(None)

    def _tell_loads(self):
        """Often, and at once where a cold engine was given work, since its places go round faster than that."""
        self._telling = False
        now = self._look()
        for name, e in list(self._engines.items()):
            if now - e.renewed > FORGET_SPAN and not e.mine:
                del self._engines[name]
        mine = {e.name: e.mine for e in self._engines.values()}
        self._told = mine
        what = Loads(gateway=self._ctx.node, loads=[Load(engine=n, running=r) for n, r in mine.items()])
        for fill, _ in self._carriers:
            fill(what)
        if what.permits or what.lots or any(mine.values()):
            self._stirred_at = now
        if now - self._stirred_at < STIR_SPAN:
            self._tell(what)
        self.roomier()

    def stir(self):
        """Something may be out in this gateway's name: the others are told what it holds until that must be known."""
        self._stirred_at = self._ctx.timers.now()

    def _tell(self, what: Loads):
        for m in self._ctx.membership.members("gateway", include_self=False):
            place = (m.host, m.port)
            spawn(self._ctx.rpc.call(place, "engines.loads", what, Empty, ms(400))).addErrback(lambda f: None)

    async def _told_loads(self, node, what: Loads):
        for _, take in self._carriers:
            take(what)
        now = self._ctx.timers.now()
        for one in what.loads:
            e = self._engines.get(one.engine)
            if e is not None:
                e.others[what.gateway] = (one.running, now)
