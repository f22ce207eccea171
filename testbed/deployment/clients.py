"""Clients of live requests: kept and fresh connections, streams, queued and half-sent requests, slow readers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from random import Random

from .balancer import Balancer
from .client_connection import ClientConnection
from .configurations import HOST, ROUTE_KINDS
from .engines import LARGE_PATH
from .http_messages import Headers
from .machines import Machine
from .record import PROMISES, Exchange, Record, RouteKind

__all__ = ["LiveClient", "Style", "request_headers"]

STREAM_EVENTS = (4, 10, 28, 45)
LONG_STREAM_EVENTS = (30, 34, 38)
MAX_PAUSE_S = 0.4
MAX_PAUSE_BETWEEN_STREAMS_S = 0.15
LONG_PAUSE_S = 2.6
LONG_PAUSE_SHARE = 0.1
PAUSES_IN_REQUEST_S = (0.15, 0.6, 2.0)
STREAM_DEADLINE_S = 6.0
PLAIN_DEADLINE_S = 4.0
MAX_PAUSE_BEFORE_SECOND_S = 0.05
# The head of a response that came this soon after a request may have been written before that was read.
ANNOUNCEMENT_DELAY_S = 0.05
RETRY_PAUSE_S = 0.2
REQUESTS_PER_CONNECTION = 40


class Style(StrEnum):
    """How a client uses its connections; the last style keeps them too, for nothing but long streams."""

    KEPT = "kept"
    FRESH = "fresh"
    QUEUED = "queued"
    HALF_SENT = "half_sent"
    SLOW = "slow"
    STREAMS = "streams"


def request_headers(exchange: Exchange) -> Headers:
    """Returns the headers of a live request."""
    headers = {
        "Host": HOST,
        "Pipitlink-Request-Id": exchange.request_id,
        "Pipitlink-Deadline-Ms": str(int(1000 * exchange.deadline_s)),
    }
    if exchange.events:
        headers["Pipitlink-Model"] = "m"
        headers["Pipitlink-Token-Counts"] = f"100,{exchange.events}"
        headers["Pipitlink-Prompt-Prefix"] = f"{exchange.request_id}:100"
    return headers


class LiveClient:
    """One client, which sends request after request until it is stopped."""

    def __init__(
        self, style: Style, balancer: Balancer, record: Record, rng: Random, extra_routes: Callable[[], list[str]]
    ) -> None:
        self._style = style
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._extra_routes = extra_routes
        self.is_stopped = False

    async def run(self) -> None:
        """Opens connections one after another, until stopped."""
        while not self.is_stopped:
            try:
                await self._use_connection()
            except (OSError, TimeoutError):
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _use_connection(self) -> None:
        gateway = self._balancer.pick()
        connection = ClientConnection(gateway.public_address, reads_slowly=self._style == Style.SLOW)
        if self._style == Style.HALF_SENT:
            connection.pause_in_request_s = self._rng.choice(PAUSES_IN_REQUEST_S)
        await connection.open()
        try:
            for _ in range(1 if self._style == Style.FRESH else REQUESTS_PER_CONNECTION):
                await self._pause()
                if self.is_stopped or not connection.is_reusable or self._has_ended(connection):
                    return
                await self._send(gateway, connection)
        finally:
            connection.close()

    async def _pause(self) -> None:
        longest = LONG_PAUSE_S if self._rng.random() < LONG_PAUSE_SHARE else MAX_PAUSE_S
        if self._style == Style.STREAMS:
            longest = MAX_PAUSE_BETWEEN_STREAMS_S
        await asyncio.sleep(self._rng.random() * longest)

    def _has_ended(self, connection: ClientConnection) -> bool:
        unasked = connection.unasked_bytes()
        if unasked:
            self._record.unasked_bytes.append(f"{connection.address}: {unasked[:80]!r}")
        return connection.has_ended()

    async def _send(self, gateway: Machine, connection: ClientConnection) -> None:
        if self._style == Style.QUEUED:
            await self._send_two(gateway, connection)
            return
        exchange = self._next_exchange(gateway)
        await connection.exchange(exchange, "POST", request_headers(exchange))
        if not exchange.is_complete or exchange.status in PROMISES:
            await self._try_again(exchange)

    async def _send_two(self, gateway: Machine, connection: ClientConnection) -> None:
        """Sends a request behind an earlier one to which no response has begun."""
        first = self._next_exchange(gateway)
        await connection.send(first, "POST", request_headers(first))
        await asyncio.sleep(self._rng.random() * MAX_PAUSE_BEFORE_SECOND_S)
        await asyncio.sleep(0)
        if connection.has_ended() or connection.unasked_bytes():
            await connection.receive(first)
            return
        second = self._next_exchange(gateway)
        await connection.send(second, "POST", request_headers(second))
        await connection.receive(first)
        if first.announces_close and first.head_at is not None and second.sent_at is not None:
            second.is_after_close = first.head_at - second.sent_at < ANNOUNCEMENT_DELAY_S
        if first.gave_up:
            # The rest of the first response would be taken for the second one.
            second.gave_up = True
            return
        await connection.receive(second)

    def _next_exchange(self, gateway: Machine) -> Exchange:
        if self._style == Style.STREAMS:
            return self._new_exchange(gateway, "quick", RouteKind.STREAMING, self._rng.choice(LONG_STREAM_EVENTS))
        route = "read" if self._style == Style.SLOW else self._choose_route()
        kind = ROUTE_KINDS.get(route, RouteKind.IDEMPOTENT)
        events = self._rng.choice(STREAM_EVENTS) if kind == RouteKind.STREAMING else 0
        return self._new_exchange(gateway, route, kind, events)

    def _choose_route(self) -> str:
        extra = self._extra_routes()
        return self._rng.choice(("quick", "quick", "quick", "once", "write", "read", "swap", *extra[:1]))

    def _new_exchange(self, gateway: Machine, route: str, kind: RouteKind, events: int) -> Exchange:
        request_id = f"{self._rng.getrandbits(64):016x}"
        part = LARGE_PATH if self._style == Style.SLOW else ""
        exchange = Exchange(
            request_id,
            gateway.name,
            route,
            kind,
            f"/{route}{part}/{request_id}",
            f"prompt of {request_id}".encode(),
            STREAM_DEADLINE_S if events else PLAIN_DEADLINE_S,
            events,
            is_repeatable=kind == RouteKind.IDEMPOTENT or route == "quick",
        )
        self._record.exchanges.append(exchange)
        return exchange

    async def _try_again(self, failed: Exchange) -> None:
        """Sends a failed request once more, with another id on a new connection, if that is allowed."""
        if self.is_stopped or not (failed.is_repeatable or failed.status in PROMISES):
            return
        await asyncio.sleep(RETRY_PAUSE_S)
        gateway = self._balancer.pick()
        exchange = self._new_exchange(gateway, failed.route, failed.kind, failed.events)
        connection = ClientConnection(gateway.public_address)
        try:
            await connection.open()
            await connection.exchange(exchange, "POST", request_headers(exchange))
        except (OSError, TimeoutError) as error:
            exchange.error = repr(error)
        finally:
            connection.close()
