"""Assembles frames with a length prefix from the bytes of a connection."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct

from ..errors import WireError

__all__ = ["FrameAssembler"]

_LENGTH = Struct("!I")


class FrameAssembler:
    """Collects bytes until a frame is complete. `max_frame_bytes` may be changed between frames."""

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def __len__(self) -> int:
        """Returns how many bytes it holds."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Adds bytes and yields the frames that are complete now. Raises WireError if one is announced too long."""
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > self.max_frame_bytes:
                raise WireError(f"a frame of {length} bytes exceeds the limit of {self.max_frame_bytes}")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(memoryview(self._buffer)[_LENGTH.size : end])
            del self._buffer[:end]
            yield frame
