"""Takes lots in and makes them durable."""

from ..errors import BadRequest, ServiceUnavailable
from ..timers import SingleFlight, ms, secs, wall_ms
from ..web import http_handler, send_json
from ..wire.lots_pb2 import Item, LogRecord, Lot
from .bodies import LotBody, read_json

__all__ = ["Intake", "lot_parts"]

ROTATE = 4 * 1024 * 1024
ROTATE_SPAN = secs(43_200)


def lot_parts(lot: str) -> tuple[str, int]:
    """A lot's id names the log that it stands in and its place there."""
    node, _, rest = lot.partition(".")
    turn, _, place = rest.partition(".")
    if not (node.isalnum() and turn.isdigit() and place.isdigit() and len(lot) < 80):
        raise BadRequest(f"{lot[:80]!r} is not the id of a lot", code="bad_id", field="lot")
    return f"lots/{node}.{turn}", int(place)


class Intake:
    """Mixin: takes lots in, each by one append to this gateway's own lot log.

    Offers the HTTP handler `take_lot`, and `_lot_turn`, the number of the lot log that is written now.
    Needs of the node: `_ctx`, `current`, `keep`; of Lots: `_known`; of Keyed: `_store_keyed`.
    Owns `_lot_log`, `_lot_turn`, `_lot_log_at` and `_opening`.
    """

    def _open_intake(self):
        self._lot_log = None
        self._lot_turn = 0
        self._lot_log_at = self._ctx.timers.now()
        self._opening = SingleFlight()

    async def _own_log(self):
        """The gateway's lot log for now; a new one where there is none, or when it has grown long."""
        log = self._lot_log
        if (
            log is None
            or log.lost
            or len(log.data) >= ROTATE
            or self._ctx.timers.now() - self._lot_log_at > ROTATE_SPAN
        ):
            log = await self._opening.run("lots", self._open_log)
        return log

    async def _open_log(self):
        self._lot_turn += 1
        self._lot_log_at = self._ctx.timers.now()
        self._lot_log = await self.keep(f"lots/{self._ctx.node}.{self._lot_turn}")
        return self._lot_log

    @http_handler
    async def take_lot(self, request):
        b = read_json(request, LotBody)
        if not self.current():
            raise ServiceUnavailable("this gateway is not current", code="not_current")
        if len(b.items) > self._ctx.settings.max_items:
            raise BadRequest(
                f"items: a lot may have {self._ctx.settings.max_items} items", code="bad_field", field="items"
            )
        taken = wall_ms(self._ctx.timers.utc_now())
        lot = Lot(
            customer=b.customer,
            priority=b.priority,
            taken_ms=taken,
            limit_ms=taken + b.limit_ms,
            key=b.idempotency_key,
            items=[
                Item(
                    model=i.model,
                    prompt=i.prompt,
                    prefix=i.prefix_key,
                    repeatable=i.repeatable,
                    max_tokens=i.max_tokens,
                )
                for i in b.items
            ],
        )
        lot_id, again = await self._store_keyed(lot) if lot.key else (await self._store_lot(lot), False)
        return send_json(
            request,
            {"lot": lot_id, "items": len(b.items), "again": again},
            200 if again else 201,
            {"Location": f"/v1/lots/{lot_id}"},
        )

    async def _store_lot(self, lot: Lot) -> str:
        try:
            log = await self._ctx.timers.with_timeout(ms(2500), self._own_log())
        except Exception as e:
            raise ServiceUnavailable(f"the store cannot take lots now: {e}", code=getattr(e, "code", "store")) from e
        if not log.is_held():
            raise ServiceUnavailable("the lot log's lease is not current", code="store")
        start = await log.append([LogRecord(lot=lot).SerializeToString()])
        lot_id = f"{log.log.removeprefix('lots/')}.{start}"
        self._known(lot_id, lot)
        return lot_id
