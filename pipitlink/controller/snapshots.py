"""Snapshots of the agreed state: made from the own log, sent in bounded pieces, and taken in place of a log."""

import zlib

import attrs
from google.protobuf.message import DecodeError
from twisted.internet import defer

from ..cluster import ClusterState
from ..timers import ms
from ..wire.controller_pb2 import AppendRequest, Snapshot, SnapshotChunk

__all__ = ["Snapshots", "OutgoingSnapshot"]

PIECE_BYTES = 128 * 1024
APPLY_SLICE = 20


@attrs.define
class OutgoingSnapshot:
    """A snapshot on its way to one follower. It stays the same one, with its offset, until it has arrived."""

    index: int
    term: int
    data: bytes
    offset: int = 0

    @classmethod
    def of(cls, snapshot: Snapshot) -> "OutgoingSnapshot":
        return cls(snapshot.index, snapshot.term, zlib.compress(snapshot.SerializeToString(), 1))

    def piece(self) -> SnapshotChunk:
        return SnapshotChunk(
            index=self.index,
            term=self.term,
            offset=self.offset,
            total=len(self.data),
            data=self.data[self.offset : self.offset + PIECE_BYTES],
        )


@attrs.define
class _IncomingSnapshot:
    """The pieces of one leader's snapshot that have arrived so far."""

    key: tuple
    total: int
    data: bytearray = attrs.field(factory=bytearray)
    installing: bool = False

    def add(self, piece: SnapshotChunk):
        if piece.offset == len(self.data):
            self.data += piece.data

    def whole(self) -> bool:
        return len(self.data) == self.total


class Snapshots:
    """Mixin: offers `adopt`, `trim_when_long` and `take_piece`; needs `archive`, `cluster_state` and `commit`.

    One snapshot at a time is written to the disk, whether made from the own log or received.
    """

    def _open_snapshots(self):
        self._snapshot_lock = defer.DeferredLock()
        self._trimming = False
        self._incoming: _IncomingSnapshot | None = None

    def trim_when_long(self):
        if self.archive.long() and not self._trimming:
            self._trimming = True
            self._ctx.run_in_background(self._trim(), "trim")

    async def _trim(self):
        """Keeps a snapshot of what is agreed, less the newest entries, and drops the log below it."""
        try:
            await self._snapshot_lock.run(lambda: defer.ensureDeferred(self._trim_locked()))
        finally:
            self._trimming = False

    async def _trim_locked(self):
        base = self.archive.snapshot
        index = self.archive.trim_at(min(self.commit, self.archive.last_index()))
        if index <= base.index:
            return
        entries = self.archive.entries[: index - base.index]
        term = entries[-1].term
        cluster_state = ClusterState(base.cluster_state)
        for n, e in enumerate(entries):
            cluster_state.apply(e.index, e.command)
            if n % APPLY_SLICE == APPLY_SLICE - 1:
                await self._ctx.timers.sleep(ms(1))
        s = Snapshot(index=index, term=term, cluster_state=cluster_state.data())
        await self._ctx.run_in_thread(self.archive.keep_snapshot, s)
        await self.archive.use_snapshot(s)
        self._ctx.logger.info("trimmed", index=index)

    def lacks(self, s: Snapshot | SnapshotChunk) -> bool:
        """Whether a snapshot tells of more than the own log holds, or the log is on another branch there."""
        if self.state == "newcomer":
            return True
        return s.index > self.archive.snapshot.index and self.archive.term_at(s.index) != s.term

    async def adopt(self, s: Snapshot):
        """Takes a whole snapshot in place of the own log, unless the log has gone beyond it meanwhile."""
        await self._snapshot_lock.run(lambda: defer.ensureDeferred(self._adopt_locked(s)))

    async def _adopt_locked(self, s: Snapshot):
        if not self.lacks(s):
            return
        await self._ctx.run_in_thread(self.archive.keep_snapshot, s)
        synced = self.archive.use_snapshot(s)
        if s.index >= self.cluster_state.sequence:
            self._take_cluster_state(s)
        await synced
        if self.state == "newcomer":
            self.trigger("founded")

    def take_piece(self, ask: AppendRequest) -> int:
        """Keeps a piece; once all are here they are adopted, while appends go on. Returns how far they go."""
        piece = ask.piece
        key = (ask.leader, ask.term, piece.index, piece.term, piece.total)
        if self._incoming is None or self._incoming.key != key:
            self._incoming = _IncomingSnapshot(key, piece.total)
        incoming = self._incoming
        incoming.add(piece)
        if incoming.whole() and not incoming.installing:
            incoming.installing = True
            self._ctx.run_in_background(self._install(incoming), "snapshot")
        return len(incoming.data)

    async def _install(self, incoming: _IncomingSnapshot):
        try:
            s = Snapshot.FromString(zlib.decompress(bytes(incoming.data)))
            await self.adopt(s)
        except (zlib.error, DecodeError):
            incoming.data.clear()
            raise
        finally:
            incoming.installing = False
        if self._incoming is incoming:
            self._incoming = None
