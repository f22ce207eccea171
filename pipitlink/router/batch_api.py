"""The HTTP calls on batches, as the frontend makes them."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple, Protocol

from ..dialect.batches import BatchRequest
from ..wire.cluster_pb2 import Route
from .http_response import HttpResponse

__all__ = ["BatchApi", "Submission"]


class Submission(NamedTuple):
    """A batch as a caller submits it.

    `deadline` and `began_at`, when the head of the request had come, are on the timers' clock.
    """

    route: Route
    host: str
    path: str
    batch_id: str
    body: bytes
    deadline: timedelta
    began_at: timedelta


class BatchApi(Protocol):
    """Makes the calls on batches."""

    async def submit(self, submission: Submission) -> HttpResponse:
        """Takes a batch in."""

    async def handle(self, request: BatchRequest) -> HttpResponse:
        """Makes the call on a batch that the dialect has read from a request."""
