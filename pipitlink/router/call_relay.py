"""Runs calls on engines, with retries that cause no duplicate execution where it is not allowed."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet import defer

from ..context import Context
from ..errors import ApiError, ServiceUnavailable
from ..state_machines.request_state import RequestState
from ..timers import ZERO, ms, to_ms
from .call import Call, CallPhase, weighted_pools
from .connection_pool import ConnectionPool
from .engine import Engine, EngineStatus
from .engine_connection import EngineConnection
from .engine_exchange import CallCounters, EngineExchange
from .engine_registry import EngineRegistry, EngineSlot
from .engine_selector import EngineSelector

__all__ = ["CallRelay"]

CHECK_INTERVAL = ms(200)
# How long an engine may send nothing before a call that may continue elsewhere is retried on another engine.
NO_BYTES_TIMEOUT = ms(900)
# How long to wait beyond the deadline, since engines end requests at their deadline themselves.
DEADLINE_GRACE = ms(30)
MAX_ATTEMPTS = 6
MIN_ALLOWED_EXECUTIONS = 2
# A request that must not be repeated is only sent on a connection that was idle for less than this.
MAX_IDLE_TIME_NON_IDEMPOTENT = ms(3000)
RETRY_BACKOFF = ms(15)
IMMEDIATE_ATTEMPTS = 2
# The silence limit is this many times longer while the engine has no room, since it may then rightly be silent.
BUSY_SILENCE_FACTOR = 2


class CallRelay:
    """Sends each call to an engine; retries it if it was not executed, or may be repeated or resumed.

    Owns `calls`, the calls in progress, and `counters` of attempts.
    """

    def __init__(
        self, ctx: Context, engines: EngineRegistry, selector: EngineSelector, connections: ConnectionPool
    ) -> None:
        self._ctx = ctx
        self._engines = engines
        self._selector = selector
        self._connections = connections
        self.counters = CallCounters()
        self._exchange = EngineExchange(ctx, engines, selector, self.counters)
        self.calls: set[Call] = set()

    def open(self) -> None:
        """Starts to check the calls in progress and the idle connections periodically."""
        self._engines.add_gone_listener(lambda engine: self._connections.close_idle(engine.address))
        self._ctx.timers.call_repeatedly(CHECK_INTERVAL, self._check_calls, self._ctx.error_reporter("watch_calls"))

    def _check_calls(self) -> None:
        """Ends attempts that are past their deadline or silence limit, and attempts on engines that are gone or silent.

        The latter are only ended if the call can be resumed or repeated on another engine.
        """
        self._connections.close_expired()
        now = self._ctx.timers.now()
        for call in list(self.calls):
            if call.engine is not None and call.sent_at is not None:
                self._check_attempt(call, call.engine, call.sent_at, now)

    def _check_attempt(self, call: Call, engine: Engine, sent_at: timedelta, now: timedelta) -> None:
        if now >= call.deadline + DEADLINE_GRACE:
            call.discard_connection()
            return
        if not (call.is_idempotent or call.is_resumable):
            return
        if self._exceeds_silence_limit(call, engine, sent_at, now):
            self._end_silent_attempt(call, engine)
            return
        is_gone = self._engines.status(engine) in (EngineStatus.SILENT, EngineStatus.GONE)
        is_lost = is_gone and now - engine.last_bytes_at > NO_BYTES_TIMEOUT
        has_sent_nothing = engine.last_bytes_at < sent_at and now - sent_at > NO_BYTES_TIMEOUT
        is_unresponsive = not call.budget_spent and has_sent_nothing
        if is_unresponsive:
            self._engines.record_unreachable(engine)
        if is_lost or is_unresponsive:
            call.discard_connection()

    def _exceeds_silence_limit(self, call: Call, engine: Engine, sent_at: timedelta, now: timedelta) -> bool:
        """Returns whether the engine has sent nothing for this call, though perhaps for others, for too long."""
        if call.silence_limit is None or call.connection is None:
            return False
        limit = call.silence_limit if engine.has_room(now) else BUSY_SILENCE_FACTOR * call.silence_limit
        return now - max(sent_at, call.connection.last_bytes_at) > limit

    def _end_silent_attempt(self, call: Call, engine: Engine) -> None:
        self.counters.silent += 1
        self._ctx.logger.info(
            "engine_silent",
            id=call.id.decode("latin-1"),
            engine=engine.name,
            limit_ms=to_ms(call.silence_limit or ZERO),
            last_event=call.last_event,
        )
        call.exceeded_silence_limit = True
        call.discard_connection()

    def abort_all(self, reason: str) -> None:
        """Ends all calls in progress."""
        for call in list(self.calls):
            call.abort(reason)

    async def relay(self, call: Call) -> None:
        """Runs a call; returns once its sink has the complete response.

        Raises ApiError, whose `outcome` states what is known about the execution.
        """
        self.calls.add(call)
        try:
            await self._run(call)
        except defer.CancelledError:
            call.trigger("lose")
            raise
        except ApiError as error:
            if call.has_lost_attempt and error.outcome == "not_run":
                error.outcome = "unknown"
            raise
        finally:
            self.calls.discard(call)

    async def _run(self, call: Call) -> None:
        while True:
            engine = await self._selector.choose(call)
            call.end_phase(CallPhase.CHOOSE)
            call.engine = engine
            call.attempts += 1
            self.counters.attempts += 1
            call.trigger("choose_engine")
            try:
                await self._attempt(call, engine)
                break
            except ApiError as error:
                if not self._may_retry(call, error):
                    raise
            await self._prepare_retry(call)
        call.trigger("finish")
        call.end_phase(CallPhase.RELAY)
        self._log_completed(call)

    def _log_completed(self, call: Call) -> None:
        self._ctx.logger.debug(
            "call_completed",
            id=call.id.decode("latin-1"),
            route=call.route.name,
            attempts=call.attempts,
            tokens=call.token_count,
            read_ms=call.phase_ms(CallPhase.READ),
            choose_ms=call.phase_ms(CallPhase.CHOOSE),
            connect_ms=call.phase_ms(CallPhase.CONNECT),
            first_byte_ms=call.phase_ms(CallPhase.FIRST_BYTE),
            relay_ms=call.phase_ms(CallPhase.RELAY),
        )

    def _may_retry(self, call: Call, error: ApiError) -> bool:
        """Returns whether the call was not executed, or may be repeated or resumed after its last event."""
        if call.abort_reason or call.attempts >= MAX_ATTEMPTS or self._ctx.timers.now() >= call.deadline:
            return False
        if call.is_batch_item:
            return False
        if call.state == RequestState.WAITING:
            return error.code != "no_room"
        max_executions = max(MIN_ALLOWED_EXECUTIONS, call.route.max_attempts)
        if call.state != RequestState.LOST or call.executions.total() > max_executions:
            return False
        return call.is_resumable or (call.is_idempotent and not call.head_forwarded)

    async def _prepare_retry(self, call: Call) -> None:
        if call.state == RequestState.LOST:
            call.has_lost_attempt = True
            call.trigger("retry")
        if call.attempts > IMMEDIATE_ATTEMPTS:
            await self._ctx.timers.sleep(RETRY_BACKOFF * call.attempts)

    async def _attempt(self, call: Call, engine: Engine) -> None:
        prefill_tokens = call.own_part_tokens + engine.prefix_cache.missing_tokens(call.shared_parts)
        slot = self._engines.acquire_slot(engine, prefill_tokens, call.is_batch_item)
        try:
            connection = await self._connect(call, engine)
            call.end_phase(CallPhase.CONNECT)
            await self._send(call, engine, connection, slot)
        except ApiError as error:
            if call.state == RequestState.ENGINE_CHOSEN:
                call.trigger("connect_failed")
                error.outcome = call.outcome
            elif call.state in (RequestState.SENT, RequestState.RESPONDING):
                call.trigger("lose")
            raise
        finally:
            call.sent_at = None
            call.connection = None
            slot.release()

    async def _connect(self, call: Call, engine: Engine) -> EngineConnection:
        may_repeat = call.is_idempotent or call.is_resumable
        max_idle_time = None if may_repeat else MAX_IDLE_TIME_NON_IDEMPOTENT
        connection = self._connections.take_idle(engine.address, call.id, max_idle_time)
        if connection is not None:
            return connection
        try:
            return await self._connections.open(engine.address, self._selector.max_connections(engine))
        except ApiError as error:
            if error.code == "unreached":
                self._engines.record_unreachable(engine)
            raise

    async def _send(self, call: Call, engine: Engine, connection: EngineConnection, slot: EngineSlot) -> None:
        try:
            self._check_before_send(call, engine)
        except Exception:
            self._connections.release_unused(connection)
            raise
        call.connection = connection
        call.trigger("send")
        call.sent_at = self._ctx.timers.now()
        engine.prefix_cache.add(call.prompt_parts)
        await self._exchange.run(call, engine, connection, slot)
        self._engines.record_success(engine)

    def _check_before_send(self, call: Call, engine: Engine) -> None:
        """Checks again, right before the first byte is sent, the conditions under which the engine was chosen."""
        if call.abort_reason:
            raise call.error("the request was aborted", code="ended")
        if call.deadline <= self._ctx.timers.now():
            raise call.error("the deadline has passed", code="limit_passed", status=504)
        cluster_state = self._ctx.cluster.cluster_state
        is_available = self._engines.status(engine) in (EngineStatus.READY, EngineStatus.SUSPECT)
        if not is_available or engine.update.zone in cluster_state.empty_zones:
            raise ServiceUnavailable(f"engine {engine.name} no longer accepts requests", code="engine_moved_on")
        route = cluster_state.routes.routes.get(call.route.name)
        has_changed = route is not call.route
        if has_changed and (route is None or all(candidate.pool != call.pool for candidate in weighted_pools(route))):
            call.pool = ""
            raise ServiceUnavailable("the route no longer includes the chosen pool", code="route_moved")
        if call.precondition is not None:
            call.precondition()
