"""The caches: the order of chunk writes, the sources of reads, and correct reads when the caches are lost."""

import unittest

from twisted.internet import defer
from twisted.internet.task import Clock

from pipitlink.cache.chunks import CHUNK_BYTES, chunk_key
from pipitlink.cache.log_writer import MAX_WRITES_PER_TURN, WRITE_DELAY, LogCacheWriter
from pipitlink.cache.stores import DataStore, LengthStore
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import YIELD_DELAY, Timers, ms, secs, spawn
from pipitlink.wire.cache_pb2 import Lengths
from testbed.simulator.simulation import Simulation


class _FakeLog:
    def __init__(self):
        self.data, self.epoch, self.committed, self.lost = bytearray(), 1, 0, ""
        self._callback = None

    def watch(self, callback):
        self._callback = callback

    def grow(self, n: int):
        start = len(self.data)
        self.data += bytes((start + index) % 251 for index in range(n))
        self.committed = len(self.data)
        self._callback(self)


class _FakeCache:
    """Holds back each chunk write until the test completes it."""

    def __init__(self):
        self.waiting: list[tuple[dict, defer.Deferred]] = []
        self.cached = self.durable = 0

    def store_chunks(self, chunks):
        written = defer.Deferred()
        self.waiting.append((chunks, written))
        return written

    def complete_write(self, index: int, is_stored: bool = True):
        chunks, written = self.waiting.pop(index)
        written.callback(set(chunks) if is_stored else set())

    async def store_lengths(self, lengths):
        for one in lengths.values():
            assert one.cached >= self.cached or one.cached == 0, "the cached length decreased"
            self.cached = max(self.cached, one.cached)
            self.durable = max(self.durable, one.durable)


class _FakeContext:
    def __init__(self):
        self.clock = Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)
        self.node = "me"
        self.logger = StructuredLogger(self)

    def log(self, *args):
        pass


class ChunkOrder(unittest.TestCase):
    def setUp(self):
        self.ctx, self.cache, self.log = _FakeContext(), _FakeCache(), _FakeLog()
        self.writer = LogCacheWriter(self.ctx, self.cache, "log", self.log)

    def grow(self, n):
        """Commits n more bytes, and advances the clock until their write to the cache starts."""
        self.log.grow(n)
        self.ctx.clock.advance(WRITE_DELAY.total_seconds())

    def number(self, index):
        chunks, _ = self.cache.waiting[index]
        return next(n for n in range(64) if chunk_key("log", n) in chunks)

    def test_every_write_starts_at_the_start_of_its_chunk(self):
        for n in (100, 5000, 9000):
            self.grow(n)
            while self.cache.waiting:
                chunks, _ = self.cache.waiting[0]
                n = self.number(0)
                data = chunks[chunk_key("log", n)]
                self.assertEqual(data, bytes(self.log.data[n * CHUNK_BYTES : n * CHUNK_BYTES + len(data)]))
                self.cache.complete_write(0)
        self.assertEqual(self.cache.cached, 14100)

    def test_writes_of_a_partial_chunk_are_serialized(self):
        self.grow(100)
        self.grow(100)
        self.grow(100)
        self.assertEqual(len(self.cache.waiting), 1)
        self.cache.complete_write(0)
        self.assertEqual(len(self.cache.waiting), 1)
        self.assertEqual(len(next(iter(self.cache.waiting[0][0].values()))), 300)
        self.cache.complete_write(0)
        self.assertEqual((self.cache.waiting, self.cache.cached), ([], 300))

    def test_the_cached_length_waits_for_every_chunk_below_it(self):
        self.grow(5 * CHUNK_BYTES + 10)
        self.assertEqual(len(self.cache.waiting), 6)
        self.cache.waiting.sort(key=lambda w: -len(next(iter(w[0].values()))))
        order = [self.number(index) for index in range(6)]
        lowest = order.index(0)
        for index in reversed([index for index in range(6) if index != lowest]):
            self.cache.complete_write(index)
            self.assertEqual(self.cache.cached, 0)
        self.cache.complete_write(0)
        self.assertEqual((self.cache.cached, self.cache.durable), (5 * CHUNK_BYTES + 10, 5 * CHUNK_BYTES + 10))

    def test_a_write_that_too_few_replicas_stored_is_retried(self):
        self.grow(10)
        self.cache.complete_write(0, is_stored=False)
        self.assertEqual(self.cache.cached, 0)
        self.ctx.clock.advance(1)
        self.cache.complete_write(0)
        self.assertEqual(self.cache.cached, 10)

    def test_a_write_is_delayed_after_a_commit_and_includes_later_commits(self):
        for _ in range(3):
            self.log.grow(100)
            self.assertEqual(self.cache.waiting, [])
        self.ctx.clock.advance(WRITE_DELAY.total_seconds())
        self.assertEqual([len(data) for chunks, _ in self.cache.waiting for data in chunks.values()], [300])

    def test_the_writes_of_a_long_record_are_spread_over_several_turns_of_the_reactor(self):
        self.grow(20 * CHUNK_BYTES)
        begun = [len(self.cache.waiting)]
        while len(self.cache.waiting) < 20:
            self.ctx.clock.advance(YIELD_DELAY.total_seconds())
            begun.append(len(self.cache.waiting))
        self.assertLessEqual(max(b - a for a, b in zip([0, *begun], begun, strict=False)), MAX_WRITES_PER_TURN)


class Stores(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)

    def test_chunks_only_grow_and_are_evicted_by_age_or_size(self):
        store = DataStore(self.timers, secs(10), 30)
        store.store(b"a", b"12345")
        store.store(b"a", b"123")
        self.assertEqual(store.get(b"a"), b"12345")
        store.store(b"b", b"x" * 28)
        self.assertEqual((store.get(b"a"), store.size), (b"", 28))
        self.clock.advance(11)
        self.assertEqual((store.get(b"b"), store.size), (b"", 0))

    def test_lengths_only_grow(self):
        store = LengthStore(self.timers, secs(10))
        store.merge(Lengths(path="p", durable=9, cached=5))
        store.merge(Lengths(path="p", durable=7, cached=6))
        self.assertEqual((store.get("p").durable, store.get("p").cached), (9, 6))


class Readers(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(4, controllers=3, storage_nodes=3, gateways=5, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.writer, *self.others = self.simulation.role("gateway")

    def write(self, records):
        ctx = self.writer.ctx

        async def run():
            leaseholder = ctx.replicated_log.leaseholders.get("results/r")
            if leaseholder is None:
                leaseholder = await ctx.replicated_log.acquire("results/r")
                ctx.cache.start_log_writer("results/r", leaseholder)
            for r in records:
                await leaseholder.append([r])

        self.simulation.do(run())

    def read(self, ctx, n):
        tail = ctx.cache.tail("results/r")
        got = []

        async def run():
            while len(got) < n:
                if not (more := await tail.read_records()):
                    await tail.wait_for_growth()
                got.extend(body for _, body in more)

        started_at = self.simulation.clock.seconds()
        self.simulation.do(run(), 5)
        tail.close()
        return got, self.simulation.clock.seconds() - started_at

    def test_reads_are_served_by_the_caches_within_two_polls(self):
        records = [f"{n}".encode() * 700 for n in range(40)]
        self.write(records)
        self.simulation.run(0.5)
        ctx = self.others[0].ctx
        got, duration_s = self.read(ctx, 40)
        self.assertEqual(got, records)
        self.assertEqual((ctx.cache.counts["durable"], ctx.cache.counts["relaxed"] > 10), (0, True))
        self.assertLess(duration_s, 0.3)

    def test_without_any_cache_reads_are_slower_but_correct(self):
        records = [f"{n}".encode() * 700 for n in range(40)]
        self.write(records)
        self.simulation.run(0.5)
        self.writer.freeze()
        for a in self.others:
            a.ctx.cache.chunks._chunks.clear()
            a.ctx.cache.lengths._lengths.clear()
        ctx = self.others[0].ctx
        got, duration_s = self.read(ctx, 40)
        self.assertEqual(got, records)
        self.assertGreater(ctx.cache.counts["durable"], 10)
        self.assertLess(duration_s, 1.0)

    def test_missing_chunks_are_read_in_one_span_and_a_lost_replica_causes_no_durable_read(self):
        records = [f"{n}".encode() * 700 for n in range(40)]
        self.write(records)
        self.simulation.run(0.5)
        ctx = self.others[0].ctx
        self.others[1].kill()
        got, _ = self.read(ctx, 40)
        self.assertEqual((got, ctx.cache.counts["durable"]), (records, 0))
        for a in (self.writer, *(o for o in self.others if o.alive)):
            for n in (2, 5):
                a.ctx.cache.chunks._chunks.pop(chunk_key("results/r", n), None)
        before = ctx.cache.counts["durable_reads"]
        got, _ = self.read(ctx, 40)
        self.assertEqual((got, ctx.cache.counts["durable_reads"] - before), (records, 1))
        tails = [ctx.cache.tail("results/r") for _ in range(3)]
        self.simulation.run(0.5)
        before = ctx.cache.counts["durable_reads"]
        reads = [spawn(t.read(0, t.lengths.cached)) for t in tails]
        got = self.simulation.do(defer.gatherResults(reads))
        self.assertEqual(
            (len(set(got)), ctx.cache.counts["durable_reads"] - before), (1, 1), "concurrent readers share one read"
        )

    def test_a_postponed_durable_read_ends_well_within_the_maximum_lag(self):
        ctx = self.others[0].ctx
        tail = ctx.cache.tail("results/r")
        self.simulation.cut([self.writer.name], [a.name for a in self.others])
        self.write([b"one"])
        started_at = self.simulation.clock.seconds()

        async def run():
            while not await tail.read_records():
                await tail.wait_for_growth()

        self.simulation.do(run(), 3)
        self.assertLess(self.simulation.clock.seconds() - started_at, 0.9)
        self.assertLess(ms(ctx.settings.postpone_ms), secs(1) / 2)
