"""Follows one log record by record, from the cache where it can and from the storage nodes otherwise."""

from datetime import timedelta

from twisted.internet import defer

from ..disk import FRAME_HEADER_BYTES, decode_frames
from ..errors import CorruptData, WireError
from ..timers import ms, secs, spawn
from .chunks import CHUNK, chunk_key

__all__ = ["Tail"]

BULK = 64


class Tail:
    """Reads one log in order: chunks from a random replica, then from two of three, then the durable log."""

    def __init__(self, ctx, cache, path: str, limit: timedelta | None):
        self._ctx = ctx
        self._cache = cache
        self.path = path
        self._limit = limit or secs(1)
        self.seen = cache.poller.join(path)
        self.position = 0
        self._bytes = bytearray()
        self._rate = ctx.settings.reader_kb_s * 1024
        self._free_at = ctx.timers.now()
        self._resting = False

    def close(self):
        self.rest()

    def rest(self):
        """Lengths are not polled any more until the tail is read on."""
        if not self._resting:
            self._resting = True
            self._cache.poller.leave(self.path)

    def resume(self):
        if self._resting:
            self._resting = False
            before, self.seen = self.seen, self._cache.poller.join(self.path)
            self._cache.poller.recall(self.seen, before)

    def _postponed(self) -> bool:
        """A durable read waits while the cache follows, for a small share of the time that the reader has."""
        now, s = self._ctx.timers.now(), self.seen
        since = s.ahead_since(now)
        still = now - max(since, s.cached_at)
        return still < min(ms(self._ctx.settings.postpone_ms), self._limit / 5) and now - since < self._limit / 2

    def goal(self) -> int:
        if self.seen.cached > self.position:
            return self.seen.cached
        if self.seen.durable > self.position and not self._postponed():
            return self.seen.durable
        return self.position

    def lack(self) -> int:
        """How many bytes the next record lacks, or its frame's header and its payload's first byte."""
        if len(self._bytes) <= FRAME_HEADER_BYTES:
            return FRAME_HEADER_BYTES + 1 - len(self._bytes)
        return max(1, FRAME_HEADER_BYTES + int.from_bytes(self._bytes[:4], "big") - len(self._bytes))

    def between(self) -> bool:
        """All that is durable was read, and ends with a whole record."""
        return not self._bytes and self.position >= self.seen.durable

    def skip(self, first: bytes) -> tuple[int, int] | None:
        """Passes over the rest of the next record where its payload begins so and all of it is durable; its span."""
        if len(self._bytes) < FRAME_HEADER_BYTES + len(first) or not self._bytes.startswith(first, FRAME_HEADER_BYTES):
            return None
        start = self.position - len(self._bytes)
        end = start + FRAME_HEADER_BYTES + int.from_bytes(self._bytes[:4], "big")
        if not self.position < end <= self.seen.durable:
            return None
        self._bytes.clear()
        self.position = end
        return start, end

    async def record(self, start: int, end: int) -> bytes:
        """The payload of a record that was passed over."""
        await self._keep_rate(end - start)
        for _, body, at in decode_frames(await self.read(start, end)):
            if at == end - start:
                return body
        raise CorruptData(f"{self.path}: no record stands at {start}")

    async def more(self, most: int = BULK * CHUNK) -> list[tuple[int, bytes]]:
        """The next whole records as (position, payload); empty when there is nothing new yet."""
        goal = self.goal()
        if goal <= self.position:
            return []
        goal = min(goal, self.position + min(most, BULK * CHUNK))
        await self._keep_rate(goal - self.position)
        data = await self.read(self.position, goal)
        self._bytes += data
        self.position = goal
        out = []
        base = self.position - len(self._bytes)
        end = 0
        for at, body, end in decode_frames(bytes(self._bytes)):
            out.append((base + at, body))
        del self._bytes[:end]
        if self._bytes and not out and len(self._bytes) > 72 * 1024 * 1024:
            raise CorruptData(f"{self.path}: no record ends after {base}")
        return out

    async def wait(self):
        """Until there may be more to read."""
        if self.seen.durable > self.position and self.seen.cached <= self.position:
            with self._cache.poller.hot(self.seen):
                await self._cache.poller.wait_for_growth(ms(self._ctx.settings.poll_ms))
        else:
            await self._cache.poller.wait_for_growth(ms(self._ctx.settings.durable_poll_ms))

    async def _keep_rate(self, size: int):
        now = self._ctx.timers.now()
        if self._free_at > now:
            await self._ctx.timers.sleep(self._free_at - now)
        self._free_at = max(self._free_at, now) + timedelta(seconds=size / self._rate)

    async def read(self, start: int, end: int) -> bytes:
        numbers = range(start // CHUNK, (end - 1) // CHUNK + 1)
        keys = {n: chunk_key(self.path, n) for n in numbers}
        need = {n: min(CHUNK, end - n * CHUNK) for n in numbers}
        cached_need = {n: w for n, w in need.items() if n * CHUNK + w <= self.seen.cached}
        have = await self._relaxed({keys[n]: w for n, w in cached_need.items()})
        short = [keys[n] for n, w in cached_need.items() if len(have.get(keys[n], b"")) < w]
        self._cache.counts["relaxed"] += len(cached_need) - len(short)
        if short:
            again = await self._cache.get_consistent(short)
            for k in short:
                have[k] = max(have.get(k, b""), again.get(k, b""), key=len)
        missing = [n for n in numbers if len(have.get(keys[n], b"")) < need[n]]
        self._cache.counts["consistent"] += sum(1 for k in short if k not in {keys[n] for n in missing})
        span, span_start = b"", 0
        if missing:
            span_start = missing[0] * CHUNK
            span_end = missing[-1] * CHUNK + need[missing[-1]]
            self._cache.counts["durable"] += len(missing)
            span = await self._cache.read_durable(self.path, span_start, span_end - span_start)
        out = bytearray()
        for n in numbers:
            at = n * CHUNK
            data = span[at - span_start : at - span_start + need[n]] if n in missing else have[keys[n]][: need[n]]
            out += data
        return bytes(out[start - numbers[0] * CHUNK :])

    async def _relaxed(self, needs: dict[bytes, int]) -> dict[bytes, bytes]:
        """Each chunk from one random replica, hedged with another after a short delay."""
        ring = self._cache.ring()
        first: dict[str, list[bytes]] = {}
        second: dict[str, list[bytes]] = {}
        for k in needs:
            replicas = list(ring.replicas(k))
            if not replicas:
                continue
            self._ctx.rng.shuffle(replicas)
            first.setdefault(replicas[0], []).append(k)
            second.setdefault(replicas[-1], []).append(k)
        have: dict[bytes, bytes] = {}
        done = defer.Deferred()
        waiting = len(first)

        async def one(node, keys):
            nonlocal waiting
            try:
                for k, d in (await self._cache.get_chunks(node, keys)).items():
                    have[k] = max(have.get(k, b""), d, key=len)
            except WireError:
                pass
            waiting -= 1
            if not done.called and (waiting == 0 or all(len(have.get(k, b"")) >= w for k, w in needs.items())):
                done.callback(None)

        def hedge():
            nonlocal waiting
            self._cache.counts["hedged"] += 1
            late = {n: [k for k in ks if len(have.get(k, b"")) < needs[k]] for n, ks in second.items()}
            late = {n: ks for n, ks in late.items() if ks}
            waiting += len(late)
            for n, ks in late.items():
                spawn(one(n, ks))

        if not first:
            return have
        beat = self._ctx.timers.call_later(ms(self._ctx.settings.hedge_ms), hedge)
        for n, ks in first.items():
            spawn(one(n, ks))
        await done
        if beat.active():
            beat.cancel()
        return have
