"""Chooses which changes of placement groups end and begin next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from ..cluster import ClusterState
from ..context import Context
from ..replicated_log.placement_group import PlacementGroup
from ..wire.cluster_pb2 import PlacementGroupRow
from .interfaces import ConsensusView
from .storage_nodes import StorageNodeView, StorageStatus
from .zones import count_by_zone, zone_of

__all__ = ["CaughtUpReplica", "PlacementPlanner", "replicas_per_node"]

MAX_CONCURRENT_CHANGES = 16
"""At most so many placement groups change their storage nodes at the same time."""
MAX_CAUGHT_UP = 10_000


@attrs.frozen
class CaughtUpReplica:
    """A storage node has copied all that a placement group's change at this sequence asks it to copy."""

    placement_group: int
    sequence: int
    storage_node: str


def replicas_per_node(cluster_state: ClusterState) -> Counter[str]:
    """Returns of how many placement groups each storage node has a replica, or is to have one."""
    return Counter(
        node
        for group in cluster_state.placement_groups.values()
        for node in (*group.storage_nodes, group.joining)
        if node
    )


def _start_change(group: PlacementGroupRow, leaving: str, joining: str) -> PlacementGroupRow:
    """Returns the placement group at the beginning of a change: one node leaves, one joins, or both."""
    return PlacementGroupRow(
        number=group.number,
        sequence=group.sequence + 1,
        storage_nodes=group.storage_nodes,
        joining=joining,
        leaving=leaving,
    )


class PlacementPlanner:
    """Chooses changes that keep each placement group on enough live storage nodes over distinct zones.

    One storage node of a placement group changes at a time, and a change ends once those that are to have the replicas
    have reported that they do. The planner owns these reports.
    """

    def __init__(self, ctx: Context, consensus: ConsensusView, storage_nodes: StorageNodeView) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._storage_nodes = storage_nodes
        self._caught_up: set[CaughtUpReplica] = set()

    def add_caught_up(self, replica: CaughtUpReplica) -> None:
        """Notes a storage node's report; old reports are dropped, since storage nodes repeat them."""
        self._caught_up.add(replica)
        if len(self._caught_up) > MAX_CAUGHT_UP:
            self._caught_up.clear()

    def initial_groups(self, storage_nodes: list[str], replicas: int) -> list[PlacementGroupRow]:
        """Returns the first placement groups, with so many replicas each, spread over these storage nodes."""
        load: Counter[str] = Counter()
        groups = []
        for number in range(self._ctx.settings.placement_groups):
            picked: list[str] = []
            while len(picked) < replicas:
                node = self._pick_storage_node(storage_nodes, picked, load)
                picked.append(node)
                load[node] += 1
            groups.append(PlacementGroupRow(number=number, sequence=1, storage_nodes=picked))
        return groups

    def next_changes(self) -> list[PlacementGroupRow]:
        """Returns changes that can end now, else those that can begin, else one that balances the replicas."""
        groups = sorted(self._consensus.cluster_state.placement_groups.values(), key=lambda group: group.number)
        changing = [group for group in groups if group.joining or group.leaving]
        finished_changes = [finished for group in changing if (finished := self._finished_change(group)) is not None]
        if finished_changes:
            return finished_changes
        load = replicas_per_node(self._consensus.cluster_state)
        startable = self._startable_changes(groups, changing, load)
        if startable or changing:
            return startable
        return self._rebalance(load, self._storage_nodes.serving())

    def _startable_changes(
        self, groups: list[PlacementGroupRow], changing: list[PlacementGroupRow], load: Counter[str]
    ) -> list[PlacementGroupRow]:
        """Returns the changes that begin now: repairs first, then what is retired, then the number of replicas."""
        startable: dict[int, PlacementGroupRow] = {}
        for plan_change in (self._replace_lost, self._replace_retiring, self._resize):
            for group in groups:
                if len(changing) + len(startable) >= MAX_CONCURRENT_CHANGES:
                    break
                if group in changing or group.number in startable:
                    continue
                change = plan_change(group, load)
                if change is not None:
                    load[change.joining] += 1
                    startable[group.number] = change
        return list(startable.values())

    def _finished_change(self, row: PlacementGroupRow) -> PlacementGroupRow | None:
        """Returns the placement group after its change, or as it was before where the joining node was lost meanwhile.

        None while the change has to go on.
        """
        group = PlacementGroup(row.number, row.sequence, tuple(row.storage_nodes), row.joining, row.leaving)
        if all(CaughtUpReplica(row.number, row.sequence, node) in self._caught_up for node in group.transfer_targets):
            storage_nodes = group.next_nodes
        elif any(self._storage_nodes.is_lost(node) for node in group.transfer_targets):
            storage_nodes = group.storage_nodes
        else:
            return None
        return PlacementGroupRow(number=row.number, sequence=row.sequence + 1, storage_nodes=storage_nodes)

    def _replace_lost(self, group: PlacementGroupRow, load: Counter[str]) -> PlacementGroupRow | None:
        lost = next((node for node in group.storage_nodes if self._storage_nodes.is_lost(node)), "")
        return self._replace(group, lost, load)

    def _replace_retiring(self, group: PlacementGroupRow, load: Counter[str]) -> PlacementGroupRow | None:
        statuses = self._consensus.cluster_state.storage_nodes
        retiring = (node for node in group.storage_nodes if statuses.get(node) == StorageStatus.RETIRING)
        return self._replace(group, next(retiring, ""), load)

    def _replace(self, group: PlacementGroupRow, leaving: str, load: Counter[str]) -> PlacementGroupRow | None:
        """Returns the change that replaces a storage node, or None where there is none to leave or to join."""
        if not leaving:
            return None
        staying = [node for node in group.storage_nodes if node != leaving]
        free = [node for node in self._storage_nodes.serving() if node not in group.storage_nodes]
        joining = self._pick_storage_node(free, staying, load)
        return _start_change(group, leaving, joining) if joining else None

    def _resize(self, group: PlacementGroupRow, load: Counter[str]) -> PlacementGroupRow | None:
        """Returns the change by one replica, where the settings ask for another number than the group has, or None."""
        replicas = self._ctx.settings.replica_count
        if len(group.storage_nodes) < replicas:
            joining = self._pick_storage_node(self._storage_nodes.serving(), group.storage_nodes, load)
            return _start_change(group, "", joining) if joining else None
        if len(group.storage_nodes) > replicas and self._all_alive(group):
            return _start_change(group, self._most_crowded(group, load), "")
        return None

    def _rebalance(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Returns a change that evens out zones or replicas, one at a time, or an empty list.

        Not while a placement group lacks one of its storage nodes: a change needs a majority of both its sets.
        """
        if not all(self._all_alive(group) for group in self._consensus.cluster_state.placement_groups.values()):
            return []
        change = self._rebalance_zones(load, serving)
        if change or len(serving) <= self._ctx.settings.replica_count:
            return change
        return self._rebalance_load(load, serving)

    def _rebalance_zones(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Moves a replica off the zone that has more of a placement group than it need have, to one with fewer."""
        for group in self._consensus.cluster_state.placement_groups.values():
            zones = self._zone_counts(group.storage_nodes)
            crowded = self._most_crowded(group, load)
            joining = self._pick_storage_node(serving, group.storage_nodes, load)
            if joining and zones[self._zone(joining)] + 1 < zones[self._zone(crowded)]:
                return [_start_change(group, crowded, joining)]
        return []

    def _rebalance_load(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Moves a replica to the storage node with the fewest, where zones stay as distinct as they were."""
        least_loaded = min(serving, key=lambda node: (load[node], node))
        for node in sorted(serving, key=lambda node: -load[node]):
            if load[node] - load[least_loaded] < 2:
                return []
            for group in self._consensus.cluster_state.placement_groups.values():
                if self._may_replace(group, node, least_loaded):
                    return [_start_change(group, node, least_loaded)]
        return []

    def _may_replace(self, group: PlacementGroupRow, leaving: str, joining: str) -> bool:
        """Returns whether the placement group's zones are as distinct after this change as before it."""
        if leaving not in group.storage_nodes or joining in group.storage_nodes:
            return False
        staying = self._zone_counts(node for node in group.storage_nodes if node != leaving)
        return staying[self._zone(joining)] <= staying[self._zone(leaving)]

    def _all_alive(self, group: PlacementGroupRow) -> bool:
        return all(self._ctx.membership.status(node) == "alive" for node in group.storage_nodes)

    def _most_crowded(self, group: PlacementGroupRow, load: Counter[str]) -> str:
        """Returns the placement group's node in the zone with the most of its replicas; of several the most loaded."""
        zones = self._zone_counts(group.storage_nodes)
        return max(group.storage_nodes, key=lambda node: (zones[self._zone(node)], load[node], node))

    def _pick_storage_node(self, storage_nodes: Iterable[str], existing: Iterable[str], load: Counter[str]) -> str:
        """Returns the best node to join these others, in a zone with few of them and with a low load.

        An empty string where all candidates are among the others.
        """
        taken = list(existing)
        zones = self._zone_counts(taken)
        free = [node for node in storage_nodes if node not in taken]
        return min(free, key=lambda node: (zones[self._zone(node)], load[node], node), default="")

    def _zone(self, node: str) -> str:
        return zone_of(self._ctx.membership, node)

    def _zone_counts(self, nodes: Iterable[str]) -> Counter[str]:
        return count_by_zone(self._ctx.membership, nodes)
