"""Tracks the propagation of one change to all gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from twisted.internet import defer

__all__ = ["Propagation"]


class Propagation:
    """The propagation of one change: the gateways that get it, and those that have acknowledged it."""

    def __init__(self, gateways: Iterable[str]) -> None:
        self.gateways = set(gateways)
        self.acknowledged: set[str] = set()
        self.running = len(self.gateways)
        self._waiters: list[defer.Deferred[Any]] = []

    def wait(self) -> defer.Deferred[Any]:
        """Returns a Deferred that fires the next time that the calls to one of the gateways have ended."""
        waiter: defer.Deferred[Any] = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def acknowledge(self, gateway: str) -> None:
        """Records that a gateway has acknowledged the change."""
        self.acknowledged.add(gateway)

    def finish_gateway(self) -> None:
        """Records that the calls to one gateway have ended, and wakes the waiters."""
        self.running -= 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)
