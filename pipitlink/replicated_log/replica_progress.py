"""What a leaseholder knows of each replica of its log."""

from __future__ import annotations

import attrs

from ..wire.replicated_log_pb2 import LogState

__all__ = ["ReplicaProgress", "TailPosition"]


@attrs.frozen(order=True)
class TailPosition:
    """The end of a replica: the epoch of its last writer and its length in bytes. Higher ones are more up to date."""

    epoch: int = 0
    length: int = 0

    @classmethod
    def of(cls, state: LogState) -> TailPosition:
        """Returns the end of the replica that a state describes."""
        return cls(state.tail_epoch, state.length)


class ReplicaProgress:
    """The state that each storage node last reported of its replica, under the current placement."""

    def __init__(self) -> None:
        self._states: dict[str, LogState] = {}

    def get(self, storage_node: str) -> LogState | None:
        """Returns the last reported state, None where it is unknown."""
        return self._states.get(storage_node)

    def known(self, storage_node: str) -> LogState:
        """Returns the last reported state; raises KeyError where it is unknown."""
        return self._states[storage_node]

    def most_up_to_date(self, storage_nodes: list[str]) -> str:
        """Returns the first of these storage nodes, all of known state, whose replica has the highest tail."""
        return max(storage_nodes, key=lambda node: TailPosition.of(self._states[node]))

    def record(self, storage_node: str, state: LogState) -> None:
        """Records a state that a storage node reported."""
        self._states[storage_node] = state

    def discard(self, storage_node: str) -> None:
        """Makes the state of one replica unknown."""
        self._states.pop(storage_node, None)

    def clear(self) -> None:
        """Makes the states of all replicas unknown."""
        self._states.clear()

    def max_committed(self) -> int:
        """Returns the highest commit position that any replica reported."""
        return max(state.committed for state in self._states.values())

    def match_lengths(self, epoch: int) -> dict[str, int]:
        """Returns the length of each replica whose tail was written under `epoch`."""
        return {node: state.length for node, state in self._states.items() if state.tail_epoch == epoch}
