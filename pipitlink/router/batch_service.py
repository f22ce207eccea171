"""Assembles the components that handle batches in a gateway."""

from __future__ import annotations

from ..context import Context
from ..dialect.batches import BatchRequest, ReadItem, ReadOutputs
from .backlog_counter import BacklogCounter
from .batch_adopter import BatchAdopter
from .batch_api import Submission
from .batch_canceller import BatchCanceller
from .batch_followers import BatchFollowers
from .batch_intake import BatchIntake
from .batch_monitor import BatchMonitor
from .batch_reader import BatchReader
from .batch_scheduler import BatchScheduler
from .batch_table import BatchTable
from .engine_registry import EngineRegistry
from .gateway_watch import GatewayWatch
from .http_response import HttpResponse
from .interfaces import ItemCapacity, ItemExecutor, RoutesView
from .item_attempts import ItemAttempts
from .load_exchange import LoadExchange
from .output_writer import OutputWriter
from .quota import QuotaCoordinator
from .waiting_tokens import WaitingTokens

__all__ = ["BatchService"]


class BatchService:
    """Handles batches in a gateway.

    The intake makes batches durable once the quota admits them. The table holds the leases of the batches that this
    gateway owns, and the adopter takes over batches without an owner. The scheduler runs the items of owned batches,
    and the monitor reports their states. The reader and the canceller serve clients at any gateway.
    """

    def __init__(
        self,
        ctx: Context,
        engines: EngineRegistry,
        loads: LoadExchange,
        capacity: ItemCapacity,
        executor: ItemExecutor,
        routes: RoutesView,
    ) -> None:
        self._loads = loads
        self.table = BatchTable(ctx)
        self.gateway_watch = GatewayWatch(ctx)
        self.waiting = WaitingTokens(ctx, self.table, self.gateway_watch)
        self.adopter = BatchAdopter(ctx, self.table, self.waiting, self.gateway_watch)
        self.followers = BatchFollowers(ctx, self.table)
        self.counter = BacklogCounter(ctx, self.waiting, loads, self.adopter, self.followers)
        self.quota = QuotaCoordinator(ctx, routes, self.table, self.waiting, self.counter, self.gateway_watch)
        self.intake = BatchIntake(ctx, self.table, self.quota, self.followers)
        self.writer = OutputWriter(ctx, routes, self.table)
        self.attempts = ItemAttempts(ctx, self.table, executor, self.writer)
        self.scheduler = BatchScheduler(ctx, engines, self.table, self.waiting, capacity, self.attempts, routes)
        self.monitor = BatchMonitor(ctx, self.table, self.waiting, capacity, routes)
        self.reader = BatchReader(ctx, self.table, self.followers)
        self.canceller = BatchCanceller(ctx, self.table)

    def open(self) -> None:
        """Starts serving batches, and taking over those without an owner."""
        for listener in (self.scheduler, self.writer, self.waiting, self.monitor):
            self.table.add_listener(listener)
        self.quota.open()
        self._loads.add_contributor(self.waiting)
        self.scheduler.open()
        self.canceller.open()
        self.followers.open()
        self.adopter.open()
        self.monitor.open()

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and value of each batch metric, by name."""
        return {**self.table.metrics(), **self.adopter.metrics(), **self.monitor.metrics()}

    async def submit(self, submission: Submission) -> HttpResponse:
        """Accepts or refuses a submitted batch."""
        return await self.intake.submit(submission)

    async def handle(self, request: BatchRequest) -> HttpResponse:
        """Handles a read or cancel request that the dialect has parsed."""
        if isinstance(request, ReadOutputs):
            return await self.reader.read_outputs(request.batch_id, request.start, request.wait)
        if isinstance(request, ReadItem):
            return await self.reader.read_item(request.batch_id, request.item_id)
        return await self.canceller.cancel(request.batch_id)
