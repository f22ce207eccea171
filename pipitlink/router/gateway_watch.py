"""Detects gateways that join or leave, and a suspension or suspicion of this gateway."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..context import Context
from ..rendezvous import rank
from ..timers import secs

__all__ = ["GatewayWatch"]

SUSPENSION_THRESHOLD = secs(1.5)


class GatewayWatch:
    """The live gateways, the time of their last change, and since when this gateway owns its keys.

    Each key is assigned to one of the live gateways, by rendezvous hashing.

    A suspension of this process counts as a change, and so does a suspicion that it has refuted, since the other
    gateways may have considered it gone in the meantime.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.gateways: frozenset[str] = frozenset()
        self.changed_at = self._checked_at = ctx.timers.now()
        self._incarnation = 0
        self._owned_since: dict[str, timedelta] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function that is called when a check detects a change."""
        self._listeners.append(listener)

    def check(self) -> None:
        """Checks whether the set of gateways has changed."""
        now = self._ctx.timers.now()
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        gateways = frozenset(member.node for member in alive)
        incarnation = self._ctx.membership.local_member.incarnation
        was_absent = now - self._checked_at > SUSPENSION_THRESHOLD or incarnation != self._incarnation
        if was_absent or gateways != self.gateways:
            self.gateways, self.changed_at, self._incarnation = gateways, now, incarnation
            self._drop_lost_keys(was_absent)
            for listener in self._listeners:
                listener()
        self._checked_at = now

    def _drop_lost_keys(self, was_absent: bool) -> None:
        if was_absent:
            self._owned_since.clear()
        for key in [key for key in self._owned_since if self.owner_of(key) != self._ctx.node]:
            del self._owned_since[key]

    def owner_of(self, key: str) -> str:
        """Returns the gateway that owns a key: the live gateway with the highest rank by rendezvous hashing."""
        alive = {member.node for member in self._ctx.membership.members("gateway", statuses=("alive",))}
        alive.add(self._ctx.node)
        return max(alive, key=lambda gateway: rank(key, gateway))

    def owned_since(self, key: str) -> timedelta | None:
        """Returns since when this gateway has owned a key without interruption, or None if another gateway owns it.

        Other gateways that join or leave in the meantime do not interrupt the ownership.
        """
        self.check()
        if self.owner_of(key) != self._ctx.node:
            return None
        return self._owned_since.setdefault(key, self.changed_at)
