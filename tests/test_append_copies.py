"""Appends of large records on a writer's slow link, and what goes before the answer that waits for them."""

import unittest
from random import Random

from pipitlink.timers import spawn
from testbed.simulator.simulation import Simulation
from testbed.simulator.uplink import Uplink
from testbed.simulator.virtual_time import VirtualTime
from tests.batch_builders import Callers, start_simulation

LINK_BYTES_PER_S = 15_000_000 / 8
RECORD_BYTES = 190_000
"""A batch of 138 items of the users' second grown site."""

ROUND_TRIPS_S = 0.06
"""What the calls and syncs of one append take beside its bytes, at most."""


def seconds_for(copies, size=RECORD_BYTES):
    return copies * size / LINK_BYTES_PER_S + ROUND_TRIPS_S


class SharedUplink(unittest.TestCase):
    def test_receivers_share_the_rate_and_each_gets_its_messages_in_order(self):
        clock, arrived = VirtualTime(), []
        uplink, started_at = Uplink(clock, 100_000), clock.seconds()
        for receiver, size in (("a", 50_000), ("b", 50_000), ("a", 1_000)):
            uplink.send(
                receiver,
                size,
                lambda r=receiver, s=size: arrived.append((r, s, round(clock.seconds() - started_at, 1))),
            )
        for _ in range(200):
            clock.advance(0.01)
        self.assertEqual(arrived, [("a", 50_000, 1.0), ("b", 50_000, 1.0), ("a", 1_000, 1.0)])
        self.assertEqual(uplink.sent_bytes, 101_000)


class AppendCopies(unittest.TestCase):
    def setUp(self):
        self.simulation = simulation = Simulation(
            7,
            controllers=3,
            storage_nodes=6,
            gateways=1,
            placement_groups=2,
            settings={"machine_losses": 2},
        )
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(4)
        self.gateway = simulation.role("gateway")[0]
        self.gateway.uplink = Uplink(simulation.clock, LINK_BYTES_PER_S)
        self.record = Random(1).randbytes(RECORD_BYTES)

    def acquire(self, log="batch/x"):
        leaseholder = self.simulation.do(self.gateway.ctx.replicated_log.acquire(log))
        self.assertEqual(len(leaseholder.placement_group.all_nodes), 5)
        return leaseholder

    def append(self, leaseholder, record=None):
        """Appends a record; returns how many seconds it took."""
        started_at = self.simulation.clock.seconds()
        self.simulation.do(leaseholder.append([record or self.record]))
        return self.simulation.clock.seconds() - started_at

    def replicas(self, leaseholder):
        """The storage nodes that hold replicas of the log."""
        nodes = self.simulation.role("storage")
        return [node for node in nodes if node.node in leaseholder.placement_group.all_nodes]

    def complete(self, leaseholder):
        """The replicas that have all of the log, by the bytes on their disks."""
        found = []
        for node in self.replicas(leaseholder):
            store = node.part.log_store
            data = store.read_extents(store.extents(leaseholder.log, 0, len(leaseholder.data)))
            if data == bytes(leaseholder.data):
                found.append(node)
        return found

    def test_an_append_is_committed_in_the_time_of_one_copy(self):
        leaseholder = self.acquire()
        self.assertLess(self.append(leaseholder), seconds_for(1))

    def test_the_writer_sends_a_large_record_once_and_each_replica_has_it(self):
        leaseholder = self.acquire()
        before = self.gateway.uplink.sent_bytes
        self.append(leaseholder)
        self.simulation.until(lambda: len(self.complete(leaseholder)) == 5, 2, "all replicas have the record")
        self.assertLess(self.gateway.uplink.sent_bytes - before, 1.1 * RECORD_BYTES)


class Intake(unittest.TestCase):
    def test_a_large_batch_is_acknowledged_in_the_time_of_one_copy(self):
        simulation = start_simulation(5, gateways=2, settings={"machine_losses": 2})
        self.addCleanup(simulation.end)
        gateway = simulation.role("gateway")[0]
        callers = Callers(simulation)
        name = callers.lot(items=140, path="/bulk/" + "x" * 1_300)
        gateway.uplink = Uplink(simulation.clock, LINK_BYTES_PER_S)
        started_at, answers = simulation.clock.seconds(), []
        spawn(callers.hand_in(name, gateway)).addBoth(answers.append)
        simulation.until(lambda: answers, 5, "the batch is acknowledged")
        self.assertIn(name, callers.taken)
        self.assertLess(simulation.clock.seconds() - started_at, seconds_for(1, 140 * 1_400) + ROUND_TRIPS_S)

    def test_a_batch_is_acknowledged_before_its_items_are_started_and_its_log_is_cached(self):
        simulation = start_simulation(5, gateways=3)
        self.addCleanup(simulation.end)
        gateway = simulation.role("gateway")[0]
        gateway.part.places = 200
        callers = Callers(simulation)
        name = callers.lot(items=140, path="/bulk/" + "x" * 1_300)
        cache_writes = []
        simulation.watch_calls = lambda sender, method: method == "cache.put" and cache_writes.append(sender.name)
        at_answer = []

        async def submit():
            await callers.hand_in(name, gateway)
            at_answer.append((len(gateway.part.batches[name].running), len(cache_writes)))

        spawn(submit())
        simulation.until(lambda: at_answer, 5, "the batch is acknowledged")
        started, cached = at_answer[0]
        self.assertLessEqual(started, 4, "items that were started before the answer")
        self.assertEqual(cached, 0, "writes to the cache before the answer")
        simulation.until(lambda: len(gateway.part.batches[name].running) == 140, 2, "all items are started")
        simulation.until(lambda: cache_writes, 2, "the log is cached")


if __name__ == "__main__":
    unittest.main()
