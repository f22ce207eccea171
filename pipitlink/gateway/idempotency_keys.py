"""Stores batches that have an idempotency key, at most one batch for each key."""

from __future__ import annotations

from hashlib import blake2b

import attrs
from twisted.internet import defer

from ..context import Context
from ..disk import decode_frames
from ..errors import (
    ApiError,
    ConnectionFailed,
    LeaseNotHeld,
    PipitlinkError,
    RemoteError,
    ServiceUnavailable,
    WireError,
)
from ..http_refusals import NO_MEMORY
from ..replicated_log import Leaseholder
from ..timers import secs, wall_ms
from ..wire.lots_pb2 import KeyedLotRequest, KeyedLotResponse, LogRecord, Lot
from .batch_ids import batch_id_at
from .batch_log_memory import BatchLogMemory
from .open_batches import OpenBatches
from .owner_selection import acquire_log, choose_owner

__all__ = ["IdempotencyKeys", "StoredBatch"]

SHARDS = 16
DAY_MS = 86_400_000
FORWARD_TIMEOUT = secs(6)
DIGEST_BYTES = 16
CONFLICT = 409


@attrs.frozen
class StoredBatch:
    """The id of a stored batch, and whether it was stored by an earlier request with the same key."""

    batch_id: str
    duplicate: bool


@attrs.frozen
class _KeyEntry:
    """The batch that was stored with a key, and the digest of what the client submitted."""

    batch_id: str
    digest: bytes


def _digest(spec: Lot) -> bytes:
    """Returns a digest of what the client submitted, without the fields that the gateway added."""
    submitted = Lot(customer=spec.customer, priority=spec.priority, key=spec.key, items=spec.items)
    return blake2b(submitted.SerializeToString(deterministic=True), digest_size=DIGEST_BYTES).digest()


def _full_key(spec: Lot) -> str:
    """Returns a batch's key together with its customer: keys are scoped to the customer."""
    return f"{spec.customer}\0{spec.key}"


def _shard_of(spec: Lot) -> int:
    return blake2b(_full_key(spec).encode(), digest_size=1).digest()[0] % SHARDS


@attrs.define(eq=False)
class _ShardLog:
    """The log of one shard and day, and the batch that was stored with each key in it."""

    leaseholder: Leaseholder
    parsed_bytes: int = 0
    keys: dict[str, _KeyEntry] = attrs.field(factory=dict)

    def parse_new_records(self) -> None:
        """Adds the keys of the records that were appended since the last call."""
        data = bytes(self.leaseholder.data[self.parsed_bytes :])
        for offset, body, _ in decode_frames(data):
            spec = LogRecord.FromString(body).lot
            batch_id = batch_id_at(self.leaseholder.log, self.parsed_bytes + offset)
            self.keys.setdefault(_full_key(spec), _KeyEntry(batch_id, _digest(spec)))
        self.parsed_bytes = len(self.leaseholder.data)


class IdempotencyKeys:
    """Stores batches that have an idempotency key; each shard of keys has one owner, so that no batch is stored twice.

    A key is remembered for the current day and the day before.
    """

    def __init__(self, ctx: Context, open_batches: OpenBatches, log_memory: BatchLogMemory) -> None:
        self._ctx = ctx
        self._open_batches = open_batches
        self._log_memory = log_memory
        self._shard_logs: dict[str, _ShardLog] = {}
        self._locks = [defer.DeferredLock() for _ in range(SHARDS)]

    def open(self) -> None:
        """Registers the RPC handler of the owner."""
        self._ctx.rpc.register_handler("lots.keyed", KeyedLotRequest, self._handle_store)

    async def store(self, spec: Lot) -> StoredBatch:
        """Stores a batch through the owner of its key, or returns the one that was stored with this key before.

        Raises ServiceUnavailable if the owner cannot be reached, ApiError if the key was used for a different batch.
        """
        owner = choose_owner(self._ctx, f"keyed{_shard_of(spec)}")
        if owner == self._ctx.node:
            response = await self._store_here(spec)
        else:
            response = await self._forward(owner, spec)
        if not response.same_lot:
            raise ApiError(
                "this idempotency key was used for a different batch",
                code="key_in_use",
                field="idempotency_key",
                status=CONFLICT,
                outcome="not_run",
            )
        return StoredBatch(response.lot, response.duplicate)

    async def _handle_store(self, _: str, request: KeyedLotRequest) -> KeyedLotResponse:
        return await self._store_here(request.lot)

    async def _forward(self, owner: str, spec: Lot) -> KeyedLotResponse:
        member = self._ctx.membership.find(owner)
        assert member is not None
        address = (member.host, member.port)
        request = KeyedLotRequest(lot=spec)
        try:
            return await self._ctx.rpc.call(address, "lots.keyed", request, KeyedLotResponse, FORWARD_TIMEOUT)
        except (WireError, RemoteError) as error:
            raise ServiceUnavailable(
                f"the owner of this idempotency key could not store the batch: {error}",
                code="no_owner",
                outcome="not_run" if _definitely_not_stored(error) else "unknown",
            ) from error

    async def _store_here(self, spec: Lot) -> KeyedLotResponse:
        shard = _shard_of(spec)
        key = _full_key(spec)
        digest = _digest(spec)
        async with self._locks[shard]:
            today = wall_ms(self._ctx.timers.utc_now()) // DAY_MS
            shard_logs = [await self._shard_log(f"lots/keyed{shard}.{day}") for day in (today, today - 1)]
            for shard_log in shard_logs:
                shard_log.parse_new_records()
                entry = shard_log.keys.get(key)
                if entry is not None:
                    await shard_log.leaseholder.wait_durable()
                    return KeyedLotResponse(lot=entry.batch_id, duplicate=True, same_lot=entry.digest == digest)
            return await self._append(spec, shard_logs)

    async def _append(self, spec: Lot, shard_logs: list[_ShardLog]) -> KeyedLotResponse:
        if not all(shard_log.leaseholder.is_held() for shard_log in shard_logs):
            raise LeaseNotHeld("the lease of the log for this idempotency key is not held")
        if not self._log_memory.has_room_for_keyed(spec):
            raise ServiceUnavailable("no memory for a further batch with a key now", code=NO_MEMORY.code)
        leaseholder = shard_logs[0].leaseholder
        offset = await leaseholder.append([LogRecord(lot=spec).SerializeToString()])
        batch_id = batch_id_at(leaseholder.log, offset)
        self._open_batches.add(batch_id, spec)
        return KeyedLotResponse(lot=batch_id, same_lot=True)

    async def _shard_log(self, log: str) -> _ShardLog:
        shard_log = self._shard_logs.get(log)
        if shard_log is not None and not shard_log.leaseholder.lost:
            return shard_log
        self._shard_logs.pop(log, None)
        try:
            shard_log = self._shard_logs[log] = _ShardLog(await acquire_log(self._ctx, log))
        except PipitlinkError as error:
            raise LeaseNotHeld(f"the lease of {log} could not be acquired: {error}") from error
        return shard_log


def _definitely_not_stored(error: WireError) -> bool:
    if isinstance(error, ConnectionFailed):
        return not error.sent
    return isinstance(error, RemoteError) and error.remote_code in (LeaseNotHeld.code, NO_MEMORY.code)
