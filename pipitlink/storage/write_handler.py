"""Handles writes of leaseholders to the replicas of a storage node."""

from __future__ import annotations

import zlib
from functools import partial

import attrs

from ..context import Context
from ..errors import DeadlineExceeded, StorageFull
from ..group_commit import GroupCommit
from ..replicated_log.write_refusal import WriteRefusal
from ..timers import ms
from ..wire.replicated_log_pb2 import CommitRequest, Entry, FetchRequest, WriteRequest, WriteResponse
from .durable import sync
from .lease_grants import LeaseGrants
from .log_store import LogStore
from .placement_check import PlacementCheck
from .replica import Tail

__all__ = ["PartialWrites", "WriteHandler"]

MAX_LOG_BYTES = 64 * 1024 * 1024
MAX_PARTIAL_WRITES = 16
# The timeout for reading from another replica, less than the writer's timeout for the whole fetch.
FETCH_TIMEOUT = ms(600)


@attrs.frozen
class _WriterKey:
    log: str
    epoch: int


class PartialWrites:
    """Buffers the parts of long writes until the last part arrives, so that each write becomes one entry."""

    def __init__(self) -> None:
        self._buffers: dict[_WriterKey, bytes] = {}

    def add(self, part: WriteRequest) -> None:
        """Buffers one part. Raises StorageFull if it does not continue the buffered parts or a limit is exceeded."""
        key = _WriterKey(part.log, part.epoch)
        buffered = b"" if part.position == 0 else self._buffers.get(key, b"")
        if len(buffered) != part.position or len(self._buffers) > MAX_PARTIAL_WRITES or len(buffered) > MAX_LOG_BYTES:
            raise StorageFull(f"{part.log}: cannot buffer a part at {part.position} after {len(buffered)} bytes")
        self._buffers[key] = buffered + part.data

    def complete(self, last: WriteRequest) -> bytes | None:
        """Returns the data of a write from the buffered parts and the last one, or None if a part is missing."""
        buffered = self._buffers.pop(_WriterKey(last.log, last.epoch), b"")[: last.buffered_bytes]
        return buffered + last.data if len(buffered) == last.buffered_bytes else None


class WriteHandler:
    """Handles `replicated_log.write`, `replicated_log.fetch` and `replicated_log.mark`."""

    def __init__(
        self,
        ctx: Context,
        log_store: LogStore,
        group_commit: GroupCommit,
        lease_grants: LeaseGrants,
        placement_check: PlacementCheck,
    ) -> None:
        self._ctx = ctx
        self._log_store = log_store
        self._group_commit = group_commit
        self._lease_grants = lease_grants
        self._placement_check = placement_check
        self._partial_writes = PartialWrites()

    def open(self) -> None:
        """Registers the handlers."""
        self._ctx.rpc.register_handler("replicated_log.write", WriteRequest, self._write)
        self._ctx.rpc.register_handler("replicated_log.fetch", FetchRequest, self._fetch)
        self._ctx.rpc.register_handler("replicated_log.mark", CommitRequest, self._commit)

    async def _write(self, _peer: str, request: WriteRequest) -> WriteResponse:
        await self._placement_check.require_current(request.log, request.placement_group_sequence)
        if request.partial:
            self._partial_writes.add(request)
            return WriteResponse(written=True)
        data = self._partial_writes.complete(request)
        if data is None:
            return self._refuse(WriteRefusal.POSITION_MISMATCH, request.log)
        entry = _write_entry(request, data)
        expected = Tail(request.expect_tail_epoch, request.expect_length)
        if not await sync(self._group_commit, partial(self._log_store.write, entry, expected, request.reserved)):
            return self._refuse(WriteRefusal.POSITION_MISMATCH, request.log)
        self._log_store.record_synced(request.log, request.epoch, request.position + len(data), request.final)
        return WriteResponse(written=True, state=self._lease_grants.log_state(request.log))

    async def _fetch(self, peer: str, request: FetchRequest) -> WriteResponse:
        """Reads the data of a write from another replica, which has it on disk under the same epoch, then writes it."""
        write = request.write
        reading = self._ctx.replicated_log.read_from(
            request.source, write.log, write.position, request.length, tail_epoch=write.epoch
        )
        try:
            data = await self._ctx.timers.with_timeout(FETCH_TIMEOUT, reading)
        except DeadlineExceeded:
            data = b""
        if len(data) != request.length or zlib.crc32(data) != request.checksum:
            return self._refuse(WriteRefusal.SOURCE_UNREADABLE, write.log)
        write.data = data
        return await self._write(peer, write)

    def _refuse(self, reason: WriteRefusal, log: str) -> WriteResponse:
        return WriteResponse(reason=reason.value, state=self._lease_grants.log_state(log))

    async def _commit(self, _peer: str, request: CommitRequest) -> None:
        self._log_store.commit(request.log, request.epoch, request.committed)


def _write_entry(request: WriteRequest, data: bytes) -> Entry:
    return Entry(
        kind=Entry.WRITE,
        log=request.log,
        epoch=request.epoch,
        position=request.position,
        data=data,
        final=request.final,
        committed=request.committed,
        closed_ms=request.closed_ms,
    )
