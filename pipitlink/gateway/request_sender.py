"""Sends requests to engines, and maps failures to request states, errors and retries."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import attrs
import treq
from treq.client import HTTPClient
from treq.response import _Response as Response
from twisted.internet import defer
from twisted.internet.error import ConnectError
from twisted.web.client import Agent

from ..context import Context
from ..errors import ApiError, EngineError, MalformedResponse, ReplicatedLogError, ServiceUnavailable
from ..state_machines.request_state import RequestState
from ..timers import secs
from .checked_connection import CheckedConnectionPool, CheckedEndpoint
from .engine import Engine, EngineStatus
from .engine_candidates import EngineCandidates
from .engine_registry import EngineRegistry
from .engine_slots import EngineSlots
from .request_record import RequestRecord
from .retry_policy import RetryPolicy

__all__ = ["EngineClient", "Exchange", "RequestSender"]

REJECTED_CODES = (429, 503)
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
DISCARD_TIMEOUT = secs(1)
MAX_DISCARDED_TEXT = 4096

Exchange = Callable[[RequestRecord, Engine], Coroutine[Any, Any, None]]
"""Sends the request to the engine and reads the response; raises if the exchange does not complete."""


@attrs.frozen
class EngineClient:
    """An HTTP client for one request, and the endpoint of its connection."""

    http: HTTPClient
    endpoint: CheckedEndpoint


class RequestSender:
    """Runs exchanges with engines, and maps a failure to the request's state and an error or a retry.

    `malformed` counts the responses of engines that break the grammar of HTTP.
    """

    def __init__(
        self,
        ctx: Context,
        registry: EngineRegistry,
        slots: EngineSlots,
        candidates: EngineCandidates,
        retry_policy: RetryPolicy,
    ) -> None:
        self._ctx = ctx
        self._registry = registry
        self._slots = slots
        self._candidates = candidates
        self._retry_policy = retry_policy
        self.malformed = 0
        self._pool = CheckedConnectionPool(ctx.reactor, persistent=False)

    async def send(self, request: RequestRecord, exchange: Exchange) -> bool:
        """Runs an exchange with the request's engine; returns whether to retry the request.

        Raises the error of the exchange if it fails without a retry, and CancelledError if the request is cancelled.
        """
        engine = request.engine
        assert engine is not None
        self._retry_policy.record_attempt()
        try:
            left = request.deadline - self._ctx.timers.now()
            await self._ctx.timers.with_timeout(left, exchange(request, engine))
            request.trigger("finish")
            request.notify_waiters()
            return False
        except defer.CancelledError:
            raise
        except Exception as cause:
            error = self._record_error(request, engine, cause)
        finally:
            request.release()
        if self._retry_policy.begin_retry(request):
            request.last_rejection = error
            return True
        raise error

    def client_for(self, request: RequestRecord, engine: Engine) -> EngineClient:
        """Returns a client for one request.

        In the step that writes the first byte, the client checks that the request may still be sent and marks it as
        sent.
        """
        endpoint = CheckedEndpoint(
            self._ctx.reactor,
            check=partial(self._begin_sending, request, engine),
            on_malformed=partial(self._on_malformed, request, engine),
        )
        agent = Agent.usingEndpointFactory(self._ctx.reactor, endpoint, self._pool)
        return EngineClient(HTTPClient(agent), endpoint)

    def check_still_valid(self, request: RequestRecord, engine: Engine) -> None:
        """Checks, as the first byte is about to be sent, that the conditions of admission still hold; raises if not."""
        if request.settled or request.engine is not engine:
            raise ApiError("the request was cancelled", code="ended", outcome="not_run")
        if request.deadline <= self._ctx.timers.now():
            raise _deadline_passed()
        if not self._ctx.cluster.ready():
            raise ServiceUnavailable("this gateway cannot confirm its cluster state", code="not_current")
        if not self._may_serve(engine, request):
            raise ServiceUnavailable(f"engine {engine.name} may no longer get new requests", code="engine_moved_on")
        if request.check_before_send is not None:
            request.check_before_send()

    def _begin_sending(self, request: RequestRecord, engine: Engine) -> None:
        self.check_still_valid(request, engine)
        request.trigger("send")

    def _on_malformed(self, request: RequestRecord, engine: Engine, error: MalformedResponse) -> None:
        self.malformed += 1
        self._ctx.logger.warning("engine_response_malformed", id=request.id, engine=engine.name, text=error)

    async def check_accepted(self, engine: Engine, response: Response) -> None:
        """Raises ServiceUnavailable for a response by which the engine rejected the request."""
        if response.code not in REJECTED_CODES:
            return
        await self.discard(response)
        raise ServiceUnavailable(
            f"engine {engine.name} rejected the request with status {response.code}", code="engine_crowded"
        )

    async def discard(self, response: Response) -> str:
        """Reads the rest of the response, up to a timeout; returns the beginning of its text, empty on any error."""
        try:
            content: bytes = await self._ctx.timers.with_timeout(DISCARD_TIMEOUT, treq.content(response))
        except Exception:
            return ""
        return content[:MAX_DISCARDED_TEXT].decode("utf-8", "replace")

    def _may_serve(self, engine: Engine, request: RequestRecord) -> bool:
        if self._registry.status(engine) != EngineStatus.READY:
            return False
        candidates = self._candidates.find(request.model, request.pool)
        return any(candidate.engine is engine for candidate in candidates)

    def _record_error(self, request: RequestRecord, engine: Engine, cause: Exception) -> Exception:
        if request.state == RequestState.ENGINE_CHOSEN:
            return self._record_unsent(request, engine, cause)
        return self._record_lost(request, engine, cause)

    def _record_unsent(self, request: RequestRecord, engine: Engine, cause: Exception) -> Exception:
        """Records the failure of a request of which no byte was sent."""
        request.trigger("connect_failed")
        if isinstance(cause, ConnectError):
            self._registry.record_failure(engine)
            return ServiceUnavailable(f"engine {engine.name} could not be reached: {cause}", code="unreached")
        if isinstance(cause, ServiceUnavailable) and cause.code == "not_current":
            request.excluded_engines.discard(engine.name)
        if isinstance(cause, ReplicatedLogError) or (isinstance(cause, ApiError) and cause.outcome == "not_run"):
            return cause
        if self._ctx.timers.now() >= request.deadline:
            return _deadline_passed()
        return ServiceUnavailable(f"the request could not be sent to engine {engine.name}: {cause}", code="unreached")

    def _record_lost(self, request: RequestRecord, engine: Engine, cause: Exception) -> Exception:
        """Records the failure of a request that was sent, at least in part."""
        if isinstance(cause, ServiceUnavailable):
            request.trigger("reject")
            self._slots.record_rejection(engine)
            return cause
        request.trigger("lose")
        if isinstance(cause, ApiError):
            cause.outcome = "failed" if cause.code == "engine_refused" else request.outcome
            return cause
        text = str(cause) or type(cause).__name__
        if self._ctx.timers.now() >= request.deadline:
            return EngineError(text, code="limit_passed", status=GATEWAY_TIMEOUT, outcome=request.outcome)
        self._registry.record_failure(engine)
        return EngineError(text, code="lost", status=BAD_GATEWAY, outcome=request.outcome)


def _deadline_passed() -> ApiError:
    return ApiError("the deadline has passed", code="limit_passed", status=GATEWAY_TIMEOUT, outcome="not_run")
