"""The gateway node for the routes interface: creates and connects its components."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Any

from ..context import Context
from ..http_server import HttpServer, Site, listen, side_connections
from ..timers import ms
from ..wire.cluster_pb2 import Route
from .batch_capacity import BatchCapacity
from .batch_service import BatchService
from .call_relay import CallRelay
from .connection_pool import ConnectionPool
from .engine_registry import EngineRegistry
from .engine_selector import EngineSelector
from .http_frontend import HttpFrontend
from .item_runner import ItemRunner
from .load_exchange import LoadExchange
from .readiness import ReadinessResource
from .slow_start import SlowStart

__all__ = ["RouterNode"]

MAX_READINESS_BODY_BYTES = 1024
READINESS_CLOSE_TIMEOUT = ms(100)


class RouterNode:
    """A gateway that serves routes: forwards opaque requests to engines of pools, and runs batches on the same engines.

    Requests of clients arrive at the frontend, batch items come from the item runner; the relay sends both as calls to
    the engines that the selector chooses. `listening_socket` must be set before `listen` is called if a socket already
    accepts clients.
    """

    listening_socket: socket.socket | None = None

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.engines = EngineRegistry(ctx)
        self.slow_start = SlowStart(ctx)
        self.loads = LoadExchange(ctx, self.engines)
        self.connections = ConnectionPool(ctx)
        self.selector = EngineSelector(ctx, self.engines, self.slow_start, self.connections)
        self.relay = CallRelay(ctx, self.engines, self.selector, self.connections)
        self.batches = BatchService(
            ctx,
            self.engines,
            self.loads,
            BatchCapacity(ctx, self.engines, self.selector, self.slow_start),
            ItemRunner(ctx, self.relay),
            self._routes,
        )
        self.frontend = HttpFrontend(ctx, self.relay, self.batches)
        self._readiness_server: HttpServer | None = None
        self._is_draining = False

    def _routes(self) -> Mapping[str, Route]:
        routes: Mapping[str, Route] = self._ctx.cluster.cluster_state.routes.routes
        return routes

    def open(self) -> None:
        """Starts to follow engines and batches."""
        self.engines.open()
        self.slow_start.open()
        self.loads.open()
        self.relay.open()
        self.batches.open()

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept clients, and returns the port."""
        if self._ctx.settings.ready_port:
            connections = side_connections(self._ctx)
            site = Site(ReadinessResource(self.readiness), MAX_READINESS_BODY_BYTES, connections)
            self._readiness_server = await listen(self._ctx, site, host, self._ctx.settings.ready_port)
        return await self.frontend.listen(host, port, self.listening_socket)

    def readiness(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether the gateway accepts requests, and details for operators."""
        cluster = self._ctx.cluster
        is_ready = (
            not self._is_draining
            and cluster.usable()
            and cluster.cluster_state.routes.version > 0
            and bool(self.engines.all())
        )
        return is_ready, {"cluster": cluster.sequence, "currency": cluster.state}

    def reported_state(self) -> dict[str, Any]:
        """Returns the state of engines, leases and owned batches as seen by this gateway, by name."""
        engines = {engine.name: f"{self.engines.status(engine)} {engine.address}" for engine in self.engines.all()}
        leases = {
            log: f"{self._ctx.node}@{leaseholder.epoch}"
            for log, leaseholder in sorted(self._ctx.replicated_log.leaseholders.items())
        }
        return {"engines": engines, "leases": leases, "batches": self.batches.monitor.reported_state()}

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and the value of each metric, by name."""
        counters = self.relay.counters
        calls = {
            "tries": counters.attempts,
            "resumed": counters.resumed,
            "spoilt": counters.mismatched,
            "malformed": counters.malformed,
            "refused": counters.refused,
            "silent": counters.silent,
        }
        metrics: dict[str, tuple[str, float]] = {
            f"calls_{name}": (f"Calls to engines: {name}", count) for name, count in calls.items()
        }
        metrics["calls"] = ("Calls under way", len(self.relay.calls))
        metrics["links_opened"] = ("Connections opened to engines", self.connections.opened)
        for code, count in self.frontend.refused.items():
            metrics[f"refused_{code}"] = (f"Requests refused: {code}", count)
        metrics["client_connections"] = ("Connections of clients", len(self.frontend.connections.open))
        for code, count in self.frontend.connections.refused.items():
            metrics[f"refused_{code}"] = (f"Requests refused while they were received: {code}", count)
        metrics.update(self.batches.metrics())
        return metrics

    async def shut_down(self) -> None:
        """Drains the gateway and leaves the cluster.

        It reports itself as not ready immediately, accepts new requests for a time, and hands its leases over. It
        serves clients as before until none of their connections is left, and only then stops what serves them.
        """
        self._is_draining = True
        settings = self._ctx.settings
        deadline = self._ctx.timers.now() + ms(settings.drain_ms)
        batches = self._ctx.run_in_background(self.batches.table.drain(), "drain_batches")
        await self.frontend.drain(ms(settings.accept_ms), deadline)
        await batches
        await self.batches.table.release_all()
        self.relay.abort_all("gateway shutting down")
        self.connections.close_all_idle()
        if self._readiness_server is not None:
            await self._readiness_server.close(READINESS_CLOSE_TIMEOUT)
        await self._ctx.membership.leave()
