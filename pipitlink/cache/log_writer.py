"""Copies committed bytes of a log from its leaseholder into the cache."""

from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..replicated_log.leaseholder import Leaseholder
from ..timers import ms, spawn
from ..wire.cache_pb2 import Lengths
from .chunks import CHUNK, chunk_key

if TYPE_CHECKING:
    from .cache import Cache

__all__ = ["LogCacheWriter"]

RETRY_INTERVAL = ms(250)


class LogCacheWriter:
    """Copies a log's committed bytes into the caches while this process holds its lease.

    It works behind the log, and writes a chunk always from its start.
    """

    def __init__(self, ctx: Context, cache: "Cache", path: str, leaseholder: Leaseholder) -> None:
        self._ctx = ctx
        self._cache = cache
        self._path = path
        self._leaseholder = leaseholder
        self._started_to = 0
        self._cached = 0
        self._last_writes: dict[int, defer.Deferred[None]] = {}
        self._written: dict[int, int] = {}
        leaseholder.watch(self._log_changed)
        self._log_changed(leaseholder)

    def _log_changed(self, leaseholder: Leaseholder) -> None:
        if leaseholder.committed > self._started_to and not leaseholder.lost:
            start, self._started_to = self._started_to, leaseholder.committed
            spawn(self._copy(start, self._started_to)).addErrback(self._log_failure)

    def _log_failure(self, failure: Failure) -> None:
        self._ctx.logger.failure("cache_write_failed", failure.value, path=self._path)

    async def _copy(self, start: int, end: int) -> None:
        first, last = start // CHUNK, (end - 1) // CHUNK
        writes = [self._write(number) for number in range(first + 1, last)]
        writes += [self._write_in_turn(number) for number in {first, last}]
        durable = Lengths(path=self._path, durable=end, writer=self._ctx.node)
        spawn(self._publish(durable)).addErrback(self._log_failure)
        await defer.gatherResults([spawn(write) for write in writes])
        await self._raise_cached_length()

    async def _write_in_turn(self, number: int) -> None:
        """Writes a chunk that is not complete after the writes before, so that its prefix is always right."""
        done: defer.Deferred[None] = defer.Deferred()
        before = self._last_writes.get(number)
        self._last_writes[number] = done
        try:
            if before is not None:
                await before
            await self._write(number)
        finally:
            if self._last_writes.get(number) is done:
                del self._last_writes[number]
            done.callback(None)

    async def _write(self, number: int) -> None:
        """Writes a chunk as far as it is committed, again and again until a majority of its replicas has it."""
        while not self._leaseholder.lost:
            end = min((number + 1) * CHUNK, self._leaseholder.committed)
            data = bytes(self._leaseholder.data[number * CHUNK : end])
            if self._written.get(number, 0) >= len(data):
                return
            key = chunk_key(self._path, number)
            if key in await self._cache.put_chunks({key: data}):
                self._written[number] = max(self._written.get(number, 0), len(data))
                return
            await self._ctx.timers.sleep(RETRY_INTERVAL)

    async def _raise_cached_length(self) -> None:
        """Publishes the length up to which every chunk is written, where that has grown."""
        cached = self._written_length()
        if cached <= self._cached:
            return
        self._cached = cached
        for number in [number for number in self._written if (number + 1) * CHUNK <= cached]:
            del self._written[number]
        durable = self._leaseholder.committed
        await self._publish(Lengths(path=self._path, durable=durable, cached=cached, writer=self._ctx.node))

    def _written_length(self) -> int:
        """The length up to which every chunk is written."""
        length = self._cached
        while True:
            number = length // CHUNK
            written_to = number * CHUNK + self._written.get(number, 0)
            if written_to <= length:
                return length
            length = written_to
            if length < (number + 1) * CHUNK:
                return length

    async def _publish(self, lengths: Lengths) -> None:
        await self._cache.put_lengths({self._path: lengths})
