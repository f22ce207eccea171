"""Brings a storage node's replicas up to date with those of its peers."""

from datetime import timedelta

from twisted.internet import defer

from ..errors import NoQuorum, ReplicatedLogError, StaleEpoch, WireError
from ..replicated_log.placement_group import PlacementGroup, majority
from ..timers import ZERO, ms, secs, spawn
from ..wire.frame_pb2 import Empty
from ..wire.replicated_log_pb2 import CaughtUp, Entry, ListRequest, LogState, States
from .grants import LEASE_SPAN

__all__ = ["Copying"]

JOIN_INTERVAL = ms(100)
TELL_INTERVAL = ms(500)
RETRY_INTERVAL = ms(300)
LOOK_INTERVAL = ms(300)
MEND_INTERVAL = secs(3)
ASK_LIMIT = secs(1)
COPY_KB_S = 16 * 1024
COPIES_AT_ONCE = 8


def _rank(s: LogState) -> tuple[int, int]:
    return s.tail_epoch, s.length


def _withered(s: LogState) -> bool:
    return s.final and not s.length


class Copying:
    """Mixin: a storage node brings its copies up to what a majority of the placement group holds, when it joins or has
    been away.

    Offers nothing to the node but its timers' work.
    Needs of the node: `_ctx`, `log_store`, `_group_commit`.
    Owns `_mine`, `_behind`, `_told`, `_led`, `_mend_at` and `_joins`.
    Shares `_quiet_groups` with Grants: a placement group that the node gets is added to it.
    """

    def _open_copying(self):
        self._mine: set[int] = set()
        self._behind: set[int] = set()
        self._led = False
        self._mend_at = ZERO
        self._told: dict[int, tuple[int, timedelta]] = {}
        self._ctx.cluster.add_listener(self._placement_groups_moved)
        every, report = self._ctx.timers.call_repeatedly, self._ctx.error_reporter
        self._joins = every(JOIN_INTERVAL, self._join_placement_groups, report("join"), idle_time=self._join_due)
        every(LOOK_INTERVAL, self._look_whether_away, report("away"))
        every(MEND_INTERVAL, self._mend_all, report("mend"))

    def _placement_groups(self) -> list[PlacementGroup]:
        cluster = self._ctx.cluster
        return [
            s
            for n in sorted(cluster.cluster_state.placement_groups)
            if self._ctx.node in (s := cluster.placement_group(n)).everyone
        ]

    def _placement_groups_moved(self):
        mine = {s.number for s in self._placement_groups()}
        for number in mine - self._mine:
            self._quiet_groups[number] = self._ctx.timers.now() + LEASE_SPAN
        self._mine = mine
        self._joins.wake()

    def _join_due(self) -> timedelta | None:
        if any(self._ctx.node in s.copying for s in self._placement_groups()):
            return ZERO
        return max(ZERO, self._mend_at - self._ctx.timers.now()) if self._behind else None

    async def _join_placement_groups(self):
        """Copies what the own placement groups need: those that move first, then those that may lack something."""
        for placement_group in sorted(self._placement_groups(), key=lambda s: not s.moving):
            if self._ctx.node in placement_group.transfer_targets:
                if not self._told_lately(placement_group) and await self._copy_placement_group(placement_group, True):
                    await self._tell_caught_up(placement_group)
            elif placement_group.number in self._behind and self._ctx.timers.now() >= self._mend_at:
                if await self._copy_placement_group(placement_group, False):
                    self._behind.discard(placement_group.number)
                else:
                    self._mend_at = self._ctx.timers.now() + RETRY_INTERVAL

    def _look_whether_away(self):
        """A storage node that heard no leader for a while may lack what was written meanwhile; so may one that
        started.
        """
        led = self._ctx.cluster.has_live_lease()
        if led and not self._led:
            self._mend_all()
        self._led = led

    def _mend_all(self):
        self._behind = {s.number for s in self._placement_groups()}
        self._joins.wake()

    def _told_lately(self, placement_group: PlacementGroup) -> bool:
        sequence, at = self._told.get(placement_group.number, (0, ZERO))
        return sequence == placement_group.sequence and self._ctx.timers.now() - at < TELL_INTERVAL

    async def _copy_placement_group(self, placement_group: PlacementGroup, joining: bool) -> bool:
        """True once this storage node holds all that a majority of the others, all at this placement, are seen to
        hold.
        """
        others = [d for d in placement_group.all_nodes if d != self._ctx.node]

        def at_this_placement(got) -> dict[str, States]:
            return {d: r for d, r in got.items() if r.placement_group_sequence >= placement_group.sequence}

        def enough(got) -> bool:
            return majority([*at_this_placement(got), self._ctx.node], placement_group.storage_nodes)

        got = await self._ctx.replicated_log.call_each(
            others,
            "replicated_log.list",
            ListRequest(placement_group=placement_group.number, one_placement_group=True),
            States,
            ASK_LIMIT,
            enough=enough,
        )
        if not enough(got):
            return False
        at = at_this_placement(got)
        best: dict[str, tuple[LogState, str]] = {}
        promised: dict[str, int] = {}
        for storage_node, r in at.items():
            for s in r.states:
                promised[s.log] = max(promised.get(s.log, 0), s.epoch)
                if s.log not in best or _rank(s) > _rank(best[s.log][0]):
                    best[s.log] = (s, storage_node)
        lacking = iter([(log, *b) for log, b in best.items() if self._lacks(log, b[0], joining and promised[log])])
        done = await defer.gatherResults(
            [spawn(self._copy_logs(lacking, promised if joining else {})) for _ in range(COPIES_AT_ONCE)],
            consumeErrors=True,
        )
        return all(done)

    def _lacks(self, log: str, state: LogState, promised: int) -> bool:
        mine = self.log_store.state(log)
        older = _rank(state) > _rank(mine) and not (_withered(mine) and mine.tail_epoch >= state.tail_epoch)
        return older or promised > mine.epoch

    async def _copy_logs(self, lacking, promised: dict[str, int]) -> bool:
        """One of several that share the work; true where nothing was put off."""
        whole = True
        for log, state, storage_node in lacking:
            try:
                if self._lacks(log, state, 0):
                    await self._copy_log(log, state, storage_node)
                epoch = promised.get(log, 0)
                if epoch > self.log_store.state(log).epoch:
                    await self._group_commit.submit(
                        lambda t, log=log, epoch=epoch: self.log_store.promise(log, epoch, t, granted=False)
                    )
            except (ReplicatedLogError, WireError) as e:
                self._ctx.logger.debug("copy_put_off", log=log, text=e)
                whole = False
        return whole

    async def _copy_log(self, log: str, state: LogState, storage_node: str):
        """Makes this copy the same as that storage node's, unsure tail and all, in one entry."""
        mine = self.log_store.state(log)
        start = mine.length if mine.tail_epoch == state.tail_epoch else min(mine.committed, state.length)
        data = await self._ctx.replicated_log.read_from(storage_node, log, start, state.length - start)
        if len(data) != state.length - start:
            raise NoQuorum(f"{log}: {storage_node} did not show all of it")
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
        done = self._group_commit.submit(lambda t: self.log_store.copy(e, mine.tail_epoch, mine.length, t))
        if done is None:
            raise StaleEpoch(f"{log} moved meanwhile")
        await done
        self.log_store.settle(log, state.tail_epoch, state.length, state.final)
        self._ctx.logger.info("copied", log=log, bytes=len(data), source=storage_node)
        await self._ctx.timers.sleep(secs(len(data) * COPIES_AT_ONCE / (COPY_KB_S * 1024)))

    async def _tell_caught_up(self, placement_group: PlacementGroup):
        told = CaughtUp(
            storage_node=self._ctx.node, placement_group=placement_group.number, sequence=placement_group.sequence
        )
        self._told[placement_group.number] = placement_group.sequence, self._ctx.timers.now()
        controllers = [m.node for m in self._ctx.membership.members("controller", include_self=False)]
        await self._ctx.replicated_log.call_each(controllers, "controller.caught_up", told, Empty, ms(500))
