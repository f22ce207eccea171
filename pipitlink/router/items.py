"""Items of batches as calls to engines."""

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..errors import ApiError, ReplicatedLogError
from ..timers import ZERO, ms, secs
from .call import Call, prompt_parts
from .events import event_data

__all__ = ["ItemCall", "ItemAnswer", "Items"]

TRY_LIMIT = secs(120)


@attrs.define(eq=False)
class ItemCall:
    """One item of a batch, and what of its output has come so far: `texts`, the data of whole events 1 to
    `last_event`.
    """

    id: str
    route: object
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int
    still: object = None
    texts: list[bytes] = attrs.field(factory=list)
    last_event: int = 0
    engine: object = None


@attrs.frozen
class ItemAnswer:
    """What one try came to: the engine's own status (0: none), whether the output is whole, whether surely nothing
    ran.
    """

    status: int = 0
    complete: bool = False
    not_run: bool = False
    wait: timedelta = ZERO


class _ItemSink:
    def __init__(self, item: ItemCall):
        self._item = item
        self.status = 0

    def head(self, response):
        self.status = response.code

    def data(self, data: bytes):
        if self.status == 200:
            self._item.texts.append(event_data(data))


class Items:
    """Mixin: items of batches as calls to engines, one try at a time.

    Offers `run_item`.
    Needs of the node: `_ctx`; of Relay: `relay`.
    Owns no attributes.
    """

    def _item_call(self, item: ItemCall) -> Call:
        words = self._ctx.dialect
        now = self._ctx.timers.now()
        heads = [(n.lower().encode(), v.encode("utf-8")) for n, v in item.headers]
        known = {n for n, _ in heads}
        heads = [(n, v) for n, v in heads if n not in (b"host", b"content-length", words.request_id)]
        heads += [(b"host", item.route.host.encode()), (words.request_id, item.id.encode())]
        parts = prompt_parts(next((v for n, v in heads if n == words.prompt_parts), None)) if known else []
        return Call(
            id=item.id.encode(),
            method=b"POST",
            target=item.path.encode(),
            headers=heads,
            body=item.body,
            route=item.route,
            limit=now + TRY_LIMIT,
            sink=_ItemSink(item),
            began=now,
            repeatable=True,
            resumable=True,
            batch=True,
            parts=parts,
            tokens=item.tokens,
            last_event=item.last_event,
            still=item.still,
        )

    async def run_item(self, item: ItemCall) -> ItemAnswer:
        """One try of an item at one engine; goes on after the last event that earlier tries brought."""
        call = self._item_call(item)
        try:
            await self.relay(call)
            status = call.sink.status
            return ItemAnswer(status=status, complete=status == 200)
        except defer.CancelledError:
            call.stop("cancelled")
            raise
        except ReplicatedLogError:
            raise
        except ApiError as f:
            wait = ms(1000 * f.retry_after) if f.retry_after else ms(50)
            return ItemAnswer(not_run=f.outcome == "not_run", wait=wait)
        finally:
            item.last_event = call.last_event
            item.engine = call.engine
