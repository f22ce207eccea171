"""Which storage nodes keep a log, and which of them make a quorum."""

from hashlib import blake2b

import attrs

__all__ = ["PlacementGroup", "placement_group_of"]


def placement_group_of(log: str, placement_groups: int) -> int:
    """Returns the number, below `placement_groups`, of the placement group that a log belongs to."""
    return int.from_bytes(blake2b(log.encode(), digest_size=4).digest(), "big") % placement_groups


@attrs.frozen
class PlacementGroup:
    """Where a placement group's logs are kept. While `joining` is to take the place of `leaving`, both sets must
    agree.
    """

    number: int
    sequence: int
    storage_nodes: tuple[str, ...]
    joining: str = ""
    leaving: str = ""

    @property
    def sets(self) -> tuple[tuple[str, ...], ...]:
        if not self.joining:
            return (self.storage_nodes,)
        return self.storage_nodes, tuple(self.joining if d == self.leaving else d for d in self.storage_nodes)

    @property
    def everyone(self) -> tuple[str, ...]:
        return self.storage_nodes + ((self.joining,) if self.joining else ())

    def agree(self, nodes) -> bool:
        """Whether these nodes are a majority of each set."""
        return bool(self.storage_nodes) and all(2 * sum(d in nodes for d in s) > len(s) for s in self.sets)

    def reached(self, marks: dict[str, int]) -> int:
        """The highest position that a majority of each set has reached."""
        return min(sorted((marks.get(d, 0) for d in s), reverse=True)[len(s) // 2] for s in self.sets)
