"""The bodies of a batch are not cached; readers get them from the storage nodes, and everything else from the cache."""

import unittest

from pipitlink.cache.chunks import CHUNK_BYTES, chunk_key
from pipitlink.cache.uncached_records import UncachedRecords
from pipitlink.disk import encode_frame
from pipitlink.router.batch_progress import batch_log

from .batch_builders import BatchClients, start_simulation


class Scanning(unittest.TestCase):
    def test_only_committed_records_with_the_prefix_are_covered(self):
        records = [encode_frame(payload) for payload in (b"h" * 10, b"b" * 9000, b"o" * 5000, b"b" * 100)]
        data = bytearray(b"".join(records))
        start, end = len(records[0]), len(records[0]) + len(records[1])
        uncached = UncachedRecords(b"b")
        uncached.scan(data, end - 1)
        self.assertFalse(uncached.covers(start, end))
        for committed in (end, end + 3, len(data)):
            uncached.scan(data, committed)
            self.assertTrue(uncached.covers(start, end))
        self.assertFalse(uncached.covers(start - 1, end))
        self.assertFalse(uncached.covers(start, end + 1))
        self.assertFalse(uncached.covers(end, end + 10))

    def test_without_a_prefix_all_records_are_cached(self):
        uncached = UncachedRecords(b"")
        uncached.scan(bytearray(encode_frame(b"")), 8)
        self.assertFalse(uncached.covers(0, 8))


class Bodies(unittest.TestCase):
    def test_chunks_of_bodies_are_not_cached_but_bodies_and_outputs_can_be_read(self):
        simulation = start_simulation(3, gateways=4)
        self.addCleanup(simulation.end)
        clients = BatchClients(simulation)
        owner, reader = simulation.role("gateway")[:2]
        name = clients.new_batch(items=20, path="/bulk/" + "x" * 2000)
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        simulation.run(1)
        leaseholder_data = 20 * 2000
        cached = [
            number
            for number in range(leaseholder_data // CHUNK_BYTES)
            if any(
                gateway.ctx.cache.chunks.get(chunk_key(batch_log(name), number))
                for gateway in simulation.role("gateway")
            )
        ]
        self.assertEqual(cached, [0], "only the first chunk of the log is cached; chunks within the bodies are not")
        self.assertEqual(simulation.do(clients.read_body(name, 19, reader)), 200)
        status, _ = simulation.do(clients.read(name, 0, 0, reader))
        self.assertEqual((status, clients.violations), (200, []))


if __name__ == "__main__":
    unittest.main()
