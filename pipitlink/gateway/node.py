"""The gateway node for requests by model, composed of its components."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from klein import Klein
from prometheus_client.core import HistogramMetricFamily
from twisted.web.server import Request

from ..context import Context
from ..errors import NotFound
from ..http_connections import HttpConnections
from ..http_server import HttpServer, Site, listen
from ..json_api import send_error, send_json
from ..timers import ms, secs
from .admission import Admission
from .batch_api import BatchApi
from .batch_capacity import BatchCapacity
from .batch_intake import BatchIntake
from .batch_log import BatchLog
from .batch_log_follower import BatchLogFollower
from .batch_log_memory import BatchLogMemory
from .batch_ownership import BatchOwnership
from .engine_api import EngineApi
from .engine_candidates import EngineCandidates
from .engine_registry import EngineRegistry
from .engine_relay import EngineRelay
from .engine_selector import EngineSelector
from .engine_slots import EngineSlots
from .fetch_api import FetchApi
from .fetch_relay import FetchRelay
from .idempotency_keys import IdempotencyKeys
from .item_dispatcher import ItemDispatcher
from .live_api import LiveApi
from .open_batches import OpenBatches
from .rate_limits import RateLimits
from .request_pipeline import PipelineStep, RequestPipeline, prepare_send
from .request_record import RequestKind
from .request_sender import RequestSender
from .request_table import RequestTable
from .result_reader import ResultReader
from .retry_after import RetryAfterEstimator
from .retry_policy import RetryPolicy
from .run_registry import RunRegistry
from .serving_state import ServingState

__all__ = ["GatewayNode"]

DRAIN_TIMEOUT = secs(6)
DRAIN_CHECK_INTERVAL = ms(50)
OK = 200
SERVICE_UNAVAILABLE = 503
CACHE_COUNTS = ("relaxed", "consistent", "durable", "durable_reads", "hedged", "unheard")


class GatewayNode:
    """A gateway whose clients name a model, unlike the gateways in `router`, whose clients name a route.

    It serves live requests, fetches (GET requests passed through to an engine) and batches on the same engines.

    - `engines` and `slots` track the engines and this gateway's quota of their capacity.
    - `pipeline` runs the steps of each request in `table`: admission, choice of an engine, relay.
    - `runs` finds live requests by id, at this gateway and at others.
    - `batch_intake` stores batches, `open_batches` is kept up to date from the batch logs, `batch_ownership` and
      `item_dispatcher` run them, and `results` reads their results.
    - The `..._api` components serve clients over HTTP.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._server: HttpServer | None = None
        self.serving = ServingState(ctx)
        self.engines = EngineRegistry(ctx)
        self.slots = EngineSlots(ctx, self.engines)
        self.candidates = EngineCandidates(ctx, self.engines)
        self._compose_requests()
        self._compose_batches()
        self.live_api = LiveApi(ctx, self.table, self.pipeline, self.runs)
        self.engine_api = EngineApi(ctx, self.engines)
        self.fetch_api = FetchApi(ctx, self.pipeline)
        self.batch_api = BatchApi(ctx, self.batch_intake, self.open_batches, self.results, self.batch_ownership)

    def _compose_requests(self) -> None:
        ctx = self._ctx
        retry_after = RetryAfterEstimator(ctx.timers)
        self.table = RequestTable(ctx)
        self.runs = RunRegistry(ctx, self.table)
        self.rate_limits = RateLimits(ctx, self.slots, self.candidates, retry_after)
        admission = Admission(ctx, self.serving, self.table, self.rate_limits, retry_after)
        selector = EngineSelector(ctx, self.serving, self.slots, self.candidates, self.rate_limits, retry_after)
        self._sender = sender = RequestSender(ctx, self.engines, self.slots, self.candidates, RetryPolicy(ctx.timers))
        relay = self._make_engine_relay(sender)
        fetch_relay = FetchRelay(sender)
        steps: dict[RequestKind, tuple[PipelineStep, ...]] = {
            RequestKind.LIVE: (admission.admit, selector.choose_engine, relay.relay),
            RequestKind.ITEM: (admission.admit, selector.choose_engine, prepare_send, relay.relay),
            RequestKind.FETCH: (admission.admit, selector.choose_engine, fetch_relay.relay),
        }
        self.pipeline = RequestPipeline(ctx, self.table, steps)

    def _make_engine_relay(self, sender: RequestSender) -> EngineRelay:
        """Creates the relay to engines; a simulated gateway overrides this."""
        return EngineRelay(self._ctx, self.engines, sender)

    def _compose_batches(self) -> None:
        ctx = self._ctx
        own_log = BatchLog(ctx)
        self.open_batches = OpenBatches(ctx.client_memory)
        log_memory = BatchLogMemory(ctx, self.open_batches)
        self.idempotency_keys = IdempotencyKeys(ctx, self.open_batches, log_memory)
        self.batch_intake = BatchIntake(
            ctx, self.serving, self.open_batches, own_log, self.idempotency_keys, log_memory
        )
        self.batch_log_follower = BatchLogFollower(ctx, self.open_batches, own_log)
        log_memory.free_logs = self.batch_log_follower.end_idle_logs
        self.results = ResultReader(ctx, self.open_batches)
        self.batch_ownership = BatchOwnership(ctx, self.serving, self.open_batches)
        capacity = BatchCapacity(self.slots, self.candidates)
        self.item_dispatcher = ItemDispatcher(
            ctx, self.serving, self.open_batches, self.batch_ownership, capacity, self.table, self.pipeline
        )

    def open(self) -> None:
        """Registers RPC handlers and starts timers; each component starts after those that it depends on."""
        self.engines.open()
        self.slots.open()
        self.rate_limits.open()
        self.runs.open()
        self.idempotency_keys.open()
        self.batch_log_follower.open()
        self.results.open()
        self.batch_ownership.open()
        self.item_dispatcher.open()

    async def listen(self, host: str, port: int) -> int:
        """Listens for clients; returns the bound port."""
        connections = HttpConnections(self._ctx.client_memory)
        site = Site(self._routes().resource(), self._ctx.settings.max_body_kb * 1024, connections)
        self._server = await listen(self._ctx, site, host, port)
        return self._server.port

    def _routes(self) -> Klein:
        app = Klein()
        route = app.route
        route("/v1/generate", methods=["POST"])(self.live_api.generate)
        route("/v1/generate/<run>", methods=["GET"])(self.live_api.resume)
        route("/v1/engines", methods=["POST"])(self.engine_api.announce)
        route("/v1/fetch/<pool>/", methods=["GET"])(self.fetch_api.fetch)
        route("/v1/fetch/<pool>/<path:path>", methods=["GET"])(self.fetch_api.fetch)
        route("/v1/lots", methods=["POST"])(self.batch_api.submit_batch)
        route("/v1/lots/<batch_id>", methods=["GET"])(self.batch_api.show_batch)
        route("/v1/lots/<batch_id>/results", methods=["GET"])(self.batch_api.show_results)
        route("/v1/lots/<batch_id>", methods=["DELETE"])(self.batch_api.cancel_batch)
        route("/v1/ready", methods=["GET"])(self.show_ready)
        route("/v1/live", methods=["GET"])(self.show_live)
        route("/", defaults={"path": ""})(self._not_found)
        route("/<path:path>")(self._not_found)
        return app

    def show_ready(self, request: Request) -> bytes:
        """Responds whether this gateway accepts requests."""
        ready = self.serving.is_current()
        content = {"ready": ready, "cluster": self._ctx.cluster.sequence}
        body: bytes = send_json(request, content, OK if ready else SERVICE_UNAVAILABLE)
        return body

    def show_live(self, request: Request) -> bytes:
        """Responds that the process is alive."""
        body: bytes = send_json(request, {"live": True})
        return body

    def _not_found(self, request: Request, path: str) -> bytes:
        body: bytes = send_error(request, NotFound(f"no such path: /{path}", code="no_such_path"))
        return body

    def readiness(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether the node is ready, and the fields that explain it."""
        cluster = self._ctx.cluster
        return self.serving.is_current(), {"cluster": cluster.sequence, "currency": cluster.state}

    def reported_state(self) -> dict[str, Any]:
        """Returns the engines and leases as known at this node, for comparison with other nodes."""
        engines = {
            engine.name: f"{self.engines.status(engine)} {engine.update.address} {engine.update.incarnation}"
            for engine in self.engines.all()
        }
        leases = {
            log: f"{self._ctx.node}@{leaseholder.epoch}"
            for log, leaseholder in sorted(self._ctx.replicated_log.leaseholders.items())
        }
        return {"engines": engines, "leases": leases}

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the gauges by their name without the prefix: help text and value."""
        cache = self._ctx.cache
        gauges: dict[str, tuple[str, float]] = {
            f"cache_{name}": (f"Chunks or reads: {name}", cache.counts[name]) for name in CACHE_COUNTS
        }
        owned_batches = sum(batch.leaseholder is not None for batch in self.open_batches.all())
        running = sum(engine.local_requests for engine in self.engines.all())
        gauges["asks"] = ("Requests in the table", len(self.table.requests))
        gauges["open_lots"] = ("Lots known to be open", len(self.open_batches))
        gauges["owned_lots"] = ("Lots this gateway owns", owned_batches)
        gauges["running"] = ("Requests on engines from here", running)
        gauges["calls_malformed"] = ("Calls to engines: malformed", self._sender.malformed)
        gauges["cache_bytes"] = ("Bytes in the data cache here", cache.chunks.size)
        return gauges

    def metric_families(self) -> Iterable[HistogramMetricFamily]:
        """Returns the metrics other than gauges, with the prefix `pipitlink_` in their names."""
        name = "pipitlink_first_piece_seconds"
        return [self.table.first_chunk_latency.family(name, "From a live request's arrival to its first piece")]

    async def shut_down(self) -> None:
        """Shuts down gracefully: rejects new requests, waits for running ones and releases the leases.

        What serves clients stops only once none of their connections is left.
        """
        self.serving.draining = True
        timers = self._ctx.timers
        deadline = timers.now() + DRAIN_TIMEOUT
        if self._server is not None:
            await self._server.close(DRAIN_TIMEOUT)
        while self.table.has_unsettled() and timers.now() < deadline:
            await timers.sleep(DRAIN_CHECK_INTERVAL)
        self.batch_ownership.release_all()
        replicated_log = self._ctx.replicated_log
        await replicated_log.release(list(replicated_log.leaseholders.values()))
        await self._ctx.membership.leave()
