"""A node's one link to the network, whose rate all that the node sends shares."""

from collections import deque
from collections.abc import Callable

import attrs

from .virtual_time import VirtualTime

__all__ = ["Uplink"]

QUANTUM_BYTES = 4096


@attrs.define
class _Transfer:
    """A message that has `remaining` bytes to go."""

    remaining: int
    done: Callable[[], object]


class Uplink:
    """Sends messages at `bytes_per_s` in all: in order to each receiver, and to several of them by turns.

    So do the connections of one machine share its link. `sent_bytes` counts what has left.
    """

    def __init__(self, clock: VirtualTime, bytes_per_s: float) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._queues: dict[str, deque[_Transfer]] = {}
        self._is_busy = False
        self.sent_bytes = 0

    def send(self, receiver: str, size: int, done: Callable[[], object]) -> None:
        """Sends a message of so many bytes, and calls `done` once the last one has left."""
        self._queues.setdefault(receiver, deque()).append(_Transfer(size, done))
        if not self._is_busy:
            self._is_busy = True
            self._send_quantum()

    def _send_quantum(self) -> None:
        if not self._queues:
            self._is_busy = False
            return
        receiver = next(iter(self._queues))
        queue = self._queues.pop(receiver)
        size = min(QUANTUM_BYTES, queue[0].remaining)
        self._clock.callLater(size / self._bytes_per_s, self._quantum_sent, receiver, queue, size)

    def _quantum_sent(self, receiver: str, queue: deque[_Transfer], size: int) -> None:
        self.sent_bytes += size
        transfer = queue[0]
        transfer.remaining -= size
        if not transfer.remaining:
            queue.popleft()
            transfer.done()
        if receiver in self._queues:
            queue.extend(self._queues[receiver])
        if queue:
            self._queues.pop(receiver, None)
            self._queues[receiver] = queue
        self._send_quantum()
