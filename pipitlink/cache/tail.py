"""Reads one log record by record, from the cache where possible and from the storage nodes otherwise."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NoReturn

from ..context import Context
from ..disk import FRAME_HEADER_BYTES, decode_frames
from ..errors import CorruptData
from ..timers import ms, secs
from .chunks import CHUNK_BYTES, chunk_key
from .hedged_read import HedgedRead

if TYPE_CHECKING:
    from .cache import Cache

__all__ = ["Tail"]

MAX_READ_BYTES = 64 * CHUNK_BYTES
MAX_RECORD_BYTES = 72 * 1024 * 1024
DEFAULT_MAX_LAG = secs(1)
# While the cache is expected to catch up, a reader postpones reads from the durable log. It waits at most its maximum
# lag divided by POSTPONE_IDLE_DIVISOR while the cache makes no progress, and divided by POSTPONE_DIVISOR in total.
POSTPONE_IDLE_DIVISOR = 5
POSTPONE_DIVISOR = 2


class Tail:
    """Reads one log in order.

    Each chunk is read from a random replica, if that lacks it from two of three replicas, and finally from the durable
    log. `position` is the offset up to which the log has been read, `lengths` has the known lengths of the log.
    """

    def __init__(self, ctx: Context, cache: Cache, path: str, max_lag: timedelta | None) -> None:
        self._ctx = ctx
        self._cache = cache
        self.path = path
        self._max_lag = max_lag or DEFAULT_MAX_LAG
        self.lengths = cache.poller.add_reader(path)
        self.position = 0
        self._partial = bytearray()
        self._bytes_per_s = ctx.settings.reader_kb_s * 1024
        self._next_read_at = ctx.timers.now()
        self._is_paused = False

    def close(self) -> None:
        """Stops reading."""
        self.pause()

    def pause(self) -> None:
        """Stops polling the log's lengths until `resume`."""
        if not self._is_paused:
            self._is_paused = True
            self._cache.poller.remove_reader(self.path)

    def resume(self) -> None:
        """Resumes polling the log's lengths after `pause`."""
        if self._is_paused:
            self._is_paused = False
            before, self.lengths = self.lengths, self._cache.poller.add_reader(self.path)
            self._cache.poller.restore_lengths(self.lengths, before)

    def readable_end(self) -> int:
        """Returns the offset up to which the log can be read now, at least `position`."""
        if self.lengths.cached > self.position:
            return self.lengths.cached
        if self.lengths.durable > self.position and not self._is_durable_read_postponed():
            return self.lengths.durable
        return self.position

    def missing_bytes(self) -> int:
        """Returns how many bytes of the next record are still to be read.

        Until its size is known, this is the number up to and including the first byte of its payload.
        """
        if len(self._partial) <= FRAME_HEADER_BYTES:
            return FRAME_HEADER_BYTES + 1 - len(self._partial)
        return max(1, FRAME_HEADER_BYTES + self._next_payload_size() - len(self._partial))

    def at_record_boundary(self) -> bool:
        """Returns whether the durable log has been read completely, and ends with a complete record."""
        return not self._partial and self.position >= self.lengths.durable

    def skip_record(self, prefix: bytes) -> tuple[int, int] | None:
        """Skips the next record where its payload begins with `prefix` and all of it is durable.

        Returns its start and end in the log, or None where it was not skipped.
        """
        if len(self._partial) < FRAME_HEADER_BYTES + len(prefix) or not self._partial.startswith(
            prefix, FRAME_HEADER_BYTES
        ):
            return None
        start = self.position - len(self._partial)
        end = start + FRAME_HEADER_BYTES + self._next_payload_size()
        if not self.position < end <= self.lengths.durable:
            return None
        self._partial.clear()
        self.position = end
        return start, end

    async def read_record(self, start: int, end: int) -> bytes:
        """Returns the payload of a record that was skipped, from the storage nodes, since the cache may lack it.

        Raises CorruptData where there is no such record.
        """
        await self._throttle(end - start)
        data = await self._cache.read_durable(self.path, start, end - start, self.lengths.durable_epoch)
        for _, payload, frame_end in decode_frames(data):
            if frame_end == end - start:
                return bytes(payload)
        raise CorruptData(f"{self.path}: there is no record at {start}")

    async def read_records(self, max_bytes: int = MAX_READ_BYTES) -> list[tuple[int, bytes]]:
        """Returns the next complete records as (position, payload); an empty list where there is nothing new yet.

        Raises CorruptData if the bytes that follow are no records. The next call then reads them again; whatever was
        returned before may be wrong as well.
        """
        end = self.readable_end()
        if end <= self.position:
            return []
        end = min(end, self.position + min(max_bytes, MAX_READ_BYTES))
        await self._throttle(end - self.position)
        data = await self.read(self.position, end)
        self._partial += data
        self.position = end
        return self._extract_records()

    async def wait_for_growth(self) -> None:
        """Waits until there may be more to read."""
        settings = self._ctx.settings
        if self.lengths.durable > self.position and self.lengths.cached <= self.position:
            with self._cache.poller.polling_fast(self.lengths):
                await self._cache.poller.wait_for_growth(ms(settings.poll_ms))
        else:
            await self._cache.poller.wait_for_growth(ms(settings.durable_poll_ms))

    async def read(self, start: int, end: int) -> bytes:
        """Returns the log's bytes from `start` to `end`, which must be durable."""
        numbers = range(start // CHUNK_BYTES, (end - 1) // CHUNK_BYTES + 1)
        keys = {number: chunk_key(self.path, number) for number in numbers}
        needed = {number: min(CHUNK_BYTES, end - number * CHUNK_BYTES) for number in numbers}
        found = await self._read_cached(keys, needed)
        missing = [number for number in numbers if len(found.get(keys[number], b"")) < needed[number]]
        durable = await self._read_missing(missing, needed) if missing else {}
        data = bytearray()
        for number in numbers:
            data += durable[number] if number in durable else found[keys[number]][: needed[number]]
        return bytes(data[start - numbers[0] * CHUNK_BYTES :])

    async def _read_cached(self, keys: dict[int, bytes], needed: dict[int, int]) -> dict[bytes, bytes]:
        """Returns what the cache has of the chunks, by key; it may be less than is needed."""
        counts = self._cache.counts
        cached = {
            keys[number]: size for number, size in needed.items() if number * CHUNK_BYTES + size <= self.lengths.cached
        }
        found = await HedgedRead(self._ctx, self._cache, cached).run()
        short = [key for key, size in cached.items() if len(found.get(key, b"")) < size]
        counts["relaxed"] += len(cached) - len(short)
        if short:
            consistent = await self._cache.get_consistent(short)
            for key in short:
                found[key] = max(found.get(key, b""), consistent.get(key, b""), key=len)
        counts["consistent"] += sum(len(found[key]) >= cached[key] for key in short)
        return found

    async def _read_missing(self, missing: list[int], needed: dict[int, int]) -> dict[int, bytes]:
        """Reads the chunks that the cache lacks, by number, in one read from the first of them to the last."""
        start = missing[0] * CHUNK_BYTES
        end = missing[-1] * CHUNK_BYTES + needed[missing[-1]]
        self._cache.counts["durable"] += len(missing)
        data = await self._cache.read_durable(self.path, start, end - start, self.lengths.durable_epoch)
        return {
            number: data[number * CHUNK_BYTES - start : number * CHUNK_BYTES - start + needed[number]]
            for number in missing
        }

    def _extract_records(self) -> list[tuple[int, bytes]]:
        """Removes the complete records from the bytes that were read, and returns them."""
        base = self.position - len(self._partial)
        records = []
        end = 0
        for start, payload, frame_end in decode_frames(bytes(self._partial)):
            records.append((base + start, payload))
            end = frame_end
        remaining = self._partial[end:]
        if _is_corrupt(remaining):
            self._raise_corrupt()
        self._partial = remaining
        return records

    def _raise_corrupt(self) -> NoReturn:
        """Drops the bytes that no record was returned from, so that they are read again, and raises CorruptData."""
        self.position -= len(self._partial)
        self._partial.clear()
        raise CorruptData(f"{self.path}: there are bytes after {self.position} that are no record")

    def check_end(self) -> None:
        """Raises CorruptData if the log has ended and was read completely, but not up to the end of a record."""
        if self._partial and self.lengths.final and self.position >= self.lengths.durable:
            self._raise_corrupt()

    def _next_payload_size(self) -> int:
        return _payload_size(self._partial)

    def _is_durable_read_postponed(self) -> bool:
        """Returns whether the cache is likely to have the next bytes soon, well within the reader's maximum lag."""
        now = self._ctx.timers.now()
        uncached_since = self.lengths.uncached_since(now)
        idle = now - max(uncached_since, self.lengths.cached_at)
        max_idle = min(ms(self._ctx.settings.postpone_ms), self._max_lag / POSTPONE_IDLE_DIVISOR)
        return idle < max_idle and now - uncached_since < self._max_lag / POSTPONE_DIVISOR

    async def _throttle(self, size: int) -> None:
        """Waits until bytes may be read under the rate limit of a reader."""
        now = self._ctx.timers.now()
        if self._next_read_at > now:
            await self._ctx.timers.sleep(self._next_read_at - now)
        self._next_read_at = max(self._next_read_at, now) + timedelta(seconds=size / self._bytes_per_s)


def _payload_size(frame: bytearray) -> int:
    return int.from_bytes(frame[:4], "big")


def _is_corrupt(undecoded: bytearray) -> bool:
    """Returns whether bytes that follow the last complete record are not the beginning of another one."""
    if len(undecoded) < FRAME_HEADER_BYTES:
        return False
    frame_bytes = FRAME_HEADER_BYTES + _payload_size(undecoded)
    return frame_bytes > MAX_RECORD_BYTES or frame_bytes <= len(undecoded)
