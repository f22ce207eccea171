"""Stores submitted batches durably."""

from __future__ import annotations

from ..context import Context
from ..errors import BadRequest, ServiceUnavailable
from ..http_refusals import NO_MEMORY
from ..timers import ms, wall_ms
from ..wire.lots_pb2 import Item, LogRecord, Lot
from .batch_ids import batch_id_at
from .batch_log import BatchLog
from .batch_log_memory import BatchLogMemory
from .idempotency_keys import IdempotencyKeys, StoredBatch
from .open_batches import OpenBatches
from .request_bodies import BatchBody, ItemBody
from .serving_state import ServingState

__all__ = ["BatchIntake"]

OPEN_LOG_TIMEOUT = ms(2500)
RETRY_AFTER_S = 1


class BatchIntake:
    """Stores each batch with one append, to this gateway's own batch log or to the log for its idempotency key."""

    def __init__(
        self,
        ctx: Context,
        serving: ServingState,
        open_batches: OpenBatches,
        own_log: BatchLog,
        keys: IdempotencyKeys,
        log_memory: BatchLogMemory,
    ) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_batches = open_batches
        self._own_log = own_log
        self._keys = keys
        self._log_memory = log_memory

    async def submit(self, body: BatchBody) -> StoredBatch:
        """Stores a submitted batch. Raises ApiError if it is not acceptable or cannot be stored."""
        if not self._serving.is_current():
            raise ServiceUnavailable("this gateway cannot confirm its cluster state", code="not_current")
        max_items = self._ctx.settings.max_items
        if len(body.items) > max_items:
            raise BadRequest(f"items: a batch may have at most {max_items} items", code="bad_field", field="items")
        spec = self._spec_from(body)
        if not self._log_memory.has_room_for(spec):
            raise ServiceUnavailable(
                "no memory for a further batch now", code=NO_MEMORY.code, retry_after=RETRY_AFTER_S
            )
        if spec.key:
            return await self._keys.store(spec)
        return StoredBatch(await self.store(spec), duplicate=False)

    async def store(self, spec: Lot) -> str:
        """Appends a batch to this gateway's log; returns its id. Raises ServiceUnavailable or ReplicatedLogError."""
        try:
            leaseholder = await self._ctx.timers.with_timeout(OPEN_LOG_TIMEOUT, self._own_log.leaseholder())
        except Exception as error:
            code = getattr(error, "code", "store")
            raise ServiceUnavailable(f"the batch log cannot be written now: {error}", code=code) from error
        if not leaseholder.is_held():
            raise ServiceUnavailable("the lease of the batch log is not held", code="store")
        offset = await leaseholder.append([LogRecord(lot=spec).SerializeToString()])
        batch_id = batch_id_at(leaseholder.log, offset)
        self._open_batches.add(batch_id, spec)
        return batch_id

    def _spec_from(self, body: BatchBody) -> Lot:
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
