"""Virtual time: a heap of delayed calls, and a reactor per incarnation of a simulated node."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

__all__ = ["DelayedCall", "NodeReactor", "VirtualTime"]


class DelayedCall:
    """A scheduled call, owned by the simulation or by one incarnation of a node."""

    def __init__(
        self, reactor: "NodeReactor | None", callback: Callable[..., Any], args: tuple[Any, ...], kwargs: dict[str, Any]
    ) -> None:
        self._reactor = reactor
        self._work: tuple[Callable[..., Any], tuple[Any, ...], dict[str, Any]] | None = (callback, args, kwargs)

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._work is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self._work = None

    def fire(self) -> None:
        """Makes the call, unless its node is frozen (the call is deferred) or stopped (the call is dropped)."""
        if self._work is None or (self._reactor is not None and self._reactor.stopped):
            return
        if self._reactor is not None and self._reactor.deferred_calls is not None:
            self._reactor.deferred_calls.append(self)
            return
        (callback, args, kwargs), self._work = self._work, None
        callback(*args, **kwargs)


class VirtualTime:
    """The clock of a simulation. It uses a heap, since each second sets and cancels thousands of timeouts."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._calls: list[tuple[float, int, DelayedCall]] = []
        self._numbers = count()

    def seconds(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now

    def callLater(self, delay: float, callback: Callable[..., Any], *args: Any) -> DelayedCall:  # noqa: N802 - twisted's interface
        """Calls back after a delay in seconds."""
        call = DelayedCall(None, callback, args, {})
        heapq.heappush(self._calls, (self._now + delay, next(self._numbers), call))
        return call

    def advance(self, seconds: float) -> None:
        """Advances the time, and makes the calls that become due in order."""
        end = self._now + seconds
        while self._calls and self._calls[0][0] <= end:
            due_at, _, call = heapq.heappop(self._calls)
            self._now = max(self._now, due_at)
            call.fire()
        self._now = end


class NodeReactor:
    """The reactor of one incarnation of a node: drops calls once the node is killed, defers them while it is frozen."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.stopped = False
        self.deferred_calls: list[DelayedCall] | None = None

    def callLater(self, delay: float, callback: Callable[..., Any], *args: Any, **kwargs: Any) -> DelayedCall:  # noqa: N802 - twisted's interface
        """Calls back after a delay in seconds."""
        call = DelayedCall(self, callback, args, kwargs)
        self._time.callLater(delay, call.fire)
        return call

    def freeze(self) -> None:
        """Defers all calls from now on."""
        self.deferred_calls = self.deferred_calls or []

    def thaw(self) -> None:
        """Makes the calls that were deferred."""
        deferred, self.deferred_calls = self.deferred_calls or [], None
        for call in deferred:
            call.fire()

    def stop(self) -> None:
        """Drops all pending and future calls."""
        self.stopped = True
