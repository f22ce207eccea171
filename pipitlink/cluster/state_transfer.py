"""Transfer of the whole cluster state to a follower, compressed and in chunks of bounded size."""

from __future__ import annotations

import zlib

import attrs

from ..wire.cluster_pb2 import ClusterStateData, StateChunk
from .cluster_state import ClusterState

__all__ = ["StateReceiver", "StateTransfer"]

CHUNK_BYTES = 128 * 1024
COMPRESSION_LEVEL = 1


@attrs.frozen
class StateTransfer:
    """One leader's compressed cluster state at one sequence, which can be sent to any number of followers."""

    sequence: int
    term: int
    data: bytes

    @classmethod
    def compress(cls, state: ClusterState, term: int) -> StateTransfer:
        """Compresses the present state."""
        return cls(state.sequence, term, zlib.compress(state.data().SerializeToString(), COMPRESSION_LEVEL))

    def matches(self, received: StateChunk) -> bool:
        """Whether a follower has received a part of this state, but not all of it."""
        total = len(self.data)
        is_this_state = (received.sequence, received.term, received.total) == (self.sequence, self.term, total)
        return is_this_state and 0 < received.offset < total

    def chunk_after(self, received: StateChunk) -> StateChunk:
        """Returns the chunk after the bytes received, or the first chunk if those belong to another state."""
        offset = received.offset if self.matches(received) else 0
        data = self.data[offset : offset + CHUNK_BYTES]
        return StateChunk(sequence=self.sequence, term=self.term, offset=offset, total=len(self.data), data=data)


class StateReceiver:
    """Collects the chunks of a state at a follower."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._transfer = StateChunk()

    def received(self) -> StateChunk:
        """Returns, for the next request, which state is being received and how many of its bytes, as `offset`."""
        transfer = self._transfer
        return StateChunk(sequence=transfer.sequence, term=transfer.term, total=transfer.total, offset=len(self._data))

    def add(self, chunk: StateChunk) -> ClusterState | None:
        """Adds the next chunk and returns the state once it is complete. An out-of-order chunk is ignored."""
        transfer = self._transfer
        if (transfer.sequence, transfer.term, transfer.total) != (chunk.sequence, chunk.term, chunk.total):
            self._data.clear()
        self._transfer = StateChunk(sequence=chunk.sequence, term=chunk.term, total=chunk.total)
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if len(self._data) < chunk.total:
            return None
        compressed = bytes(self._data)
        self._data = bytearray()
        return ClusterState(ClusterStateData.FromString(zlib.decompress(compressed)))
