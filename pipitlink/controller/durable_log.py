"""The durable state of a controller: term and vote, the log entries, and the snapshot that precedes them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import attrs
from twisted.internet import defer

from ..context import Context
from ..disk import Disk
from ..errors import CorruptData
from ..group_commit import GroupCommit
from ..segments import Segments
from ..wire.cluster_pb2 import ClusterStateData
from ..wire.controller_pb2 import ControllerEntry, ControllerRecord, HardState, Snapshot
from .log_replay import LogReplay
from .snapshot_files import SnapshotFiles

__all__ = ["DurableLog", "ignore_failure"]

COMPACTION_ENTRIES = 2000
"""The log is compacted once it has this many entries more than RETAINED_ENTRIES."""
RETAINED_ENTRIES = 500
COMPACTION_BYTES = 24 * 1024 * 1024
RETAINED_BYTES = 6 * 1024 * 1024
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 128 * 1024


def ignore_failure(_failure: object) -> None:
    """Ignores a failed write: the last write queued with it fails too, and the caller waits for that one."""


@attrs.frozen
class _VoterChange:
    index: int
    voters: tuple[str, ...]


class DurableLog:
    """What a controller keeps on disk: its hard state (term and vote), the log, and the snapshot that precedes it.

    Writes take effect in memory at once. The Deferred that they return fires once they are synced.
    """

    def __init__(self, ctx: Context, folder: Path, disk: Disk) -> None:
        self._log_folder = folder / "agreed"
        self._snapshot_files = SnapshotFiles(folder, disk)
        self._segments = Segments(self._log_folder, disk)
        self._group_commit = GroupCommit(ctx, self._segments, self._replay)
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[ControllerEntry] = []
        self.entry_bytes = 0
        self._marker_missing = False
        self._voter_changes: list[_VoterChange] = []

    def recover(self) -> None:
        """Reads the state from disk. Raises CorruptData if any of it is damaged or missing."""
        self.snapshot = self._snapshot_files.load()
        intact = self.snapshot.cluster_state.voters and any(self._log_folder.glob("seg-*.log"))
        if self._snapshot_files.was_bootstrapped() and not intact:
            raise CorruptData("this controller took part in the consensus, but its log or its snapshot is missing")
        self._replay()

    def _replay(self) -> None:
        replay = LogReplay()
        for _, body in self._segments.recover():
            replay.add(ControllerRecord.FromString(body))
        if replay.newest_marker.index > self.snapshot.index:
            raise CorruptData(f"the snapshot at {replay.newest_marker.index} is missing")
        self.hard_state = replay.hard_state or self.hard_state
        self._marker_missing = not replay.has_marker_of(self.snapshot)
        self._reset_entries()
        for entry in replay.entries_after(self.snapshot):
            self._insert(entry)

    def _reset_entries(self) -> None:
        self.entries, self._voter_changes, self.entry_bytes = [], [], 0

    def _insert(self, entry: ControllerEntry) -> None:
        """Inserts an entry at its index in memory, replacing the entries at that index and after it."""
        if entry.index <= self.snapshot.index:
            return
        start = max(0, entry.index - self.snapshot.index - 1)
        self.entry_bytes += entry.ByteSize() - sum(replaced.ByteSize() for replaced in self.entries[start:])
        del self.entries[start:]
        self.entries.append(entry)
        while self._voter_changes and self._voter_changes[-1].index >= entry.index:
            self._voter_changes.pop()
        if entry.command.WhichOneof("of") == "controllers":
            self._voter_changes.append(_VoterChange(entry.index, tuple(entry.command.controllers.voters)))

    def voters(self) -> tuple[str, ...]:
        """Returns the voters according to the newest log entry that sets them, committed or not."""
        if self._voter_changes and self._voter_changes[-1].index > self.snapshot.index:
            return self._voter_changes[-1].voters
        return tuple(self.snapshot.cluster_state.voters)

    def used_bytes(self) -> int:
        """Returns the bytes used on disk. The snapshot counts twice, since two exist while one replaces the other."""
        return self._segments.used_bytes() + 2 * self.snapshot.ByteSize()

    def last_index(self) -> int:
        """Returns the index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot.index + len(self.entries)

    def last_term(self) -> int:
        """Returns the term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index; None before the snapshot or after the last entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index():
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def entries_after(self, index: int, limit: int = MAX_BATCH_ENTRIES) -> list[ControllerEntry]:
        """Returns the first entries after an index, up to `limit` and MAX_BATCH_BYTES; at least one if there is any."""
        start = index - self.snapshot.index
        return _prefix_within(self.entries[max(0, start) : start + limit], MAX_BATCH_BYTES)

    def needs_compaction(self) -> bool:
        """Returns whether the log is long or large enough to be compacted into a snapshot."""
        if len(self.entries) > COMPACTION_ENTRIES + RETAINED_ENTRIES:
            return True
        return self.entry_bytes > COMPACTION_BYTES and len(self.entries) > 1

    def compaction_index(self, commit_index: int) -> int:
        """Returns the index up to which a snapshot may replace the log. The newest entries stay unless too large."""
        newest = self.entries[: max(0, commit_index - self.snapshot.index)][-RETAINED_ENTRIES:]
        return commit_index - len(_prefix_within(newest[::-1], RETAINED_BYTES))

    def save_hard_state(self, term: int, voted_for: str) -> defer.Deferred[None]:
        """Writes the term and the vote cast in it, or "" if none was cast. Fires once they are synced."""
        self.hard_state = HardState(term=term, voted_for=voted_for)
        return self._write(ControllerRecord(hard_state=self.hard_state))

    def append(self, entry: ControllerEntry) -> defer.Deferred[None]:
        """Writes an entry, replacing the entries at its index and after it; fires once it is synced."""
        self._insert(entry)
        if self._marker_missing:
            self._write_marker()
        return self._write(ControllerRecord(entry=entry))

    def _write_marker(self) -> None:
        """Writes a marker of the snapshot, which must precede the entries that continue from it on disk.

        Without it, a replay could append them to a conflicting branch of the log.
        """
        self._marker_missing = False
        marker = Snapshot(index=self.snapshot.index, term=self.snapshot.term, cluster_state=ClusterStateData())
        self._write(ControllerRecord(snapshot=marker)).addErrback(ignore_failure)

    def _write(self, record: ControllerRecord) -> defer.Deferred[None]:
        body = record.SerializeToString()
        synced = self._group_commit.submit(lambda completion: self._segments.append(body, completion))
        assert synced is not None
        return synced

    def all_synced(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires once all earlier writes are synced."""
        return self._write(ControllerRecord()) if self._group_commit.in_progress else defer.succeed(None)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Durably replaces the previous snapshot. Blocks, so it must run in a thread. Raises OSError."""
        self._snapshot_files.save(snapshot)

    def use_snapshot(self, snapshot: Snapshot) -> defer.Deferred[None]:
        """After `save_snapshot`: removes the entries that the snapshot covers, in memory and on disk.

        Later entries are retained if the log and the snapshot agree on the term at the snapshot's index. Fires once the
        shortened log is synced.
        """
        remaining: list[ControllerEntry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            remaining = [entry for entry in self.entries if entry.index > snapshot.index]
        old_segments = self._segments.segment_numbers()
        self.snapshot = snapshot
        self._reset_entries()
        for entry in remaining:
            self._insert(entry)
        self._segments.roll()
        first_retained = self._segments.newest_segment()
        self._write_marker()
        for entry in remaining:
            self._write(ControllerRecord(entry=entry)).addErrback(ignore_failure)
        synced = self._write(ControllerRecord(hard_state=self.hard_state))
        synced.addCallback(lambda _: self._drop_segments(old_segments, first_retained))
        return synced

    def _drop_segments(self, numbers: Sequence[int], first_retained: int) -> None:
        for number in numbers:
            if number < first_retained:
                self._segments.remove_segment(number)

    def close(self) -> None:
        """Closes the log files."""
        self._segments.close()


def _prefix_within(entries: list[ControllerEntry], max_bytes: int) -> list[ControllerEntry]:
    """Returns the longest prefix of at most `max_bytes` in total, but at least one entry if there is any."""
    size = 0
    for position, entry in enumerate(entries):
        size += entry.ByteSize()
        if position and size > max_bytes:
            return entries[:position]
    return entries
