"""Which storage nodes keep a log, and which of them make a quorum."""

from hashlib import blake2b

import attrs

__all__ = ["PlacementGroup", "majority", "placement_group_of"]


def placement_group_of(log: str, placement_groups: int) -> int:
    """Returns the number, below `placement_groups`, of the placement group that a log belongs to."""
    return int.from_bytes(blake2b(log.encode(), digest_size=4).digest(), "big") % placement_groups


def majority(nodes, of) -> bool:
    """Whether these nodes are more than half of those."""
    return 2 * sum(d in nodes for d in of) > len(of)


@attrs.frozen
class PlacementGroup:
    """Where a placement group's logs are kept. While `joining` is to take the place of `leaving`, both sets must
    agree. Without `leaving` the group grows by `joining`, and without `joining` it shrinks by `leaving`.
    """

    number: int
    sequence: int
    storage_nodes: tuple[str, ...]
    joining: str = ""
    leaving: str = ""

    @property
    def moving(self) -> bool:
        return bool(self.joining or self.leaving)

    @property
    def next_nodes(self) -> tuple[str, ...]:
        """The storage nodes once the move that is under way has ended."""
        rest = tuple(d for d in self.storage_nodes if d != self.leaving)
        return (*rest, self.joining) if self.joining else rest

    @property
    def sets(self) -> tuple[tuple[str, ...], ...]:
        return (self.storage_nodes, self.next_nodes) if self.moving else (self.storage_nodes,)

    @property
    def copying(self) -> tuple[str, ...]:
        """Those that must say that they hold all that is durable before the move ends.

        A storage node that leaves without another in its place takes a copy along, and what is left is a majority of
        the smaller set only if the others have made up for it.
        """
        if self.joining:
            return (self.joining,)
        return self.next_nodes if self.leaving else ()

    @property
    def everyone(self) -> tuple[str, ...]:
        return self.storage_nodes + ((self.joining,) if self.joining else ())

    def agree(self, nodes) -> bool:
        """Whether these nodes are a majority of each set."""
        return bool(self.storage_nodes) and all(majority(nodes, s) for s in self.sets)

    def reached(self, marks: dict[str, int]) -> int:
        """The highest position that a majority of each set has reached."""
        return min(sorted((marks.get(d, 0) for d in s), reverse=True)[len(s) // 2] for s in self.sets)
