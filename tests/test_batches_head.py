"""Readers of outputs skip the bodies of a batch's items: few bytes are read, and no output is lost."""

import base64
import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

from twisted.internet.task import Clock

from pipitlink.cache.chunks import CHUNK_BYTES
from pipitlink.cache.poller import KnownLengths
from pipitlink.cache.tail import Tail
from pipitlink.disk import encode_frame
from pipitlink.errors import StorageFull
from pipitlink.router.batch_follower import BatchFollower
from pipitlink.router.batch_progress import batch_head, batch_log
from pipitlink.timers import Timers, ms, spawn
from pipitlink.wire.lots_pb2 import Batch, BatchItem, Ended, LogRecord, Output

from .batch_builders import BatchClients, route, start_simulation

BODY_BYTES = 5000
MAX_CHUNK_OVERHEAD_BYTES = 64
"""The maximum size of the message that contains a chunk, without the chunk."""


class SimulatedHeads(unittest.TestCase):
    def simulation(self, seed=1, **args):
        simulation = start_simulation(seed, **args)
        simulation.break_probability = 0
        self.addCleanup(simulation.end)
        self.watch_reads()
        return simulation, BatchClients(simulation)

    def watch_reads(self):
        """Checks at the end of the test that no tail has read beyond the known durable length of its log."""
        read, self.reads = Tail.read, []

        async def watched(tail, start, end):
            self.reads.append((tail.path, start, end, tail.lengths.durable))
            return await read(tail, start, end)

        patch = mock.patch.object(Tail, "read", watched)
        patch.start()
        self.addCleanup(patch.stop)
        self.addCleanup(lambda: self.assertEqual([r for r in self.reads if not 0 <= r[1] < r[2] <= r[3]], []))

    def new_large_batch(self, clients, items=40, name=None, size=BODY_BYTES, pad=0):
        name = clients.new_batch(items, name=name)
        for i in clients.items[name]:
            i["id"] += "x" * pad
            i["body"] = base64.b64encode(clients.simulation.rng.randbytes(size)).decode()
        return name

    def batch(self, clients, name):
        items = [
            BatchItem(id=i["id"], path=i["path"], body=base64.b64decode(i["body"]), tokens=i["tokens"])
            for i in clients.items[name]
        ]
        return Batch(id=name, host="h", path="/bulk/", route="bulk", taken_ms=1, items=items)

    def count_read_bytes(self, gateway):
        """Returns a list that receives the sizes of the gateway's future responses with chunks and spans."""
        received = []
        call = gateway.ctx.rpc.call

        async def counting_call(address, method, request, kind, timeout, node=""):
            response = await call(address, method, request, kind, timeout, node=node)
            if method in ("cache.get", "replicated_log.read"):
                received.append(len(response.SerializeToString()))
            return response

        gateway.ctx.rpc.call = counting_call
        return received

    def owner(self, simulation, name):
        return next(node for node in simulation.role("gateway") if name in node.part.batches)

    def hold_log(self, simulation, name, *groups):
        """Appends records to a log whose lease the first gateway holds, without handling the batch; returns it."""
        gateway = simulation.role("gateway")[0]
        for node in simulation.role("gateway"):
            node.part.service.adopter.adopting.add(name)
        leaseholder = simulation.do(gateway.ctx.replicated_log.acquire(batch_log(name)))
        for records in groups:
            simulation.do(leaseholder.append([r.SerializeToString() for r in records]))
        return leaseholder

    def test_outputs_are_read_with_less_than_a_tenth_of_the_bytes_of_the_bodies(self):
        for seed, pad, size in ((1, 0, BODY_BYTES), (2, 30, BODY_BYTES), (3, 110, 4 * BODY_BYTES)):
            with self.subTest(seed=seed, pad=pad):
                simulation, clients = self.simulation(seed)
                name = self.new_large_batch(clients, pad=pad, size=size)
                self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[0])), 202)
                simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
                simulation.until(lambda: self.is_cached(simulation, name), 1, "all is cached")
                for node in simulation.role("gateway")[1:]:
                    self.assertLess(self.read_with_new_follower(simulation, clients, name, node) * 10, 40 * size)
                self.assertEqual(clients.violations, [])

    def test_a_reader_ahead_of_the_cache_reads_at_most_one_more_chunk(self):
        for seed, pad in ((1, 0), (2, 30), (3, 110), (4, 60), (5, 10), (6, 90)):
            with self.subTest(seed=seed, pad=pad):
                simulation, clients = self.simulation(seed)
                name = self.new_large_batch(clients, pad=pad)
                self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[0])), 202)
                simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
                ahead, behind = simulation.role("gateway")[1:]
                at_once = self.read_with_new_follower(simulation, clients, name, ahead)
                simulation.until(lambda: self.is_cached(simulation, name), 1, "all is cached")
                self.assertLess(
                    at_once,
                    self.read_with_new_follower(simulation, clients, name, behind)
                    + CHUNK_BYTES
                    + MAX_CHUNK_OVERHEAD_BYTES,
                )

    def is_cached(self, simulation, name):
        """Returns whether the cache has all durable bytes of a batch's log."""
        log = batch_log(name)
        lengths = simulation.do(simulation.role("gateway")[1].ctx.cache.get_lengths([log]))[log]
        return (
            lengths.cached == lengths.durable == len(self.owner(simulation, name).part.batches[name].leaseholder.data)
        )

    def read_with_new_follower(self, simulation, clients, name, gateway):
        """Reads all outputs at a gateway without a follower of the batch; returns how many bytes it received."""
        for batch_id, follower in list(gateway.part.service.followers.followers.items()):
            gateway.part.service.followers.drop(batch_id, follower)
        received = self.count_read_bytes(gateway)
        status, doc = simulation.do(clients.read(name, gateway=gateway))
        self.assertEqual((status, len(doc["outputs"])), (200, 40))
        self.assertTrue(received)
        return sum(received)

    def test_outputs_are_read_as_cheaply_with_empty_caches(self):
        simulation, clients = self.simulation(4)
        name = self.new_large_batch(clients)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        simulation.until(
            lambda: not any(node.part.batches for node in simulation.role("gateway")), 5, "its lease is released"
        )
        for node in simulation.role("gateway"):
            node.kill()
        for node in simulation.role("gateway"):
            node.start()
        simulation.until(lambda: all(node.ctx.cluster.ready() for node in simulation.role("gateway")), 10, "ready")
        node = simulation.role("gateway")[1]
        received = self.count_read_bytes(node)
        status, doc = simulation.until(
            lambda: (r := simulation.do(clients.read(name, gateway=node)))[0] == 200 and r, 10, "the batch can be read"
        )
        self.assertEqual(len(doc["outputs"]), 40)
        self.assertLess(sum(received) * 10, 40 * BODY_BYTES)
        self.assertEqual(simulation.do(clients.read_body(name, 7, node)), 200)
        self.assertGreater(sum(received), 40 * BODY_BYTES)
        self.assertEqual(clients.violations, [])

    def test_bodies_are_read_correctly_during_and_after_the_run(self):
        simulation, clients = self.simulation(5)
        simulation.event_interval = ms(150)
        name = self.new_large_batch(clients)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        others = [node for node in simulation.role("gateway") if node is not self.owner(simulation, name)]
        self.assertEqual(simulation.do(clients.read_body(name, 3, others[0])), 200)
        self.assertEqual(simulation.do(clients.read(name, gateway=others[1]))[0], 200)
        received = self.count_read_bytes(others[1])
        some = []
        for n in (0, 5, 39):
            spawn(clients.read_body(name, n, others[1])).addBoth(some.append)
        simulation.until(lambda: len(some) == 3, 5, "there is a response to each")
        self.assertEqual(some, [200] * 3)
        self.assertLess(sum(received), 3 * 40 * BODY_BYTES)
        simulation.until(lambda: clients.read_if_complete(name), 60, "all outputs are listed")
        for node in simulation.role("gateway"):
            self.assertEqual([simulation.do(clients.read_body(name, n, node)) for n in (0, 20, 39)], [200] * 3)
            status, _, _ = simulation.do(clients.call(lambda p: p.service.reader.read_item(name, "nothing"), node))
            self.assertEqual(status, 404)
        self.assertEqual(clients.violations, [])

    def test_a_batch_submitted_twice_is_compared_by_its_bodies(self):
        simulation, clients = self.simulation(6)
        name = self.new_large_batch(clients)
        self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[0])), 202)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.read(name, gateway=node))[0], 200)
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 202)
        original_body = clients.items[name][39]["body"]
        clients.items[name][39]["body"] = base64.b64encode(b"\0" * BODY_BYTES).decode()
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 409)
        clients.items[name][39]["body"] = original_body
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        self.assertEqual(
            [simulation.do(clients.submit_batch(name, node)) for node in simulation.role("gateway")], [202] * 3
        )

    def test_a_reader_that_starts_before_a_batch_is_durable_reads_all_of_it(self):
        for seed in (7, 8):
            simulation, clients = self.simulation(seed)
            name, statuses, stop = self.new_large_batch(clients), [], []

            async def read_on(node):
                while not stop:
                    statuses.append((await clients.read(name, 0, 200, node))[0])
                    await simulation.timers().sleep(ms(3))

            for node in simulation.role("gateway")[1:]:
                spawn(read_on(node))
            simulation.run(0.1)
            self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[0])), 202)
            simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
            stop.append(1)
            self.assertLessEqual({404, 200}, set(statuses))
            self.assertLessEqual(set(statuses), {404, 503, 200})
            first = statuses.index(200)
            self.assertNotIn(404, statuses[first:])
            self.assertEqual(clients.violations, [])

    def test_a_batch_with_only_a_head_cannot_be_read_until_it_is_durable(self):
        simulation, clients = self.simulation(9)
        name = self.new_large_batch(clients)
        batch = self.batch(clients, name)
        leaseholder = self.hold_log(simulation, name, [LogRecord(head=batch_head(batch))])
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.read(name, gateway=node))[0], 503)
            self.assertEqual(simulation.do(clients.read_body(name, 0, node)), 503)
        simulation.do(leaseholder.append([LogRecord(batch=batch).SerializeToString()]))
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.read(name, gateway=node))[0], 200)
            self.assertEqual(simulation.do(clients.read_body(name, 39, node)), 200)
        simulation.do(leaseholder.append([LogRecord(output=Output(item=2, state="abandoned")).SerializeToString()]))
        for node in simulation.role("gateway"):
            doc = simulation.do(clients.read(name, gateway=node))[1]
            self.assertEqual((doc["total"], [o["id"] for o in doc["outputs"]]), (40, [clients.items[name][2]["id"]]))

    def test_an_abandoned_head_is_superseded_by_the_accepted_batch(self):
        for items in (2, 40):
            with self.subTest(items=items):
                simulation, clients = self.simulation(10)
                name = self.new_large_batch(clients, 3)
                leaseholder = self.hold_log(simulation, name, [LogRecord(head=batch_head(self.batch(clients, name)))])
                simulation.do(simulation.role("gateway")[0].ctx.replicated_log.release([leaseholder]))
                self.new_large_batch(clients, items, name=name, pad=5, size=BODY_BYTES if items > 2 else 10)
                for node in simulation.role("gateway"):
                    node.part.service.adopter.adopting.discard(name)
                simulation.until(lambda: simulation.do(clients.submit_batch(name)) == 202, 20, "the batch is accepted")
                simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
                simulation.run(0.5)
                for node in simulation.role("gateway"):
                    self.assertEqual(len(simulation.do(clients.read(name, gateway=node))[1]["outputs"]), items)
                    self.assertEqual(simulation.do(clients.read_body(name, 1, node)), 200)
                self.assertEqual(clients.violations, [])

    def test_an_abandoned_head_does_not_make_a_refused_append_count_as_sent(self):
        simulation, clients = self.simulation(13)
        name = self.new_large_batch(clients, 3)
        leaseholder = self.hold_log(simulation, name, [LogRecord(head=batch_head(self.batch(clients, name)))])
        simulation.do(simulation.role("gateway")[0].ctx.replicated_log.release([leaseholder]))
        with mock.patch.object(type(leaseholder), "append", side_effect=StorageFull("full")) as append:
            statuses = [simulation.do(clients.submit_batch(name, node)) for node in simulation.role("gateway") * 3]
            self.assertTrue(append.called)
            self.assertEqual(set(statuses), {503})
        simulation.until(lambda: simulation.do(clients.submit_batch(name)) == 202, 20, "the batch is accepted")
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        self.assertEqual(clients.violations, [])

    def test_a_log_without_a_head_can_be_read(self):
        simulation, clients = self.simulation(11)
        name = self.new_large_batch(clients)
        self.hold_log(
            simulation,
            name,
            [LogRecord(batch=self.batch(clients, name))],
            [LogRecord(output=Output(item=4, state="abandoned")), LogRecord(ended=Ended(reason="ended"))],
        )
        clients.cancelled[name] = 0
        for node in simulation.role("gateway"):
            status, doc = simulation.do(clients.read(name, gateway=node))
            self.assertEqual((status, [o["id"] for o in doc["outputs"]]), (200, [clients.items[name][4]["id"]]))
            self.assertEqual(simulation.do(clients.read_body(name, 0, node)), 200)
        self.assertEqual(clients.violations, [])

    def test_an_unreported_batch_is_counted_without_reading_its_bodies(self):
        simulation, clients = self.simulation(12, routes=[route(max_waiting_tokens=1000)])
        for node in simulation.role("gateway"):
            node.part.slots = 0
        name = self.new_large_batch(clients)
        self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[0])), 202)
        node = simulation.role("gateway")[1]
        received = self.count_read_bytes(node)
        waiting = node.part.service.waiting
        waiting.reported.pop(name, None)
        waiting.uncounted[name] = node.ctx.timers.now()
        simulation.do(node.part.service.counter.count(name))
        self.assertEqual((waiting.reported[name].route, waiting.reported[name].tokens), ("bulk", 400))
        self.assertLess(sum(received) * 10, 40 * BODY_BYTES)


class _GrowingLog:
    """A log whose lengths grow by a step each time its reader waits."""

    def __init__(self, data: bytes, step: int, cache_lag: int):
        self.data, self._step, self._cache_lag = data, step, cache_lag
        self.known = KnownLengths("log")

    def add_reader(self, path):
        return self.known

    def remove_reader(self, path):
        pass

    def grow(self):
        known = self.known
        known.durable = min(len(self.data), known.durable + self._step)
        known.cached = max(
            known.cached, known.durable - self._cache_lag if known.durable < len(self.data) else known.durable
        )

    async def wait_for_growth(self, timeout):
        self.grow()


class HeadBoundaries(unittest.TestCase):
    def read(self, data: bytes, step: int, cache_lag: int = 0):
        log = _GrowingLog(data, step, cache_lag)
        clock = Clock()
        ctx = SimpleNamespace(
            timers=Timers(clock, seconds=clock.seconds),
            rng=Random(1),
            settings=SimpleNamespace(reader_kb_s=10**9, postpone_ms=0, poll_ms=1, durable_poll_ms=1),
        )
        cache = SimpleNamespace(poller=log, read_durable=lambda path, start, length, _: read(start, start + length))
        tail = Tail(ctx, cache, "log", None)
        self.bytes_read = 0

        async def read(start, end):
            self.assertTrue(0 <= start < end <= log.known.durable, (start, end, log.known.durable))
            self.bytes_read += end - start
            return data[start:end]

        tail.read = read
        follower = BatchFollower(tail, ctx.timers.now())
        while log.known.durable < len(data):
            log.grow()
            results = []
            spawn(follower.catch_up(log.known)).addBoth(results.append)
            self.assertEqual(results, [None])
            self.assertTrue(follower.progress.head is not None or log.known.durable < self.batch_end)
        self.assertEqual(tail.position, len(data))
        return follower

    def log(self, pad: int, body: int, with_head=True):
        batch = Batch(id="b", items=[BatchItem(id="i" * pad, body=b"b" * body, tokens=3), BatchItem(id="j", tokens=4)])
        records = [LogRecord(head=batch_head(batch))] * with_head + [LogRecord(batch=batch)]
        self.batch_end = sum(len(encode_frame(r.SerializeToString())) for r in records)
        records += [LogRecord(output=Output(item=i, state="done", text=b"t" * 700)) for i in (1, 0)]
        records.append(LogRecord(ended=Ended(reason="done")))
        return batch, b"".join(encode_frame(r.SerializeToString()) for r in records)

    def check(self, pad, body, step, cache_lag=0, with_head=True):
        batch, data = self.log(pad, body, with_head)
        follower = self.read(data, step, cache_lag)
        self.assertEqual([(i.id, i.tokens) for i in follower.progress.head.items], [("i" * pad, 3), ("j", 4)])
        self.assertEqual([o.item for o in follower.progress.outputs], [1, 0])
        self.assertTrue(follower.has_ended())
        if follower.progress.batch is None:
            self.assertLess(self.bytes_read, len(data) - body + 2 * CHUNK_BYTES)
            results = []
            spawn(follower.read_bodies()).addBoth(results.append)
            self.assertEqual(results, [None])
        self.assertEqual(follower.progress.batch, batch)
        return follower

    def test_the_head_may_end_anywhere_in_a_chunk(self):
        for pad in range(CHUNK_BYTES - 60, CHUNK_BYTES + 12):
            for body in (0, 30, 3 * CHUNK_BYTES):
                self.check(pad, body, 10**6)
        for pad in (10, 3 * CHUNK_BYTES, 100 * CHUNK_BYTES):
            self.check(pad, 50 * CHUNK_BYTES, 10**6)

    def test_lengths_may_grow_in_any_steps(self):
        for step in (1, 7, 900, CHUNK_BYTES, 5001, 30_000):
            for cache_lag in (0, 2500):
                for pad in (10, CHUNK_BYTES - 30):
                    self.check(pad, 2 * CHUNK_BYTES, step, cache_lag)
                    self.check(pad, 2 * CHUNK_BYTES, step, cache_lag, with_head=False)


if __name__ == "__main__":
    unittest.main()
