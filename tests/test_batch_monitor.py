"""The states of batches and items that their owner reports, and the detection of those that make no progress."""

import unittest

from pipitlink.router.batch_adopter import UNOWNED_TIMEOUT
from pipitlink.router.batch_monitor import STALL_TIMEOUT, ItemStage, WaitReason

from .batch_builders import BatchClients, start_simulation

STALL_S = STALL_TIMEOUT.total_seconds()
CHECK_S = 1.2


class ReportedStates(unittest.TestCase):
    def setUp(self):
        self.simulation = start_simulation(4)
        self.addCleanup(self.simulation.end)
        self.simulation.break_probability = 0
        self.clients = BatchClients(self.simulation)

    def submit(self, **args):
        """Submits a batch and returns its owner and the batch there."""
        name = self.clients.new_batch(**args)
        self.assertEqual(self.simulation.do(self.clients.submit_batch(name)), 202)
        owner = next(node for node in self.simulation.role("gateway") if name in node.part.batches)
        return owner, owner.part.batches[name]

    def statuses(self, owner, batch):
        return owner.part.service.monitor.item_statuses(batch)

    def stalls(self, field):
        return [line for line in self.simulation.sink.lines if "event=item_stalled" in line and field in line]

    def test_items_without_an_event_are_logged_once_and_counted(self):
        owner, batch = self.submit(items=2, path="/bulk/mute")
        self.simulation.run(STALL_S + CHECK_S)
        stages = [status.stage for status in self.statuses(owner, batch)]
        self.assertEqual(stages, [ItemStage.STARTING] * 2)
        self.assertEqual(len(self.stalls("state=starting")), 2)
        self.simulation.run(2 * STALL_S)
        self.assertEqual(len(self.stalls("state=starting")), 2)
        metrics = owner.part.service.metrics()
        self.assertEqual([metrics[name][1] for name in ("batch_items_stalled", "batch_item_stalls")], [2, 2])
        self.assertIn("starting=2", owner.part.service.monitor.reported_state()[batch.id])

    def test_a_stall_is_not_logged_again_when_engines_have_room_again(self):
        owner, _ = self.submit(items=2, path="/bulk/mute")
        self.simulation.run(STALL_S + CHECK_S)
        for slots in (0, 6, 0, 6):
            owner.part.slots = slots
            self.simulation.run(CHECK_S)
        self.assertEqual(len(self.stalls("state=starting")), 2)

    def test_items_that_engines_have_no_room_for_are_not_stalled(self):
        for node in self.simulation.role("gateway"):
            node.part.slots = 0
        owner, batch = self.submit(items=2)
        self.simulation.run(STALL_S + CHECK_S)
        self.assertEqual(self.stalls("state="), [])
        reasons = {status.reason for status in self.statuses(owner, batch) if status.stage == ItemStage.WAITING}
        self.assertEqual(reasons, {WaitReason.NO_CAPACITY})

    def test_an_item_in_no_state_is_logged_at_once(self):
        _, batch = self.submit(items=9)
        self.simulation.until(lambda: batch.waiting, 2, "an item waits")
        batch.waiting.clear()
        self.simulation.run(CHECK_S)
        self.assertTrue(self.stalls("state=untracked"))

    def test_a_batch_without_owner_is_logged_once_and_counted(self):
        owner, _ = self.submit(items=9, path="/bulk/mute")
        owner.kill()
        others = self.simulation.role("gateway", alive=True)
        for node in others:
            node.part.service.adopter._acquire = self._never_acquire
        self.simulation.run(UNOWNED_TIMEOUT.total_seconds() + 8)
        lines = [line for line in self.simulation.sink.lines if "event=batch_unowned" in line]
        self.assertEqual(len(lines), len(others))
        self.assertEqual({node.part.service.metrics()["batches_unowned"][1] for node in others}, {1})

    async def _never_acquire(self, batch_id):
        """Stands for a gateway that cannot acquire the lease."""


if __name__ == "__main__":
    unittest.main()
