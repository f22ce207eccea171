"""The in-memory stores that hold a gateway's replicas of cached chunks and lengths."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta

import attrs

from ..replicated_log.commit_proof import CommittedEnd
from ..timers import Timers
from ..wire.cache_pb2 import Chunk, ChunkKeys, Chunks, Lengths, LengthsList, Paths

__all__ = ["DataStore", "LengthStore", "durable_end"]

MAX_LENGTHS = 65536


def durable_end(lengths: Lengths) -> CommittedEnd:
    """Returns the end of the durable bytes of a log, with the epoch under which they are known to be committed."""
    return CommittedEnd(lengths.durable, lengths.durable_epoch)


@attrs.frozen
class _StoredChunk:
    data: bytes
    expires_at: timedelta


@attrs.frozen
class _StoredLengths:
    lengths: Lengths
    expires_at: timedelta


class DataStore:
    """One replica of the data cache: chunks by key, evicted by age or when it is full. `size` is in bytes."""

    def __init__(self, timers: Timers, ttl: timedelta, capacity_bytes: int) -> None:
        self._timers = timers
        self._ttl = ttl
        self._capacity = capacity_bytes
        self._chunks: OrderedDict[bytes, _StoredChunk] = OrderedDict()
        self.size = 0

    def __len__(self) -> int:
        return len(self._chunks)

    def store(self, key: bytes, data: bytes) -> None:
        """Stores a chunk, unless the stored copy is longer; evicts the oldest chunks when the store is full."""
        stored = self._chunks.pop(key, None)
        if stored is not None:
            self.size -= len(stored.data)
            data = max(stored.data, data, key=len)
        self._chunks[key] = _StoredChunk(data, self._timers.now() + self._ttl)
        self.size += len(data)
        while self._chunks and self.size > self._capacity:
            self._drop(next(iter(self._chunks)))

    def get(self, key: bytes) -> bytes:
        """Returns a chunk, or b"" where it is not stored or has expired."""
        stored = self._chunks.get(key)
        if stored is None:
            return b""
        if stored.expires_at < self._timers.now():
            self._drop(key)
            return b""
        return stored.data

    async def store_all(self, _node: str, request: Chunks) -> None:
        """Handles a request to store chunks."""
        for chunk in request.chunks:
            self.store(chunk.key, chunk.data)

    async def get_all(self, _node: str, request: ChunkKeys) -> Chunks:
        """Handles a request for chunks; responds with those that are stored."""
        found = ((key, self.get(key)) for key in request.keys)
        return Chunks(chunks=[Chunk(key=key, data=data) for key, data in found if data])

    def _drop(self, key: bytes) -> None:
        self.size -= len(self._chunks.pop(key).data)


class LengthStore:
    """One replica of the metadata cache.

    It has the durable and cached lengths of logs, which only grow, and the last known writer of each log.
    """

    def __init__(self, timers: Timers, ttl: timedelta, capacity: int = MAX_LENGTHS) -> None:
        self._timers = timers
        self._ttl = ttl
        self._capacity = capacity
        self._lengths: OrderedDict[str, _StoredLengths] = OrderedDict()

    def __len__(self) -> int:
        return len(self._lengths)

    def merge(self, new: Lengths) -> None:
        """Raises the stored lengths of a log to those given; evicts the oldest entries when the store is full."""
        stored = self._lengths.pop(new.path, None)
        lengths = stored.lengths if stored is not None else Lengths(path=new.path)
        durable = durable_end(lengths).merge(durable_end(new))
        lengths.durable, lengths.durable_epoch = durable.length, durable.epoch
        lengths.cached = max(lengths.cached, new.cached)
        if new.writer:
            lengths.writer = new.writer
        self._lengths[new.path] = _StoredLengths(lengths, self._timers.now() + self._ttl)
        while len(self._lengths) > self._capacity:
            self._lengths.popitem(last=False)

    def get(self, path: str) -> Lengths:
        """Returns the lengths of a log; zeros where they are not stored or have expired."""
        stored = self._lengths.get(path)
        if stored is None:
            return Lengths(path=path)
        if stored.expires_at < self._timers.now():
            del self._lengths[path]
            return Lengths(path=path)
        return stored.lengths

    async def store_all(self, _node: str, request: LengthsList) -> None:
        """Handles a request to store lengths."""
        for new in request.lengths:
            self.merge(new)

    async def get_all(self, _node: str, request: Paths) -> LengthsList:
        """Handles a request for the lengths of logs; responds in the order of the request."""
        return LengthsList(lengths=[self.get(path) for path in request.paths])
