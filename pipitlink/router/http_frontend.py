"""The HTTP server for clients: matches routes and forwards requests."""

from __future__ import annotations

import socket
from datetime import timedelta
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qsl

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ServerEndpoint

from ..context import Context
from ..dialect.batches import BatchRequest
from ..errors import NOT_RUN_STATUSES, ApiError, NotFound, ServiceUnavailable
from ..http_connections import ConnectionLimits, HttpConnections, ServerPhase
from ..http_refusals import NO_MEMORY, code_only_body
from ..timers import ms
from ..wire.cluster_pb2 import Bounds, Route
from .batch_api import BatchApi, Submission
from .call import Call, CallPhase, end_to_end_headers, parse_prompt_parts, parse_whole_number
from .call_relay import CallRelay
from .http_response import HttpResponse
from .inbound_request import ClientChannelFactory, InboundRequest
from .phase_timings import PhaseTimings

__all__ = ["HttpFrontend", "RouteKind"]

LISTEN_BACKLOG = 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 32_768
DEFAULT_HEADER_TIMEOUT_MS = 10_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
# What each byte of a body costs: the body and its copy on the way to an engine; for a batch, what is parsed from it and
# its copies on the way to the replicas of its log.
LIVE_BODY_COST = 2
BATCH_BODY_COST = 8
# The approximate time after its start at which a gateway has received its cluster state.
STARTUP_TIME = ms(600)
# Batches may ask for more time than their routes give.
MAX_DEADLINE_MS = 366 * 24 * 3600 * 1000
MIN_RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.2
# How long after the end of a drain its last responses may take to be sent.
FLUSH_TIMEOUT = ms(200)


class RouteKind(StrEnum):
    """How the requests of a route may be handled."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    BATCH = "bulk"


class HttpFrontend:
    """The HTTP server for clients. Heads and bodies pass through; the body of its own responses is only an error code.

    Owns `connections`, those of clients, and `refused`, the number of refused requests by code.
    """

    def __init__(self, ctx: Context, relay: CallRelay, batch_api: BatchApi) -> None:
        self._ctx = ctx
        self._relay = relay
        self._batch_api = batch_api
        self._opened_at = ctx.timers.now()
        self._ports: list[Any] = []
        # The limits on connections, and the configuration's message that they were read from.
        self._bounds: Bounds | None = None
        self._limits = ConnectionLimits()
        self.connections = HttpConnections(
            ctx.client_memory, limits=self.connection_limits, refusal_format=code_only_body
        )
        self.refused: dict[str, int] = {}

    def now(self) -> timedelta:
        """Returns the monotonic time of the gateway's timers."""
        return self._ctx.timers.now()

    def connection_limits(self) -> ConnectionLimits:
        """Returns the limits of the configuration on heads and times."""
        bounds = self._ctx.cluster.cluster_state.routes.bounds
        if bounds is self._bounds:
            return self._limits
        self._bounds = bounds
        self._limits = ConnectionLimits(
            bounds.max_header_bytes or DEFAULT_MAX_HEADER_BYTES,
            (bounds.header_timeout_ms or DEFAULT_HEADER_TIMEOUT_MS) / 1000,
            (bounds.idle_timeout_ms or DEFAULT_IDLE_TIMEOUT_MS) / 1000,
        )
        return self._limits

    def body_cost(self, host: bytes, target: bytes) -> int:
        """Returns how many bytes each byte of the body of a request costs, with the copies that are made of it."""
        path = target.partition(b"?")[0].decode("latin-1")
        route: Route | None = self._ctx.cluster.cluster_state.routes.match(_host_name(host), path)
        return BATCH_BODY_COST if route is not None and route.kind == RouteKind.BATCH else LIVE_BODY_COST

    def max_body_bytes(self) -> int:
        """Returns the maximum length of a request body."""
        return self._ctx.cluster.cluster_state.routes.bounds.max_body_bytes or DEFAULT_MAX_BODY_BYTES

    async def listen(self, host: str, port: int, listening_socket: socket.socket | None = None) -> int:
        """Starts to accept connections, and returns the port. `listening_socket`, if given, is used and then closed."""
        factory: Any = ClientChannelFactory(self, self._ctx.reactor)
        if listening_socket is not None:
            opened = self._ctx.reactor.adoptStreamPort(listening_socket.fileno(), listening_socket.family, factory)
            listening_socket.close()
        else:
            endpoint = TCP4ServerEndpoint(self._ctx.reactor, port, backlog=LISTEN_BACKLOG, interface=host)
            opened = await endpoint.listen(factory)
        self._ports.append(opened)
        return int(opened.getHost().port)

    def start_serving(self, request: InboundRequest) -> None:
        """Serves a completely received request in the background, unless it is too late to begin with it."""
        if self.connections.phase >= ServerPhase.REFUSING:
            request.reservation.release()
            self._respond_error(request, _shutting_down())
            return
        self._ctx.run_in_background(self._serve(request), "serve")

    async def _serve(self, request: InboundRequest) -> None:
        """Serves one request, from the last byte received to the last byte of the response."""
        try:
            await self._handle(request)
        except ApiError as error:
            self._respond_error(request, error)
        except Exception as error:
            self._ctx.logger.failure("request_failed", error, path=request.path.decode("utf-8", "replace"))
            if request.startedWriting:
                request.abort_response()
            else:
                request.respond(HttpResponse(500, {}, b""))
        finally:
            request.reservation.release()

    def _respond_error(self, request: InboundRequest, error: ApiError) -> None:
        self.refused[error.code] = self.refused.get(error.code, 0) + 1
        if request.startedWriting:
            request.abort_response()
            return
        status, headers = error.status, {}
        if error.outcome == "not_run" and status >= 500:
            status = 503
        elif error.outcome == "unknown" and status in NOT_RUN_STATUSES:
            status = 502
        if status in (429, 503):
            headers["Retry-After"] = str(error.retry_after or MIN_RETRY_AFTER_S)
        request.respond(HttpResponse(status, headers, error.code.encode()))

    async def _handle(self, request: InboundRequest) -> None:
        started_at = self._ctx.timers.now()
        path = request.path.decode("latin-1")
        batch_call = self._parse_batch_call(request, path)
        if not self._ctx.cluster.usable():
            raise ServiceUnavailable(
                "this gateway cannot verify that its cluster state is current",
                code="not_current",
                retry_after=self._retry_after(),
            )
        if batch_call is not None:
            self._respond_if_room(request, await self._batch_api.handle(batch_call))
            return
        host = _host_name(request.header(b"host") or b"")
        route = self._match_route(host, path)
        deadline = self._deadline(request, route, started_at)
        call_id = request.header(self._ctx.dialect.request_id) or b""
        body = request.take_body()
        if route.kind == RouteKind.BATCH:
            submission = Submission(route, host, path, call_id.decode("latin-1"), body, deadline, request.started_at)
            request.respond(await self._batch_api.submit(submission))
            return
        request.call = self._make_call(request, route, call_id, body, deadline)
        request.call.end_phase(CallPhase.READ)
        await self._relay.relay(request.call)
        request.complete()

    def _respond_if_room(self, request: InboundRequest, response: HttpResponse) -> None:
        """Sends a response that may be large. Raises ServiceUnavailable if there is no memory for it."""
        if not request.is_finished and not request.channel.has_room_for_response(len(response.body)):
            raise ServiceUnavailable("no memory for the response", code=NO_MEMORY.code, retry_after=MIN_RETRY_AFTER_S)
        request.respond(response)

    def _parse_batch_call(self, request: InboundRequest, path: str) -> BatchRequest | None:
        """Returns the batch API call that a request contains according to the dialect, or None."""
        query = dict(parse_qsl(request.query.decode("latin-1")))
        return self._ctx.dialect.parse_batch_request(request.method, path, query, request.text_header)

    def _match_route(self, host: str, path: str) -> Route:
        """Returns the route of a request. Raises NotFound, or ServiceUnavailable if there is no configuration yet."""
        routes = self._ctx.cluster.cluster_state.routes
        route: Route | None = routes.match(host, path)
        if route is not None:
            return route
        if not routes.version:
            raise ServiceUnavailable("no configuration received yet", code="no_config", retry_after=self._retry_after())
        raise NotFound(f"no route for {host}{path[:80]}", code="no_route")

    def _retry_after(self) -> float:
        """Returns the number of seconds after which to retry: once the start is complete, with jitter."""
        remaining = (STARTUP_TIME - (self._ctx.timers.now() - self._opened_at)).total_seconds()
        return round(max(MIN_RETRY_AFTER_S, remaining) + RETRY_AFTER_JITTER_S * self._ctx.rng.random(), 3)

    def _deadline(self, request: InboundRequest, route: Route, started_at: timedelta) -> timedelta:
        """Returns the deadline of a request; its header may shorten the route's, and for batches also extend it."""
        deadline = started_at + ms(route.deadline_ms)
        requested_ms = parse_whole_number(request.header(self._ctx.dialect.deadline_ms))
        if requested_ms is None:
            return deadline
        requested = started_at + ms(min(requested_ms, MAX_DEADLINE_MS))
        return requested if route.kind == RouteKind.BATCH else min(deadline, requested)

    def _make_call(
        self, request: InboundRequest, route: Route, call_id: bytes, body: bytes, deadline: timedelta
    ) -> Call:
        dialect = self._ctx.dialect
        received = ((name, value) for name, values in request.requestHeaders.getAllRawHeaders() for value in values)
        headers = end_to_end_headers(received, kept=(b"host", dialect.request_id))
        token_counts = (request.header(dialect.token_counts) or b"").split(b",")
        return Call(
            id=call_id,
            method=request.method,
            target=request.uri,
            headers=headers,
            body=body,
            route=route,
            deadline=deadline,
            sink=request,
            is_idempotent=route.kind == RouteKind.IDEMPOTENT,
            is_resumable=route.kind == RouteKind.STREAMING and route.resumable,
            prompt_parts=parse_prompt_parts(request.header(dialect.prompt_parts)),
            token_count=sum(parse_whole_number(count) or 0 for count in token_counts),
            last_event=parse_whole_number(request.header(dialect.event_id)) or 0,
            timings=PhaseTimings(self._ctx.timers, request.started_at),
        )

    async def drain(self, accept_time: timedelta, deadline: timedelta) -> None:
        """Ends all connections of clients; none is left, and none can be opened, once it has returned.

        Accepts connections for a time. After that, each connection closes as soon as it has no request. At the deadline
        the requests in progress get an error, and then all connections are closed.
        """
        self.connections.announce_close()
        await self._ctx.timers.sleep(accept_time)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self.connections.close_when_idle(self._ctx.timers, deadline - self._ctx.timers.now())
        requests = self._requests_in_progress()
        for request in requests:
            self._end(request)
        aborted = await self.connections.abort(self._ctx.timers, FLUSH_TIMEOUT)
        self._ctx.logger.info("clients_disconnected", ended=len(requests), aborted=aborted)

    def _requests_in_progress(self) -> list[InboundRequest]:
        requests = [request for channel in self.connections.open for request in channel.requests]
        return [request for request in requests if request.is_received and not request.is_finished]

    def _end(self, request: InboundRequest) -> None:
        """Ends a request that takes too long, with what is known about its execution."""
        call = request.call
        if call is None:
            self._respond_error(request, _shutting_down(outcome="unknown"))
            return
        outcome = call.outcome
        call.abort("gateway shutting down")
        if outcome == "not_run":
            self._respond_error(request, _shutting_down())


def _host_name(header: bytes) -> str:
    return header.decode("latin-1").partition(":")[0]


def _shutting_down(outcome: str = "not_run") -> ApiError:
    return ServiceUnavailable("this gateway is shutting down", code="shutting_down", outcome=outcome)
