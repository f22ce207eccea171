"""The whole cluster state on its way to a follower, compressed and in bounded pieces."""

import zlib

import attrs

from ..wire.cluster_pb2 import ClusterStateData, StateChunk
from .cluster_state import ClusterState

__all__ = ["StateTransfer", "StateReceipt"]

PIECE_BYTES = 128 * 1024


@attrs.frozen
class StateTransfer:
    """One state of one leader, as it is sent to any number of followers."""

    sequence: int
    term: int
    data: bytes

    @classmethod
    def of(cls, state: ClusterState, term: int) -> "StateTransfer":
        """Compresses a state as it is now."""
        return cls(state.sequence, term, zlib.compress(state.data().SerializeToString(), 1))

    def is_of(self, have: StateChunk) -> bool:
        """Whether a follower has a part of this state."""
        mine = (have.sequence, have.term, have.total) == (self.sequence, self.term, len(self.data))
        return mine and 0 < have.offset < len(self.data)

    def piece_after(self, have: StateChunk) -> StateChunk:
        """What follows the bytes that a follower has; the first piece where those are of another state."""
        offset = have.offset if self.matches(have) else 0
        data = self.data[offset : offset + PIECE_BYTES]
        return StateChunk(sequence=self.sequence, term=self.term, offset=offset, total=len(self.data), data=data)


class StateReceipt:
    """The pieces that a follower has of a state."""

    def __init__(self):
        self._data = bytearray()
        self._of = StateChunk()

    def have(self) -> StateChunk:
        """Which state, and how many bytes of it, as the next request says it."""
        of = self._of
        return StateChunk(sequence=of.sequence, term=of.term, total=of.total, offset=len(self._data))

    def add(self, piece: StateChunk) -> ClusterState | None:
        """Takes a piece; returns the state once it is whole."""
        of = self._of
        if (of.sequence, of.term, of.total) != (piece.sequence, piece.term, piece.total):
            self._data.clear()
        self._of = StateChunk(sequence=piece.sequence, term=piece.term, total=piece.total)
        if piece.offset != len(self._data):
            return None
        self._data += piece.data
        if len(self._data) < piece.total:
            return None
        whole, self._data = bytes(self._data), bytearray()
        return ClusterState(ClusterStateData.FromString(zlib.decompress(whole)))
