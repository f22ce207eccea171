"""The records of a log that are not copied into the cache, since they are rarely read."""

from __future__ import annotations

from typing import NamedTuple

from ..disk import FRAME_HEADER_BYTES

__all__ = ["UncachedRecords"]

LENGTH_BYTES = 4


class _Extent(NamedTuple):
    start: int
    end: int


class UncachedRecords:
    """Finds the records whose payload begins with a prefix; an empty prefix matches no record."""

    def __init__(self, prefix: bytes) -> None:
        self._prefix = prefix
        self._scanned_end = 0
        self._extents: list[_Extent] = []

    def scan(self, data: bytearray, committed: int) -> None:
        """Scans the frames of a log that were committed since the last scan."""
        payload_at = self._scanned_end + FRAME_HEADER_BYTES
        while self._prefix and payload_at <= committed:
            size = int.from_bytes(data[self._scanned_end : self._scanned_end + LENGTH_BYTES], "big")
            end = payload_at + size
            if end > committed:
                return
            if data.startswith(self._prefix, payload_at):
                self._extents.append(_Extent(self._scanned_end, end))
            self._scanned_end = end
            payload_at = end + FRAME_HEADER_BYTES

    def covers(self, start: int, end: int) -> bool:
        """Returns whether all bytes from `start` to `end` belong to a single such record."""
        return any(extent.start <= start and end <= extent.end for extent in self._extents)
