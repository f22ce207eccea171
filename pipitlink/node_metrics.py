"""A node's metrics for Prometheus. Imported at the first request for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily

from .node_interfaces import MetricFamilySource
from .node_report import cluster_state_of

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

    from .context import Context
    from .node_interfaces import Node

__all__ = ["NodeMetrics"]


class NodeMetrics:
    """A Prometheus collector of the metrics that all nodes have in common and those of the role."""

    def __init__(self, ctx: Context, node: Node) -> None:
        self._ctx = ctx
        self._node = node

    def collect(self) -> Iterator[Metric]:
        """Yields the metric families with their current values."""
        cluster_state = cluster_state_of(self._ctx, self._node)
        yield GaugeMetricFamily(
            "pipitlink_cluster_sequence", "The cluster state's sequence here", cluster_state.sequence
        )
        yield GaugeMetricFamily(
            "pipitlink_table_sequence", "The weight table's sequence here", cluster_state.table_sequence
        )
        yield self._peers()
        yield self._traffic()
        changes = self._ctx.changes
        yield GaugeMetricFamily("pipitlink_changes_told", "Changes told as CloudEvents", changes.published)
        yield GaugeMetricFamily("pipitlink_changes_dropped", "Changes that could not be told", changes.dropped)
        metrics = {**self._ctx.rpc.metrics(), **self._ctx.client_memory.metrics(), **self._node.metrics()}
        for name, (help_text, value) in metrics.items():
            yield GaugeMetricFamily(f"pipitlink_{name}", help_text, value)
        if isinstance(self._node, MetricFamilySource):
            yield from self._node.metric_families()

    def _traffic(self) -> Metric:
        traffic = GaugeMetricFamily(
            "pipitlink_traffic_bytes",
            "Bytes exchanged by purpose, and with nodes of which zone",
            labels=["purpose", "zone"],
        )
        for total in self._ctx.traffic.totals():
            traffic.add_metric([total.purpose, "own"], total.own_zone_bytes)
            traffic.add_metric([total.purpose, "other"], total.other_zone_bytes)
        return traffic

    def _peers(self) -> Metric:
        membership = self._ctx.membership
        peers = GaugeMetricFamily("pipitlink_peers", "Peers by role and status", labels=["role", "status"])
        counts = Counter((member.role, membership.status(member.node)) for member in membership.all_members())
        for labels, count in sorted(counts.items()):
            peers.add_metric(labels, count)
        return peers
