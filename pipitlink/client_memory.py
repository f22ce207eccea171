"""The memory that a process holds for its clients, counted against one limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

__all__ = [
    "BYTES_PER_MB",
    "CONNECTION_BYTES",
    "MAX_CLOSING_CONNECTIONS",
    "SMALL_BYTES",
    "ClientMemory",
    "MemoryHolder",
    "MemoryUse",
    "Reservation",
]

BYTES_PER_MB = 1024 * 1024
PROCESS_MB = 64
"""The memory of a process without clients and caches."""

LIMIT_FRACTION = 0.6
"""The rest is for what is not counted, such as free parts of the heap."""

MIN_LIMIT_BYTES = 8 * BYTES_PER_MB
SMALL_BYTES = 64 * 1024
LARGE_FRACTION = 0.75
"""The part of the limit that reservations above SMALL_BYTES may fill; the rest is left to ordinary requests."""

RELIEVED_FRACTION = 0.5
RELIEF_INTERVAL_S = 0.1
CONNECTION_BYTES = 16 * 1024
CONNECTION_FRACTION = 0.25
MAX_CLOSING_CONNECTIONS = 64
"""How many connections beyond the limit may be open because they were dropped and are not closed yet."""

MIN_CONNECTIONS = 64
FILE_DESCRIPTORS = 200
"""The descriptors that a process needs for files."""

CLIENT_DESCRIPTOR_FRACTION = 0.4
"""The part of the other descriptors that clients may have, and also the part that other nodes may have."""

SIDE_SERVER_FRACTION = 0.125
"""The part of the connections that a server other than the one for clients may have."""


class MemoryUse(StrEnum):
    """What is kept for longer than a request, and has a limit of its own; the values are parts of metrics' names."""

    BATCHES = "batch"
    PROMPT_PARTS = "prompt_part"
    ENGINES = "engine"


USE_FRACTIONS = {MemoryUse.BATCHES: 0.5, MemoryUse.PROMPT_PARTS: 0.125, MemoryUse.ENGINES: 0.125}
"""The part of the limit that each use may fill."""

USE_DESCRIPTIONS = {
    MemoryUse.BATCHES: "Memory held for batches that this node owns or follows",
    MemoryUse.PROMPT_PARTS: "Memory held for the names of prompt parts",
    MemoryUse.ENGINES: "Memory held for announced engines",
}


class MemoryHolder(Protocol):
    """Something that holds memory for a client and can give it up."""

    def is_slow(self, now_s: float) -> bool:
        """Returns whether the client has let too little time and too few bytes pass since it was last asked."""

    def evict(self) -> None:
        """Gives the memory up."""


class Reservation:
    """A part of the memory; `size` is in bytes."""

    def __init__(self, memory: ClientMemory) -> None:
        self._memory = memory
        self.size = 0

    def try_resize(self, size: int) -> bool:
        """Changes the size if there is room, and returns whether it has changed."""
        if size > self.size and not self._memory.make_room(size - self.size, size):
            return False
        self.resize(size)
        return True

    def resize(self, size: int) -> None:
        """Changes the size, whether or not there is room."""
        self._memory.count(size - self.size)
        self.size = size

    def release(self) -> None:
        """Gives the memory back; further calls have no effect."""
        self.resize(0)


class ClientMemory:
    """Counts the bytes held for clients, refuses what exceeds the limit, and evicts slow clients to make room.

    Limits follow the memory and the descriptors that the settings state for a process. `held_bytes` is what is held
    now, `peak_bytes` the most that was held, `refused` and `evicted` count reservations and clients.
    """

    def __init__(
        self,
        memory_mb: int = 512,
        cache_mb: int = 64,
        max_descriptors: int = 4096,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        available_bytes = (memory_mb - PROCESS_MB - cache_mb) * BYTES_PER_MB
        self.limit_bytes = max(MIN_LIMIT_BYTES, int(available_bytes * LIMIT_FRACTION))
        by_memory = int(self.limit_bytes * CONNECTION_FRACTION) // CONNECTION_BYTES
        by_descriptors = int((max_descriptors - FILE_DESCRIPTORS) * CLIENT_DESCRIPTOR_FRACTION)
        self.max_connections = max(MIN_CONNECTIONS, min(by_memory, by_descriptors))
        self.max_peer_connections = max(MIN_CONNECTIONS, by_descriptors)
        self.max_side_connections = max(MIN_CONNECTIONS, int(self.max_connections * SIDE_SERVER_FRACTION))
        self.now_s = now_s
        self.held_bytes = 0
        self.peak_bytes = 0
        self._used_bytes = dict.fromkeys(MemoryUse, 0)
        self.refused = 0
        self.evicted = 0
        self._holders: dict[MemoryHolder, None] = {}
        self._relieved_at_s = float("-inf")

    @property
    def max_large_bytes(self) -> int:
        """The most that all reservations above SMALL_BYTES may fill."""
        return int(self.limit_bytes * LARGE_FRACTION)

    @property
    def max_request_bytes(self) -> int:
        """The most that a single request may reserve; two of them always have room beside ordinary requests."""
        return self.max_large_bytes // 2

    def add_holder(self, holder: MemoryHolder) -> None:
        """Adds a client that may be evicted."""
        self._holders[holder] = None

    def remove_holder(self, holder: MemoryHolder) -> None:
        """Removes a client that is gone."""
        self._holders.pop(holder, None)

    def count(self, size: int) -> None:
        """Counts bytes that are held from now on, or given back if `size` is negative."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def make_room(self, size: int, total: int) -> bool:
        """Returns whether `size` more bytes fit for a reservation that then has `total` bytes; may evict clients."""
        limit = self.limit_bytes if total <= SMALL_BYTES else self.max_large_bytes
        if self.held_bytes + size > limit:
            self._relieve()
        if self.held_bytes + size > limit:
            self.refused += 1
            return False
        return True

    def is_full(self) -> bool:
        """Returns whether no more bytes fit; may evict clients."""
        if self.held_bytes >= self.limit_bytes:
            self._relieve()
        return self.held_bytes >= self.limit_bytes

    def count_use(self, use: MemoryUse, size: int) -> None:
        """Counts bytes that are kept for longer than a request, or given back if `size` is negative."""
        self._used_bytes[use] += size
        self.count(size)

    def has_room_for(self, use: MemoryUse, size: int) -> bool:
        """Returns whether `size` more bytes are within the limit of a use."""
        return self._used_bytes[use] + size <= self.limit_bytes * USE_FRACTIONS[use]

    def _relieve(self) -> None:
        """Evicts slow clients, those who came first first, until enough is free."""
        now_s = self.now_s()
        if now_s - self._relieved_at_s < RELIEF_INTERVAL_S:
            return
        self._relieved_at_s = now_s
        slow = [holder for holder in self._holders if holder.is_slow(now_s)]
        for holder in slow:
            if self.held_bytes <= self.limit_bytes * RELIEVED_FRACTION:
                return
            self.evict(holder)

    def evict(self, holder: MemoryHolder) -> None:
        """Evicts one client."""
        self.evicted += 1
        holder.evict()

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and the value of each metric, by name."""
        return {
            "client_memory_limit_bytes": ("Limit of the memory held for clients", self.limit_bytes),
            "client_memory_bytes": ("Memory held for clients", self.held_bytes),
            "client_memory_peak_bytes": ("The most memory held for clients since the start", self.peak_bytes),
            "client_memory_refused": ("Reservations of memory that were refused", self.refused),
            "client_memory_evicted": ("Clients evicted for memory or connections", self.evicted),
            "client_connections_limit": ("Limit of the connections of clients", self.max_connections),
            **{f"client_memory_{use}_bytes": (USE_DESCRIPTIONS[use], size) for use, size in self._used_bytes.items()},
        }
