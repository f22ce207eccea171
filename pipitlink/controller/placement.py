"""Places placement groups on storage nodes and moves them off lost or retiring ones."""

from collections import Counter
from datetime import timedelta

from ..cluster import ClusterState
from ..errors import ApiError
from ..timers import ZERO, RepeatingCall, ms, secs
from ..wire.cluster_pb2 import Command, PlacementGroupRow, StorageNodeEdit
from ..wire.cluster_pb2 import Placement as PlacementRow
from ..wire.membership_pb2 import Member
from ..wire.replicated_log_pb2 import CaughtUp
from .moves import Moves

__all__ = ["Placement"]

SETTLE = secs(1)
FEWER_AFTER = secs(5)
BACK_SPAN = secs(15)
LEAST_COPIES = 3
LOOK_INTERVAL = ms(100)
IDLE_LOOK = ms(300)


class Placement(Moves):
    """Mixin: the leader places placement groups on storage nodes, zones kept distinct where possible, and moves them
    off lost ones.

    Offers `_open_placement_timers` and `check_retirement`.
    Needs of the node: `_ctx`, `archive`, `cluster_state`, `commit`, `state`; of Gateways: `edit`, `followers`,
    `_in_effect`; of Leading and Voting: `_propose`, `_elected_at`, `term`.
    Owns `_caught_up_placement_groups` and `_look_at_placement`.
    """

    def _open_placement(self):
        self._caught_up_placement_groups: set[tuple[int, int, str]] = set()
        self._look_at_placement: RepeatingCall | None = None
        self._ctx.rpc.register_handler("controller.caught_up", CaughtUp, self._told_caught_up)

    def _open_placement_timers(self):
        every, report = self._ctx.timers.call_repeatedly, self._ctx.error_reporter
        self._look_at_placement = every(
            LOOK_INTERVAL, self._placement_beat, report("placement"), idle_time=self._placement_due
        )
        witnesses = every(LOOK_INTERVAL, self._witnesses_beat, report("witnesses"), idle_time=self._witnesses_due)
        self.lead_timers += [self._look_at_placement, witnesses]

    async def _told_caught_up(self, node, told: CaughtUp):
        self._caught_up_placement_groups.add((told.placement_group, told.sequence, told.storage_node))
        if len(self._caught_up_placement_groups) > 10_000:
            self._caught_up_placement_groups.clear()
        self._look_at_placement.wake()

    def _placement_due(self) -> timedelta | None:
        return IDLE_LOOK if self.state == "leader" else None

    def _witnesses_due(self) -> timedelta | None:
        if self.state != "leader":
            return None
        return (
            ZERO
            if self.cluster_state.confirmed_witness_change != self.cluster_state.witnesses_changed_at
            else IDLE_LOOK
        )

    def _may_place(self) -> bool:
        agreed = self.state == "leader" and self.archive.term_at(self.commit) == self.term
        return agreed and self._ctx.timers.now() - self._elected_at >= SETTLE

    async def _witnesses_beat(self):
        """Settles the last change of the witnesses, then makes the next."""
        if not self._may_place():
            return
        await self._settle_witnesses()
        if self.cluster_state.confirmed_witness_change == self.cluster_state.witnesses_changed_at:
            await self._admit_storage_node() or await self._let_storage_node_go()

    async def _placement_beat(self):
        if not self._may_place():
            return
        if not self.cluster_state.placement_groups:
            await self._first_placement_groups()
            return
        rows = self._next_moves()
        if rows:
            await self._propose(Command(placement=PlacementRow(placement_groups=rows)))
            for r in rows:
                self._ctx.logger.info(
                    "placement_group",
                    placement_group=r.number,
                    sequence=r.sequence,
                    storage_nodes=",".join(r.storage_nodes),
                    joining=r.joining,
                    leaving=r.leaving,
                )

    async def _proved(self, c: Command):
        """One change of the witnesses at a time, each in effect before the next, by more than half of them."""
        await self.edit(c, secs(3))

    async def _settle_witnesses(self):
        """Says in the cluster state that the last change of the witnesses is in effect; only then is half of them
        enough.
        """
        at = self.cluster_state.witnesses_changed_at
        if at != self.cluster_state.confirmed_witness_change and self._in_effect(at):
            await self._propose(Command(witness_change=at))

    async def _admit_storage_node(self) -> bool:
        for m in self._newcomers(self.cluster_state):
            if m.node not in self.followers:
                continue
            await self._proved(
                Command(storage_node=StorageNodeEdit(storage_node=m.node, status="serving", name=m.name))
            )
            self._ctx.logger.info("storage_node_admitted", storage_node=m.node, zone=m.zone)
            return True
        return False

    def _name_retired(self, name: str) -> bool:
        """Whether a storage node of this name was retired: its machine is on its way out, also with an empty disk."""
        return bool(name) and any(
            self.cluster_state.storage_nodes[d] != "serving"
            for d, n in self.cluster_state.storage_node_names.items()
            if n == name
        )

    async def _let_storage_node_go(self) -> bool:
        """A storage node that keeps no placement group any more: a retired one may be switched off, a lost one is
        taken off.
        """
        for storage_node, status in self.cluster_state.storage_nodes.items():
            if not self.cluster_state.placement_groups or self._holds(self.cluster_state)[storage_node]:
                continue
            if status == "retiring" or (status != "retired" and self._lost(storage_node)):
                goal = "retired" if status == "retiring" else "removed"
                await self._proved(Command(storage_node=StorageNodeEdit(storage_node=storage_node, status=goal)))
                self._ctx.logger.info("storage_node_let_go", storage_node=storage_node, status=goal)
                return True
        return False

    async def _first_placement_groups(self):
        if self._newcomers(self.cluster_state):
            return
        storage_nodes = self._serving()
        copies = self._ctx.settings.replica_count
        if len(storage_nodes) < copies:
            waited = self._ctx.timers.now() - self._elected_at > FEWER_AFTER
            if not waited or len(storage_nodes) < LEAST_COPIES:
                return
            copies = LEAST_COPIES
        held: Counter = Counter()
        rows = []
        for n in range(self._ctx.settings.placement_groups):
            picked: list[str] = []
            while len(picked) < copies:
                picked.append(self._pick_storage_node(storage_nodes, picked, held))
                held[picked[-1]] += 1
            rows.append(PlacementGroupRow(number=n, sequence=1, storage_nodes=picked))
        await self._propose(Command(placement=PlacementRow(placement_groups=rows)))
        self._ctx.logger.info("shelved", placement_groups=len(rows), storage_nodes=len(storage_nodes))

    def check_retirement(self, cluster_state: ClusterState, storage_node: str):
        """Refuses where too few machines would be left; one that is away for a while, or not admitted yet, counts."""
        rest = [
            d
            for d, s in cluster_state.storage_nodes.items()
            if s == "serving" and d != storage_node and not self._replaced(d)
        ]
        copies = self._ctx.settings.replica_count
        left = len(rest) + len(self._newcomers(cluster_state))
        if left < copies:
            soon = left + self._just_gone(cluster_state) >= copies
            raise ApiError(
                f"{left} storage nodes would be left and each placement group needs {copies}",
                code="too_few_copies_now" if soon else "too_few_copies",
                status=503 if soon else 409,
                outcome="not_run",
                retry_after=1 if soon else 0,
            )

    def _just_gone(self, cluster_state: ClusterState) -> int:
        """How many were taken off the cluster state a short while ago, and may be back at any time."""
        return sum(
            m.node not in cluster_state.storage_nodes
            and self._ctx.membership.time_in_status(m.node) < BACK_SPAN
            and not self._replaced(m.node)
            for m in self._ctx.membership.members("storage", statuses=("gone",))
        )

    def _newcomers(self, cluster_state: ClusterState) -> list[Member]:
        """Live storage nodes that are still to be admitted."""
        return [
            m
            for m in self._ctx.membership.members("storage", statuses=("alive",))
            if m.node not in cluster_state.storage_nodes and not self._name_retired(m.name)
        ]
