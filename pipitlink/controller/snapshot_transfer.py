"""Snapshots of the cluster state: created from the local log, sent in bounded chunks, and installed."""

from __future__ import annotations

import zlib

import attrs
from google.protobuf.message import DecodeError
from twisted.internet import defer

from ..cluster import ClusterState
from ..context import Context
from ..timers import ms
from ..wire.controller_pb2 import AppendRequest, ControllerEntry, Snapshot, SnapshotChunk
from .consensus_state import ConsensusState
from .durable_log import DurableLog

__all__ = ["IncomingSnapshot", "OutgoingSnapshot", "SnapshotManager"]

CHUNK_BYTES = 128 * 1024
ENTRIES_PER_SLICE = 20
SLICE_PAUSE = ms(1)
COMPRESSION_LEVEL = 1


@attrs.define
class OutgoingSnapshot:
    """The transfer of one snapshot to one follower, with its offset, until the follower has received it."""

    index: int
    term: int
    data: bytes
    offset: int = 0

    @classmethod
    def compress(cls, snapshot: Snapshot) -> OutgoingSnapshot:
        """Returns a new transfer of this snapshot, at offset 0."""
        return cls(snapshot.index, snapshot.term, zlib.compress(snapshot.SerializeToString(), COMPRESSION_LEVEL))

    def next_chunk(self) -> SnapshotChunk:
        """Returns the bytes at the offset, at most CHUNK_BYTES."""
        return SnapshotChunk(
            index=self.index,
            term=self.term,
            offset=self.offset,
            total=len(self.data),
            data=self.data[self.offset : self.offset + CHUNK_BYTES],
        )


@attrs.frozen
class _TransferId:
    """Identifies one leader's transfer of one snapshot."""

    leader: str
    leader_term: int
    index: int
    term: int
    total: int


@attrs.define
class IncomingSnapshot:
    """The bytes of a leader's snapshot received so far."""

    transfer: _TransferId
    data: bytearray = attrs.field(factory=bytearray)
    installing: bool = False

    def add(self, chunk: SnapshotChunk) -> None:
        """Appends a chunk; one that does not continue the received bytes is ignored."""
        if chunk.offset == len(self.data):
            self.data += chunk.data

    def is_complete(self) -> bool:
        """Returns whether all bytes have been received."""
        return len(self.data) == self.transfer.total


class SnapshotManager:
    """Compacts the log into snapshots, and installs snapshots received from a leader.

    Only one snapshot at a time is written to disk, whether created locally or received.
    """

    def __init__(self, ctx: Context, consensus: ConsensusState, durable_log: DurableLog) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._durable_log = durable_log
        self._lock = defer.DeferredLock()
        self._compacting = False
        self.incoming: IncomingSnapshot | None = None

    def open(self) -> None:
        """Registers the callback that compacts the log when it is long."""
        self._consensus.when_advanced(self._compact_when_long)

    def _compact_when_long(self) -> None:
        if self._durable_log.needs_compaction() and not self._compacting:
            self._compacting = True
            self._ctx.run_in_background(self._compact(), "compact_log")

    async def _compact(self) -> None:
        """Saves a snapshot of the committed entries except the newest, and removes the log up to it."""
        try:
            await self._lock.run(lambda: defer.ensureDeferred(self._compact_locked()))
        finally:
            self._compacting = False

    async def _compact_locked(self) -> None:
        base = self._durable_log.snapshot
        last_committed = min(self._consensus.commit_index, self._durable_log.last_index())
        index = self._durable_log.compaction_index(last_committed)
        if index <= base.index:
            return
        entries = self._durable_log.entries[: index - base.index]
        term = entries[-1].term
        cluster_state = await self._apply_in_slices(ClusterState(base.cluster_state), entries)
        snapshot = Snapshot(index=index, term=term, cluster_state=cluster_state.data())
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, snapshot)
        await self._durable_log.use_snapshot(snapshot)
        self._ctx.logger.info("log_compacted", index=index)

    async def _apply_in_slices(self, cluster_state: ClusterState, entries: list[ControllerEntry]) -> ClusterState:
        """Applies entries with pauses in between, so that the process can do other work."""
        for position, entry in enumerate(entries):
            cluster_state.apply(entry.index, entry.command)
            if position % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
                await self._ctx.timers.sleep(SLICE_PAUSE)
        return cluster_state

    def is_needed(self, snapshot: Snapshot | SnapshotChunk) -> bool:
        """Returns whether a snapshot covers more than the local log, or conflicts with it."""
        if self._consensus.is_newcomer:
            return True
        if snapshot.index <= self._durable_log.snapshot.index:
            return False
        return self._durable_log.term_at(snapshot.index) != snapshot.term

    async def install(self, snapshot: Snapshot) -> None:
        """Replaces the local log by a complete snapshot, unless the log has advanced beyond it meanwhile."""
        await self._lock.run(lambda: defer.ensureDeferred(self._install_locked(snapshot)))

    async def _install_locked(self, snapshot: Snapshot) -> None:
        if not self.is_needed(snapshot):
            return
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, snapshot)
        synced = self._durable_log.use_snapshot(snapshot)
        if snapshot.index >= self._consensus.cluster_state.sequence:
            self._consensus.restore(snapshot)
        await synced
        if self._consensus.is_newcomer:
            self._consensus.mark_bootstrapped()

    def receive_chunk(self, request: AppendRequest) -> int:
        """Stores a chunk, and installs the snapshot in the background once it is complete.

        Returns how many bytes of the snapshot have been received.
        """
        chunk = request.chunk
        transfer = _TransferId(request.leader, request.term, chunk.index, chunk.term, chunk.total)
        if self.incoming is None or self.incoming.transfer != transfer:
            self.incoming = IncomingSnapshot(transfer)
        incoming = self.incoming
        incoming.add(chunk)
        if incoming.is_complete() and not incoming.installing:
            incoming.installing = True
            self._ctx.run_in_background(self._install_received(incoming), "install_snapshot")
        return len(incoming.data)

    async def _install_received(self, incoming: IncomingSnapshot) -> None:
        try:
            snapshot = Snapshot.FromString(zlib.decompress(bytes(incoming.data)))
            await self.install(snapshot)
        except (zlib.error, DecodeError):
            incoming.data.clear()
            raise
        finally:
            incoming.installing = False
        if self.incoming is incoming:
            self.incoming = None
