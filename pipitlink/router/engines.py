"""The engines of the routes interface: liveness, load, warm-up, kept prompt parts."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from ..wire.membership_pb2 import EngineList, EngineUpdate, Load, Loads, LoadTotals

__all__ = ["Engines", "Engine"]

SILENT_SPAN = secs(3.6)
FORGET_SPAN = secs(30)
ENDED_SPAN = secs(60)
LOADS_INTERVAL = ms(200)
LOADS_AT_LEAST = secs(1)
LOADS_SPAN = secs(3)
MOST_TOLD = 15
TOLD_SPAN = ms(350)
TOLD_BY_TOTALS_SPAN = ms(600)
SLEPT_SPAN = secs(1.5)
WOKE_SPAN = ms(500)
SUSPECT_SPAN = ms(700)
LONGEST_SUSPECT = secs(6)
MOST_COLD_SHARERS = 8


class _KeptParts:
    """Which prompt parts an engine has likely kept, as far as this gateway's own requests tell: newest last,
    bounded.
    """

    def __init__(self, most_tokens: int):
        self._most = most_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def missing(self, parts: list[tuple[str, int]]) -> int:
        """Tokens of these parts that have to be read: from the first part that is not kept on."""
        at = 0
        for at, (name, _) in enumerate(parts):
            if name not in self._parts:
                break
        else:
            return 0
        return sum(n for _, n in parts[at:])

    def add(self, parts: list[tuple[str, int]]):
        for name, n in parts:
            if name in self._parts:
                self._parts.move_to_end(name)
            else:
                self._parts[name] = n
                self._tokens += n
        while self._tokens > self._most and self._parts:
            _, n = self._parts.popitem(last=False)
            self._tokens -= n


@attrs.define(eq=False)
class Engine:
    """One life of an engine as this gateway knows it."""

    news: EngineUpdate
    heard: timedelta
    cold_until: timedelta
    kept: _KeptParts
    running: int = 0
    batch: int = 0
    reading: int = 0
    bytes_at: timedelta = ZERO
    suspect_until: timedelta = ZERO
    failures: int = 0
    allowance: float = 0.0
    allowed_at: timedelta = ZERO
    peers: dict[str, tuple[int, int, timedelta]] = attrs.field(factory=dict)
    sharers_of: tuple[str, ...] = ()
    sharers: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        return self.news.engine

    @property
    def address(self) -> str:
        return self.news.address

    @property
    def places(self) -> int:
        return max(1, self.news.capacity)


class Engines:
    """The engines as the control plane tells of them, what this gateway has running there and what its peers have."""

    def __init__(self, ctx):
        self._ctx = ctx
        self._engines: dict[str, Engine] = {}
        self._pools: dict[str, list[Engine]] = {}
        self._room: list = []
        self._carriers: list = []
        self._told: dict[str, tuple[int, int]] = {}
        self._told_at = ZERO
        self._looked_at = ctx.timers.now()
        self._woke_at = ZERO
        self._gone_watchers: list = []
        self._ended: dict[str, timedelta] = {}
        self._reopened: dict[str, timedelta] = {}
        self._emptied: frozenset = frozenset()

    def open(self):
        self._ctx.rpc.register_handler("engines.tell", EngineList, self._told_engines)
        self._ctx.rpc.register_handler("engines.loads", Loads, self._told_loads)
        self._ctx.rpc.register_handler("engines.totals", LoadTotals, self._told_totals)
        self._ctx.cluster.add_listener(self._zones_moved)
        self._ctx.membership.add_listener(self._gateway_changed)
        self._ctx.timers.call_repeatedly(LOADS_INTERVAL, self._tell_loads, self._ctx.error_reporter("report_loads"))

    def carry(self, fill, take):
        """More that goes to all gateways with the loads: fill(Loads) returns whether there is something new to tell."""
        self._carriers.append((fill, take))

    def watch_gone(self, do):
        self._gone_watchers.append(do)

    def all(self) -> list[Engine]:
        return sorted(self._engines.values(), key=lambda e: e.name)

    def pool(self, name: str) -> list[Engine]:
        return self._pools.get(name, [])

    async def _told_engines(self, node, what: EngineList):
        for n in what.engines:
            self.merge(n)

    def merge(self, n: EngineUpdate):
        now = self._look()
        heard = now - ms(n.age_ms)
        e = self._engines.get(n.engine)
        if e is None:
            if n.state == "gone":
                self._ended[n.engine] = now
            if n.engine in self._ended or now - heard > SILENT_SPAN or not n.engine:
                return
            kept = EngineUpdate()
            kept.CopyFrom(n)
            pool = self._ctx.cluster.cluster_state.routes.pools.get(n.pool)
            room = int(0.8 * pool.cache_tokens) if pool is not None else 0
            e = self._engines[n.engine] = Engine(kept, heard, heard + ms(n.slow_start_ms), _KeptParts(room))
            e.bytes_at = now
            for other in list(self._engines.values()):
                if other is not e and other.address == e.address:
                    self._forget(other)
            self._pools.setdefault(n.pool, []).append(e)
            self._ctx.logger.info(
                "engine_status_changed", engine=n.engine, state=n.state, address=n.address, pool=n.pool
            )
            self.roomier()
            return
        if n.state == "gone":
            self._forget(e)
            return
        if n.state == "leaving" and e.news.state != "leaving":
            e.news.state = "leaving"
            self._ctx.logger.info("engine_status_changed", engine=n.engine, state="leaving")
        if n.sequence < e.news.sequence or self._woke_at and now - self._woke_at < WOKE_SPAN:
            return
        e.heard = max(e.heard, heard)
        if n.sequence > e.news.sequence:
            e.cold_until = heard + ms(n.slow_start_ms)
            e.news.sequence = n.sequence

    def _forget(self, e: Engine):
        if self._engines.pop(e.name, None) is not None:
            self._pools[e.news.pool].remove(e)
            self._ctx.logger.info("engine_status_changed", engine=e.name, state="gone")
            e.news.state = "gone"
            self._ended[e.name] = self._ctx.timers.now()
            for do in self._gone_watchers:
                do(e)

    def replaced(self, e: Engine):
        """Another engine answers at its address."""
        self._forget(e)

    def _look(self) -> timedelta:
        now = self._ctx.timers.now()
        if now - self._looked_at > SLEPT_SPAN:
            self._woke_at = now
        self._looked_at = now
        return now

    def status(self, e: Engine) -> str:
        now = self._look()
        if e.news.state != "ready":
            return e.news.state
        if now - e.heard > SILENT_SPAN:
            return "silent"
        if e.heard < self._woke_at - SILENT_SPAN or e.suspect_until > now:
            return "suspect"
        return "ready"

    def failed(self, e: Engine):
        """Evidence that it is in trouble: it is left aside for a while that grows, and then tried again."""
        e.failures = min(e.failures + 1, 6)
        if e.failures > 1:
            span = min(SUSPECT_SPAN * 2 ** (e.failures - 2), LONGEST_SUSPECT)
            e.suspect_until = self._ctx.timers.now() + span

    def unreached(self, e: Engine):
        e.failures = min(max(2, e.failures + 1), 6)
        e.suspect_until = self._ctx.timers.now() + min(SUSPECT_SPAN * 2 ** (e.failures - 2), LONGEST_SUSPECT)

    def served(self, e: Engine):
        e.failures = 0

    def loads(self, e: Engine, now: timedelta) -> tuple[int, int]:
        """Requests on it, and how many of them are items of batches: from here and, as last told, from the peers."""
        running, batch = e.running, e.batch
        for n, b, at in e.peers.values():
            if now - at < LOADS_SPAN:
                running += n
                batch += b
        return running, batch

    def _gateway_changed(self, member):
        """What a gateway that is gone told of its load is forgotten."""
        if self._ctx.membership.status(member.node) == "gone":
            for e in self._engines.values():
                e.peers.pop(member.node, None)

    def load(self, e: Engine) -> int:
        """Requests on it, as `loads` has them now."""
        return self.loads(e, self._ctx.timers.now())[0]

    def gateways(self) -> int:
        return len(self._ctx.membership.members("gateway"))

    def _zones_moved(self):
        now = self._ctx.timers.now()
        emptied = frozenset(self._ctx.cluster.cluster_state.empty_zones)
        for zone in self._emptied - emptied:
            self._reopened[zone] = now
        self._emptied = emptied

    def cold(self, e: Engine) -> bool:
        now = self._ctx.timers.now()
        if e.cold_until > now:
            return True
        at = self._reopened.get(e.news.zone)
        pool = self._ctx.cluster.cluster_state.routes.pools.get(e.news.pool)
        return at is not None and pool is not None and now - at < ms(pool.warmup_ms)

    def admit(self, e: Engine) -> bool:
        """Whether a cold engine may be sent one more request now: its rate is shared out among a few gateways.

        Each of these may have saved up one request, so the most that an engine can get at once grows with their number.
        """
        pool = self._ctx.cluster.cluster_state.routes.pools.get(e.news.pool)
        if pool is None or not pool.slow_start_rate or not self.cold(e):
            return True
        sharers = self._cold_sharers(e)
        if self._ctx.node not in sharers:
            return False
        now = self._ctx.timers.now()
        rate = 0.9 * pool.slow_start_rate / len(sharers)
        e.allowance = min(1.0, e.allowance + rate * (now - e.allowed_at).total_seconds())
        e.allowed_at = now
        return e.allowance >= 1.0

    def _cold_sharers(self, e: Engine) -> frozenset[str]:
        """The gateways that share the rate of this engine while it is cold: all who know the same ones agree."""
        nodes = tuple(m.node for m in self._ctx.membership.members("gateway"))
        if e.sharers_of != nodes:
            ranked = sorted(nodes, key=lambda node: rank(e.name, node), reverse=True)
            e.sharers_of, e.sharers = nodes, frozenset(ranked[:MOST_COLD_SHARERS])
        return e.sharers

    def take(self, e: Engine, reading: int, batch: bool):
        """Takes a place on it; returns what gives the prompt's reading back, and what gives the place back."""
        e.running += 1
        e.batch += batch
        e.reading += reading
        e.allowance = max(0.0, e.allowance - 1.0)
        left = [reading]

        def read():
            e.reading -= left[0]
            left[0] = 0

        def give():
            read()
            e.running -= 1
            e.batch -= batch
            self.roomier()

        return read, give

    def wait_room(self, d):
        self._room.append(d)

    def roomier(self):
        room, self._room = self._room, []
        for d in room:
            if not d.called:
                d.callback(None)

    def _tell_loads(self):
        now = self._look()
        self._forget_silent(now)
        mine = {e.name: (e.running, e.batch) for e in self._engines.values() if e.running}
        what = Loads(gateway=self._ctx.node, loads=[Load(engine=n, running=r, batch=b) for n, (r, b) in mine.items()])
        news = [fill(what) for fill, _ in self._carriers]
        if mine == self._told and not any(news) and now - self._told_at < LOADS_AT_LEAST:
            return
        self._told, self._told_at = mine, now
        self._ctx.rpc.notify(self._whom_to_tell(), "engines.loads", what)

    def told_span(self) -> timedelta:
        """Within which all gateways have heard what one of them tells."""
        return TOLD_SPAN if self.gateways() <= MOST_TOLD + 1 else TOLD_BY_TOTALS_SPAN

    def _forget_silent(self, now: timedelta):
        for e in list(self._engines.values()):
            if now - e.heard > FORGET_SPAN and not e.running:
                self._forget(e)
                del self._ended[e.name]
        for name, at in list(self._ended.items()):
            if now - at > ENDED_SPAN:
                del self._ended[name]

    def _whom_to_tell(self) -> list[tuple[str, int]]:
        """All other gateways where they are few; else the one controller that sums up what all of them tell."""
        peers = self._ctx.membership.members("gateway", include_self=False)
        if len(peers) > MOST_TOLD:
            controllers = self._ctx.membership.members("controller", statuses=("alive",))
            if controllers:
                peers = [max(controllers, key=lambda m: rank("loads", m.node))]
        return [(m.host, m.port) for m in peers]

    async def _told_loads(self, node, what: Loads):
        for _, take in self._carriers:
            take(what)
        self._take_peer_loads(what.gateway, {one.engine: (one.running, one.batch) for one in what.loads})

    async def _told_totals(self, node, what: LoadTotals):
        """The totals have this gateway's own part in them, as it was told last."""
        for lots in what.lots:
            if lots.gateway != self._ctx.node:
                for _, take in self._carriers:
                    take(lots)
        loads = {}
        for one in what.totals:
            running, batch = self._told.get(one.engine, (0, 0))
            loads[one.engine] = max(0, one.running - running), max(0, one.batch - batch)
        self._take_peer_loads(what.controller, loads)

    def _take_peer_loads(self, peer: str, loads: dict[str, tuple[int, int]]):
        now = self._ctx.timers.now()
        for name, e in self._engines.items():
            load = loads.get(name)
            if load is not None:
                e.peers[peer] = (*load, now)
            else:
                e.peers.pop(peer, None)
