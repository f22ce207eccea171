"""The interface through which the HTTP frontend submits, reads and cancels batches."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple, Protocol

from ..dialect.batches import BatchRequest
from ..wire.cluster_pb2 import Route
from .http_response import HttpResponse

__all__ = ["BatchApi", "Submission"]


class Submission(NamedTuple):
    """A batch as a client submits it.

    `deadline`, and `started_at`, the time at which the head of the request had been received, are on the timers' clock.
    """

    route: Route
    host: str
    path: str
    batch_id: str
    body: bytes
    deadline: timedelta
    started_at: timedelta


class BatchApi(Protocol):
    """Handles client requests about batches."""

    async def submit(self, submission: Submission) -> HttpResponse:
        """Accepts or refuses a submitted batch."""

    async def handle(self, request: BatchRequest) -> HttpResponse:
        """Handles a read or cancel request that the dialect has parsed."""
