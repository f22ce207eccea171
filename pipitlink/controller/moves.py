"""Which moves of placement groups end and begin next."""

from collections import Counter

from ..cluster import ClusterState
from ..replicated_log.placement_group import PlacementGroup
from ..timers import secs
from ..wire.cluster_pb2 import PlacementGroupRow

__all__ = ["Moves"]

REPAIR_AFTER = secs(5)
SUCCESSOR_SPAN = secs(15)
MET_TOGETHER = secs(2)
MAX_MOVES = 16


class Moves:
    """Mixin: chooses the moves that keep each placement group on enough live storage nodes over distinct zones.

    Needs `_caught_up_placement_groups`, `cluster_state` and the membership. One storage node of a placement group
    moves at a time, and a move ends once those that are to hold the copies have said that they do.
    """

    def _holds(self, cluster_state: ClusterState) -> Counter:
        return Counter(d for s in cluster_state.placement_groups.values() for d in (*s.storage_nodes, s.joining) if d)

    def _zone(self, node: str) -> str:
        m = self._ctx.membership.find(node)
        return m.zone if m is not None else ""

    def _zones(self, storage_nodes) -> Counter:
        return Counter(self._zone(d) for d in storage_nodes)

    def _lost(self, storage_node: str) -> bool:
        status = self._ctx.membership.status(storage_node)
        if status not in ("unknown", "gone"):
            return False
        away = (
            self._ctx.timers.now() - self._elected_at
            if status == "unknown"
            else self._ctx.membership.since(storage_node)
        )
        if status == "unknown" and away <= REPAIR_AFTER:
            return self._replaced(storage_node)
        return away > REPAIR_AFTER or self._replaced(storage_node) or self._successor_met(storage_node)

    def _replaced(self, storage_node: str) -> bool:
        """Its name is in the cluster state, so that it is known also where no controller has met it since all of them
        started.
        """
        name = self.cluster_state.storage_node_names.get(storage_node, "")
        return self._ctx.membership.replaced(storage_node, name)

    def _successor_met(self, storage_node: str) -> bool:
        """A storage node was met a while after this one, and lately: it is taken for its successor, and nothing is
        waited for.
        """
        met = self._ctx.membership.met_ago(storage_node) - MET_TOGETHER
        return any(
            self._ctx.membership.met_ago(m.node) < min(met, SUCCESSOR_SPAN)
            and self.cluster_state.storage_nodes.get(m.node) == "serving"
            for m in self._ctx.membership.members("storage", status=("alive",))
        )

    def _serving(self) -> list[str]:
        return [
            d
            for d, s in self.cluster_state.storage_nodes.items()
            if s == "serving" and self._ctx.membership.status(d) == "alive"
        ]

    def _pick_storage_node(self, storage_nodes, beside, held) -> str:
        zones = self._zones(beside)
        free = [d for d in storage_nodes if d not in beside]
        return min(free, key=lambda d: (zones[self._zone(d)], held[d], d), default="")

    def _next_moves(self) -> list[PlacementGroupRow]:
        """Moves that can end now, else those that can begin; one storage node of a placement group at a time."""
        groups = sorted(self.cluster_state.placement_groups.values(), key=lambda s: s.number)
        moving = [s for s in groups if s.joining or s.leaving]
        ending = [row for s in moving if (row := self._ended(s)) is not None]
        if ending:
            return ending
        held = self._holds(self.cluster_state)
        starting: dict[int, PlacementGroupRow] = {}
        for begin in (self._off_lost, self._off_retiring, self._resized):
            for s in groups:
                if s in moving or s.number in starting or len(moving) + len(starting) >= MAX_MOVES:
                    continue
                row = begin(s, held)
                if row is not None:
                    held[row.joining] += 1
                    starting[s.number] = row
        return list(starting.values()) or ([] if moving else self._evening_out(held, self._serving()))

    def _ended(self, s: PlacementGroupRow) -> PlacementGroupRow | None:
        """The placement group after its move, or as it was where the storage node that joins was lost meanwhile."""
        group = PlacementGroup(s.number, s.sequence, tuple(s.storage_nodes), s.joining, s.leaving)
        if all((s.number, s.sequence, d) in self._caught_up_placement_groups for d in group.copying):
            storage_nodes = group.next_nodes
        elif any(self._lost(d) for d in group.copying):
            storage_nodes = group.storage_nodes
        else:
            return None
        return PlacementGroupRow(number=s.number, sequence=s.sequence + 1, storage_nodes=storage_nodes)

    def _off_lost(self, s: PlacementGroupRow, held: Counter) -> PlacementGroupRow | None:
        return self._replacement(s, next((d for d in s.storage_nodes if self._lost(d)), ""), held)

    def _off_retiring(self, s: PlacementGroupRow, held: Counter) -> PlacementGroupRow | None:
        statuses = self.cluster_state.storage_nodes
        return self._replacement(s, next((d for d in s.storage_nodes if statuses.get(d) == "retiring"), ""), held)

    def _replacement(self, s: PlacementGroupRow, leaving: str, held: Counter) -> PlacementGroupRow | None:
        if not leaving:
            return None
        beside = [d for d in s.storage_nodes if d != leaving]
        joining = self._pick_storage_node([d for d in self._serving() if d not in s.storage_nodes], beside, held)
        return self._move(s, leaving, joining) if joining else None

    def _resized(self, s: PlacementGroupRow, held: Counter) -> PlacementGroupRow | None:
        """One copy more or one less, where the losses to bear ask for another number than the placement group has."""
        want = self._ctx.settings.copies
        if len(s.storage_nodes) < want:
            joining = self._pick_storage_node(self._serving(), s.storage_nodes, held)
            return self._move(s, "", joining) if joining else None
        if len(s.storage_nodes) > want and all(self._ctx.membership.status(d) == "alive" for d in s.storage_nodes):
            zones = self._zones(s.storage_nodes)
            leaving = max(s.storage_nodes, key=lambda d: (zones[self._zone(d)], held[d], d))
            return self._move(s, leaving, "")
        return None

    def _move(self, s: PlacementGroupRow, leaving: str, joining: str) -> PlacementGroupRow:
        return PlacementGroupRow(
            number=s.number, sequence=s.sequence + 1, storage_nodes=s.storage_nodes, joining=joining, leaving=leaving
        )

    def _evening_out(self, held: Counter, serving: list[str]) -> list[PlacementGroupRow]:
        """A new storage node takes a fair share, one placement group at a time, where zones stay as distinct as they
        were.

        Not while a placement group lacks one of its storage nodes: a move needs a majority of both its sets.
        """
        groups = self.cluster_state.placement_groups.values()
        if any(self._ctx.membership.status(d) != "alive" for s in groups for d in s.storage_nodes):
            return []
        spread = self._spreading_out(held, serving)
        if spread or len(serving) <= self._ctx.settings.copies:
            return spread
        low = min(serving, key=lambda d: (held[d], d))
        for high in sorted(serving, key=lambda d: -held[d]):
            if held[high] - held[low] < 2:
                return []
            for s in groups:
                rest = self._zones(d for d in s.storage_nodes if d != high)
                if (
                    high in s.storage_nodes
                    and low not in s.storage_nodes
                    and rest[self._zone(low)] <= rest[self._zone(high)]
                ):
                    return [self._move(s, high, low)]
        return []

    def _spreading_out(self, held: Counter, serving: list[str]) -> list[PlacementGroupRow]:
        """Off the zone that has more of a placement group than it need have, to one with fewer."""
        for s in self.cluster_state.placement_groups.values():
            zones = self._zones(s.storage_nodes)
            crowded = max(s.storage_nodes, key=lambda d: (zones[self._zone(d)], held[d], d))
            joining = self._pick_storage_node(serving, s.storage_nodes, held)
            if joining and zones[self._zone(joining)] + 1 < zones[self._zone(crowded)]:
                return [self._move(s, crowded, joining)]
        return []
