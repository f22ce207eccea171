"""Runs batch items as calls to engines."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

import attrs
from twisted.internet import defer

from ..context import Context
from ..errors import ApiError, ReplicatedLogError
from ..timers import ZERO, ms, secs
from ..wire.cluster_pb2 import Route
from .call import Call, Header, end_to_end_headers, parse_prompt_parts
from .call_relay import CallRelay
from .engine_connection import Response
from .server_sent_events import event_data

__all__ = ["ItemCall", "ItemResult", "ItemRunner"]

ATTEMPT_TIMEOUT = secs(120)
# How long an engine may send nothing before an item is started again on another engine. A full engine may be silent for
# seconds, so the limit doubles each time, and returns to this one once there is an event.
MIN_SILENCE_LIMIT = secs(5)
MAX_SILENCE_LIMIT = ATTEMPT_TIMEOUT
DEFAULT_BACKOFF = ms(50)


@attrs.define(eq=False)
class ItemCall:
    """One item of a batch, and the output received so far.

    `texts` has the data of the complete events 1 to `last_event`. `precondition` is called before each attempt is sent,
    and raises where the item must no longer be sent; `on_event` is called for each event that is received. `attempt` is
    the call of the attempt in progress. `silent_engines` are those that sent nothing for the silence limit in earlier
    attempts; they are avoided where possible.
    """

    id: str
    route: Route
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    token_count: int
    precondition: Callable[[], None] | None = None
    on_event: Callable[[], None] | None = None
    texts: list[bytes] = attrs.field(factory=list)
    last_event: int = 0
    attempt: Call | None = None
    silence_limit: timedelta = MIN_SILENCE_LIMIT
    silent_engines: set[str] = attrs.field(factory=set)

    @property
    def engine_name(self) -> str:
        """The engine of the attempt in progress, or an empty string."""
        engine = self.attempt.engine if self.attempt is not None else None
        return engine.name if engine is not None else ""


class ItemResult(NamedTuple):
    """The result of one attempt.

    `status` is the engine's, or 0 where it sent none. `is_complete` means that the output is complete, `not_run` that
    the item is known not to have run. `backoff` is the minimum delay before the next attempt.
    """

    status: int = 0
    is_complete: bool = False
    not_run: bool = False
    backoff: timedelta = ZERO


class _ItemSink:
    """Receives the output of an item from the engine."""

    def __init__(self, item: ItemCall) -> None:
        self._item = item
        self.status = 0

    def head(self, response: Response) -> None:
        """Stores the status."""
        self.status = response.code

    def data(self, data: bytes) -> None:
        """Appends the next event of the output."""
        if self.status == HTTPStatus.OK:
            self._item.texts.append(event_data(data))
            if self._item.on_event is not None:
                self._item.on_event()


class ItemRunner:
    """Runs batch items as calls to engines, one attempt at a time."""

    def __init__(self, ctx: Context, relay: CallRelay) -> None:
        self._ctx = ctx
        self._relay = relay

    async def run(self, item: ItemCall) -> ItemResult:
        """Makes one attempt, which resumes after the last event of earlier attempts; returns its result.

        Raises ReplicatedLogError where the precondition of the item raises it.
        """
        sink = _ItemSink(item)
        item.attempt = call = self._make_call(item, sink)
        try:
            await self._relay.relay(call)
            return ItemResult(status=sink.status, is_complete=sink.status == HTTPStatus.OK)
        except defer.CancelledError:
            call.abort("cancelled")
            raise
        except ReplicatedLogError:
            raise
        except ApiError as error:
            backoff = ms(1000 * error.retry_after) if error.retry_after else DEFAULT_BACKOFF
            return ItemResult(not_run=error.outcome == "not_run", backoff=backoff)
        finally:
            self._update_silence_limit(item, call)
            item.last_event = call.last_event
            item.attempt = None

    def _update_silence_limit(self, item: ItemCall, call: Call) -> None:
        if call.last_event != item.last_event:
            item.silence_limit = MIN_SILENCE_LIMIT
        elif call.exceeded_silence_limit:
            item.silence_limit = min(2 * item.silence_limit, MAX_SILENCE_LIMIT)
        if call.exceeded_silence_limit:
            item.silent_engines |= call.avoided_engines

    def _make_call(self, item: ItemCall, sink: _ItemSink) -> Call:
        dialect = self._ctx.dialect
        submitted = ((name.encode(), value.encode("utf-8")) for name, value in item.headers)
        replaced = (b"host", dialect.request_id)
        headers: list[Header] = [
            (name, value) for name, value in end_to_end_headers(submitted, kept=replaced) if name not in replaced
        ]
        headers += [(b"host", item.route.host.encode()), (dialect.request_id, item.id.encode())]
        prompt_parts = next((value for name, value in headers if name == dialect.prompt_parts), None)
        return Call(
            id=item.id.encode(),
            method=b"POST",
            target=item.path.encode(),
            headers=headers,
            body=item.body,
            route=item.route,
            deadline=self._ctx.timers.now() + ATTEMPT_TIMEOUT,
            sink=sink,
            is_idempotent=True,
            is_resumable=True,
            is_batch_item=True,
            prompt_parts=parse_prompt_parts(prompt_parts),
            token_count=item.token_count,
            last_event=item.last_event,
            precondition=item.precondition,
            avoided_engines=set(item.silent_engines),
            silence_limit=item.silence_limit,
        )
