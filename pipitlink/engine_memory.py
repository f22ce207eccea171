"""The memory for what engines announce, which a node keeps until the announcements expire."""

from __future__ import annotations

from .client_memory import ClientMemory
from .wire.membership_pb2 import EngineUpdate

__all__ = ["MAX_ENGINE_NAME_LENGTH", "MAX_ENGINE_UPDATE_BYTES", "EngineMemory"]

MAX_ENGINE_NAME_LENGTH = 200
MAX_ENGINE_UPDATE_BYTES = 16_384
ENGINE_BYTES = 2048
"""What an engine takes at a node beside its announcement."""


class EngineMemory:
    """Counts the announcements that a node keeps in the memory for clients, up to a part of it."""

    def __init__(self, memory: ClientMemory) -> None:
        self._memory = memory
        self._sizes: dict[str, int] = {}
        self._total = 0

    def try_keep(self, update: EngineUpdate) -> bool:
        """Counts an announcement in place of the engine's earlier one, if there is room; returns whether there is."""
        size = ENGINE_BYTES + update.ByteSize()
        change = size - self._sizes.get(update.engine, 0)
        if change > 0 and self._total + change > self._memory.max_engine_bytes:
            return False
        self._sizes[update.engine] = size
        self._count(change)
        return True

    def forget(self, name: str) -> None:
        """Gives back what an engine takes; has no effect if the engine is not kept."""
        self._count(-self._sizes.pop(name, 0))

    def _count(self, change: int) -> None:
        self._total += change
        self._memory.count(change)
