"""The writing side of a replicated log: lease, epoch, append, commit."""

from datetime import timedelta

from twisted.internet import defer

from ..disk import encode_frame
from ..errors import LeaseNotHeld, NoQuorum, RemoteError, StaleEpoch, StorageFull, WireError
from ..timers import ZERO, ms, secs, spawn, wall_ms
from ..wire.frame_pb2 import Empty
from ..wire.replicated_log_pb2 import (
    LeaseRequest,
    LeaseResponse,
    LogState,
    MarkRequest,
    States,
    StatesRequest,
    WriteRequest,
    WriteResponse,
)
from .placement_group import PlacementGroup
from .spans import LEASEHOLDER_VALIDITY

__all__ = ["Leaseholder"]

WRITE_LIMIT = secs(2)
RETRY_INTERVAL = ms(150)
IDLE_INTERVAL = secs(1)
MOVED_SPAN = secs(1.5)
MAX_WRITE = 4 * 1024 * 1024


class Leaseholder:
    """The one owner of a log while its lease lasts: settles the tail it found, then appends to all replicas."""

    def __init__(self, ctx, replicated_log, log: str):
        self._ctx = ctx
        self._replicated_log = replicated_log
        self.log = log
        self.epoch = 0
        self.placement_group = replicated_log.placement_group(log)
        self.data = bytearray()
        self.committed = 0
        self.final = False
        self.closed_ms = 0
        self.lost = ""
        self.granted: dict[str, int] = {}
        self._states: dict[str, LogState] = {}
        self._renewals: dict[str, timedelta] = {}
        self._no_room: set[str] = set()
        self._room: dict[str, int] = {}
        self._sending: set[str] = set()
        self._waiters: list[tuple[int, defer.Deferred]] = []
        self._reserved = False
        self._best = (0, 0)
        self._moved: PlacementGroup | None = None
        self._moved_at = ZERO
        self._watchers: list = []

    def held(self) -> bool:
        """By the own clock, and earlier than the storage nodes' view ends."""
        return not self.lost and self._renewed_by_majority()

    def _renewed_by_majority(self) -> bool:
        """Or by one of the placement group as it was until a short while ago: a storage node that joins it is only
        asked to renew since.
        """
        now = self._ctx.timers.now()
        kept = [d for d, at in self._renewals.items() if now - at < LEASEHOLDER_VALIDITY]
        return (
            self.placement_group.is_quorum(kept)
            or self._moved is not None
            and now - self._moved_at < MOVED_SPAN
            and self._moved.is_quorum(kept)
        )

    def renewing(self):
        self.look_again()
        if not self.lost and not self._renewed_by_majority():
            self.lapse("lease ran out")

    def look_again(self):
        """Follows its placement group where the cluster state has moved it.

        What storage nodes told before the move counts no longer: a later leaseholder may have been granted the log by
        a majority that a joining node does not know of, and that majority must refuse for the count to be told apart.
        """
        placement_group = self._replicated_log.placement_group(self.log)
        if placement_group.sequence > self.placement_group.sequence:
            self._moved, self._moved_at = self.placement_group, self._ctx.timers.now()
            self.placement_group = placement_group
            self._states.clear()
            if self.data and not self.lost:
                for n in placement_group.all_nodes:
                    self._send_to(n)

    def renewed(self, storage_node: str, asked: timedelta, room: int):
        self._room[storage_node] = room
        self._renewals[storage_node] = max(asked, self._renewals.get(storage_node, asked))

    def lapse(self, why: str):
        if self.lost:
            return
        self.lost = why
        self._replicated_log.drop(self)
        self._ctx.logger.info("lease_lost", log=self.log, epoch=self.epoch, why=why)
        waiters, self._waiters = self._waiters, []
        for _, d in waiters:
            d.errback(LeaseNotHeld(f"{self.log}: {why}"))
        for do in self._watchers:
            do(self)

    def watch(self, do):
        self._watchers.append(do)

    async def take(self, gone: str | None = None):
        epoch = 1
        for _ in range(4):
            asked = self._ctx.timers.now()
            ask = LeaseRequest(
                log=self.log,
                leaseholder=self._ctx.node,
                epoch=epoch,
                placement_group_sequence=self.placement_group.sequence,
                usurp=gone is not None,
                gone=gone or "",
            )
            got = await self._replicated_log.call_each(
                self.placement_group.all_nodes,
                "replicated_log.lease",
                ask,
                LeaseResponse,
                enough=lambda g: self.placement_group.is_quorum([n for n, r in g.items() if r.granted]),
            )
            granted = [n for n, r in got.items() if r.granted]
            self.granted.update((n, epoch) for n in granted)
            if self.placement_group.is_quorum(granted):
                break
            self._refuse_to_duel(got)
            if not self.placement_group.is_quorum(got):
                raise NoQuorum(
                    f"{self.log}: {len(got)} of {len(self.placement_group.all_nodes)} storage nodes answered"
                )
            epoch = max(r.state.epoch for r in got.values()) + 1
        else:
            raise LeaseNotHeld(f"{self.log}: outbid")
        self.epoch = epoch
        for n in granted:
            self.renewed(n, asked, got[n].room)
            self._states[n] = got[n].state
        await self._recover_tail(granted)

    def _refuse_to_duel(self, got: dict[str, LeaseResponse]):
        """A live lease is known to a majority, so those that cannot know of one yet count only where they are needed
        for it.
        """
        for r in got.values():
            if r.why == "held" and not r.granted:
                raise LeaseNotHeld(f"{self.log} is held", r.state.leaseholder)
        know = [n for n, r in got.items() if r.why != "just_started"]
        if not self.placement_group.is_quorum(know) and len(know) < len(got):
            raise LeaseNotHeld(f"{self.log} may be held")

    async def _recover_tail(self, granted):
        """Makes the newest-epoch tail that a majority shows durable under the own epoch."""
        best = max(granted, key=lambda n: (self._states[n].tail_epoch, self._states[n].length))
        state = self._states[best]
        if state.length:
            self.data = bytearray(await self._replicated_log.read_from(best, self.log, 0, state.length))
            if len(self.data) != state.length:
                raise NoQuorum(f"{self.log}: {best} could not show its tail")
        self.final, self.closed_ms = state.final, state.closed_ms
        self._best = (state.tail_epoch, state.length)
        self.committed = max(s.committed for s in self._states.values())
        if state.length:
            await self._reach(state.length, restamp=True)

    async def append(self, records: list[bytes], final: bool = False, reserved: bool = False) -> int:
        """Appends whole records; returns where they start, once a majority has synced them."""
        if not self.held():
            self.renewing()
            raise LeaseNotHeld(f"{self.log}: {self.lost or 'the lease is not current'}")
        if self.final:
            raise StaleEpoch(f"{self.log} is final")
        size = sum(len(r) + 64 for r in records)
        if not reserved and not self.placement_group.is_quorum([n for n, room in self._room.items() if room > size]):
            raise StorageFull(f"{self.log}: the storage nodes are out of room", sent=False)
        self._reserved = reserved
        self._no_room.clear()
        if final:
            self.final, self.closed_ms = True, wall_ms(self._ctx.timers.utc_now())
        start = len(self.data)
        self.data += b"".join(encode_frame(r) for r in records)
        await self._reach(len(self.data))
        return start

    async def wait_durable(self):
        """Returns once everything written so far is durable."""
        await self._reach(len(self.data))

    async def _reach(self, end: int, restamp: bool = False):
        d = defer.Deferred()
        if not restamp and self.committed >= end:
            return
        self._waiters.append((end, d))
        for n in self.placement_group.all_nodes:
            self._send_to(n)
        await self._ctx.timers.with_timeout(WRITE_LIMIT * 2, d)

    def _send_to(self, node: str):
        if node not in self._sending and not self.lost:
            self._sending.add(node)
            spawn(self._send(node)).addBoth(lambda r: self._sent(node, r))

    def _sent(self, node, r):
        self._sending.discard(node)
        if isinstance(r, Exception) or hasattr(r, "value"):
            self._ctx.logger.failure("send_failed", getattr(r, "value", r), log=self.log, storage_node=node)

    def _settled(self, state: LogState) -> bool:
        return state.tail_epoch == self.epoch and state.length == len(self.data) and state.final == self.final

    async def _send(self, node: str):
        """One task for each replica, while it lacks anything."""
        while not self.lost and node in self.placement_group.all_nodes:
            state = self._states.get(node)
            placement = self.placement_group
            try:
                if state is None:
                    told = await self._ask_state(node)
                elif self._settled(state):
                    return
                else:
                    told = await self._write_to(node, state)
                if self.placement_group is placement:
                    self._states[node] = told
            except RemoteError as e:
                if e.remote_code == "fenced":
                    self.lapse(str(e))
                    return
                if e.remote_code == "no_room":
                    self._full(node)
                    return
                if e.remote_code == "old_placement_group":
                    self.look_again()
                self._states.pop(node, None)
                await self._ctx.timers.sleep(RETRY_INTERVAL)
            except WireError as e:
                self._states.pop(node, None)
                self._ctx.logger.debug("replica_behind", log=self.log, storage_node=node, text=e)
                await self._ctx.timers.sleep(RETRY_INTERVAL if self._waiters else IDLE_INTERVAL)
            self._advance()

    async def _ask_state(self, node: str) -> LogState:
        r = await self._replicated_log.call(node, "replicated_log.states", StatesRequest(logs=[self.log]), States)
        return r.states[0]

    async def _write_to(self, node: str, state: LogState) -> LogState:
        if state.tail_epoch == self.epoch:
            start = state.length
        elif (state.tail_epoch, state.length) == self._best or state.tail_epoch == self._best[0]:
            start = min(state.length, self._best[1])
        else:
            start = min(state.committed, state.length)
        data = bytes(self.data[start:])
        final = self.final
        ask = WriteRequest(
            log=self.log,
            epoch=self.epoch,
            placement_group_sequence=self.placement_group.sequence,
            position=start,
            expect_tail_epoch=state.tail_epoch,
            expect_length=state.length,
            committed=self.committed,
            final=final,
            reserved=self._reserved,
            closed_ms=self.closed_ms,
        )
        while len(data) - ask.staged_bytes > MAX_WRITE:
            at = ask.staged_bytes
            part = WriteRequest(
                log=self.log, epoch=self.epoch, staged=True, position=at, data=data[at : at + MAX_WRITE]
            )
            await self._replicated_log.call(node, "replicated_log.write", part, WriteResponse, WRITE_LIMIT)
            ask.staged_bytes += len(part.data)
        ask.data = data[ask.staged_bytes :]
        r = await self._replicated_log.call(node, "replicated_log.write", ask, WriteResponse, WRITE_LIMIT)
        return r.state

    def _full(self, node):
        self._no_room.add(node)
        rest = [n for n in self.placement_group.all_nodes if n not in self._no_room]
        if not self.placement_group.is_quorum(rest):
            waiters, self._waiters = self._waiters, []
            for _, d in waiters:
                d.errback(StorageFull(f"{self.log}: the storage nodes are out of room"))
            self.lapse("no room")

    def _advance(self):
        marks = {n: s.length for n, s in self._states.items() if s.tail_epoch == self.epoch}
        if not self.placement_group.is_quorum(marks):
            return
        reached = self.placement_group.quorum_position(marks)
        ready = [w for w in self._waiters if w[0] <= reached]
        self._waiters = [w for w in self._waiters if w[0] > reached]
        if reached > self.committed or ready:
            self.committed = max(reached, self.committed)
            spawn(self._mark()).addErrback(lambda f: None)
            for do in self._watchers:
                do(self)
        for _, d in ready:
            if not d.called:
                d.callback(None)

    async def _mark(self):
        ask = MarkRequest(log=self.log, epoch=self.epoch, committed=self.committed)
        await self._replicated_log.call_each(self.placement_group.all_nodes, "replicated_log.mark", ask, Empty)
