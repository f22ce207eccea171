"""Plans which changes of placement groups to start and to finish."""

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
"""Maximum number of placement groups that change their storage nodes at the same time."""
MAX_CAUGHT_UP_REPORTS = 10_000


@attrs.frozen
class CaughtUpReplica:
    """A storage node's report that it has copied all data for the placement group's change with this sequence."""

    placement_group: int
    sequence: int
    storage_node: str


def replicas_per_node(cluster_state: ClusterState) -> Counter[str]:
    """Returns the number of placement groups of which each storage node has, or is to get, a replica."""
    return Counter(
        node
        for group in cluster_state.placement_groups.values()
        for node in (*group.storage_nodes, group.joining)
        if node
    )


def _start_change(group: PlacementGroupRow, leaving: str, joining: str) -> PlacementGroupRow:
    """Returns the placement group with a change started: one node leaves, one joins, or both."""
    return PlacementGroupRow(
        number=group.number,
        sequence=group.sequence + 1,
        storage_nodes=group.storage_nodes,
        joining=joining,
        leaving=leaving,
    )


class PlacementPlanner:
    """Plans changes that keep each placement group on enough live storage nodes in distinct zones.

    A placement group changes one storage node at a time, and a change is finished once the new replicas are reported as
    caught up. The planner holds these reports.
    """

    def __init__(self, ctx: Context, consensus: ConsensusView, storage_nodes: StorageNodeView) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._storage_nodes = storage_nodes
        self._caught_up: set[CaughtUpReplica] = set()

    def add_caught_up(self, replica: CaughtUpReplica) -> None:
        """Records a storage node's report. All reports are dropped if there are too many; storage nodes repeat them."""
        self._caught_up.add(replica)
        if len(self._caught_up) > MAX_CAUGHT_UP_REPORTS:
            self._caught_up.clear()

    def initial_groups(self, storage_nodes: list[str], replicas: int) -> list[PlacementGroupRow]:
        """Returns the initial placement groups, spread over these storage nodes with this number of replicas each."""
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
        """Returns the changes that can be finished, else those that can be started, else one rebalancing change."""
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
        """Returns the changes to start now: first repairs, then retirements, then changes of the number of replicas."""
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
        """Returns the placement group after its change, or reverted if a node that was to get a replica is lost.

        Returns None while the change is in progress.
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
        """Returns a change that replaces a storage node; None if `leaving` is empty or no replacement is available."""
        if not leaving:
            return None
        staying = [node for node in group.storage_nodes if node != leaving]
        free = [node for node in self._storage_nodes.serving() if node not in group.storage_nodes]
        joining = self._pick_storage_node(free, staying, load)
        return _start_change(group, leaving, joining) if joining else None

    def _resize(self, group: PlacementGroupRow, load: Counter[str]) -> PlacementGroupRow | None:
        """Returns a change by one replica towards the configured number, or None if none is needed or possible."""
        replicas = self._ctx.settings.replica_count
        if len(group.storage_nodes) < replicas:
            joining = self._pick_storage_node(self._storage_nodes.serving(), group.storage_nodes, load)
            return _start_change(group, "", joining) if joining else None
        if len(group.storage_nodes) > replicas and self._all_alive(group):
            return _start_change(group, self._most_crowded(group, load), "")
        return None

    def _rebalance(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Returns one change that balances zones or the load of storage nodes, or an empty list.

        No change is made while a placement group lacks a storage node: a change needs majorities of its old and its
        new set.
        """
        if not all(self._all_alive(group) for group in self._consensus.cluster_state.placement_groups.values()):
            return []
        change = self._rebalance_zones(load, serving)
        if change or len(serving) <= self._ctx.settings.replica_count:
            return change
        return self._rebalance_load(load, serving)

    def _rebalance_zones(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Returns a change that moves a replica of a placement group to a less crowded zone, or an empty list.

        The replica comes from the zone with the most replicas of the placement group; the other has at least two fewer.
        """
        for group in self._consensus.cluster_state.placement_groups.values():
            zones = self._zone_counts(group.storage_nodes)
            crowded = self._most_crowded(group, load)
            joining = self._pick_storage_node(serving, group.storage_nodes, load)
            if joining and zones[self._zone(joining)] + 1 < zones[self._zone(crowded)]:
                return [_start_change(group, crowded, joining)]
        return []

    def _rebalance_load(self, load: Counter[str], serving: list[str]) -> list[PlacementGroupRow]:
        """Returns a change that moves a replica to the least loaded storage node, or an empty list.

        The replica comes from a storage node with at least two more replicas, and its placement group stays spread at
        least as evenly over zones.
        """
        least_loaded = min(serving, key=lambda node: (load[node], node))
        for node in sorted(serving, key=lambda node: -load[node]):
            if load[node] - load[least_loaded] < 2:
                return []
            for group in self._consensus.cluster_state.placement_groups.values():
                if self._may_replace(group, node, least_loaded):
                    return [_start_change(group, node, least_loaded)]
        return []

    def _may_replace(self, group: PlacementGroupRow, leaving: str, joining: str) -> bool:
        """Returns whether the placement group is spread at least as evenly over zones after this change."""
        if leaving not in group.storage_nodes or joining in group.storage_nodes:
            return False
        staying = self._zone_counts(node for node in group.storage_nodes if node != leaving)
        return staying[self._zone(joining)] <= staying[self._zone(leaving)]

    def _all_alive(self, group: PlacementGroupRow) -> bool:
        return all(self._ctx.membership.status(node) == "alive" for node in group.storage_nodes)

    def _most_crowded(self, group: PlacementGroupRow, load: Counter[str]) -> str:
        """Returns the most loaded of the placement group's nodes in the zone with the most of its replicas."""
        zones = self._zone_counts(group.storage_nodes)
        return max(group.storage_nodes, key=lambda node: (zones[self._zone(node)], load[node], node))

    def _pick_storage_node(self, storage_nodes: Iterable[str], existing: Iterable[str], load: Counter[str]) -> str:
        """Returns the best node to add to the existing ones: in a zone with few of them, then with a low load.

        Returns an empty string if all candidates are among the existing nodes.
        """
        taken = list(existing)
        zones = self._zone_counts(taken)
        free = [node for node in storage_nodes if node not in taken]
        return min(free, key=lambda node: (zones[self._zone(node)], load[node], node), default="")

    def _zone(self, node: str) -> str:
        return zone_of(self._ctx.membership, node)

    def _zone_counts(self, nodes: Iterable[str]) -> Counter[str]:
        return count_by_zone(self._ctx.membership, nodes)
