"""Places placement groups on storage nodes and moves them off lost or retiring ones."""

from collections import Counter

from ..cluster import ClusterState
from ..errors import GatewayError
from ..timers import secs
from ..wire.cluster_pb2 import Command, PlacementGroupRow, StorageNodeEdit
from ..wire.cluster_pb2 import Placement as PlacementRow
from ..wire.replicated_log_pb2 import CaughtUp

__all__ = ["Placement"]

COPIES = 3
SETTLE = secs(1)
REPAIR_AFTER = secs(5)
MAX_MOVES = 4


class Placement:
    """Mixin: the leader places placement groups on storage nodes, zones kept distinct where possible, and moves them
    off lost ones.

    Offers `_shelve_beat` for the leader's timers, and `check_retirement`.
    Needs of the node: `_ctx`, `archive`, `cluster_state`, `commit`, `state`; of Gateways: `edit`, `followers`,
    `_in_effect`; of Leading and Voting: `_propose`, `_elected_at`, `term`.
    Owns `_caught_up_placement_groups`.
    """

    def _open_placement(self):
        self._caught_up_placement_groups: set[tuple[int, int, str]] = set()
        self._ctx.rpc.answer("controller.caught_up", CaughtUp, self._told_caught_up)

    async def _told_caught_up(self, node, told: CaughtUp):
        self._caught_up_placement_groups.add((told.placement_group, told.sequence, told.storage_node))
        if len(self._caught_up_placement_groups) > 10_000:
            self._caught_up_placement_groups.clear()

    async def _shelve_beat(self):
        if self.state != "leader" or self.archive.term_at(self.commit) != self.term:
            return
        if self._ctx.timers.now() - self._elected_at < SETTLE:
            return
        if await self._settle_witnesses():
            return
        if self.cluster_state.settled == self.cluster_state.witnesses_at and (
            await self._admit_storage_node() or await self._let_storage_node_go()
        ):
            return
        if not self.cluster_state.placement_groups:
            await self._first_placement_groups()
            return
        rows = self._next_moves()
        if rows:
            await self._propose(Command(placement=PlacementRow(placement_groups=rows)))
            for r in rows:
                self._ctx.journal.note(
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

    async def _settle_witnesses(self) -> bool:
        """Says in the cluster state that the last change of the witnesses is in effect; only then is half of them
        enough.
        """
        at = self.cluster_state.witnesses_at
        if at == self.cluster_state.settled or not self._in_effect(at):
            return False
        await self._propose(Command(settled=at))
        return True

    async def _admit_storage_node(self) -> bool:
        for m in self._ctx.membership.members("storage", status=("alive",)):
            if (
                m.node not in self.cluster_state.storage_nodes
                and m.node in self.followers
                and not self._name_retired(m.name)
            ):
                await self._proved(
                    Command(storage_node=StorageNodeEdit(storage_node=m.node, status="serving", name=m.name))
                )
                self._ctx.journal.note("storage_node_admitted", storage_node=m.node, zone=m.zone)
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
                self._ctx.journal.note("storage_node_let_go", storage_node=storage_node, status=goal)
                return True
        return False

    def _holds(self, cluster_state: ClusterState) -> Counter:
        return Counter(d for s in cluster_state.placement_groups.values() for d in (*s.storage_nodes, s.joining) if d)

    def _zone(self, storage_node: str) -> str:
        m = self._ctx.membership.find(storage_node)
        return m.zone if m is not None else ""

    def _lost(self, storage_node: str) -> bool:
        status = self._ctx.membership.status(storage_node)
        if status not in ("unknown", "gone"):
            return False
        away = (
            self._ctx.timers.now() - self._elected_at - REPAIR_AFTER
            if status == "unknown"
            else self._ctx.membership.since(storage_node)
        )
        return away > REPAIR_AFTER or self._replaced(storage_node)

    def _replaced(self, storage_node: str) -> bool:
        """Another storage node answers at its place or by its name: it lost its disk and cannot come back, so nothing
        is waited for.

        Its name is in the cluster state, so that it is known also where no controller has met it since all of them
        started.
        """
        m, name = self._ctx.membership.find(storage_node), self.cluster_state.storage_node_names.get(storage_node)
        return any(
            o.node != storage_node
            and (m is not None and (o.host, o.port) == (m.host, m.port) or name and o.name == name)
            for o in self._ctx.membership.members("storage", status=("alive",))
        )

    def _serving(self) -> list[str]:
        return [
            d
            for d, s in self.cluster_state.storage_nodes.items()
            if s == "serving" and self._ctx.membership.status(d) == "alive"
        ]

    async def _first_placement_groups(self):
        storage_nodes = self._serving()
        if len(storage_nodes) < COPIES:
            return
        held: Counter = Counter()
        rows = []
        for n in range(self._ctx.settings.placement_groups):
            picked: list[str] = []
            while len(picked) < COPIES:
                picked.append(self._pick_storage_node(storage_nodes, picked, held))
                held[picked[-1]] += 1
            rows.append(PlacementGroupRow(number=n, sequence=1, storage_nodes=picked))
        await self._propose(Command(placement=PlacementRow(placement_groups=rows)))
        self._ctx.journal.note("shelved", placement_groups=len(rows), storage_nodes=len(storage_nodes))

    def _pick_storage_node(self, storage_nodes, beside, held) -> str:
        zones = {self._zone(d) for d in beside}
        free = [d for d in storage_nodes if d not in beside]
        return min(free, key=lambda d: (self._zone(d) in zones, held[d], d), default="")

    def _next_moves(self) -> list[PlacementGroupRow]:
        """Moves that can end now, else a few that can begin; one replica of a placement group at a time."""
        ending, moving = [], 0
        for s in self.cluster_state.placement_groups.values():
            if not s.joining:
                continue
            moving += 1
            if (s.number, s.sequence, s.joining) in self._caught_up_placement_groups:
                storage_nodes = [s.joining if d == s.leaving else d for d in s.storage_nodes]
                ending.append(PlacementGroupRow(number=s.number, sequence=s.sequence + 1, storage_nodes=storage_nodes))
            elif self._lost(s.joining):
                ending.append(
                    PlacementGroupRow(number=s.number, sequence=s.sequence + 1, storage_nodes=s.storage_nodes)
                )
        if ending:
            return ending
        starting = []
        held = self._holds(self.cluster_state)
        serving = self._serving()
        for s in sorted(self.cluster_state.placement_groups.values(), key=lambda s: s.number):
            if s.joining or moving + len(starting) >= MAX_MOVES:
                continue
            leaving = next((d for d in s.storage_nodes if self._lost(d)), "") or next(
                (d for d in s.storage_nodes if self.cluster_state.storage_nodes.get(d) == "retiring"), ""
            )
            if leaving:
                beside = [d for d in s.storage_nodes if d != leaving]
                joining = self._pick_storage_node([d for d in serving if d not in s.storage_nodes], beside, held)
                if joining:
                    held[joining] += 1
                    starting.append(self._move(s, leaving, joining))
        return starting or ([] if moving else self._evening_out(held, serving))

    def _move(self, s: PlacementGroupRow, leaving: str, joining: str) -> PlacementGroupRow:
        return PlacementGroupRow(
            number=s.number, sequence=s.sequence + 1, storage_nodes=s.storage_nodes, joining=joining, leaving=leaving
        )

    def _evening_out(self, held: Counter, serving: list[str]) -> list[PlacementGroupRow]:
        """A new storage node takes a fair share, one placement group at a time, where zones stay as distinct as they
        were.

        Not while a placement group lacks one of its storage nodes: a move needs a majority of both its sets.
        """
        away = any(
            self._ctx.membership.status(d) != "alive"
            for s in self.cluster_state.placement_groups.values()
            for d in s.storage_nodes
        )
        if len(serving) <= COPIES or away:
            return []
        low = min(serving, key=lambda d: (held[d], d))
        for high in sorted(serving, key=lambda d: -held[d]):
            if held[high] - held[low] < 2:
                return []
            for s in self.cluster_state.placement_groups.values():
                rest = {self._zone(d) for d in s.storage_nodes if d != high}
                if (
                    high in s.storage_nodes
                    and low not in s.storage_nodes
                    and (self._zone(low) not in rest or self._zone(high) in rest)
                ):
                    return [self._move(s, high, low)]
        return []

    def check_retirement(self, cluster_state: ClusterState, storage_node: str):
        rest = [
            d
            for d, s in cluster_state.storage_nodes.items()
            if s == "serving" and d != storage_node and self._ctx.membership.status(d) == "alive"
        ]
        if len(rest) < COPIES:
            raise GatewayError(
                f"{len(rest)} live storage nodes would be left and each placement group needs {COPIES}",
                code="too_few_copies",
                status=409,
                outcome="not_run",
            )
