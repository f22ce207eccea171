"""The in-memory stores that hold a gateway's replicas of cached chunks and lengths."""

from collections import OrderedDict
from datetime import timedelta

from ..wire.cache_pb2 import Chunk, ChunkKeys, Chunks, Lengths, LengthsList, Paths

__all__ = ["DataStore", "LengthStore"]


class DataStore:
    """One replica of the data cache: chunks by key, dropped by age or when full."""

    def __init__(self, timers, ttl: timedelta, capacity: int):
        self._timers = timers
        self._ttl = ttl
        self._capacity = capacity
        self._chunks: OrderedDict[bytes, tuple[bytes, timedelta]] = OrderedDict()
        self.size = 0

    def __len__(self):
        return len(self._chunks)

    def put(self, key: bytes, data: bytes):
        have, _ = self._chunks.pop(key, (b"", None))
        self.size -= len(have)
        data = max(have, data, key=len)
        self._chunks[key] = (data, self._timers.now() + self._ttl)
        self.size += len(data)
        while self._chunks and self.size > self._capacity:
            self._drop(next(iter(self._chunks)))

    def _drop(self, key: bytes):
        data, _ = self._chunks.pop(key)
        self.size -= len(data)

    def get(self, key: bytes) -> bytes:
        data, until = self._chunks.get(key, (b"", None))
        if until is not None and until < self._timers.now():
            self._drop(key)
            return b""
        return data

    async def put_all(self, node, ask: Chunks):
        for c in ask.chunks:
            self.put(c.key, c.data)

    async def get_all(self, node, ask: ChunkKeys):
        found = ((k, self.get(k)) for k in ask.keys)
        return Chunks(chunks=[Chunk(key=k, data=d) for k, d in found if d])


class LengthStore:
    """One replica of the metadata cache: durable and cached lengths that only grow, and a best-effort writer."""

    def __init__(self, timers, ttl: timedelta, capacity: int = 65536):
        self._timers = timers
        self._ttl = ttl
        self._capacity = capacity
        self._files: OrderedDict[str, tuple[Lengths, timedelta]] = OrderedDict()

    def __len__(self):
        return len(self._files)

    def merge(self, new: Lengths):
        have, _ = self._files.pop(new.path, (Lengths(path=new.path), None))
        have.durable = max(have.durable, new.durable)
        have.cached = max(have.cached, new.cached)
        if new.writer:
            have.writer = new.writer
        self._files[new.path] = (have, self._timers.now() + self._ttl)
        while len(self._files) > self._capacity:
            self._files.popitem(last=False)

    def get(self, path: str) -> Lengths:
        have, until = self._files.get(path, (Lengths(path=path), None))
        if until is not None and until < self._timers.now():
            del self._files[path]
            return Lengths(path=path)
        return have

    async def put_all(self, node, ask: LengthsList):
        for new in ask.lengths:
            self.merge(new)

    async def get_all(self, node, ask: Paths):
        return LengthsList(lengths=[self.get(p) for p in ask.paths])
