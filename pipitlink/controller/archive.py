"""A controller's disk: ballot, agreed log and snapshot."""

import dbm.dumb
import os
import shutil
import zlib
from pathlib import Path

from twisted.internet import defer

from ..disk import Disk, replace_file
from ..errors import CorruptData
from ..group_commit import GroupCommit
from ..segments import Segments
from ..wire.cluster_pb2 import ClusterStateData, Row
from ..wire.controller_pb2 import Ballot, ControllerEntry, ControllerRecord, Snapshot
from .log_replay import LogReplay

__all__ = ["Archive", "told_by_the_last"]

TRIM_EVERY = 2000
KEEP_ENTRIES = 500
TRIM_BYTES = 24 * 1024 * 1024
KEEP_BYTES = 6 * 1024 * 1024
SEND_BYTES = 128 * 1024


def told_by_the_last(_):
    """Of records queued together the last fails with any before it, so only that one is waited for."""


class Archive:
    """What a controller keeps on disk: its ballot, the agreed log, and a snapshot that is swapped in whole."""

    def __init__(self, ctx, folder: Path, disk: Disk):
        self._folder = folder
        self._disk = disk
        self._segments = Segments(folder / "agreed", disk)
        self._group_commit = GroupCommit(ctx, self._segments, self._replayed)
        self.ballot = Ballot()
        self.snapshot = Snapshot()
        self.entries: list[ControllerEntry] = []
        self._entry_bytes = 0
        self._owes_mark = False
        self._votes: list[tuple[int, tuple[str, ...]]] = []

    def recover(self):
        self.snapshot = self._load_snapshot()
        kept = self.snapshot.cluster_state.voters and any((self._folder / "agreed").glob("seg-*.log"))
        if (self._folder / "founded").exists() and not kept:
            raise CorruptData("this controller took part in the agreement and its files are gone")
        self._replayed()

    def _replayed(self):
        replay = LogReplay()
        for _, body in self._segments.recover():
            replay.add(ControllerRecord.FromString(body))
        if replay.mark.index > self.snapshot.index:
            raise CorruptData(f"the snapshot at {replay.mark.index} is missing")
        self.ballot = replay.ballot or self.ballot
        self._owes_mark = not replay.marks(self.snapshot)
        self.entries, self._votes, self._entry_bytes = [], [], 0
        for e in replay.entries_after(self.snapshot):
            self._place(e)

    def _place(self, e: ControllerEntry):
        if e.index <= self.snapshot.index:
            return
        start = max(0, e.index - self.snapshot.index - 1)
        self._entry_bytes += e.ByteSize() - sum(o.ByteSize() for o in self.entries[start:])
        del self.entries[start:]
        self.entries.append(e)
        while self._votes and self._votes[-1][0] >= e.index:
            self._votes.pop()
        if e.command.WhichOneof("of") == "controllers":
            self._votes.append((e.index, tuple(e.command.controllers.voters)))

    def voters(self) -> tuple[str, ...]:
        """The newest voters in the log count, agreed or not yet."""
        if self._votes and self._votes[-1][0] > self.snapshot.index:
            return self._votes[-1][1]
        return tuple(self.snapshot.cluster_state.voters)

    def used(self) -> int:
        """Bytes on disk: the log, and the snapshot twice, as it is while one is swapped in."""
        return self._segments.used_bytes() + 2 * self.snapshot.ByteSize()

    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index():
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def after(self, index: int, most: int = 256) -> list[ControllerEntry]:
        start = index - self.snapshot.index
        return self._bounded(self.entries[max(0, start) : start + most], SEND_BYTES)

    def _bounded(self, entries: list[ControllerEntry], most: int) -> list[ControllerEntry]:
        """The first of these that have so many bytes together; one at least."""
        size = 0
        for n, e in enumerate(entries):
            size += e.ByteSize()
            if n and size > most:
                return entries[:n]
        return entries

    def long(self) -> bool:
        return len(self.entries) > TRIM_EVERY + KEEP_ENTRIES or self._entry_bytes > TRIM_BYTES and len(self.entries) > 1

    def trim_at(self, commit: int) -> int:
        """Up to where the log may go into a snapshot: the newest entries stay, as far as they are not too large."""
        newest = self.entries[: max(0, commit - self.snapshot.index)][-KEEP_ENTRIES:]
        return commit - len(self._bounded(newest[::-1], KEEP_BYTES))

    def put_ballot(self, term: int, vote: str):
        self.ballot = Ballot(term=term, vote=vote)
        return self._put(ControllerRecord(ballot=self.ballot))

    def put_entry(self, e: ControllerEntry):
        self._place(e)
        if self._owes_mark:
            self._put_mark()
        return self._put(ControllerRecord(entry=e))

    def _put_mark(self):
        """Entries follow a snapshot on disk only behind its mark, so that none counts for another branch's."""
        self._owes_mark = False
        mark = Snapshot(index=self.snapshot.index, term=self.snapshot.term, cluster_state=ClusterStateData())
        self._put(ControllerRecord(snapshot=mark)).addErrback(told_by_the_last)

    def _put(self, r: ControllerRecord):
        body = r.SerializeToString()
        return self._group_commit.submit(lambda ticket: self._segments.append(body, ticket))

    def all_synced(self):
        """Fires once all that was queued before is on disk."""
        return self._put(ControllerRecord()) if self._group_commit.in_progress else defer.succeed(None)

    def keep_snapshot(self, s: Snapshot):
        """Blocking: writes the snapshot aside, syncs it and swaps it in."""
        goal = self._folder / f"setup-{s.index:012d}"
        new = self._folder / "setup.new"
        shutil.rmtree(new, ignore_errors=True)
        new.mkdir(parents=True)
        rows = sorted(s.cluster_state.rows, key=lambda r: r.name)
        crc = 0
        with dbm.dumb.open(str(new / "setup"), "n") as db:
            for r in rows:
                body = r.SerializeToString()
                crc = zlib.crc32(body, crc)
                db[b"row/" + r.name.encode()] = body
            head = Snapshot()
            head.CopyFrom(s)
            del head.cluster_state.rows[:]
            body = head.SerializeToString()
            db[b"head"] = zlib.crc32(body, crc).to_bytes(4, "big") + body
        for p in new.iterdir():
            fd = os.open(p, os.O_RDONLY)
            try:
                self._disk.sync(fd)
            finally:
                os.close(fd)
        self._disk.sync_folder(new)
        shutil.rmtree(goal, ignore_errors=True)
        os.replace(new, goal)
        self._disk.sync_folder(self._folder)
        if not (self._folder / "founded").exists():
            replace_file(self._folder / "founded", b"", self._disk)
        for old in self._folder.glob("setup-*"):
            if old != goal:
                shutil.rmtree(old, ignore_errors=True)

    def _load_snapshot(self) -> Snapshot:
        found = sorted(self._folder.glob("setup-*"), reverse=True)
        if not found:
            return Snapshot()
        try:
            with dbm.dumb.open(str(found[0] / "setup"), "r") as db:
                rows = [Row.FromString(db[k]) for k in sorted(db.keys()) if k.startswith(b"row/")]
                rows.sort(key=lambda r: r.name)
                crc = 0
                for r in rows:
                    crc = zlib.crc32(r.SerializeToString(), crc)
                head = db[b"head"]
        except Exception as e:
            raise CorruptData(f"the snapshot {found[0].name} cannot be read: {e}") from e
        if zlib.crc32(head[4:], crc) != int.from_bytes(head[:4], "big"):
            raise CorruptData(f"the snapshot {found[0].name} is damaged")
        s = Snapshot.FromString(head[4:])
        s.cluster_state.rows.extend(rows)
        return s

    def use_snapshot(self, s: Snapshot):
        """After `keep_snapshot`: drops what it covers from the log, in memory and on disk."""
        rest = [e for e in self.entries if e.index > s.index] if self.term_at(s.index) == s.term else []
        old = self._segments.segment_numbers()
        self.snapshot, self.entries, self._entry_bytes = s, [], 0
        self._votes = []
        for e in rest:
            self._place(e)
        self._segments.roll()
        first = self._segments.newest_segment()
        self._put_mark()
        for e in rest:
            self._put(ControllerRecord(entry=e)).addErrback(told_by_the_last)
        done = self._put(ControllerRecord(ballot=self.ballot))
        done.addCallback(lambda _: [self._segments.remove_segment(n) for n in old if n < first])
        return done

    def close(self):
        self._segments.close()
