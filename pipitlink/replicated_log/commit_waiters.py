"""Appends waiting until a log position is committed."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from twisted.internet import defer

__all__ = ["CommitWaiters"]


@attrs.frozen(eq=False)
class _Waiter:
    position: int
    deferred: defer.Deferred[None]


class CommitWaiters:
    """Deferreds that fire once the log is committed up to their positions."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(self, position: int) -> defer.Deferred[None]:
        """Returns a Deferred that fires once all bytes below `position` are committed."""
        deferred: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(_Waiter(position, deferred))
        return deferred

    def remove_reached(self, position: int) -> list[defer.Deferred[None]]:
        """Removes the Deferreds of positions up to `position` and returns them without firing them."""
        reached = [waiter.deferred for waiter in self._waiters if waiter.position <= position]
        self._waiters = [waiter for waiter in self._waiters if waiter.position > position]
        return reached

    def fail_all(self, make_error: Callable[[], Exception]) -> None:
        """Removes all Deferreds and fails each with a new exception."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.deferred.errback(make_error())
