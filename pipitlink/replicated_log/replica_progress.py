"""A leaseholder's view of the progress of each replica of its log."""

from __future__ import annotations

import attrs

from ..wire.replicated_log_pb2 import LogState
from .commit_proof import counted_lengths

__all__ = ["ReplicaProgress", "TailPosition"]


@attrs.frozen(order=True)
class TailPosition:
    """The end of a replica: the epoch of its last writer, and its length in bytes. Higher is more up to date."""

    epoch: int = 0
    length: int = 0

    @classmethod
    def of(cls, state: LogState) -> TailPosition:
        """Returns the tail position of a replica's state."""
        return cls(state.tail_epoch, state.length)


class ReplicaProgress:
    """The last state that each storage node reported for its replica under the current placement."""

    def __init__(self) -> None:
        self._states: dict[str, LogState] = {}

    def get(self, storage_node: str) -> LogState | None:
        """Returns the last reported state, or None if it is unknown."""
        return self._states.get(storage_node)

    def known(self, storage_node: str) -> LogState:
        """Returns the last reported state; raises KeyError if it is unknown."""
        return self._states[storage_node]

    def most_up_to_date(self, storage_nodes: list[str]) -> str:
        """Returns the first of these storage nodes with the highest tail position; all their states must be known."""
        return max(storage_nodes, key=lambda node: TailPosition.of(self._states[node]))

    def record(self, storage_node: str, state: LogState) -> None:
        """Records a state reported by a storage node."""
        self._states[storage_node] = state

    def discard(self, storage_node: str) -> None:
        """Discards the state of one replica."""
        self._states.pop(storage_node, None)

    def clear(self) -> None:
        """Discards the states of all replicas."""
        self._states.clear()

    def max_committed(self) -> int:
        """Returns the highest commit position reported by any replica."""
        return max(state.committed for state in self._states.values())

    def match_lengths(self, epoch: int) -> dict[str, int]:
        """Returns the length of each replica whose tail was written under `epoch`."""
        return {node: state.length for node, state in self._states.items() if state.tail_epoch == epoch}

    def counted_lengths(self, epoch: int) -> dict[str, int]:
        """Returns the length of each replica that counts towards a quorum under `epoch`."""
        return counted_lengths(self._states, epoch)
