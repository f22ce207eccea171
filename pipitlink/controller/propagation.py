"""The state of one change on its way to all gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from twisted.internet import defer

__all__ = ["Propagation"]


class Propagation:
    """One change on its way to all gateways, and which of them have acknowledged it."""

    def __init__(self, gateways: Iterable[str]) -> None:
        self.gateways = set(gateways)
        self.acknowledged: set[str] = set()
        self.running = len(self.gateways)
        self._waiters: list[defer.Deferred[Any]] = []

    def wait(self) -> defer.Deferred[Any]:
        """Returns a Deferred that fires when the calls to one more gateway have ended."""
        waiter: defer.Deferred[Any] = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def acknowledge(self, gateway: str) -> None:
        """Notes that a gateway has acknowledged the change."""
        self.acknowledged.add(gateway)

    def finish_gateway(self) -> None:
        """Notes that the calls to one gateway have ended, and wakes those that wait."""
        self.running -= 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)
