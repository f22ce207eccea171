"""Notices when gateways come and go, or this one was suspended."""

from __future__ import annotations

from collections.abc import Callable

from ..context import Context
from ..timers import secs

__all__ = ["GatewayWatch"]

SUSPENDED_AFTER = secs(1.5)


class GatewayWatch:
    """The gateways that are alive, and when they changed last; a suspension of this process counts as a change."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.gateways: frozenset[str] = frozenset()
        self.changed_at = self._checked_at = ctx.timers.now()
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has a function called when a check notices a change."""
        self._listeners.append(listener)

    def check(self) -> None:
        """Looks whether the gateways have changed."""
        now = self._ctx.timers.now()
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        gateways = frozenset(member.node for member in alive)
        if gateways != self.gateways or now - self._checked_at > SUSPENDED_AFTER:
            self.gateways, self.changed_at = gateways, now
            for listener in self._listeners:
                listener()
        self._checked_at = now
