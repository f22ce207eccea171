"""Builds and encodes the entries of a storage node's segment files."""

from __future__ import annotations

from ..wire.replicated_log_pb2 import Entry
from .replica import Replica

__all__ = ["delete_entry", "encode", "expire_entry", "grant_entry", "no_op_entry", "snapshot_entry"]


def encode(entry: Entry) -> bytes:
    """Serializes an entry with its data last, so that the log bytes are contiguous in the file."""
    header = Entry()
    header.CopyFrom(entry)
    header.ClearField("data")
    if not entry.data:
        return header.SerializeToString()
    return header.SerializeToString() + Entry(data=entry.data).SerializeToString()


def grant_entry(log: str, epoch: int) -> Entry:
    """Returns the entry that records a granted epoch."""
    return Entry(kind=Entry.GRANT_EPOCH, log=log, epoch=epoch)


def expire_entry(replica: Replica) -> Entry:
    """Returns the entry that records that the bytes of a final log were deleted."""
    return Entry(kind=Entry.EXPIRE, log=replica.log, epoch=replica.tail_epoch, final=True, closed_ms=replica.closed_ms)


def delete_entry(log: str) -> Entry:
    """Returns the entry that records that a log was deleted."""
    return Entry(kind=Entry.DELETE, log=log)


def no_op_entry() -> Entry:
    """Returns an entry without effect, whose sync confirms that all earlier entries are on disk."""
    return Entry(kind=Entry.NO_OP)


def snapshot_entry(replica: Replica, data: bytes) -> Entry:
    """Returns a single entry for a whole replica with its bytes, which are empty if the log has expired."""
    return Entry(
        kind=Entry.WRITE if data or not replica.final else Entry.EXPIRE,
        log=replica.log,
        epoch=replica.tail_epoch,
        data=data,
        final=replica.final,
        committed=replica.committed,
        closed_ms=replica.closed_ms,
    )
