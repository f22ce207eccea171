"""Copies committed bytes of a log from its leaseholder into the cache."""

from twisted.internet import defer

from ..timers import ms, spawn
from ..wire.cache_pb2 import Lengths
from .chunks import CHUNK, chunk_key

__all__ = ["Shadow"]

RETRY = ms(250)


class Shadow:
    """Copies a held log's committed bytes into the caches, after the fact and always from a chunk's start."""

    def __init__(self, ctx, cache, path: str, held):
        self._ctx = ctx
        self._cache = cache
        self._path = path
        self._held = held
        self._seen = 0
        self._cached = 0
        self._after: dict[int, defer.Deferred] = {}
        self._written: dict[int, int] = {}
        held.watch(self._moved)
        self._moved(held)

    def _moved(self, held):
        if held.committed > self._seen and not held.lost:
            start, self._seen = self._seen, held.committed
            spawn(self._copy(start, self._seen)).addErrback(self._failed)

    def _failed(self, f):
        self._ctx.logger.failure("shadow_failed", f.value, path=self._path)

    async def _copy(self, start: int, end: int):
        first, last = start // CHUNK, (end - 1) // CHUNK
        works = [self._whole(n) for n in range(first + 1, last)]
        works += [self._after_others(n) for n in {first, last}]
        spawn(self._tell(Lengths(path=self._path, durable=end, writer=self._ctx.node))).addErrback(self._failed)
        await defer.gatherResults([spawn(w) for w in works])
        await self._raise()

    async def _whole(self, n: int):
        await self._write(n)

    async def _after_others(self, n: int):
        """Writes to one partial chunk wait for one another, so that its prefix is always right."""
        mine = defer.Deferred()
        before = self._after.get(n)
        self._after[n] = mine
        try:
            if before is not None:
                await before
            await self._write(n)
        finally:
            if self._after.get(n) is mine:
                del self._after[n]
            mine.callback(None)

    async def _write(self, n: int):
        while not self._held.lost:
            data = bytes(self._held.data[n * CHUNK : min((n + 1) * CHUNK, self._held.committed)])
            if self._written.get(n, 0) >= len(data):
                return
            key = chunk_key(self._path, n)
            if key in await self._cache.store_chunks({key: data}):
                self._written[n] = max(self._written.get(n, 0), len(data))
                return
            await self._ctx.timers.sleep(RETRY)

    async def _raise(self):
        """Raises the cached length to where every chunk below it is written."""
        at = self._cached
        while True:
            n = at // CHUNK
            have = n * CHUNK + self._written.get(n, 0)
            if have <= at:
                break
            at = have
            if have < (n + 1) * CHUNK:
                break
        if at > self._cached:
            self._cached = at
            for n in [n for n in self._written if (n + 1) * CHUNK <= at]:
                del self._written[n]
            await self._tell(Lengths(path=self._path, durable=self._held.committed, cached=at, writer=self._ctx.node))

    async def _tell(self, lengths: Lengths):
        await self._cache.store_lengths({self._path: lengths})
