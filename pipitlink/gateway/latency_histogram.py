"""A latency histogram for the metrics."""

from __future__ import annotations

import bisect
from datetime import timedelta
from itertools import accumulate

from prometheus_client.core import HistogramMetricFamily

__all__ = ["LatencyHistogram"]

BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0)


class LatencyHistogram:
    """Counts latencies by buckets, each with an upper bound in seconds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    def add(self, latency: timedelta) -> None:
        """Adds one latency."""
        seconds = latency.total_seconds()
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self._sum_s += seconds

    def family(self, name: str, text: str) -> HistogramMetricFamily:
        """Returns the histogram as a metric; `text` is its help text."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        return HistogramMetricFamily(name, text, list(zip(bounds, accumulate(self._counts), strict=True)), self._sum_s)
