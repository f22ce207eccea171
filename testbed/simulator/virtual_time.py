"""Injected time for simulated nodes: one heap of delayed calls, and a view of it for each life of a node."""

import heapq
from itertools import count

__all__ = ["VirtualTime", "NodeReactor"]


class VirtualTime:
    """The simulation's time: a heap of calls, since thousands of limits are set and cancelled in each second of it."""

    def __init__(self):
        self._now = 1000.0
        self._calls: list = []
        self._numbers = count()

    def seconds(self) -> float:
        return self._now

    def callLater(self, span, do, *args):
        call = _Call(None, do, args, {})
        heapq.heappush(self._calls, (self._now + span, next(self._numbers), call))
        return call

    def advance(self, span: float):
        end = self._now + span
        while self._calls and self._calls[0][0] <= end:
            at, _, call = heapq.heappop(self._calls)
            self._now = max(self._now, at)
            call.fire()
        self._now = end


class _Call:
    """A call in the simulation's clock, or on a life's own."""

    def __init__(self, watch, do, args, kwargs):
        self._watch, self._work = watch, (do, args, kwargs)

    def active(self) -> bool:
        return self._work is not None

    def cancel(self):
        self._work = None

    def fire(self):
        if self._work is None or (self._watch is not None and self._watch.stopped):
            return
        if self._watch is not None and self._watch.held is not None:
            self._watch.held.append(self)
            return
        (do, args, kwargs), self._work = self._work, None
        do(*args, **kwargs)


class NodeReactor:
    """A life's own reactor in the simulation's clock: calls stop when it is killed and wait while it is frozen."""

    def __init__(self, clock):
        self._clock = clock
        self.stopped = False
        self.held: list | None = None

    def callLater(self, span, do, *args, **kwargs):
        call = _Call(self, do, args, kwargs)
        self._clock.callLater(span, call.fire)
        return call

    def hold(self):
        self.held = self.held or []

    def release(self):
        held, self.held = self.held or [], None
        for call in held:
            call.fire()

    def stop(self):
        self.stopped = True
