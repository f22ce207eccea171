"""Admission of batches by the number of waiting tokens of a route over all gateways."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..errors import ApiError, RemoteError, ServiceUnavailable, WireError
from ..timers import ms, secs
from ..wire.cluster_pb2 import Route
from ..wire.lots_pb2 import Batch
from ..wire.membership_pb2 import QuotaRequest, QuotaResponse
from .backlog_counter import BacklogCounter
from .batch_table import BatchTable
from .gateway_watch import GatewayWatch
from .interfaces import RoutesView
from .waiting_tokens import TokenGrant, TokenReservation, WaitingTokens

__all__ = ["QuotaCoordinator"]

GRANT_VALIDITY = secs(5)
CALL_TIMEOUT = ms(400)
RETRY_INTERVAL = ms(50)
OVER_QUOTA_WAIT_MS = 1000
UNCERTAIN_RETRY_AFTER_S = 0.2
OVER_QUOTA_RETRY_AFTER_S = 1


class QuotaCoordinator:
    """Admits batches within the quota of their route, which one gateway, its coordinator, tracks for all gateways.

    Each gateway is the coordinator of some routes. A coordinator counts the tokens of each grant that it issues to a
    gateway, until the owner of the batch reports them.
    """

    def __init__(
        self,
        ctx: Context,
        routes: RoutesView,
        table: BatchTable,
        waiting: WaitingTokens,
        counter: BacklogCounter,
        gateway_watch: GatewayWatch,
    ) -> None:
        self._ctx = ctx
        self._routes = routes
        self._table = table
        self._waiting = waiting
        self._counter = counter
        self._gateway_watch = gateway_watch

    def open(self) -> None:
        """Starts to respond to requests of other gateways."""
        self._ctx.rpc.register_handler("quota.take", QuotaRequest, self._handle_request)

    def coordinator_of(self, route: str) -> str:
        """Returns the gateway that counts the waiting tokens of a route."""
        return self._gateway_watch.owner_of(_quota_key(route))

    async def reserve(self, route: Route, batch: Batch, deadline: timedelta) -> None:
        """Reserves the tokens of a whole batch.

        Raises ApiError with status 429 if the batch exceeds the quota, and ServiceUnavailable if this cannot be
        determined before the deadline.
        """
        tokens = sum(item.tokens for item in batch.items)
        if not route.max_waiting_tokens or not tokens:
            return
        while True:
            response = await self._request(route, batch.id, tokens)
            if response.granted:
                self._waiting.reservations[batch.id] = TokenReservation(route.name, tokens)
                return
            if not response.uncertain:
                raise _over_quota(route, tokens)
            if self._ctx.timers.now() + RETRY_INTERVAL > deadline:
                raise ServiceUnavailable(
                    "the waiting tokens of the route cannot be counted now",
                    code="not_counted",
                    retry_after=UNCERTAIN_RETRY_AFTER_S,
                )
            await self._ctx.timers.sleep(RETRY_INTERVAL)

    async def _request(self, route: Route, batch_id: str, tokens: int) -> QuotaResponse:
        if tokens > route.max_waiting_tokens:
            return QuotaResponse()
        return await self._call_coordinator(QuotaRequest(route=route.name, lot=batch_id, tokens=tokens))

    def release(self, batch_id: str) -> None:
        """Drops the reservation of a batch, and returns its grant if the batch was not accepted."""
        reservation = self._waiting.reservations.pop(batch_id, None)
        if reservation is not None and batch_id not in self._table.batches:
            request = QuotaRequest(route=reservation.route, lot=batch_id)
            self._ctx.run_in_background(self._call_coordinator(request), "return_quota")

    async def _call_coordinator(self, request: QuotaRequest) -> QuotaResponse:
        coordinator = self.coordinator_of(request.route)
        if coordinator == self._ctx.node:
            return self._grant(self._ctx.node, request)
        member = self._ctx.membership.find(coordinator)
        if member is None:
            return QuotaResponse(uncertain=True)
        address = (member.host, member.port)
        try:
            return await self._ctx.rpc.call(address, "quota.take", request, QuotaResponse, CALL_TIMEOUT)
        except (WireError, RemoteError):
            return QuotaResponse(uncertain=True)

    async def _handle_request(self, node: str, request: QuotaRequest) -> QuotaResponse:
        return self._grant(node, request)

    def _grant(self, gateway: str, request: QuotaRequest) -> QuotaResponse:
        """Handles a request as the coordinator of its route; a request for 0 tokens returns a grant."""
        if not request.tokens:
            self._waiting.grants.pop(request.lot, None)
            return QuotaResponse()
        route = self._routes().get(request.route)
        counting_since = self._gateway_watch.owned_since(_quota_key(request.route))
        if route is None or counting_since is None or not self._counter.is_reliable(counting_since):
            return QuotaResponse(uncertain=True)
        if not route.max_waiting_tokens:
            return QuotaResponse(granted=True)
        self._waiting.record(self._ctx.node, self._waiting.own_report())
        self._waiting.drop_expired_grants()
        committed = self._waiting.committed_tokens(request.route, except_batch=request.lot)
        if committed + request.tokens > route.max_waiting_tokens:
            return QuotaResponse(wait_ms=OVER_QUOTA_WAIT_MS)
        valid_until = self._ctx.timers.now() + GRANT_VALIDITY
        self._waiting.grants[request.lot] = TokenGrant(request.route, request.tokens, gateway, valid_until)
        return QuotaResponse(granted=True)


def _quota_key(route: str) -> str:
    """Returns the key whose owner is the coordinator of a route."""
    return f"quota/{route}"


def _over_quota(route: Route, tokens: int) -> ApiError:
    return ApiError(
        f"{tokens} more waiting tokens would exceed the quota of route {route.name}",
        code="over_quota",
        status=429,
        outcome="not_run",
        retry_after=OVER_QUOTA_RETRY_AFTER_S,
    )
