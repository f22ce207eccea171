"""The memory of logs whose batches are closed, at gateways of the models interface."""

import unittest
from types import SimpleNamespace

from pipitlink.client_memory import ClientMemory
from pipitlink.gateway.batch_log_memory import BatchLogMemory
from pipitlink.gateway.open_batches import OpenBatches
from pipitlink.wire.lots_pb2 import Item, Lot

SPEC = Lot(items=[Item(prompt="p" * 1000)])


class LogMemory(unittest.TestCase):
    def setUp(self):
        self.memory = ClientMemory(64, 0)
        self.leaseholders = {}
        self.open_batches = OpenBatches(self.memory)
        ctx = SimpleNamespace(client_memory=self.memory, replicated_log=SimpleNamespace(leaseholders=self.leaseholders))
        self.log_memory = BatchLogMemory(ctx, self.open_batches)
        self.freed = 0
        self.log_memory.free_logs = self.note_freed

    def note_freed(self):
        self.freed += 1

    def hold(self, log, fraction):
        """Lets this gateway write a log that takes a part of the memory for clients."""
        self.leaseholders[log] = SimpleNamespace(data=bytes(int(self.memory.limit_bytes * fraction)))

    def test_logs_of_closed_batches_leave_no_room_for_further_ones_until_they_end(self):
        self.hold("lots/g0.1", 0.3)
        self.assertTrue(self.log_memory.has_room_for(SPEC))
        self.hold("lots/g0.2", 0.2)
        self.assertFalse(self.log_memory.has_room_for(SPEC))
        self.assertEqual(self.freed, 1)
        del self.leaseholders["lots/g0.1"]
        self.assertTrue(self.log_memory.has_room_for(SPEC))

    def test_logs_with_keys_bound_only_batches_with_keys(self):
        self.hold("lots/keyed3.20000", 0.24)
        self.assertTrue(self.log_memory.has_room_for_keyed(SPEC))
        self.hold("lots/keyed4.20000", 0.01)
        self.assertFalse(self.log_memory.has_room_for_keyed(SPEC))
        self.assertTrue(self.log_memory.has_room_for(SPEC))

    def test_logs_of_results_do_not_count(self):
        self.hold("results/g0.1.0", 0.9)
        self.assertTrue(self.log_memory.has_room_for(SPEC))


if __name__ == "__main__":
    unittest.main()
