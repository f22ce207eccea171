"""One request to an engine and its response."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus

import attrs
from twisted.internet import defer

from ..context import Context
from ..errors import NOT_RUN_STATUSES, ApiError, EngineError, MalformedResponse, ServiceUnavailable
from ..timers import ms
from ..wire.cluster_pb2 import Route
from .call import Call, Header
from .engine import Engine
from .engine_connection import EngineConnection, Response
from .engine_registry import EngineRegistry, EngineSlot
from .engine_selector import EngineSelector
from .response_stream import DiscardedBody, ResponseStream

__all__ = ["CallCounters", "EngineExchange", "live_urgency"]

URGENCY_STEP_MS = 250
MAX_LIVE_URGENCY = 5
BATCH_URGENCY = 7
DRAIN_TIMEOUT = ms(100)
# The colon, the space and the CRLF of a header line.
HEADER_SEPARATOR_BYTES = 4


@attrs.define
class CallCounters:
    """Counts of attempts and their outcomes since the start.

    `mismatched` are sound responses to other requests, `malformed` those that break the grammar of HTTP.
    """

    attempts: int = 0
    resumed: int = 0
    mismatched: int = 0
    malformed: int = 0
    refused: int = 0
    silent: int = 0


def live_urgency(route: Route) -> int:
    """Returns 0 (most urgent) to 5: requests of routes with a shorter latency target are more urgent."""
    return max(0, min(MAX_LIVE_URGENCY, route.latency_target_ms // URGENCY_STEP_MS + route.priority))


def _request_purpose(call: Call) -> str:
    return "engine.item_request" if call.is_batch_item else "engine.call_request"


def _response_purpose(call: Call) -> str:
    return "engine.item_response" if call.is_batch_item else "engine.call_response"


def _is_success(code: int) -> bool:
    return 200 <= code < 300


class EngineExchange:
    """Sends a call on a connection, verifies that the response belongs to it, and forwards it to the call's sink."""

    def __init__(self, ctx: Context, engines: EngineRegistry, selector: EngineSelector, counters: CallCounters) -> None:
        self._ctx = ctx
        self._engines = engines
        self._selector = selector
        self._counters = counters

    async def run(self, call: Call, engine: Engine, connection: EngineConnection, slot: EngineSlot) -> None:
        """Returns once the call's sink has the complete response. Raises EngineError or ServiceUnavailable.

        Afterwards, the connection is closed unless it can be reused.
        """
        connection.on_bytes = partial(self._on_bytes, engine, connection, _response_purpose(call))
        connection.on_malformed = partial(self._on_malformed, call, engine)
        response = await self._send(call, engine, connection)
        try:
            await self._handle_response(call, engine, connection, response, slot)
        except BaseException:
            if not connection.is_unusable and not connection.is_idle:
                connection.discard()
            raise

    def _on_bytes(self, engine: Engine, connection: EngineConnection, purpose: str, size: int) -> None:
        engine.last_bytes_at = connection.last_bytes_at = self._ctx.timers.now()
        self._ctx.traffic.add(purpose, engine.update.zone, size)

    def _on_malformed(self, call: Call, engine: Engine, error: MalformedResponse) -> None:
        self._counters.malformed += 1
        self._ctx.logger.warning(
            "engine_response_malformed", id=call.id.decode("latin-1"), engine=engine.name, text=error
        )

    async def _send(self, call: Call, engine: Engine, connection: EngineConnection) -> Response:
        try:
            call.executions[engine.name] += 1
            headers = self._request_headers(call, engine)
            size = len(call.body) + sum(len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in headers)
            self._ctx.traffic.add(_request_purpose(call), engine.update.zone, size)
            return await connection.send(call.id, call.method, call.target, headers, call.body)
        except defer.CancelledError:
            connection.discard()
            raise
        except Exception as error:
            connection.discard()
            self._record_failure(call, engine)
            if self._ctx.timers.now() >= call.deadline:
                raise EngineError(
                    f"engine {engine.name} did not respond before the deadline", code="limit_passed", status=504
                ) from error
            raise EngineError(f"engine {engine.name} did not respond: {error}", code="lost") from error

    def _request_headers(self, call: Call, engine: Engine) -> list[Header]:
        """Returns the headers of a call with those that this gateway sets, which replace the client's."""
        dialect = self._ctx.dialect
        own_names = {dialect.deadline_ms, dialect.target, dialect.urgency}
        if call.last_event:
            own_names.add(dialect.event_id)
        headers = [(name, value) for name, value in call.headers if name not in own_names]
        remaining_ms = max(1, int((call.deadline - self._ctx.timers.now()) / ms(1)))
        urgency = BATCH_URGENCY if call.is_batch_item else live_urgency(call.route)
        headers.append((dialect.deadline_ms, b"%d" % remaining_ms))
        headers.append((dialect.target, engine.name.encode()))
        headers.append((dialect.urgency, b"%d" % urgency))
        if call.last_event:
            headers.append((dialect.event_id, b"%d" % call.last_event))
        return headers

    def _record_failure(self, call: Call, engine: Engine) -> None:
        """Counts a failure of an engine, unless the call was aborted or its deadline has passed."""
        if not call.abort_reason and self._ctx.timers.now() < call.deadline:
            self._engines.record_failure(engine)

    async def _handle_response(
        self, call: Call, engine: Engine, connection: EngineConnection, response: Response, slot: EngineSlot
    ) -> None:
        if not self._belongs_to(call, connection, response):
            self._counters.mismatched += 1
            connection.discard()
            raise EngineError(
                f"engine {engine.name} sent the response of another request", code="spoilt", outcome="unknown"
            )
        if response.code == HTTPStatus.MISDIRECTED_REQUEST or response.headers.hasHeader(
            self._ctx.dialect.not_executed
        ):
            await self._handle_refusal(call, engine, connection, response)
        await self._check_response(call, engine, connection, response)
        stream = ResponseStream(call, connection, response, slot)
        response.deliverBody(stream)
        try:
            await stream.finished
        except ApiError:
            self._record_failure(call, engine)
            raise
        if response.code == HTTPStatus.OK or not call.is_batch_item:
            connection.unserved_call_ids.discard(call.id)

    def _belongs_to(self, call: Call, connection: EngineConnection, response: Response) -> bool:
        """Returns whether a response belongs to this call.

        A response without an id belongs to the call only if its connection never carried another request, and only if
        its status is no success.
        """
        response_id = response.headers.getRawHeaders(self._ctx.dialect.request_id, (None,))[0]
        if response_id is None:
            return connection.request_count == 1 and not _is_success(response.code)
        return bool(response_id == call.id)

    async def _handle_refusal(
        self, call: Call, engine: Engine, connection: EngineConnection, response: Response
    ) -> None:
        """Raises ServiceUnavailable for a response by which the engine confirms that it executed nothing."""
        self._counters.refused += 1
        call.executions[engine.name] -= 1
        call.trigger("reject")
        await self._drain(connection, response)
        if response.code == HTTPStatus.MISDIRECTED_REQUEST:
            self._engines.remove(engine)
        else:
            self._engines.record_failure(engine)
        raise ServiceUnavailable(
            f"engine {engine.name} refused the request with status {response.code}",
            code="engine_crowded",
            retry_after=self._selector.retry_after(),
        )

    async def _check_response(
        self, call: Call, engine: Engine, connection: EngineConnection, response: Response
    ) -> None:
        """Raises EngineError for a response that must not be forwarded to the sink.

        Clients believe the status of a refusal, but an engine must also confirm by a header that it executed nothing.
        """
        code = response.code
        if code in NOT_RUN_STATUSES:
            await self._drain(connection, response)
            raise _engine_failed(
                f"engine {engine.name} responded with {code} but did not confirm that nothing was executed"
            )
        if _is_success(code) and not response.headers.hasHeader(self._ctx.dialect.seal):
            connection.discard()
            raise EngineError(f"engine {engine.name} responded without a seal", code="spoilt", outcome="unknown")
        if code >= HTTPStatus.INTERNAL_SERVER_ERROR and self._may_run_elsewhere(call):
            await self._drain(connection, response)
            raise _engine_failed(f"engine {engine.name} responded with {code}")
        if call.head_forwarded and code != HTTPStatus.OK:
            await self._drain(connection, response)
            raise _engine_failed(f"engine {engine.name} responded with {code} to a resumed stream")

    def _may_run_elsewhere(self, call: Call) -> bool:
        if call.head_forwarded or call.is_batch_item or call.budget_spent:
            return False
        return call.is_idempotent or call.is_resumable

    async def _drain(self, connection: EngineConnection, response: Response) -> None:
        """Reads and discards the rest of a response, so that its connection can be reused."""
        body = DiscardedBody()
        response.deliverBody(body)
        await self._ctx.timers.wait_at_most(body.finished, DRAIN_TIMEOUT)
        if not connection.is_unusable and not connection.is_idle and not connection.is_lost:
            connection.discard()


def _engine_failed(text: str) -> EngineError:
    return EngineError(text, code="engine_failed", outcome="unknown")
