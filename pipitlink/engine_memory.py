"""The memory for what engines announce, which a node keeps until the announcements expire."""

from __future__ import annotations

from .client_memory import ClientMemory, MemoryUse
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

    def try_keep(self, update: EngineUpdate) -> bool:
        """Counts an announcement in place of the engine's earlier one, if there is room; returns whether there is."""
        size = ENGINE_BYTES + update.ByteSize()
        change = size - self._sizes.get(update.engine, 0)
        if change > 0 and not self._memory.has_room_for(MemoryUse.ENGINES, change):
            return False
        self._sizes[update.engine] = size
        self._memory.count_use(MemoryUse.ENGINES, change)
        return True

    def forget(self, name: str) -> None:
        """Gives back what an engine takes; has no effect if the engine is not kept."""
        self._memory.count_use(MemoryUse.ENGINES, -self._sizes.pop(name, 0))
