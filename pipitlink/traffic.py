"""How many bytes a node has exchanged with others, by purpose and by whether the other one is in its zone."""

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
    """The bytes of one purpose within the own zone, and to and from all other zones."""

    purpose: str
    own_zone_bytes: int
    other_zone_bytes: int


class TrafficCounter:
    """Counts bytes by purpose, which is a method of an RPC or a kind of HTTP exchange.

    `zone` is the node's own; a node whose zone is not known yet counts as one in another zone.
    """

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._own_zone: dict[str, int] = {}
        self._other_zones: dict[str, int] = {}

    def add(self, purpose: str, zone: str, size: int) -> None:
        """Counts `size` bytes to or from a node in a zone."""
        counts = self._own_zone if zone == self._zone else self._other_zones
        counts[purpose] = counts.get(purpose, 0) + size

    def totals(self) -> Iterator[TrafficTotal]:
        """Yields the totals of all purposes, by name."""
        for purpose in sorted(self._own_zone.keys() | self._other_zones.keys()):
            yield TrafficTotal(purpose, self._own_zone.get(purpose, 0), self._other_zones.get(purpose, 0))


class TrafficLog:
    """Logs the totals of a node's traffic now and then, the largest between zones first."""

    def __init__(self, traffic: TrafficCounter, timers: Timers, logger: StructuredLogger) -> None:
        self._traffic = traffic
        self._timers = timers
        self._logger = logger

    def open(self, report_error: ErrorReporter) -> None:
        """Begins to log."""
        self._timers.call_repeatedly(LOG_INTERVAL, self._log, report_error)

    def _log(self) -> None:
        totals = sorted(self._traffic.totals(), key=lambda total: -total.other_zone_bytes)
        text = ",".join(f"{total.purpose}:{total.own_zone_bytes}/{total.other_zone_bytes}" for total in totals)
        if text:
            self._logger.info("traffic_counted", totals=text)
