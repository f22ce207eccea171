"""Estimates of what the engines have in their prefix caches, within the memory for clients."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from ..client_memory import ClientMemory, MemoryUse
from .call import PromptPart

__all__ = ["PrefixCache", "PrefixCacheMemory"]

PART_BYTES = 256
"""What a cached part takes beside the bytes of its id, which a client chooses."""

KEPT_FRACTION = 0.875
"""The part of the largest cache that is kept when there is no memory for all of them."""


class PrefixCacheMemory:
    """Counts the bytes of all prefix caches of a gateway, and shrinks the largest ones beyond the limit."""

    def __init__(self, memory: ClientMemory) -> None:
        self._memory = memory
        self._caches: set[PrefixCache] = set()

    def create(self, max_tokens: int) -> PrefixCache:
        """Returns an empty cache; its owner closes it at its end."""
        cache = PrefixCache(max_tokens, self)
        self._caches.add(cache)
        return cache

    def count(self, size: int) -> None:
        """Counts bytes of a cache, or gives them back if `size` is negative."""
        self._memory.count_use(MemoryUse.PROMPT_PARTS, size)

    def enforce_limit(self) -> None:
        """Shrinks the largest caches until all of them are within the limit."""
        while not self._memory.has_room_for(MemoryUse.PROMPT_PARTS, 0):
            largest = max(self._caches, key=lambda cache: cache.size)
            largest.shrink(int(largest.size * KEPT_FRACTION))

    def remove(self, cache: PrefixCache) -> None:
        """Forgets a cache that was closed."""
        self._caches.discard(cache)


class PrefixCache:
    """An estimate of the prompt parts that an engine has cached, based on the requests of this gateway.

    The least recently used parts are evicted once the total exceeds `max_tokens`, or `memory` has no room. `size` is in
    bytes.
    """

    def __init__(self, max_tokens: int, memory: PrefixCacheMemory) -> None:
        self._max_tokens = max_tokens
        self._memory = memory
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        self._is_closed = False
        self.size = 0

    def missing_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns the number of prompt tokens that need prefill: all from the first part that is not cached."""
        for position, (part_id, _) in enumerate(parts):
            if part_id not in self._parts:
                return sum(tokens for _, tokens in parts[position:])
        return 0

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Records that a prompt with these parts is sent to the engine; has no effect once the cache is closed."""
        if self._is_closed:
            return
        added = 0
        for part_id, tokens in parts:
            if part_id in self._parts:
                self._parts.move_to_end(part_id)
            else:
                self._parts[part_id] = tokens
                self._tokens += tokens
                added += PART_BYTES + len(part_id)
        self._resize(added)
        while self._tokens > self._max_tokens and self._parts:
            self._evict_oldest()
        self._memory.enforce_limit()

    def shrink(self, size: int) -> None:
        """Evicts parts until at most `size` bytes are left."""
        while self.size > size:
            self._evict_oldest()

    def close(self) -> None:
        """Evicts everything; nothing is recorded any more."""
        self._is_closed = True
        self.shrink(0)
        self._memory.remove(self)

    def _evict_oldest(self) -> None:
        part_id, tokens = self._parts.popitem(last=False)
        self._tokens -= tokens
        self._resize(-PART_BYTES - len(part_id))

    def _resize(self, change: int) -> None:
        self.size += change
        self._memory.count(change)
