"""Clients' access to replicated logs: hold, read, list, and the state of each."""

from twisted.internet import defer

from ..errors import NoQuorum, WireError
from ..timers import ms, secs, spawn
from ..wire.replicated_log_pb2 import (
    HeldLease,
    ListRequest,
    LogState,
    ReadRequest,
    ReadResponse,
    RenewRequest,
    RenewResponse,
    States,
    StatesRequest,
)
from .leaseholder import Leaseholder
from .placement_group import PlacementGroup, placement_group_of

__all__ = ["ReplicatedLog"]

RENEW_INTERVAL = ms(600)
ASK_LIMIT = ms(800)
READ_LIMIT = secs(2)
HEDGE = ms(100)
GRACE = ms(50)
MAX_SPAN = 4 * 1024 * 1024


class ReplicatedLog:
    """The durable logs as a node outside the storage nodes sees them."""

    def __init__(self, ctx):
        self._ctx = ctx
        self.leaseholders: dict[str, Leaseholder] = {}

    def open(self):
        self._ctx.timers.call_repeatedly(RENEW_INTERVAL, self._renew, self._ctx.error_reporter("renew"))

    def placement_group(self, log: str) -> PlacementGroup:
        return self._ctx.cluster.placement_group(placement_group_of(log, self._ctx.cluster.placement_groups))

    def place(self, node: str):
        m = self._ctx.membership.find(node)
        return (m.host, m.port) if m is not None else None

    async def ask(self, node: str, method: str, what, kind, limit=ASK_LIMIT):
        place = self.place(node)
        if place is None:
            raise WireError(f"storage node {node} is not on the membership")
        return await self._ctx.rpc.call(place, method, what, kind, limit, node=node)

    async def call_each(self, nodes, method: str, what, kind, limit=ASK_LIMIT, enough=None) -> dict:
        """Asks all at once; returns the responses that came, early once `enough` of them are in."""
        got: dict[str, object] = {}
        done = defer.Deferred()
        left = len(nodes)

        async def one(node):
            nonlocal left
            try:
                got[node] = await self.ask(node, method, what, kind, limit)
            except WireError as e:
                self._ctx.logger.debug("storage_node_unheard", storage_node=node, method=method, text=e)
            finally:
                left -= 1
                if not done.called and (left == 0 or (enough is not None and enough(got))):
                    done.callback(None)

        for n in nodes:
            spawn(one(n)).addErrback(lambda f: self._ctx.logger.failure("call_each", f.value))
        if nodes:
            await done
        return dict(got)

    async def hold(self, log: str, gone: str | None = None) -> Leaseholder:
        """Takes the lease of a log, settles its tail and returns the leaseholder, ready to write.

        `gone` names a leaseholder that is known to be gone, or is empty where nobody is known to hold the log: then
        nothing is
        waited for. Only for logs whose work may be done twice.
        """
        h = Leaseholder(self._ctx, self, log)
        try:
            await h.take(gone)
        except BaseException:
            h.lost = "not taken"
            self._ctx.run_in_background(self._give_back(h), "give_back")
            raise
        self.leaseholders[log] = h
        return h

    async def _give_back(self, h: Leaseholder):
        """What some storage nodes granted of a lease that was not taken, so that another need not wait until it
        lapses.
        """
        for storage_node, epoch in h.granted.items():
            ask = RenewRequest(leaseholder=self._ctx.node, held=[HeldLease(log=h.log, epoch=epoch)], release=True)
            self._ctx.run_in_background(
                self.call_each([storage_node], "replicated_log.renew", ask, RenewResponse, ms(400)), "give_back"
            )

    def drop(self, h: Leaseholder):
        if self.leaseholders.get(h.log) is h:
            del self.leaseholders[h.log]

    async def _renew(self):
        by_storage_node: dict[str, list[Leaseholder]] = {}
        for h in list(self.leaseholders.values()):
            h.renewing()
            for d in h.placement_group.all_nodes:
                by_storage_node.setdefault(d, []).append(h)
        for storage_node, leaseholders in by_storage_node.items():
            spawn(self._renew_at(storage_node, leaseholders)).addErrback(lambda f: None)

    async def _renew_at(self, storage_node: str, leaseholders: list[Leaseholder]):
        asked = self._ctx.timers.now()
        ask = RenewRequest(leaseholder=self._ctx.node, held=[HeldLease(log=h.log, epoch=h.epoch) for h in leaseholders])
        r = await self.ask(storage_node, "replicated_log.renew", ask, RenewResponse)
        kept = set(r.kept)
        for h in leaseholders:
            if h.log in kept:
                h.renewed(storage_node, asked, r.room)

    async def release(self, leaseholders: list[Leaseholder]):
        by_storage_node: dict[str, list[HeldLease]] = {}
        for h in leaseholders:
            h.lapse("released")
            for d in h.placement_group.all_nodes:
                by_storage_node.setdefault(d, []).append(HeldLease(log=h.log, epoch=h.epoch))
        for storage_node, held in by_storage_node.items():
            ask = RenewRequest(leaseholder=self._ctx.node, held=held, release=True)
            await self.call_each([storage_node], "replicated_log.renew", ask, RenewResponse, ms(400))

    async def states(self, logs: list[str]) -> dict[str, LogState]:
        """What is surely durable of each log, by a majority of its storage nodes; logs without one are left out."""
        by_storage_node: dict[str, list[str]] = {}
        for log in logs:
            for d in self.placement_group(log).all_nodes:
                by_storage_node.setdefault(d, []).append(log)
        heard: dict[str, dict[str, LogState]] = {log: {} for log in logs}
        done = defer.Deferred(lambda _: None)
        left = len(by_storage_node)

        def finish():
            if not done.called:
                done.callback(None)

        async def one(storage_node, names):
            nonlocal left
            r = (await self.call_each([storage_node], "replicated_log.states", StatesRequest(logs=names), States)).get(
                storage_node
            )
            for s in r.states if r else ():
                heard[s.log][storage_node] = s
            left -= 1
            if not left:
                finish()
            elif all(self.placement_group(log).is_quorum(states) for log, states in heard.items()):
                self._ctx.timers.call_later(GRACE, finish)

        for d, n in by_storage_node.items():
            self._ctx.run_in_background(one(d, n), "states")
        if by_storage_node:
            await done
        out = {}
        for log, states in heard.items():
            placement_group = self.placement_group(log)
            if placement_group.is_quorum(states):
                out[log] = agreed(placement_group, states)
        return out

    async def list(self, prefix: str) -> dict[str, LogState]:
        """Every log whose name starts so, as far as the storage nodes that answer know them."""
        return (await self._list(ListRequest(prefix=prefix)))[0]

    async def list_open(self, prefix: str) -> tuple[dict[str, LogState], bool]:
        """Those that some storage node has as not final, and whether enough storage nodes answered that none was
        missed.

        Goes on once a majority of each placement group answered: what is durable is on one of them, so a storage node
        that is away holds
        nobody up.
        """
        return await self._list(ListRequest(prefix=prefix, open_only=True))

    async def _list(self, ask: ListRequest) -> tuple[dict[str, LogState], bool]:
        placement_groups = [self._ctx.cluster.placement_group(n) for n in range(self._ctx.cluster.placement_groups)]
        storage_nodes = sorted({d for s in placement_groups for d in s.everyone})
        enough = (lambda g: all(s.is_quorum(g) for s in placement_groups)) if ask.open_only else None
        got = await self.call_each(storage_nodes, "replicated_log.list", ask, States, secs(1), enough=enough)
        heard: dict[str, dict[str, LogState]] = {}
        for storage_node, r in got.items():
            for s in r.states:
                heard.setdefault(s.log, {})[storage_node] = s
        found = {log: agreed(self.placement_group(log), states) for log, states in heard.items()}
        return found, all(s.is_quorum(got) for s in placement_groups)

    async def read(self, log: str, position: int, length: int) -> bytes:
        """Reads one span from the durable log, whole or not at all; where one storage node is slow, from the next as
        well.
        """
        nodes = list(self.placement_group(log).all_nodes)
        self._ctx.rng.shuffle(nodes)
        nodes.sort(key=lambda n: self._ctx.membership.status(n) != "alive")
        got: list[bytes] = []
        waiting: list[defer.Deferred] = []

        async def one(node):
            got.append(await self.read_from(node, log, position, length))
            for d in waiting:
                d.called or d.callback(None)

        def whole():
            return next((data for data in got if len(data) >= length), None)

        for n, node in enumerate(nodes, 1):
            self._ctx.run_in_background(one(node), "read")
            until = self._ctx.timers.now() + (HEDGE if n < len(nodes) else READ_LIMIT)
            while whole() is None and len(got) < n and self._ctx.timers.now() < until:
                waiting[:] = [defer.Deferred(lambda _: None)]
                await self._ctx.timers.wait_at_most(waiting[0], until - self._ctx.timers.now())
            if whole() is not None:
                return whole()
        raise NoQuorum(f"{log}: bytes {position} to {position + length} could not be read")

    async def read_from(self, node: str, log: str, position: int, length: int) -> bytes:
        """What one storage node shows of a span: less than all of it where it has less or cannot be heard."""
        out = b""
        while len(out) < length:
            ask = ReadRequest(log=log, position=position + len(out), length=min(MAX_SPAN, length - len(out)))
            try:
                data = (await self.ask(node, "replicated_log.read", ask, ReadResponse, READ_LIMIT)).data
            except WireError:
                break
            if not data:
                break
            out += data
        return out


def agreed(placement_group: PlacementGroup, states: dict[str, LogState]) -> LogState:
    """The longest length that is surely committed: told as such, or held by majorities under one tail epoch."""
    best = LogState(log=next(iter(states.values())).log)
    best.committed = max(s.committed for s in states.values())
    for epoch in {s.tail_epoch for s in states.values()}:
        held = {d: s.length for d, s in states.items() if s.tail_epoch == epoch}
        if placement_group.is_quorum(held):
            best.committed = max(best.committed, placement_group.quorum_position(held))
    best.epoch = max(s.epoch for s in states.values())
    best.tail_epoch = max(s.tail_epoch for s in states.values())
    best.length = best.committed
    best.final = any(s.final and s.length <= best.committed for s in states.values())
    for s in states.values():
        if s.leaseholder and s.lease_ms >= best.lease_ms:
            best.leaseholder, best.lease_ms = s.leaseholder, s.lease_ms
    return best
