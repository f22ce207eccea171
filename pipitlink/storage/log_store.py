"""The replicas of all logs on one storage node, with the checks of epochs and positions."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from twisted.internet import defer

from ..disk import Disk
from ..errors import StaleEpoch, StorageFull
from ..segments import Position, Segments
from ..wire.replicated_log_pb2 import Entry, LogState
from .entries import delete_entry, encode, expire_entry, grant_entry, no_op_entry, snapshot_entry
from .replica import Extent, Replica, Tail

__all__ = ["LogStore", "SyncCompletion"]

SyncCompletion = defer.Deferred[None]
"""A Deferred that fires once the entry queued with it is on disk."""

GRANT_ENTRY_BYTES = 64
WRITE_OVERHEAD_BYTES = 128

EntryHandler = Callable[[Entry, Position, int], None]


class LogStore:
    """The replicas of one storage node, stored in segment files.

    Methods that take a completion change the state in memory at once and queue an entry, which is on disk once the
    completion fires. `budget` is the maximum size of the files in bytes; the last `reserve` bytes of it are kept for
    writes that must not be refused.
    """

    def __init__(self, folder: Path, disk: Disk, budget: int, reserve: int) -> None:
        self.segments = Segments(folder, disk)
        self.budget = budget
        self.reserve = reserve
        self.logs: dict[str, Replica] = {}
        self.delete_segments: set[int] = set()
        self._entry_handlers: dict[int, EntryHandler] = {
            Entry.GRANT_EPOCH: self._apply_grant,
            Entry.WRITE: self._recover_write,
            Entry.DELETE: self._apply_delete,
            Entry.EXPIRE: self._recover_expiry,
            Entry.NO_OP: self._apply_no_op,
        }

    def recover(self) -> None:
        """Rebuilds all replicas from the segment files. Raises CorruptData."""
        self.logs = {}
        for location, body in self.segments.recover():
            entry = Entry.FromString(body)
            self._entry_handlers[entry.kind](entry, location, len(body))
        for replica in self.logs.values():
            replica.synced = replica.tail
            replica.leased_epoch = replica.epoch

    def _recovered_replica(self, entry: Entry) -> Replica:
        replica = self._replica(entry.log)
        replica.epoch = max(replica.epoch, entry.epoch)
        return replica

    def _apply_no_op(self, entry: Entry, location: Position, size: int) -> None:
        """Does nothing: the entry only confirms that earlier entries are on disk."""

    def _apply_delete(self, entry: Entry, location: Position, _size: int) -> None:
        self.logs.pop(entry.log, None)
        self.delete_segments.add(location.segment)

    def _apply_grant(self, entry: Entry, location: Position, _size: int) -> None:
        self._recovered_replica(entry).epoch_location = location

    def _recover_expiry(self, entry: Entry, location: Position, _size: int) -> None:
        _apply_expiry(self._recovered_replica(entry), entry, location)

    def _recover_write(self, entry: Entry, location: Position, size: int) -> None:
        _apply_write(self._recovered_replica(entry), entry, location, size)

    def _replica(self, log: str) -> Replica:
        replica = self.logs.get(log)
        if replica is None:
            replica = self.logs[log] = Replica(log)
        return replica

    def used_bytes(self) -> int:
        """Returns the size of all segment files, including queued entries."""
        return self.segments.used_bytes()

    def free_bytes(self) -> int:
        """Returns how many bytes can still be written without using the reserve."""
        return max(0, self.budget - self.reserve - self.used_bytes())

    def _check_capacity(self, size: int, reserved: bool) -> None:
        limit = self.budget if reserved else self.budget - self.reserve
        used = self.used_bytes()
        if used + size > limit:
            raise StorageFull(f"the data folder uses {used} of {self.budget} bytes")

    def state(self, log: str) -> LogState:
        """Returns the state of a log on disk, or an empty state if there is no replica."""
        replica = self.logs.get(log)
        return replica.state() if replica is not None else LogState(log=log)

    def grant_epoch(self, log: str, epoch: int, completion: SyncCompletion, leased: bool = True) -> None:
        """Queues the grant of an epoch, which fences writers with lower epochs. Raises StaleEpoch and StorageFull.

        `leased` is False if the grant is copied from another storage node.
        """
        replica = self._replica(log)
        if epoch <= replica.epoch:
            raise StaleEpoch(f"{log}: epoch {replica.epoch} is already granted")
        self._check_capacity(GRANT_ENTRY_BYTES, True)
        replica.epoch = epoch
        if leased:
            replica.leased_epoch = epoch
        replica.epoch_location = self.segments.append(grant_entry(log, epoch).SerializeToString(), completion)

    def write(self, entry: Entry, expected: Tail, reserved: bool, completion: SyncCompletion) -> bool:
        """Queues a leaseholder's write; returns False if the replica's tail is not the expected one.

        Raises StaleEpoch if a higher epoch is granted or committed bytes would change, and StorageFull.
        """
        replica = self._replica(entry.log)
        if entry.epoch < replica.epoch:
            raise StaleEpoch(f"{entry.log}: epoch {replica.epoch} is already granted")
        return self._write(replica, entry, expected, reserved, completion)

    def install(self, entry: Entry, expected: Tail, completion: SyncCompletion) -> bool:
        """Queues the state of another storage node's replica; returns False if the local tail is not the expected one.

        Raises StaleEpoch if committed bytes would change, or if this storage node has granted a lease under a later
        epoch, whose leaseholder already relies on the local replica. Raises StorageFull.
        """
        replica = self._replica(entry.log)
        if replica.leased_epoch > entry.epoch:
            raise StaleEpoch(f"{entry.log}: this storage node has granted epoch {replica.leased_epoch}")
        return self._write(replica, entry, expected, True, completion)

    def _write(
        self, replica: Replica, entry: Entry, expected: Tail, reserved: bool, completion: SyncCompletion
    ) -> bool:
        if (replica.tail_epoch, replica.length) != (expected.epoch, expected.length):
            return False
        if entry.position > replica.length:
            return False
        if entry.position < replica.committed:
            raise StaleEpoch(f"{entry.log}: bytes below {replica.committed} are committed")
        self._check_capacity(len(entry.data) + WRITE_OVERHEAD_BYTES, reserved)
        replica.epoch = max(replica.epoch, entry.epoch)
        replica.begin_write(entry.epoch)
        body = encode(entry)
        _apply_write(replica, entry, self.segments.append(body, completion), len(body))
        return True

    def record_synced(self, log: str, tail_epoch: int, length: int, final: bool) -> None:
        """Records that the replica is on disk up to this tail."""
        replica = self.logs.get(log)
        if replica is not None:
            replica.synced = Tail(tail_epoch, length, final)

    def commit(self, log: str, epoch: int, position: int) -> None:
        """Records that bytes below a position are committed, if the last writer had this epoch."""
        replica = self.logs.get(log)
        if replica is not None and replica.tail_epoch == epoch:
            replica.committed = max(replica.committed, min(position, replica.length))

    def extents(self, log: str, position: int, length: int) -> list[Extent]:
        """Returns the extents of the synced bytes of a range, in order."""
        replica = self.logs.get(log)
        return replica.synced_extents(position, length) if replica is not None else []

    def is_written_under(self, log: str, epoch: int) -> bool:
        """Returns whether the last writer of a log had this epoch, both on disk and including queued writes."""
        replica = self.logs.get(log)
        return replica is not None and replica.is_synced_under(epoch)

    def committed_length(self, log: str, committed_epoch: int) -> int:
        """Returns the length up to which the bytes on disk are certain to be those of the log.

        See `Replica.committed_length`.
        """
        replica = self.logs.get(log)
        return replica.committed_length(committed_epoch) if replica is not None else 0

    def has_bytes_beyond_commit(self, log: str) -> bool:
        """Returns whether a replica has bytes on disk that are not known here to be committed."""
        replica = self.logs.get(log)
        return replica is not None and replica.synced_commit() < replica.synced.length

    def read_extents(self, extents: list[Extent]) -> bytes:
        """Reads bytes from disk. Blocks, so it must be called in a thread."""
        return b"".join(self.segments.read_bytes(extent.location, extent.length) for extent in extents)

    def expire(self, log: str, completion: SyncCompletion) -> None:
        """Deletes the bytes of a final log, but keeps the record that it was final."""
        replica = self.logs[log]
        entry = expire_entry(replica)
        _apply_expiry(replica, entry, self.segments.append(entry.SerializeToString(), completion))
        replica.synced = Tail(replica.tail_epoch, 0, True)

    def delete(self, log: str, completion: SyncCompletion) -> None:
        """Deletes a log and everything recorded about it."""
        self.logs.pop(log, None)
        location = self.segments.append(delete_entry(log).SerializeToString(), completion)
        self.delete_segments.add(location.segment)

    def rewrite(self, replica: Replica, data: bytes, completion: SyncCompletion) -> None:
        """Queues a whole log, with its bytes `data`, again at the end of the newest segment file."""
        grant = grant_entry(replica.log, replica.epoch)
        replica.epoch_location = self.segments.append(grant.SerializeToString(), None)
        entry = snapshot_entry(replica, data)
        body = encode(entry)
        location = self.segments.append(body, completion)
        if entry.kind == Entry.EXPIRE:
            _apply_expiry(replica, entry, location)
        else:
            replica.truncate(0)
            _apply_write(replica, entry, location, len(body))

    def write_no_op(self, completion: SyncCompletion) -> None:
        """Queues an entry without effect, whose sync confirms that all earlier entries are on disk."""
        self.segments.append(no_op_entry().SerializeToString(), completion)

    def close(self) -> None:
        """Closes the segment files."""
        self.segments.close()


def _apply_write(replica: Replica, entry: Entry, location: Position, size: int) -> None:
    """Applies a write whose encoded entry is `size` bytes long."""
    if entry.position < replica.length:
        replica.truncate(entry.position)
    data_offset = location.offset + size - len(entry.data)
    replica.append_extent(len(entry.data), Position(location.segment, data_offset))
    replica.tail_location = location
    replica.tail_epoch = entry.epoch
    replica.final = entry.final
    replica.closed_ms = entry.closed_ms
    replica.committed = min(max(replica.committed, entry.committed), replica.length)


def _apply_expiry(replica: Replica, entry: Entry, location: Position) -> None:
    replica.truncate(0)
    replica.tail_epoch = entry.epoch
    replica.final = True
    replica.closed_ms = entry.closed_ms
    replica.committed = 0
    replica.tail_location = location
