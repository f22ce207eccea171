"""Readers of outputs pass over the bodies of a batch's items: how few bytes they read, and that nothing is lost."""

import base64
import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

from twisted.internet.task import Clock

from pipitlink.cache.chunks import CHUNK
from pipitlink.cache.poller import KnownLengths
from pipitlink.cache.tail import Tail
from pipitlink.disk import encode_frame
from pipitlink.errors import StorageFull
from pipitlink.router.batch_follower import BatchFollower
from pipitlink.router.batch_progress import batch_head, batch_log
from pipitlink.timers import Timers, ms, spawn
from pipitlink.wire.lots_pb2 import Batch, BatchItem, Ended, LogRecord, Output

from .batch_builders import Callers, route, start_simulation

BODY = 5000
CHUNK_OVERHEAD = 64
"""What the message around a chunk takes, at most."""


class SimulatedHeads(unittest.TestCase):
    def simulation(self, seed=1, **args):
        simulation = start_simulation(seed, **args)
        simulation.breaks = 0
        self.addCleanup(simulation.end)
        self.watch_reads()
        return simulation, Callers(simulation)

    def watch_reads(self):
        """No read of a tail may pass the length that is recorded for its store."""
        read, self.reads = Tail.read, []

        async def watched(tail, start, end):
            self.reads.append((tail.path, start, end, tail.lengths.durable))
            return await read(tail, start, end)

        patch = mock.patch.object(Tail, "read", watched)
        patch.start()
        self.addCleanup(patch.stop)
        self.addCleanup(lambda: self.assertEqual([r for r in self.reads if not 0 <= r[1] < r[2] <= r[3]], []))

    def large(self, c, items=40, name=None, size=BODY, pad=0):
        name = c.lot(items, name=name)
        for i in c.items[name]:
            i["id"] += "x" * pad
            i["body"] = base64.b64encode(c.simulation.rng.randbytes(size)).decode()
        return name

    def batch(self, c, name):
        items = [
            BatchItem(id=i["id"], path=i["path"], body=base64.b64decode(i["body"]), tokens=i["tokens"])
            for i in c.items[name]
        ]
        return Batch(id=name, host="h", path="/bulk/", route="bulk", taken_ms=1, items=items)

    def count(self, gateway):
        """Bytes of chunks and of spans that this gateway is given from now on."""
        got = []
        call = gateway.ctx.rpc.call

        async def counted(address, method, ask, kind, limit, node=""):
            r = await call(address, method, ask, kind, limit, node=node)
            if method in ("cache.get", "replicated_log.read"):
                got.append(len(r.SerializeToString()))
            return r

        gateway.ctx.rpc.call = counted
        return got

    def owner(self, simulation, name):
        return next(a for a in simulation.role("gateway") if name in a.part.batches)

    def held(self, simulation, name, *groups):
        """A log that the first gateway holds and does nothing with."""
        gateway = simulation.role("gateway")[0]
        for a in simulation.role("gateway"):
            a.part.service.adopter.adopting.add(name)
        h = simulation.do(gateway.ctx.replicated_log.acquire(batch_log(name)))
        for records in groups:
            simulation.do(h.append([r.SerializeToString() for r in records]))
        return h

    def test_outputs_are_read_with_less_than_a_tenth_of_the_bytes(self):
        for seed, pad, size in ((1, 0, BODY), (2, 30, BODY), (3, 110, 4 * BODY)):
            with self.subTest(seed=seed, pad=pad):
                simulation, c = self.simulation(seed)
                name = self.large(c, pad=pad, size=size)
                self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[0])), 202)
                simulation.until(lambda: c.whole(name), 30, "all is listed")
                simulation.until(lambda: self.is_cached(simulation, name), 1, "all is cached")
                for a in simulation.role("gateway")[1:]:
                    self.assertLess(self.read_anew(simulation, c, name, a) * 10, 40 * size)
                self.assertEqual(c.wrong, [])

    def test_a_reader_ahead_of_the_cache_reads_one_chunk_more_at_most(self):
        for seed, pad in ((1, 0), (2, 30), (3, 110), (4, 60), (5, 10), (6, 90)):
            with self.subTest(seed=seed, pad=pad):
                simulation, c = self.simulation(seed)
                name = self.large(c, pad=pad)
                self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[0])), 202)
                simulation.until(lambda: c.whole(name), 30, "all is listed")
                ahead, behind = simulation.role("gateway")[1:]
                at_once = self.read_anew(simulation, c, name, ahead)
                simulation.until(lambda: self.is_cached(simulation, name), 1, "all is cached")
                self.assertLess(at_once, self.read_anew(simulation, c, name, behind) + CHUNK + CHUNK_OVERHEAD)

    def is_cached(self, simulation, name):
        """Whether the cache has all that is durable of a batch's log."""
        log = batch_log(name)
        lengths = simulation.do(simulation.role("gateway")[1].ctx.cache.get_lengths([log]))[log]
        return (
            lengths.cached == lengths.durable == len(self.owner(simulation, name).part.batches[name].leaseholder.data)
        )

    def read_anew(self, simulation, c, name, gateway):
        """Reads all outputs at a gateway that knows nothing of the batch; returns how many bytes it was given."""
        for b, r in list(gateway.part.service.followers.followers.items()):
            gateway.part.service.followers.drop(b, r)
        got = self.count(gateway)
        status, doc = simulation.do(c.read(name, gateway=gateway))
        self.assertEqual((status, len(doc["outputs"])), (200, 40))
        self.assertTrue(got)
        return sum(got)

    def test_outputs_are_read_as_cheaply_where_the_caches_know_nothing(self):
        simulation, c = self.simulation(4)
        name = self.large(c)
        self.assertEqual(simulation.do(c.hand_in(name)), 202)
        simulation.until(lambda: c.whole(name), 30, "all is listed")
        simulation.until(
            lambda: not any(a.part.batches for a in simulation.role("gateway")), 5, "its lease is given back"
        )
        for a in simulation.role("gateway"):
            a.kill()
        for a in simulation.role("gateway"):
            a.start()
        simulation.until(lambda: all(a.ctx.cluster.ready() for a in simulation.role("gateway")), 10, "ready")
        a = simulation.role("gateway")[1]
        got = self.count(a)
        status, doc = simulation.until(
            lambda: (r := simulation.do(c.read(name, gateway=a)))[0] == 200 and r, 10, "it is read"
        )
        self.assertEqual(len(doc["outputs"]), 40)
        self.assertLess(sum(got) * 10, 40 * BODY)
        self.assertEqual(simulation.do(c.body(name, 7, a)), 200)
        self.assertGreater(sum(got), 40 * BODY)
        self.assertEqual(c.wrong, [])

    def test_bodies_still_come_back_right_while_it_runs_and_after(self):
        simulation, c = self.simulation(5)
        simulation.step = ms(150)
        name = self.large(c)
        self.assertEqual(simulation.do(c.hand_in(name)), 202)
        others = [a for a in simulation.role("gateway") if a is not self.owner(simulation, name)]
        self.assertEqual(simulation.do(c.body(name, 3, others[0])), 200)
        self.assertEqual(simulation.do(c.read(name, gateway=others[1]))[0], 200)
        got = self.count(others[1])
        some = []
        for n in (0, 5, 39):
            spawn(c.body(name, n, others[1])).addBoth(some.append)
        simulation.until(lambda: len(some) == 3, 5, "all are answered")
        self.assertEqual(some, [200] * 3)
        self.assertLess(sum(got), 3 * 40 * BODY)
        simulation.until(lambda: c.whole(name), 60, "all is listed")
        for a in simulation.role("gateway"):
            self.assertEqual([simulation.do(c.body(name, n, a)) for n in (0, 20, 39)], [200] * 3)
            status, _, _ = simulation.do(c.ask(lambda p: p.service.reader.read_item(name, "nothing"), a))
            self.assertEqual(status, 404)
        self.assertEqual(c.wrong, [])

    def test_a_batch_handed_in_twice_is_compared_by_its_bodies(self):
        simulation, c = self.simulation(6)
        name = self.large(c)
        self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[0])), 202)
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.read(name, gateway=a))[0], 200)
            self.assertEqual(simulation.do(c.hand_in(name, a)), 202)
        kept = c.items[name][39]["body"]
        c.items[name][39]["body"] = base64.b64encode(b"\0" * BODY).decode()
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.hand_in(name, a)), 409)
        c.items[name][39]["body"] = kept
        simulation.until(lambda: c.whole(name), 30, "all is listed")
        self.assertEqual([simulation.do(c.hand_in(name, a)) for a in simulation.role("gateway")], [202] * 3)

    def test_a_reader_that_started_before_it_was_durable_reads_it_all(self):
        for seed in (7, 8):
            simulation, c = self.simulation(seed)
            name, said, stop = self.large(c), [], []

            async def read_on(a):
                while not stop:
                    said.append((await c.read(name, 0, 200, a))[0])
                    await simulation.timers().sleep(ms(3))

            for a in simulation.role("gateway")[1:]:
                spawn(read_on(a))
            simulation.run(0.1)
            self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[0])), 202)
            simulation.until(lambda: c.whole(name), 30, "all is listed")
            stop.append(1)
            self.assertLessEqual({404, 200}, set(said))
            self.assertLessEqual(set(said), {404, 503, 200})
            first = said.index(200)
            self.assertNotIn(404, said[first:])
            self.assertEqual(c.wrong, [])

    def test_a_head_alone_is_not_taken_and_its_reader_goes_on_once_it_is(self):
        simulation, c = self.simulation(9)
        name = self.large(c)
        batch = self.batch(c, name)
        h = self.held(simulation, name, [LogRecord(head=batch_head(batch))])
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.read(name, gateway=a))[0], 503)
            self.assertEqual(simulation.do(c.body(name, 0, a)), 503)
        simulation.do(h.append([LogRecord(batch=batch).SerializeToString()]))
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.read(name, gateway=a))[0], 200)
            self.assertEqual(simulation.do(c.body(name, 39, a)), 200)
        simulation.do(h.append([LogRecord(output=Output(item=2, state="abandoned")).SerializeToString()]))
        for a in simulation.role("gateway"):
            doc = simulation.do(c.read(name, gateway=a))[1]
            self.assertEqual((doc["total"], [o["id"] for o in doc["outputs"]]), (40, [c.items[name][2]["id"]]))

    def test_a_head_that_was_left_alone_gives_way_to_the_batch_that_is_taken(self):
        for items in (2, 40):
            with self.subTest(items=items):
                simulation, c = self.simulation(10)
                name = self.large(c, 3)
                h = self.held(simulation, name, [LogRecord(head=batch_head(self.batch(c, name)))])
                simulation.do(simulation.role("gateway")[0].ctx.replicated_log.release([h]))
                self.large(c, items, name=name, pad=5, size=BODY if items > 2 else 10)
                for a in simulation.role("gateway"):
                    a.part.service.adopter.adopting.discard(name)
                simulation.until(lambda: simulation.do(c.hand_in(name)) == 202, 20, "it is taken")
                simulation.until(lambda: c.whole(name), 30, "all is listed")
                simulation.run(0.5)
                for a in simulation.role("gateway"):
                    self.assertEqual(len(simulation.do(c.read(name, gateway=a))[1]["outputs"]), items)
                    self.assertEqual(simulation.do(c.body(name, 1, a)), 200)
                self.assertEqual(c.wrong, [])

    def test_a_head_that_was_left_alone_is_no_sign_that_a_refused_append_left(self):
        simulation, c = self.simulation(13)
        name = self.large(c, 3)
        h = self.held(simulation, name, [LogRecord(head=batch_head(self.batch(c, name)))])
        simulation.do(simulation.role("gateway")[0].ctx.replicated_log.release([h]))
        with mock.patch.object(type(h), "append", side_effect=StorageFull("full")) as append:
            said = [simulation.do(c.hand_in(name, a)) for a in simulation.role("gateway") * 3]
            self.assertTrue(append.called)
            self.assertEqual(set(said), {503})
        simulation.until(lambda: simulation.do(c.hand_in(name)) == 202, 20, "it is taken")
        simulation.until(lambda: c.whole(name), 30, "all is listed")
        self.assertEqual(c.wrong, [])

    def test_a_log_without_a_head_is_read_as_before(self):
        simulation, c = self.simulation(11)
        name = self.large(c)
        self.held(
            simulation,
            name,
            [LogRecord(batch=self.batch(c, name))],
            [LogRecord(output=Output(item=4, state="abandoned")), LogRecord(ended=Ended(reason="ended"))],
        )
        c.ended[name] = 0
        for a in simulation.role("gateway"):
            status, doc = simulation.do(c.read(name, gateway=a))
            self.assertEqual((status, [o["id"] for o in doc["outputs"]]), (200, [c.items[name][4]["id"]]))
            self.assertEqual(simulation.do(c.body(name, 0, a)), 200)
        self.assertEqual(c.wrong, [])

    def test_a_batch_that_nobody_told_of_is_counted_without_its_bodies(self):
        simulation, c = self.simulation(12, routes=[route(max_waiting_tokens=1000)])
        for a in simulation.role("gateway"):
            a.part.slots = 0
        name = self.large(c)
        self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[0])), 202)
        a = simulation.role("gateway")[1]
        got = self.count(a)
        waiting = a.part.service.waiting
        waiting.reported.pop(name, None)
        waiting.uncounted[name] = a.ctx.timers.now()
        simulation.do(a.part.service.counter.count(name))
        self.assertEqual((waiting.reported[name].route, waiting.reported[name].tokens), ("bulk", 400))
        self.assertLess(sum(got) * 10, 40 * BODY)


class _Growing:
    """A log whose lengths grow by steps each time that its reader waits."""

    def __init__(self, data: bytes, step: int, behind: int):
        self.data, self._step, self._behind = data, step, behind
        self.seen = KnownLengths("log")

    def join(self, path):
        return self.seen

    def leave(self, path):
        pass

    def grow(self):
        s = self.seen
        s.durable = min(len(self.data), s.durable + self._step)
        s.cached = max(s.cached, s.durable - self._behind if s.durable < len(self.data) else s.durable)

    async def wait_for_growth(self, limit):
        self.grow()


class HeadsAtAllEdges(unittest.TestCase):
    def read(self, data: bytes, step: int, behind: int = 0):
        log = _Growing(data, step, behind)
        clock = Clock()
        ctx = SimpleNamespace(
            timers=Timers(clock, seconds=clock.seconds),
            rng=Random(1),
            settings=SimpleNamespace(reader_kb_s=10**9, postpone_ms=0, poll_ms=1, durable_poll_ms=1),
        )
        cache = SimpleNamespace(poller=log, read_durable=lambda path, start, length: read(start, start + length))
        tail = Tail(ctx, cache, "log", None)
        self.got = 0

        async def read(start, end):
            self.assertTrue(0 <= start < end <= log.seen.durable, (start, end, log.seen.durable))
            self.got += end - start
            return data[start:end]

        tail.read = read
        r = BatchFollower(tail, ctx.timers.now())
        while log.seen.durable < len(data):
            log.grow()
            box = []
            spawn(r.catch_up(log.seen)).addBoth(box.append)
            self.assertEqual(box, [None])
            self.assertTrue(r.progress.head is not None or log.seen.durable < self.batch_end)
        self.assertEqual(tail.position, len(data))
        return r

    def log(self, pad: int, body: int, with_head=True):
        batch = Batch(id="b", items=[BatchItem(id="i" * pad, body=b"b" * body, tokens=3), BatchItem(id="j", tokens=4)])
        records = [LogRecord(head=batch_head(batch))] * with_head + [LogRecord(batch=batch)]
        self.batch_end = sum(len(encode_frame(r.SerializeToString())) for r in records)
        records += [LogRecord(output=Output(item=i, state="done", text=b"t" * 700)) for i in (1, 0)]
        records.append(LogRecord(ended=Ended(reason="done")))
        return batch, b"".join(encode_frame(r.SerializeToString()) for r in records)

    def check(self, pad, body, step, behind=0, with_head=True):
        batch, data = self.log(pad, body, with_head)
        r = self.read(data, step, behind)
        self.assertEqual([(i.id, i.tokens) for i in r.progress.head.items], [("i" * pad, 3), ("j", 4)])
        self.assertEqual([o.item for o in r.progress.outputs], [1, 0])
        self.assertTrue(r.has_ended())
        if r.progress.batch is None:
            self.assertLess(self.got, len(data) - body + 2 * CHUNK)
            box = []
            spawn(r.read_bodies()).addBoth(box.append)
            self.assertEqual(box, [None])
        self.assertEqual(r.progress.batch, batch)
        return r

    def test_the_head_may_end_anywhere_in_a_chunk(self):
        for pad in range(CHUNK - 60, CHUNK + 12):
            for body in (0, 30, 3 * CHUNK):
                self.check(pad, body, 10**6)
        for pad in (10, 3 * CHUNK, 100 * CHUNK):
            self.check(pad, 50 * CHUNK, 10**6)

    def test_lengths_may_grow_by_any_steps(self):
        for step in (1, 7, 900, CHUNK, 5001, 30_000):
            for behind in (0, 2500):
                for pad in (10, CHUNK - 30):
                    self.check(pad, 2 * CHUNK, step, behind)
                    self.check(pad, 2 * CHUNK, step, behind, with_head=False)


if __name__ == "__main__":
    unittest.main()
