"""Takes in lots with an idempotency key, each key at most once."""

from hashlib import blake2b

import attrs
from twisted.internet import defer

from ..context import Context
from ..disk import frames
from ..errors import (
    ApiError,
    ConnectionFailed,
    LeaseNotHeld,
    PipitlinkError,
    RemoteError,
    ServiceUnavailable,
    WireError,
)
from ..replicated_log import Leaseholder
from ..timers import secs, wall_ms
from ..wire.lots_pb2 import KeyedLotRequest, KeyedLotResponse, LogRecord, Lot
from .lot_ids import lot_id_at
from .lot_placement import acquire_log, choose_owner
from .open_lots import OpenLots

__all__ = ["IdempotencyKeys", "StoredLot"]

SHARDS = 16
DAY_MS = 86_400_000
FORWARD_TIMEOUT = secs(6)
DIGEST_BYTES = 16
CONFLICT = 409


@attrs.frozen
class StoredLot:
    """The id of a stored lot, and whether it was stored by an earlier request with the same key."""

    lot_id: str
    duplicate: bool


@attrs.frozen
class _KeyEntry:
    """The lot that a key stands for."""

    lot_id: str
    digest: bytes


def _digest(lot: Lot) -> bytes:
    """Returns a digest of what a caller submitted, without what the gateway added."""
    submitted = Lot(customer=lot.customer, priority=lot.priority, key=lot.key, items=lot.items)
    return blake2b(submitted.SerializeToString(deterministic=True), digest_size=DIGEST_BYTES).digest()


def _full_key(lot: Lot) -> str:
    """Returns a lot's key together with its customer, since each customer has keys of their own."""
    return f"{lot.customer}\0{lot.key}"


def _shard_of(lot: Lot) -> int:
    return blake2b(_full_key(lot).encode(), digest_size=1).digest()[0] % SHARDS


@attrs.define(eq=False)
class _ShardLog:
    """One shard's log of a day, and the lot that each key in it stands for."""

    leaseholder: Leaseholder
    parsed_bytes: int = 0
    keys: dict[str, _KeyEntry] = attrs.field(factory=dict)

    def parse_new_records(self) -> None:
        """Enters the keys of what was appended since the last call."""
        data = bytes(self.leaseholder.data[self.parsed_bytes :])
        for offset, body, _ in frames(data):
            lot = LogRecord.FromString(body).lot
            lot_id = lot_id_at(self.leaseholder.log, self.parsed_bytes + offset)
            self.keys.setdefault(_full_key(lot), _KeyEntry(lot_id, _digest(lot)))
        self.parsed_bytes = len(self.leaseholder.data)


class IdempotencyKeys:
    """Stores lots with an idempotency key; each shard of keys has one owner, so that no lot is stored twice.

    A key is remembered for the day and the one before.
    """

    def __init__(self, ctx: Context, open_lots: OpenLots) -> None:
        self._ctx = ctx
        self._open_lots = open_lots
        self._shard_logs: dict[str, _ShardLog] = {}
        self._locks = [defer.DeferredLock() for _ in range(SHARDS)]

    def start(self) -> None:
        """Registers the owner's handler."""
        self._ctx.rpc.register_handler("lots.keyed", KeyedLotRequest, self._handle_store)

    async def store(self, lot: Lot) -> StoredLot:
        """Stores a lot through the owner of its key, or finds the one that was stored with the key before.

        Raises ServiceUnavailable where the owner cannot be reached, ApiError where the key was used for another lot.
        """
        owner = choose_owner(self._ctx, f"keyed{_shard_of(lot)}")
        if owner == self._ctx.node:
            response = await self._store_here(lot)
        else:
            response = await self._forward(owner, lot)
        if not response.same_lot:
            raise ApiError(
                "this key was used for another lot",
                code="key_in_use",
                field="idempotency_key",
                status=CONFLICT,
                outcome="not_run",
            )
        return StoredLot(response.lot, response.duplicate)

    async def _handle_store(self, _: str, request: KeyedLotRequest) -> KeyedLotResponse:
        return await self._store_here(request.lot)

    async def _forward(self, owner: str, lot: Lot) -> KeyedLotResponse:
        member = self._ctx.membership.find(owner)
        assert member is not None
        address = (member.host, member.port)
        request = KeyedLotRequest(lot=lot)
        try:
            return await self._ctx.rpc.call(address, "lots.keyed", request, KeyedLotResponse, FORWARD_TIMEOUT)
        except (WireError, RemoteError) as error:
            raise ServiceUnavailable(
                f"the owner of this key could not take it: {error}",
                code="no_owner",
                outcome="not_run" if _surely_not_stored(error) else "unknown",
            ) from error

    async def _store_here(self, lot: Lot) -> KeyedLotResponse:
        shard = _shard_of(lot)
        key = _full_key(lot)
        digest = _digest(lot)
        async with self._locks[shard]:
            today = wall_ms(self._ctx.timers.utc_now()) // DAY_MS
            shard_logs = [await self._shard_log(f"lots/keyed{shard}.{day}") for day in (today, today - 1)]
            for shard_log in shard_logs:
                shard_log.parse_new_records()
                entry = shard_log.keys.get(key)
                if entry is not None:
                    await shard_log.leaseholder.all_durable()
                    return KeyedLotResponse(lot=entry.lot_id, duplicate=True, same_lot=entry.digest == digest)
            return await self._append(lot, shard_logs)

    async def _append(self, lot: Lot, shard_logs: list[_ShardLog]) -> KeyedLotResponse:
        if not all(shard_log.leaseholder.held() for shard_log in shard_logs):
            raise LeaseNotHeld("the lease of this key's log is not current")
        leaseholder = shard_logs[0].leaseholder
        offset = await leaseholder.append([LogRecord(lot=lot).SerializeToString()])
        lot_id = lot_id_at(leaseholder.log, offset)
        self._open_lots.add(lot_id, lot)
        return KeyedLotResponse(lot=lot_id, same_lot=True)

    async def _shard_log(self, log: str) -> _ShardLog:
        shard_log = self._shard_logs.get(log)
        if shard_log is not None and not shard_log.leaseholder.lost:
            return shard_log
        self._shard_logs.pop(log, None)
        try:
            shard_log = self._shard_logs[log] = _ShardLog(await acquire_log(self._ctx, log))
        except PipitlinkError as error:
            raise LeaseNotHeld(f"{log} could not be taken: {error}") from error
        return shard_log


def _surely_not_stored(error: WireError) -> bool:
    if isinstance(error, ConnectionFailed):
        return not error.sent
    return isinstance(error, RemoteError) and error.remote_code == LeaseNotHeld.code
