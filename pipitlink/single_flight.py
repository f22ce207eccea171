"""Deduplicates concurrent work: callers that need the same result at the same time share one run."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Hashable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from twisted.internet.defer import Deferred, ensureDeferred

if TYPE_CHECKING:
    from twisted.python.failure import Failure

__all__ = ["SingleFlight"]

KeyT = TypeVar("KeyT", bound=Hashable)
ResultT = TypeVar("ResultT")


class SingleFlight(Generic[KeyT, ResultT]):
    """Runs at most one coroutine at a time for each key, and passes its result to all waiters."""

    def __init__(self) -> None:
        self._waiters: dict[KeyT, list[Deferred[ResultT]]] = {}

    def run(self, key: KeyT, start: Callable[[], Coroutine[Any, Any, ResultT]]) -> Deferred[ResultT]:
        """Returns the result of the run in progress for `key`, or of a new run of `start` if there is none.

        Cancelling a waiter does not cancel the run or the other waiters. An error of the run is raised to each waiter.
        """
        is_first = key not in self._waiters
        waiters = self._waiters.setdefault(key, [])
        waiter: Deferred[ResultT] = Deferred(lambda cancelled: self._remove(cancelled, waiters))
        waiters.append(waiter)
        if is_first:
            ensureDeferred(start()).addBoth(self._resolve_all, key)
        return waiter

    def _remove(self, waiter: Deferred[Any], waiters: list[Deferred[ResultT]]) -> None:
        if waiter in waiters:
            waiters.remove(waiter)

    def _resolve_all(self, result: ResultT | Failure, key: KeyT) -> None:
        for waiter in self._waiters.pop(key):
            waiter.callback(result)
