"""Counts the bytes exchanged with other nodes, by purpose and by whether the peer is in the same zone."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from .timers import secs

if TYPE_CHECKING:
    from .structured_log import StructuredLogger
    from .timers import ErrorReporter, Timers

__all__ = ["TrafficCounter", "TrafficLog", "TrafficTotal"]

LOG_INTERVAL = secs(10)


class TrafficTotal(NamedTuple):
    """The bytes of one purpose exchanged within the node's zone and with all other zones."""

    purpose: str
    own_zone_bytes: int
    other_zone_bytes: int


class TrafficCounter:
    """Counts bytes by purpose, which is an RPC method or a kind of HTTP exchange.

    `zone` is the zone of this node. A peer whose zone is not known yet counts as in another zone.
    """

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._own_zone: dict[str, int] = {}
        self._other_zones: dict[str, int] = {}

    def add(self, purpose: str, zone: str, size: int) -> None:
        """Counts `size` bytes sent to or received from a node in a zone."""
        counts = self._own_zone if zone == self._zone else self._other_zones
        counts[purpose] = counts.get(purpose, 0) + size

    def totals(self) -> Iterator[TrafficTotal]:
        """Yields the totals of all purposes, sorted by name."""
        for purpose in sorted(self._own_zone.keys() | self._other_zones.keys()):
            yield TrafficTotal(purpose, self._own_zone.get(purpose, 0), self._other_zones.get(purpose, 0))


class TrafficLog:
    """Periodically logs the totals of a node's traffic, sorted by bytes exchanged with other zones, largest first."""

    def __init__(self, traffic: TrafficCounter, timers: Timers, logger: StructuredLogger) -> None:
        self._traffic = traffic
        self._timers = timers
        self._logger = logger

    def open(self, report_error: ErrorReporter) -> None:
        """Starts logging."""
        self._timers.call_repeatedly(LOG_INTERVAL, self._log, report_error)

    def _log(self) -> None:
        totals = sorted(self._traffic.totals(), key=lambda total: -total.other_zone_bytes)
        text = ",".join(f"{total.purpose}:{total.own_zone_bytes}/{total.other_zone_bytes}" for total in totals)
        if text:
            self._logger.info("traffic_counted", totals=text)
