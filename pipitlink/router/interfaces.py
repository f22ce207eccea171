"""What the parts of a gateway's batches need of the rest of the gateway."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..wire.cluster_pb2 import Route
from .item_runner import ItemCall, ItemResult
from .waiting_tokens import RouteBacklog

__all__ = ["ItemCapacity", "ItemExecutor", "RoutesView"]

# Returns the routes in force, by name.
RoutesView = Callable[[], Mapping[str, Route]]


class ItemCapacity(Protocol):
    """Knows how many items of batches may be started."""

    def available(self, route: Route, backlog: RouteBacklog) -> int:
        """Returns how many items of batches on this route may be started now from this gateway."""


class ItemExecutor(Protocol):
    """Runs items of batches."""

    async def run(self, item: ItemCall) -> ItemResult:
        """Makes one attempt at an item, and returns its result."""
