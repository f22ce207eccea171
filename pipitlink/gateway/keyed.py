"""Takes in lots with an idempotency key, each key at most once."""

from hashlib import blake2b

import attrs
from twisted.internet import defer

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
from ..timers import secs, wall_ms
from ..wire.lots_pb2 import KeyedLotRequest, KeyedLotResponse, LogRecord, Lot

__all__ = ["Keyed"]

SHARDS = 16
DAY_MS = 86_400_000
FORWARD_LIMIT = secs(6)


def _digest(lot: Lot) -> bytes:
    same = Lot(customer=lot.customer, priority=lot.priority, key=lot.key, items=lot.items)
    return blake2b(same.SerializeToString(deterministic=True), digest_size=16).digest()


@attrs.define(eq=False)
class _Shard:
    """One shard's log of a day, and which lot each key in it stands for."""

    leaseholder: object
    parsed: int = 0
    keys: dict[str, tuple[str, bytes]] = attrs.field(factory=dict)

    def learn(self):
        data = bytes(self.leaseholder.data[self.parsed :])
        for at, body, end in decode_frames(data):
            lot = LogRecord.FromString(body).lot
            lot_id = f"{self.leaseholder.log.removeprefix('lots/')}.{self.parsed + at}"
            self.keys.setdefault(f"{lot.customer}\0{lot.key}", (lot_id, _digest(lot)))
        self.parsed = len(self.leaseholder.data)


class Keyed:
    """Mixin: lots with an idempotency key are taken by one owner for each shard of keys, so none is taken twice.

    Offers `_store_keyed`, and answers `lots.keyed` as an owner.
    Needs of the node: `_ctx`, `keep`; of Lots: `_known`; of Dispatch: `_owner`.
    Owns `_shards` and `_turns`.
    """

    def _open_keyed(self):
        self._shards: dict[str, _Shard] = {}
        self._turns = [defer.DeferredLock() for _ in range(SHARDS)]
        self._ctx.rpc.register_handler("lots.keyed", KeyedLotRequest, self._keyed_for)

    async def _keyed_for(self, node, ask: KeyedLotRequest) -> KeyedLotResponse:
        return await self._keyed_here(ask.lot)

    async def _store_keyed(self, lot: Lot) -> tuple[str, bool]:
        shard = self._shard_of(lot)
        owner = self._owner(f"keyed{shard}")
        if owner == self._ctx.node:
            r = await self._keyed_here(lot)
        else:
            m = self._ctx.membership.find(owner)
            try:
                r = await self._ctx.rpc.call(
                    (m.host, m.port), "lots.keyed", KeyedLotRequest(lot=lot), KeyedLotResponse, FORWARD_LIMIT
                )
            except (WireError, RemoteError) as e:
                unsent = (
                    isinstance(e, ConnectionFailed)
                    and not e.sent
                    or isinstance(e, RemoteError)
                    and e.remote_code == "not_held"
                )
                raise ServiceUnavailable(
                    f"the owner of this key could not take it: {e}",
                    code="no_owner",
                    outcome="not_run" if unsent else "unknown",
                ) from e
        if not r.same:
            raise ApiError(
                "this key was used for another lot",
                code="key_in_use",
                field="idempotency_key",
                status=409,
                outcome="not_run",
            )
        return r.lot, r.again

    def _shard_of(self, lot: Lot) -> int:
        return blake2b(f"{lot.customer}\0{lot.key}".encode(), digest_size=1).digest()[0] % SHARDS

    async def _keyed_here(self, lot: Lot) -> KeyedLotResponse:
        n = self._shard_of(lot)
        key, digest = f"{lot.customer}\0{lot.key}", _digest(lot)
        async with self._turns[n]:
            day = wall_ms(self._ctx.timers.utc_now()) // DAY_MS
            shards = [await self._shard(f"lots/keyed{n}.{d}") for d in (day, day - 1)]
            for s in shards:
                s.learn()
                if key in s.keys:
                    lot_id, other = s.keys[key]
                    await s.leaseholder.wait_durable()
                    return KeyedLotResponse(lot=lot_id, again=True, same=other == digest)
            h = shards[0].leaseholder
            if not all(s.leaseholder.is_held() for s in shards):
                raise LeaseNotHeld("the lease of this key's log is not current")
            start = await h.append([LogRecord(lot=lot).SerializeToString()])
            lot_id = f"{h.log.removeprefix('lots/')}.{start}"
            self._known(lot_id, lot)
            return KeyedLotResponse(lot=lot_id, same=True)

    async def _shard(self, log: str) -> _Shard:
        s = self._shards.get(log)
        if s is None or s.leaseholder.lost:
            self._shards.pop(log, None)
            try:
                s = self._shards[log] = _Shard(await self.keep(log))
            except PipitlinkError as e:
                raise LeaseNotHeld(f"{log} could not be taken: {e}") from e
        return s
