"""Brings a storage node's replicas up to date with those of its peers."""

from ..errors import Fenced, NoMajority, ReplicatedLogError, WireError
from ..replicated_log.placement_group import PlacementGroup
from ..timers import ms, secs
from ..wire.frame_pb2 import Nothing
from ..wire.replicated_log_pb2 import CaughtUp, Entry, ListRequest, LogState, States
from .grants import LEASE_SPAN

__all__ = ["Copying"]

JOIN_INTERVAL = ms(500)
MEND_INTERVAL = secs(3)
ASK_LIMIT = secs(1)
COPY_KB_S = 16 * 1024


def _rank(s: LogState) -> tuple[int, int]:
    return s.tail_epoch, s.length


def _withered(s: LogState) -> bool:
    return s.final and not s.length


class Copying:
    """Mixin: a storage node brings its copies up to what a majority of the placement group holds, when it joins or has
    been away.

    Offers nothing to the node but its timers' work.
    Needs of the node: `_ctx`, `log_store`, `_syncer`.
    Owns `_mine`. Shares `_quiet_until` with Grants: it is put off when the node gets a new placement group.
    """

    def _open_copying(self):
        self._mine: set[int] = set()
        self._ctx.cluster.watch(self._placement_groups_moved)
        self._ctx.timers.every(JOIN_INTERVAL, self._join_placement_groups, self._ctx.report("join"))
        self._ctx.timers.every(MEND_INTERVAL, self._mend_placement_groups, self._ctx.report("mend"))

    def _placement_groups(self) -> list[PlacementGroup]:
        cluster = self._ctx.cluster
        return [
            s
            for n in sorted(cluster.cluster_state.placement_groups)
            if self._ctx.node in (s := cluster.placement_group(n)).everyone
        ]

    def _placement_groups_moved(self):
        mine = {s.number for s in self._placement_groups()}
        if mine - self._mine:
            self._quiet_until = self._ctx.timers.now() + LEASE_SPAN
        self._mine = mine

    async def _join_placement_groups(self):
        for placement_group in self._placement_groups():
            if placement_group.joining == self._ctx.node and await self._copy_placement_group(
                placement_group, joining=True
            ):
                await self._tell_caught_up(placement_group)

    async def _mend_placement_groups(self):
        for placement_group in self._placement_groups():
            if placement_group.joining != self._ctx.node:
                await self._copy_placement_group(placement_group, joining=False)

    async def _copy_placement_group(self, placement_group: PlacementGroup, joining: bool) -> bool:
        """True once this storage node holds all that a majority of the others, all at this placement, are seen to
        hold.
        """
        others = [d for d in placement_group.storage_nodes if d != self._ctx.node]
        got = await self._ctx.replicated_log.ask_each(
            others,
            "replicated_log.list",
            ListRequest(placement_group=placement_group.number, one_placement_group=True),
            States,
            ASK_LIMIT,
        )
        at = {d: r for d, r in got.items() if r.placement_group_sequence >= placement_group.sequence}
        if joining and not 2 * len(at) > len(placement_group.storage_nodes):
            return False
        best: dict[str, tuple[LogState, str]] = {}
        promised: dict[str, int] = {}
        for storage_node, r in at.items():
            for s in r.states:
                promised[s.log] = max(promised.get(s.log, 0), s.epoch)
                if s.log not in best or _rank(s) > _rank(best[s.log][0]):
                    best[s.log] = (s, storage_node)
        whole = True
        for log, (state, storage_node) in best.items():
            try:
                mine = self.log_store.state(log)
                if _rank(state) > _rank(mine) and not (_withered(mine) and mine.tail_epoch >= state.tail_epoch):
                    await self._copy_log(log, state, storage_node)
                if joining and promised[log] > self.log_store.state(log).epoch:
                    await self._syncer.put(
                        lambda t, log=log: self.log_store.promise(log, promised[log], t, granted=False)
                    )
            except (ReplicatedLogError, WireError) as e:
                self._ctx.journal.trace("copy_put_off", log=log, text=e)
                whole = False
        return whole

    async def _copy_log(self, log: str, state: LogState, storage_node: str):
        """Makes this copy the same as that storage node's, unsure tail and all, in one entry."""
        mine = self.log_store.state(log)
        start = mine.length if mine.tail_epoch == state.tail_epoch else min(mine.committed, state.length)
        data = await self._ctx.replicated_log.read_from(storage_node, log, start, state.length - start)
        if len(data) != state.length - start:
            raise NoMajority(f"{log}: {storage_node} did not show all of it")
        e = Entry(
            kind=Entry.WRITE,
            log=log,
            epoch=state.tail_epoch,
            position=start,
            data=data,
            final=state.final,
            committed=min(state.committed, state.length),
            closed_ms=state.closed_ms,
        )
        done = self._syncer.put(lambda t: self.log_store.copy(e, mine.tail_epoch, mine.length, t))
        if done is None:
            raise Fenced(f"{log} moved meanwhile")
        await done
        self.log_store.settle(log, state.tail_epoch, state.length, state.final)
        self._ctx.journal.note("copied", log=log, bytes=len(data), source=storage_node)
        await self._ctx.timers.pause(secs(len(data) / (COPY_KB_S * 1024)))

    async def _tell_caught_up(self, placement_group: PlacementGroup):
        told = CaughtUp(
            storage_node=self._ctx.node, placement_group=placement_group.number, sequence=placement_group.sequence
        )
        controllers = [m.node for m in self._ctx.membership.members("controller", me=False)]
        await self._ctx.replicated_log.ask_each(controllers, "controller.caught_up", told, Nothing, ms(500))
