"""Interfaces of a role's node to the process that runs it and to the HTTP interface for operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol, runtime_checkable

if TYPE_CHECKING:
    import socket

    from prometheus_client.metrics_core import Metric

    from .cluster import ClusterState

__all__ = ["ClientFacingNode", "ClusterStateEditor", "Metrics", "MetricFamilySource", "Node", "RouteAdder"]

Metrics = dict[str, tuple[str, float]]
"""Gauges by name without prefix: help text and value."""

RouteAdder = Callable[..., Callable[[Callable[..., Any]], Any]]
"""Klein's `route`: takes a path and options, returns the decorator of the handler."""


class Node(Protocol):
    """The part of a process that is specific to its role."""

    def open(self) -> None:
        """Recovers the state on disk, registers RPC handlers and starts timers. Raises CorruptData."""

    async def shut_down(self) -> None:
        """Shuts down gracefully: hands over leases and leaves the membership."""

    def readiness(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether the node is ready, and fields that explain the result."""

    def reported_state(self) -> dict[str, Any]:
        """Returns the role's part of the node's state, by topic, for comparison with other nodes."""

    def metrics(self) -> Metrics:
        """Returns the role's gauges."""


class ClientFacingNode(Node, Protocol):
    """A gateway's node, which serves clients."""

    listening_socket: socket.socket | None
    """A socket that is already listening, used instead of a new one."""

    async def listen(self, host: str, port: int) -> int:
        """Binds the address for clients and returns the port number."""


@runtime_checkable
class ClusterStateEditor(Protocol):
    """A controller's node, which owns a cluster state and lets operators edit it."""

    @property
    def cluster_state(self) -> ClusterState:
        """The cluster state with all committed entries applied."""

    def add_routes(self, add: RouteAdder) -> None:
        """Adds the handlers for reads and edits of the cluster state."""


@runtime_checkable
class MetricFamilySource(Protocol):
    """A node with metrics other than plain gauges."""

    def metric_families(self) -> Iterable[Metric]:
        """Returns metric families whose names include the prefix `pipitlink_`, which `metrics` leaves out."""
