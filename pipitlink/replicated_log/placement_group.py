"""Placement groups: the storage nodes that replicate a log, and their quorums."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from hashlib import blake2b

import attrs

__all__ = ["PlacementGroup", "majority", "placement_group_of"]


def placement_group_of(log: str, placement_groups: int) -> int:
    """Returns the number of a log's placement group, from 0 to `placement_groups` - 1."""
    return int.from_bytes(blake2b(log.encode(), digest_size=4).digest(), "big") % placement_groups


def majority(nodes: Collection[str], of: Collection[str]) -> bool:
    """Returns whether `nodes` include more than half of the nodes in `of`."""
    return 2 * sum(node in nodes for node in of) > len(of)


@attrs.frozen
class PlacementGroup:
    """The storage nodes that replicate the logs of one placement group.

    While `joining` replaces `leaving`, a quorum needs a majority of both the old and the new set of storage nodes. With
    `joining` alone the group grows, with `leaving` alone it shrinks.
    """

    number: int
    sequence: int
    storage_nodes: tuple[str, ...]
    joining: str = ""
    leaving: str = ""

    @property
    def is_moving(self) -> bool:
        """Whether a membership change of the group is in progress."""
        return bool(self.joining or self.leaving)

    @property
    def next_nodes(self) -> tuple[str, ...]:
        """The storage nodes after the change in progress."""
        remaining = tuple(node for node in self.storage_nodes if node != self.leaving)
        return (*remaining, self.joining) if self.joining else remaining

    @property
    def quorum_sets(self) -> tuple[tuple[str, ...], ...]:
        """The sets of storage nodes; a quorum needs a majority of each."""
        return (self.storage_nodes, self.next_nodes) if self.is_moving else (self.storage_nodes,)

    @property
    def transfer_targets(self) -> tuple[str, ...]:
        """The storage nodes that must report that they have all durable data before the change may end.

        If a storage node leaves without a replacement, all remaining ones must report: without its replica, a committed
        record might otherwise be on less than a majority of the smaller set.
        """
        if self.joining:
            return (self.joining,)
        return self.next_nodes if self.leaving else ()

    @property
    def all_nodes(self) -> tuple[str, ...]:
        """The storage nodes of the old and the new set together."""
        return self.storage_nodes + ((self.joining,) if self.joining else ())

    def is_quorum(self, nodes: Collection[str]) -> bool:
        """Returns whether these nodes include a majority of each quorum set."""
        return bool(self.storage_nodes) and all(majority(nodes, quorum_set) for quorum_set in self.quorum_sets)

    def quorum_position(self, positions: Mapping[str, int]) -> int:
        """Returns the highest position that a majority of each quorum set has reached."""
        return min(
            sorted((positions.get(node, 0) for node in quorum_set), reverse=True)[len(quorum_set) // 2]
            for quorum_set in self.quorum_sets
        )
