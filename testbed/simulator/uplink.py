"""The network link of a node; all messages that the node sends share its bandwidth."""

from collections import deque
from collections.abc import Callable

import attrs

from .virtual_time import VirtualTime

__all__ = ["Uplink"]

QUANTUM_BYTES = 4096


@attrs.define
class _Transfer:
    """A message of which `remaining` bytes are still to be sent."""

    remaining: int
    done: Callable[[], object]


class Uplink:
    """Sends messages at a total rate of `bytes_per_s`: in order per receiver, round-robin between receivers.

    This models the connections of a machine, which share its link. `sent_bytes` counts the bytes sent.
    """

    def __init__(self, clock: VirtualTime, bytes_per_s: float) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._queues: dict[str, deque[_Transfer]] = {}
        self._is_busy = False
        self.sent_bytes = 0

    def send(self, receiver: str, size: int, done: Callable[[], object]) -> None:
        """Sends a message of `size` bytes, and calls `done` once the last byte was sent."""
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
