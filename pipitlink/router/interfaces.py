"""Interfaces through which the batch components use the rest of the gateway."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..wire.cluster_pb2 import Route
from .item_runner import ItemCall, ItemResult
from .waiting_tokens import RouteBacklog

__all__ = ["ItemCapacity", "ItemExecutor", "RoutesView"]

# Returns the current routes, by name.
RoutesView = Callable[[], Mapping[str, Route]]


class ItemCapacity(Protocol):
    """Determines how many batch items may be started."""

    def available(self, route: Route, backlog: RouteBacklog) -> int:
        """Returns how many batch items of this route this gateway may start now."""

    def has_room(self, route: Route) -> bool:
        """Returns whether the engines of this route have so much free capacity that no item should have to wait."""


class ItemExecutor(Protocol):
    """Runs batch items."""

    async def run(self, item: ItemCall) -> ItemResult:
        """Makes one attempt to run an item, and returns its result."""
