"""The batches of a gateway: puts their parts together."""

from __future__ import annotations

from ..context import Context
from ..dialect.batches import BatchRequest, ReadItem, ReadOutputs
from .backlog_counter import BacklogCounter
from .batch_adopter import BatchAdopter
from .batch_api import Submission
from .batch_canceller import BatchCanceller
from .batch_followers import BatchFollowers
from .batch_intake import BatchIntake
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
    """What a gateway does for batches.

    The intake makes batches durable, admitted by the quota; the table owns them by leases, and the adopter takes over
    what nobody owns; the scheduler runs their items; the reader and the canceller serve callers at any gateway.
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
        self.reader = BatchReader(ctx, self.table, self.followers)
        self.canceller = BatchCanceller(ctx, self.table)

    def open(self) -> None:
        """Begins to serve, and to take over what nobody owns."""
        for listener in (self.scheduler, self.writer, self.waiting):
            self.table.add_listener(listener)
        self.quota.open()
        self._loads.add_contributor(self.waiting)
        self.scheduler.open()
        self.canceller.open()
        self.followers.open()
        self.adopter.open()

    async def submit(self, submission: Submission) -> HttpResponse:
        """Takes a batch in."""
        return await self.intake.submit(submission)

    async def handle(self, request: BatchRequest) -> HttpResponse:
        """Makes the call on a batch that the dialect has read from a request."""
        if isinstance(request, ReadOutputs):
            return await self.reader.read_outputs(request.batch_id, request.start, request.wait)
        if isinstance(request, ReadItem):
            return await self.reader.read_item(request.batch_id, request.item_id)
        return await self.canceller.cancel(request.batch_id)
