"""A storage node's replica of one log: its epochs, its tail, and the location of its bytes on disk."""

from __future__ import annotations

import bisect
from datetime import timedelta

import attrs

from ..segments import Position
from ..wire.replicated_log_pb2 import LogState

__all__ = ["Extent", "Replica", "Tail"]


@attrs.frozen
class Extent:
    """A contiguous range of a log's bytes in one segment file; `start` is its position in the log."""

    start: int
    length: int
    location: Position

    @property
    def segment(self) -> int:
        """The number of the segment file."""
        return self.location.segment

    def slice(self, position: int, length: int) -> Extent:
        """Returns the part of `length` bytes that starts at a log position."""
        offset = self.location.offset + position - self.start
        return Extent(position, length, Position(self.location.segment, offset))


@attrs.frozen
class Tail:
    """The end of a replica: the epoch of its last writer, its length, and whether the log has ended."""

    epoch: int = 0
    length: int = 0
    final: bool = False


@attrs.define(eq=False)
class Replica:
    """The replica of one log.

    `epoch` is the highest granted epoch known to this storage node, including copied grants of other storage nodes;
    `leased_epoch` is the highest epoch that it granted itself. `tail_epoch` is the epoch of the last writer, and
    `synced` is the tail on disk. While a write under a new epoch is not on disk yet, `committed_before_write` is what
    was known to be committed before it. `epoch_location` and `tail_location` locate the entries from which `epoch` and
    `tail_epoch` can be recovered. `known_since` is when this process granted its first lease, on the timers' clock.
    """

    log: str
    epoch: int = 0
    leased_epoch: int = 0
    tail_epoch: int = 0
    length: int = 0
    committed: int = 0
    final: bool = False
    closed_ms: int = 0
    epoch_location: Position | None = None
    tail_location: Position | None = None
    extent_starts: list[int] = attrs.field(factory=list)
    extents: list[Extent] = attrs.field(factory=list)
    synced: Tail = Tail()
    committed_before_write: int = 0
    known_since: timedelta | None = None

    @property
    def tail(self) -> Tail:
        """The tail, including writes that are not on disk yet."""
        return Tail(self.tail_epoch, self.length, self.final)

    def state(self) -> LogState:
        """Returns the state on disk as a message, without the lease."""
        return LogState(
            log=self.log,
            epoch=self.epoch,
            tail_epoch=self.synced.epoch,
            length=self.synced.length,
            committed=self.synced_commit(),
            final=self.synced.final,
            closed_ms=self.closed_ms,
        )

    def is_synced_under(self, epoch: int) -> bool:
        """Returns whether the last writer had this epoch, both on disk and including queued writes."""
        return self.tail_epoch == self.synced.epoch == epoch

    def begin_write(self, epoch: int) -> None:
        """Prepares for a write under an epoch, which replaces uncommitted bytes if the epoch is new."""
        if epoch != self.tail_epoch and self.is_synced_under(self.tail_epoch):
            self.committed_before_write = self.synced_commit()

    def synced_commit(self) -> int:
        """Returns the length up to which the bytes on disk are known here to be committed.

        A queued write under a new epoch may replace uncommitted bytes. Its commit position is not true of the bytes
        that are still on disk.
        """
        if self.is_synced_under(self.tail_epoch):
            return min(self.committed, self.synced.length)
        return self.committed_before_write

    def committed_length(self, committed_epoch: int) -> int:
        """Returns the length up to which the bytes on disk are certain to be those of the log.

        The caller must know that what it reads is committed under `committed_epoch`; then a replica that was last
        written under this epoch or a later one has it. Without such an epoch (0), only the replica's own knowledge
        counts.
        """
        if committed_epoch and self.is_synced_under(self.tail_epoch) and self.tail_epoch >= committed_epoch:
            return self.synced.length
        return self.synced_commit()

    def is_open(self) -> bool:
        """Returns whether the log has bytes and is not known to have ended.

        An end does not count if a later leaseholder, for which an epoch was granted, may have recovered the log without
        it. That leaseholder or the next one commits the end or replaces it.
        """
        if not self.length:
            return False
        if not self.synced.final:
            return True
        return self.epoch > self.synced.epoch and self.synced_commit() < self.synced.length

    def uses_segment(self, segment: int) -> bool:
        """Returns whether the replica needs any data in this segment file."""
        entries = [self.epoch_location, self.tail_location]
        if any(location is not None and location.segment == segment for location in entries):
            return True
        return any(extent.segment == segment for extent in self.extents)

    def truncate(self, position: int) -> None:
        """Removes all bytes from a position on."""
        while self.extents and self.extents[-1].start >= position:
            self.extents.pop()
            self.extent_starts.pop()
        if self.extents:
            last = self.extents[-1]
            if last.start + last.length > position:
                self.extents[-1] = last.slice(last.start, position - last.start)
        self.length = position

    def append_extent(self, length: int, location: Position) -> None:
        """Appends bytes that are stored at a location on disk."""
        if length:
            self.extent_starts.append(self.length)
            self.extents.append(Extent(self.length, length, location))
            self.length += length

    def synced_extents(self, position: int, length: int) -> list[Extent]:
        """Returns the extents of the synced bytes of a range, in order."""
        end = min(position + length, self.synced.length)
        found = []
        index = max(0, bisect.bisect_right(self.extent_starts, position) - 1)
        while index < len(self.extents) and position < end:
            extent = self.extents[index]
            size = min(extent.length - (position - extent.start), end - position)
            if size > 0:
                found.append(extent.slice(position, size))
                position += size
            index += 1
        return found
