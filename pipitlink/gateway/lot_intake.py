"""Takes submitted lots in and makes them durable."""

from ..context import Context
from ..errors import BadRequest, ServiceUnavailable
from ..timers import ms, wall_ms
from ..wire.lots_pb2 import Item, LogRecord, Lot
from .idempotency_keys import IdempotencyKeys, StoredLot
from .lot_ids import lot_id_at
from .lot_log import LotLog
from .open_lots import OpenLots
from .request_bodies import ItemBody, LotBody
from .serving_state import ServingState

__all__ = ["LotIntake"]

OPEN_LOG_TIMEOUT = ms(2500)


class LotIntake:
    """Stores each lot by one append, to this gateway's own lot log or to that of its idempotency key."""

    def __init__(
        self, ctx: Context, serving: ServingState, open_lots: OpenLots, own_log: LotLog, keys: IdempotencyKeys
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_lots = open_lots
        self._own_log = own_log
        self._keys = keys

    async def submit(self, body: LotBody) -> StoredLot:
        """Stores a submitted lot. Raises ApiError where it may not or cannot be stored."""
        if not self._serving.is_current():
            raise ServiceUnavailable("this gateway is not current", code="not_current")
        max_items = self._ctx.settings.max_items
        if len(body.items) > max_items:
            raise BadRequest(f"items: a lot may have {max_items} items", code="bad_field", field="items")
        lot = self._lot_from(body)
        if lot.key:
            return await self._keys.store(lot)
        return StoredLot(await self.store(lot), duplicate=False)

    async def store(self, lot: Lot) -> str:
        """Appends a lot to this gateway's log; returns its id. Raises ServiceUnavailable or ReplicatedLogError."""
        try:
            leaseholder = await self._ctx.timers.with_timeout(OPEN_LOG_TIMEOUT, self._own_log.leaseholder())
        except Exception as error:
            code = getattr(error, "code", "store")
            raise ServiceUnavailable(f"the store cannot take lots now: {error}", code=code) from error
        if not leaseholder.held():
            raise ServiceUnavailable("the lot log's lease is not current", code="store")
        offset = await leaseholder.append([LogRecord(lot=lot).SerializeToString()])
        lot_id = lot_id_at(leaseholder.log, offset)
        self._open_lots.add(lot_id, lot)
        return lot_id

    def _lot_from(self, body: LotBody) -> Lot:
        accepted_ms = wall_ms(self._ctx.timers.utc_now())
        return Lot(
            customer=body.customer,
            priority=body.priority,
            taken_ms=accepted_ms,
            limit_ms=accepted_ms + body.limit_ms,
            key=body.idempotency_key,
            items=[_item_from(item) for item in body.items],
        )


def _item_from(body: ItemBody) -> Item:
    return Item(
        model=body.model,
        prompt=body.prompt,
        prefix=body.prefix_key,
        repeatable=body.repeatable,
        max_tokens=body.max_tokens,
    )
