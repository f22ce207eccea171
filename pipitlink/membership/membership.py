"""Failure detection and gossip: who is in the fleet, and who is heard."""

from collections.abc import Callable
from datetime import timedelta
from hashlib import blake2b

from twisted.internet import defer

from ..errors import WireError
from ..timers import ms, secs, spawn
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Gossip, IndirectProbeRequest, Member, ProbeResponse
from .entry import Entry
from .memory import Memory

__all__ = ["Membership"]

PROBE_INTERVAL = ms(200)
PROBE_LIMIT = ms(400)
BEAT_NODES = 40
MOST_BEATS = 2
SUSPECT_SPAN = secs(1.5)
FORGET_SPAN = secs(600)
RECENT_SPAN = secs(3)
MAX_TOLD = 128
_RANK = {"alive": 0, "suspect": 1, "gone": 2}


class Membership(Memory):
    """Who is in the fleet: direct probes, probes through peers, suspicion that the accused can refute.

    Each node probes one other on a beat, in a large cluster on each second one. Others probe it as often, whatever the
    size: a node that ended is found after 0.2 s on average, in a large cluster after 0.4 s.
    Gossip carries the members that changed lately and a digest of all; the whole is sent where the digests differ.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._entries: dict[str, Entry] = {}
        self._round: list[str] = []
        self._beats = 0
        self._watchers: list = []
        self._carriers: list = []
        self.me = Member()
        self._file = None
        self._digest: int | None = None
        self._sorted: dict[tuple, list[Member]] = {}
        self._changed_at = self._me_changed_at = ctx.timers.now()

    def open(self, me: Member):
        self.me = me
        self._change_me(status="alive")
        d = self._ctx.rpc
        d.register_handler("membership.probe", Gossip, self._probed)
        d.register_handler("membership.probe_for", IndirectProbeRequest, self._probe_for)
        d.register_handler("membership.tell", Gossip, self._told)
        self._recall()
        self._ctx.timers.call_repeatedly(PROBE_INTERVAL, self._beat, self._ctx.error_reporter("membership_beat"))
        self._ctx.timers.call_repeatedly(secs(1), self._greet_seeds, self._ctx.error_reporter("membership_seeds"))

    def watch(self, do: Callable[[Member], object]) -> None:
        self._watchers.append(do)

    def carry(self, fill, take):
        self._carriers.append((fill, take))

    def members(self, role: str | None = None, status=("alive", "suspect"), me: bool = True) -> list[Member]:
        """Those of a role, in the order of their ids; they are sorted out once for each change."""
        key = role, status, me
        kept = self._sorted.get(key)
        if kept is None:
            kept = self._sorted[key] = self._sort_out(role, status, me)
        return list(kept)

    def _sort_out(self, role: str | None, status: tuple[str, ...], me: bool) -> list[Member]:
        out = [e.member for e in self._entries.values() if e.state in status]
        if me:
            out.append(self.me)
        return sorted((m for m in out if role is None or m.role == role), key=lambda m: m.node)

    def _believe_anew(self):
        """What was worked out from the entries no longer holds."""
        self._digest = None
        self._sorted.clear()

    def find(self, node: str) -> Member | None:
        if node == self.me.node:
            return self.me
        e = self._entries.get(node)
        return e.member if e else None

    def status(self, node: str) -> str:
        if node == self.me.node:
            return "alive"
        e = self._entries.get(node)
        return e.state if e else "unknown"

    def since(self, node: str) -> timedelta:
        e = self._entries.get(node)
        return self._ctx.timers.now() - e.since if e else timedelta(0)

    def replaced(self, node: str, name: str = "") -> bool:
        """Whether another node answers at its place, or by its name: it lost its disk and cannot come back.

        `name` is the name of a node that may not have been met since this one started.
        """
        m = self.find(node)
        name = name or (m.name if m is not None else "")
        return self.status(node) != "alive" and any(
            o.node != node and (m is not None and (o.host, o.port) == (m.host, m.port) or name and o.name == name)
            for o in self.members(m.role if m is not None else None, statuses=("alive",))
        )

    def met_ago(self, node: str) -> timedelta | None:
        """How long ago the node was met first."""
        e = self._entries.get(node)
        return self._ctx.timers.now() - e.met if e else None

    def everyone(self) -> list[Member]:
        return self.members(statuses=("alive", "suspect", "gone"))

    def _change_me(self, **fields):
        for name, value in fields.items():
            setattr(self.me, name, value)
        self._me_changed_at = self._ctx.timers.now()
        self._believe_anew()

    def digest(self) -> int:
        """Stands for all that is believed of the members that are not gone: alike where two nodes believe alike."""
        if self._digest is None:
            lines = sorted(f"{m.node} {m.incarnation} {m.status}\n" for m in self.members())
            self._digest = int.from_bytes(blake2b("".join(lines).encode(), digest_size=8).digest(), "big")
        return self._digest

    def _recent(self) -> list[Entry]:
        now = self._ctx.timers.now()
        if now - self._changed_at >= RECENT_SPAN:
            return []
        return [e for e in self._entries.values() if now - e.changed < RECENT_SPAN]

    def _gossip(self, whole: bool = False) -> Gossip:
        g = Gossip(sender=self.me.node, digest=self.digest())
        told = list(self._entries.values()) if whole else self._recent()
        if len(told) > MAX_TOLD:
            fresh = sorted(told, key=lambda e: -e.changed)[: MAX_TOLD // 2]
            told = fresh + self._ctx.rng.sample(told, MAX_TOLD // 2)
        if whole or self._ctx.timers.now() - self._me_changed_at < RECENT_SPAN:
            g.members.append(self.me)
        g.members.extend(e.member for e in told)
        for fill, _ in self._carriers:
            fill(g)
        return g

    def _absorb(self, g: Gossip):
        for m in g.members[: MAX_TOLD * 2]:
            self._hear(m)
        for _, take in self._carriers:
            take(g)

    def _hear(self, m: Member):
        if not m.node or m.status not in _RANK:
            return
        now = self._ctx.timers.now()
        if m.node == self.me.node:
            if self.me.status == "alive" and m.status != "alive" and m.incarnation >= self.me.incarnation:
                self._change_me(incarnation=m.incarnation + 1)
                self._ctx.logger.info("refuted", incarnation=self.me.incarnation)
                self.tell()
            return
        e = self._entries.get(m.node)
        if e is None:
            if m.status == "gone":
                return
            kept = Member()
            kept.CopyFrom(m)
            e = self._entries[m.node] = Entry(kept, now, self._ctx.logger)
            self._ctx.logger.info("met", peer=m.node, role=m.role, zone=m.zone, place=f"{m.host}:{m.port}")
            self._changed(e)
            return
        if m.incarnation < e.member.incarnation:
            return
        if m.incarnation == e.member.incarnation and _RANK[m.status] <= _RANK[e.state]:
            return
        before = e.state
        newer = m.incarnation > e.member.incarnation
        e.member.CopyFrom(m)
        e.member.status = e.state
        if newer:
            e.turn("refuted", now)
        if m.status == "suspect":
            e.turn("missed", now)
        elif m.status == "gone":
            e.turn("lapsed", now)
        if e.state != before or newer:
            self._changed(e)

    def _changed(self, e: Entry):
        e.changed = self._changed_at = self._ctx.timers.now()
        self._believe_anew()
        self._keep()
        for do in self._watchers:
            do(e.member)

    async def _probed(self, node, g: Gossip):
        self._absorb(g)
        return self._gossip(whole=g.digest != self.digest())

    async def _told(self, node, g: Gossip):
        self._absorb(g)
        return Empty()

    async def _probe_for(self, node, ask: IndirectProbeRequest):
        e = self._entries.get(ask.target)
        return ProbeResponse(alive=e is not None and await self._probe(e.place) == ask.target)

    async def _probe(self, place) -> str:
        try:
            g = await self._ctx.rpc.call(place, "membership.probe", self._gossip(), Gossip, PROBE_LIMIT)
        except WireError:
            return ""
        self._absorb(g)
        if g.digest != self.digest():
            spawn(self._tell_one(place, self._gossip(whole=True))).addErrback(lambda f: None)
        return g.sender

    def tell(self) -> list:
        g = self._gossip()
        return [
            spawn(self._tell_one((m.host, m.port), g)).addErrback(lambda f: None)
            for m in self.members(include_self=False)
        ]

    async def leave(self) -> None:
        """Tells all peers that this node ends, so that nobody has to find out."""
        self._change_me(status="gone")
        await defer.DeferredList(self.tell())

    async def _tell_one(self, place, g):
        await self._ctx.rpc.call(place, "membership.tell", g, Empty, PROBE_LIMIT)

    async def _greet_seeds(self):
        known = {e.place for e in self._entries.values() if e.state == "alive"} | {self._ctx.rpc.address}
        if len(known) > 3 and self._ctx.rng.random() > 0.1:
            return
        for seed in self._ctx.settings.seeds:
            host, _, port = seed.rpartition(":")
            if (host, int(port)) not in known:
                spawn(self._probe((host, int(port))))

    def _beat(self):
        now = self._ctx.timers.now()
        for e in list(self._entries.values()):
            if e.state == "suspect" and now - e.since > SUSPECT_SPAN:
                e.turn("lapsed", now)
                self._changed(e)
            elif e.state == "gone" and now - e.since > FORGET_SPAN:
                del self._entries[e.member.node]
                self._believe_anew()
        self._beats = (self._beats + 1) % min(MOST_BEATS, 1 + len(self._entries) // BEAT_NODES)
        if self._beats == 0:
            e = self._next()
            if e is not None:
                spawn(self._check(e)).addErrback(lambda f: self._ctx.logger.failure("probe", f.value))

    def _next(self) -> Entry | None:
        while True:
            if not self._round:
                self._round = [n for n, e in self._entries.items() if e.state != "gone" or self._ctx.rng.random() < 0.2]
                self._ctx.rng.shuffle(self._round)
                if not self._round:
                    return None
            e = self._entries.get(self._round.pop())
            if e is not None:
                return e

    async def _check(self, e: Entry):
        asked_at = e.member.incarnation
        sender = await self._probe(e.place)
        if sender == e.member.node:
            return
        if sender:
            e.turn("lapsed", self._ctx.timers.now())
            self._changed(e)
            return
        helpers = [m for m in self.members(include_self=False, status=("alive",)) if m.node != e.member.node]
        for m in self._ctx.rng.sample(helpers, min(3, len(helpers))):
            try:
                r = await self._ctx.rpc.call(
                    (m.host, m.port),
                    "membership.probe_for",
                    IndirectProbeRequest(target=e.member.node),
                    ProbeResponse,
                    PROBE_LIMIT * 2,
                )
            except WireError:
                continue
            if r.alive:
                return
        if e.state == "alive" and e.member.incarnation == asked_at:
            e.turn("missed", self._ctx.timers.now())
            self._changed(e)
            self.tell()
