"""Replication of a log from its leaseholder to one storage node."""

from __future__ import annotations

import zlib
from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.python.failure import Failure

from ..context import Context
from ..errors import RemoteError, StaleEpoch, StalePlacement, StorageFull, UnknownMethod, WireError
from ..timers import ms, secs, spawn
from ..wire.replicated_log_pb2 import (
    FetchRequest,
    LogState,
    StatesRequest,
    StatesResponse,
    WriteRequest,
    WriteResponse,
)
from .fetch_planner import MIN_FETCH_BYTES, FetchSource
from .replica_progress import TailPosition
from .storage_client import StorageClient
from .write_refusal import WriteRefusal

if TYPE_CHECKING:
    from .leaseholder import Leaseholder

__all__ = ["WRITE_TIMEOUT", "ReplicaSender"]

WRITE_TIMEOUT: timedelta = secs(2)
RETRY_INTERVAL: timedelta = ms(150)
RETRY_INTERVAL_WITHOUT_WAITERS: timedelta = secs(1)
MAX_WRITE_BYTES = 4 * 1024 * 1024
# How long a replica is not used as a source again after a fetch from it has failed.
SOURCE_EXCLUSION: timedelta = secs(5)


class ReplicaSender:
    """Replicates the leaseholder's data to one replica, in at most one task at a time.

    If another replica has the bytes of a large write, or is about to get them, this replica fetches them from there.
    """

    def __init__(self, ctx: Context, client: StorageClient, leaseholder: Leaseholder, node: str) -> None:
        self._ctx = ctx
        self._client = client
        self._leaseholder = leaseholder
        self._node = node
        self._is_running = False
        self._can_fetch = True
        self._excluded_until: dict[str, timedelta] = {}

    def start(self) -> None:
        """Starts the task unless it is already running or the lease is lost."""
        if self._is_running or self._leaseholder.lost:
            return
        self._is_running = True
        spawn(self._run()).addBoth(self._stopped)

    def _stopped(self, result: Failure | None) -> None:
        self._is_running = False
        if result is not None:
            self._ctx.logger.failure(
                "replication_failed", result.value, log=self._leaseholder.log, storage_node=self._node
            )

    async def _run(self) -> None:
        leaseholder = self._leaseholder
        while not leaseholder.lost and self._node in leaseholder.placement_group.all_nodes:
            try:
                if await self._replicate_step():
                    return
            except RemoteError as error:
                if self._is_permanent(error):
                    return
                leaseholder.progress.discard(self._node)
                await self._ctx.timers.sleep(RETRY_INTERVAL)
            except WireError as error:
                leaseholder.progress.discard(self._node)
                self._ctx.logger.debug("replica_behind", log=leaseholder.log, storage_node=self._node, text=error)
                await self._ctx.timers.sleep(
                    RETRY_INTERVAL if leaseholder.has_waiters else RETRY_INTERVAL_WITHOUT_WAITERS
                )
            leaseholder.advance_commit()

    async def _replicate_step(self) -> bool:
        """Returns True if the replica is up to date; otherwise requests its state, or transfers missing bytes."""
        leaseholder = self._leaseholder
        state = leaseholder.progress.get(self._node)
        placement_group = leaseholder.placement_group
        if state is not None and self._is_up_to_date(state):
            return True
        try:
            reported = await (self._request_state() if state is None else self._write_or_fetch(state))
            if leaseholder.placement_group is placement_group:
                leaseholder.progress.record(self._node, reported)
        finally:
            leaseholder.fetch_planner.transfer_ended(self._node)
        return False

    def _is_permanent(self, error: RemoteError) -> bool:
        """Handles an error returned by the storage node; returns whether a retry cannot succeed."""
        if error.remote_code == StaleEpoch.code:
            self._leaseholder.invalidate(str(error))
            return True
        if error.remote_code == StorageFull.code:
            self._leaseholder.storage_full(self._node)
            return True
        if error.remote_code == StalePlacement.code:
            self._leaseholder.refresh_placement()
        return False

    def _is_up_to_date(self, state: LogState) -> bool:
        leaseholder = self._leaseholder
        return (
            state.tail_epoch == leaseholder.epoch
            and state.length == len(leaseholder.data)
            and state.final == leaseholder.final
        )

    async def _request_state(self) -> LogState:
        request = StatesRequest(logs=[self._leaseholder.log])
        response = await self._client.call(self._node, "replicated_log.states", request, StatesResponse)
        return response.states[0]

    async def _write_or_fetch(self, state: LogState) -> LogState:
        """Sends the missing bytes, or has the replica fetch them; returns its new state.

        Returns `state` unchanged if it first had to wait for another transfer; the caller then tries again.
        """
        leaseholder, planner = self._leaseholder, self._leaseholder.fetch_planner
        start = self._match_position(state)
        size = len(leaseholder.data) - start
        if size < MIN_FETCH_BYTES or not self._can_fetch:
            return await self._write(state, start)
        excluded = self._excluded_sources()
        source = planner.source_for(self._node, state, start, leaseholder.epoch, leaseholder.recovered_tail, excluded)
        must_wait = planner.must_wait() if source is None else planner.must_wait_for_zone_peer(self._node, source)
        if must_wait:
            await planner.wait_for_transfer()
            return state
        if source is not None:
            planner.fetch_started(self._node, source.end - start)
            return await self._fetch(state, start, source)
        planner.direct_write_started(self._node, size)
        return await self._write(state, start)

    def _excluded_sources(self) -> set[str]:
        """Returns the replicas that this one must not fetch from at present."""
        now = self._ctx.timers.now()
        return {self._node, *(node for node, until in self._excluded_until.items() if now < until)}

    async def _fetch(self, state: LogState, start: int, source: FetchSource) -> LogState:
        """Has the replica fetch the missing bytes from another one; returns its new state."""
        leaseholder = self._leaseholder
        request = FetchRequest(
            write=self._write_request(state, start, source.end),
            source=source.storage_node,
            length=source.end - start,
            checksum=zlib.crc32(memoryview(leaseholder.data)[start : source.end]),
        )
        try:
            response = await self._client.call(
                self._node, "replicated_log.fetch", request, WriteResponse, WRITE_TIMEOUT
            )
        except RemoteError as error:
            if error.remote_code != UnknownMethod.code:
                raise
            self._can_fetch = False  # the storage node runs an earlier release without this method
            return state
        if response.reason == WriteRefusal.SOURCE_UNREADABLE:
            self._excluded_until[source.storage_node] = self._ctx.timers.now() + SOURCE_EXCLUSION
        return response.state

    async def _write(self, state: LogState, start: int) -> LogState:
        data = bytes(memoryview(self._leaseholder.data)[start:])
        request = self._write_request(state, start, len(self._leaseholder.data))
        while len(data) - request.buffered_bytes > MAX_WRITE_BYTES:
            request.buffered_bytes += await self._write_partial(data, request.buffered_bytes)
        request.data = data[request.buffered_bytes :]
        response = await self._client.call(self._node, "replicated_log.write", request, WriteResponse, WRITE_TIMEOUT)
        return response.state

    def _match_position(self, state: LogState) -> int:
        """Returns the position up to which the replica's bytes are known to match the leaseholder's."""
        recovered = self._leaseholder.recovered_tail
        if state.tail_epoch == self._leaseholder.epoch:
            return state.length
        if state.tail_epoch == recovered.epoch:
            return min(state.length, recovered.length)
        return min(state.committed, state.length)

    def _write_request(self, state: LogState, start: int, end: int) -> WriteRequest:
        """Returns the write request for the bytes from `start` to `end`, without the data."""
        leaseholder = self._leaseholder
        is_final = leaseholder.final and end == len(leaseholder.data)
        expected = TailPosition.of(state)
        return WriteRequest(
            log=leaseholder.log,
            epoch=leaseholder.epoch,
            placement_group_sequence=leaseholder.placement_group.sequence,
            position=start,
            expect_tail_epoch=expected.epoch,
            expect_length=expected.length,
            committed=leaseholder.committed,
            final=is_final,
            reserved=leaseholder.uses_reserve,
            closed_ms=leaseholder.closed_ms if is_final else 0,
        )

    async def _write_partial(self, data: bytes, offset: int) -> int:
        """Sends one part of a long write for the storage node to buffer; returns the number of bytes sent."""
        leaseholder = self._leaseholder
        part = WriteRequest(
            log=leaseholder.log,
            epoch=leaseholder.epoch,
            partial=True,
            position=offset,
            data=data[offset : offset + MAX_WRITE_BYTES],
        )
        await self._client.call(self._node, "replicated_log.write", part, WriteResponse, WRITE_TIMEOUT)
        return len(part.data)
