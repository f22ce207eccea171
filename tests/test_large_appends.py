"""Appends of large records over a slow uplink of the writer, and when a batch is acknowledged."""

import unittest
from random import Random
from unittest import mock

from pipitlink.replicated_log.fetch_planner import MAX_FETCH_BYTES, MIN_FETCH_BYTES, FetchPlanner, FetchSource
from pipitlink.replicated_log.replica_progress import ReplicaProgress, TailPosition
from pipitlink.replicated_log.storage_client import StorageClient
from pipitlink.storage.log_store import LogStore
from pipitlink.timers import Timers, spawn
from pipitlink.wire.replicated_log_pb2 import LogState
from testbed.simulator.simulation import Simulation
from testbed.simulator.uplink import Uplink
from testbed.simulator.virtual_time import VirtualTime
from tests.batch_builders import BatchClients, start_simulation

LINK_BYTES_PER_S = 15_000_000 / 8
RECORD_BYTES = 190_000
"""The size of a batch of 138 items, as on a large user site."""

ROUND_TRIPS_S = 0.06
"""The maximum time that the calls and syncs of one append take, besides the transfer of its bytes."""

DIRECT_WRITE_ALLOWANCE_S = 0.15 + RECORD_BYTES / (1024 * 1024)
"""How long a direct write may take before another replica gets a direct write."""


def seconds_to_send(copies, size=RECORD_BYTES):
    return copies * size / LINK_BYTES_PER_S + ROUND_TRIPS_S


class SharedUplink(unittest.TestCase):
    def test_receivers_share_the_bandwidth_and_get_their_messages_in_order(self):
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


class LargeAppendCase(unittest.TestCase):
    """A gateway on a slow link, and six storage nodes, five of which have replicas of its log."""

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
        """Appends a record; returns the duration in seconds."""
        started_at = self.simulation.clock.seconds()
        self.simulation.do(leaseholder.append([record or self.record]))
        return self.simulation.clock.seconds() - started_at

    def replicas(self, leaseholder):
        """Returns the storage nodes that have replicas of the log."""
        nodes = self.simulation.role("storage")
        return [node for node in nodes if node.node in leaseholder.placement_group.all_nodes]

    def complete_replicas(self, leaseholder):
        """Returns the storage nodes that have the whole log on disk."""
        found = []
        for node in self.replicas(leaseholder):
            store = node.part.log_store
            data = store.read_extents(store.extents(leaseholder.log, 0, len(leaseholder.data)))
            if data == bytes(leaseholder.data):
                found.append(node)
        return found


class LargeAppends(LargeAppendCase):
    def test_an_append_takes_the_time_of_sending_the_record_once(self):
        leaseholder = self.acquire()
        self.assertLess(self.append(leaseholder), seconds_to_send(1))

    def test_the_writer_sends_a_large_record_once_and_all_replicas_get_it(self):
        leaseholder = self.acquire()
        before = self.gateway.uplink.sent_bytes
        self.append(leaseholder)
        self.simulation.until(lambda: len(self.complete_replicas(leaseholder)) == 5, 2, "all replicas have the record")
        self.assertLess(self.gateway.uplink.sent_bytes - before, 1.1 * RECORD_BYTES)


class FetchFaults(LargeAppendCase):
    def append_and_wait(self, leaseholder, without=()):
        """Appends a record and waits until all replicas but `without` have it; returns the seconds of the append."""
        seconds = self.append(leaseholder)
        expected = {node.name for node in self.replicas(leaseholder)} - set(without)
        self.simulation.until(
            lambda: expected <= {node.name for node in self.complete_replicas(leaseholder)},
            8,
            "the replicas are complete",
        )
        return seconds

    def test_if_any_replica_freezes_another_gets_the_direct_write_in_time(self):
        names = [node.name for node in self.replicas(self.acquire())]
        for number, name in enumerate(names):
            with self.subTest(name):
                leaseholder = self.acquire(f"batch/{number}")
                node = self.simulation.simulated_nodes[name]
                node.freeze()
                seconds = self.append_and_wait(leaseholder, without=(name,))
                node.thaw()
                self.assertLess(seconds, DIRECT_WRITE_ALLOWANCE_S + seconds_to_send(1))
                self.simulation.run(4)

    def test_all_replicas_get_the_record_if_any_one_is_cut_off_from_the_others(self):
        replicas = self.replicas(self.acquire())
        storage = {node.name for node in self.simulation.role("storage")}
        for number, node in enumerate(replicas):
            with self.subTest(node.name):
                leaseholder = self.acquire(f"batch/{number}")
                self.simulation.cut([node.name], storage - {node.name})
                self.append_and_wait(leaseholder)
                self.simulation.heal()
                self.simulation.run(4)

    def test_a_replica_of_an_earlier_release_gets_the_record_directly(self):
        for number, node in enumerate(self.replicas(self.acquire())):
            with self.subTest(node.name):
                leaseholder = self.acquire(f"batch/{number}")
                fetch = node.ctx.rpc._handlers.pop("replicated_log.fetch")
                self.append_and_wait(leaseholder)
                node.ctx.rpc._handlers["replicated_log.fetch"] = fetch

    def test_corrupted_bytes_read_from_a_source_replica_are_rejected(self):
        leaseholder = self.acquire()
        corrupted = []

        def read_corrupted(store, extents):
            data = b"".join(store.segments.read_bytes(extent.location, extent.length) for extent in extents)
            if len(corrupted) < 2:
                corrupted.append(len(data))
                return data[:-1] + bytes([data[-1] ^ 1])
            return data

        with mock.patch.object(LogStore, "read_extents", read_corrupted):
            self.simulation.do(leaseholder.append([self.record]))
            self.simulation.run(3)
        self.assertEqual(len(corrupted), 2)
        self.assertEqual(len(self.complete_replicas(leaseholder)), 5)

    def test_a_read_for_an_earlier_epoch_does_not_return_bytes_of_a_later_writer(self):
        leaseholder = self.acquire()
        self.append(leaseholder)
        self.simulation.do(self.gateway.ctx.replicated_log.release([leaseholder]))
        later = self.acquire()
        self.append(later, b"later")
        self.simulation.run(1)
        log = self.gateway.ctx.replicated_log
        node = self.replicas(later)[0].node

        def read(tail_epoch):
            return self.simulation.do(log.read_from(node, "batch/x", 0, 100, tail_epoch=tail_epoch))

        self.assertEqual(read(later.epoch), bytes(later.data[:100]))
        self.assertEqual(read(leaseholder.epoch), b"")
        with mock.patch.object(LogStore, "is_written_under", lambda *_: True):
            self.assertEqual(len(read(leaseholder.epoch)), 100, "without the guard, the bytes are returned")


class FetchPlanning(unittest.TestCase):
    """The choice of the replica to fetch from, by the known lengths of the others."""

    EPOCH = 5

    def source_for(self, state, start, recovered=TailPosition(), **lengths):  # noqa: B008 - immutable
        progress = ReplicaProgress()
        for node, length in lengths.items():
            progress.record(node, LogState(tail_epoch=self.EPOCH, length=length))
        planner = FetchPlanner(Timers(VirtualTime()), progress, lambda node: "")
        return planner.source_for("own", state, start, self.EPOCH, recovered, {"own"})

    def test_the_longest_replica_is_the_source_unless_it_is_excluded_or_has_too_few_more_bytes(self):
        state = LogState(tail_epoch=self.EPOCH, length=100)
        self.assertEqual(self.source_for(state, 100, a=9_000, b=8_000), FetchSource("a", 9_000))
        self.assertIsNone(self.source_for(state, 100, own=9_000))
        self.assertIsNone(self.source_for(state, 100, a=100 + MIN_FETCH_BYTES - 1))

    def test_the_size_of_one_fetch_is_limited(self):
        state = LogState(tail_epoch=self.EPOCH, length=100)
        found = self.source_for(state, 100, a=50_000_000)
        self.assertEqual(found, FetchSource("a", 100 + MAX_FETCH_BYTES))

    def test_a_replica_with_an_earlier_epoch_fetches_the_whole_recovered_tail_or_nothing(self):
        earlier = LogState(tail_epoch=3, length=100)
        recovered = TailPosition(4, MAX_FETCH_BYTES + 50)
        self.assertIsNotNone(self.source_for(earlier, 100, recovered, a=recovered.length))
        longer = TailPosition(4, MAX_FETCH_BYTES + 200)
        self.assertIsNone(self.source_for(earlier, 100, longer, a=longer.length))
        current = LogState(tail_epoch=self.EPOCH, length=100)
        self.assertIsNotNone(self.source_for(current, 100, longer, a=longer.length))


class SourcesInZone(unittest.TestCase):
    """Of the replicas in one zone, only one fetches from another zone, and the others fetch from it."""

    ZONES = {"a1": "a", "b1": "b", "b2": "b", "c1": "c", "d1": ""}

    def setUp(self):
        self.clock = VirtualTime()
        self.progress = ReplicaProgress()
        timers = Timers(self.clock, seconds=self.clock.seconds)
        self.planner = FetchPlanner(timers, self.progress, self.ZONES.get)

    def source_for(self, node, start=100):
        state = LogState(tail_epoch=5, length=start)
        return self.planner.source_for(node, state, start, 5, TailPosition(), {node})

    def record_length(self, node, length):
        self.progress.record(node, LogState(tail_epoch=5, length=length))

    def test_a_source_in_the_same_zone_is_preferred_to_a_longer_one(self):
        self.record_length("a1", 90_000)
        self.record_length("b1", 80_000)
        self.assertEqual(self.source_for("b2"), FetchSource("b1", 80_000))
        self.assertEqual(self.source_for("c1"), FetchSource("a1", 90_000))
        self.assertEqual(self.source_for("b2", start=79_000), FetchSource("a1", 90_000))

    def test_the_second_replica_of_a_zone_waits_for_the_first_until_its_fetch_is_overdue(self):
        self.record_length("a1", 90_000)
        source = self.source_for("b1")
        self.assertFalse(self.planner.must_wait_for_zone_peer("b1", source))
        self.planner.fetch_started("b1", 90_000)
        self.assertTrue(self.planner.must_wait_for_zone_peer("b2", self.source_for("b2")))
        for other in ("c1", "d1"):
            self.assertFalse(self.planner.must_wait_for_zone_peer(other, self.source_for(other)), other)
        woken = []
        spawn(self.planner.wait_for_transfer()).addBoth(woken.append)
        self.clock.advance(1)
        self.assertEqual(woken, [None])
        self.assertFalse(self.planner.must_wait_for_zone_peer("b2", self.source_for("b2")))
        spawn(self.planner.wait_for_transfer()).addBoth(woken.append)
        self.assertEqual(woken, [None, None], "there is no wait for an overdue transfer")

    def test_the_end_of_a_fetch_wakes_the_waiting_senders(self):
        self.record_length("a1", 90_000)
        self.planner.fetch_started("b1", 90_000)
        woken = []
        spawn(self.planner.wait_for_transfer()).addBoth(woken.append)
        self.planner.transfer_ended("c1")
        self.assertEqual(woken, [])
        self.planner.transfer_ended("b1")
        self.assertEqual(woken, [None])


class TransfersBetweenZones(LargeAppendCase):
    def test_a_large_record_is_sent_once_into_each_other_zone(self):
        leaseholder = self.acquire()
        zones = {node.node: node.zone for node in self.simulation.role("storage")}
        fetches = []
        read_from = StorageClient.read_from

        async def recorded_read(client, source, *args, **kwargs):
            fetches.append((client._ctx.settings.zone, zones[source]))
            return await read_from(client, source, *args, **kwargs)

        with mock.patch.object(StorageClient, "read_from", recorded_read):
            self.append(leaseholder)
            self.simulation.until(
                lambda: len(self.complete_replicas(leaseholder)) == 5, 2, "all replicas have the record"
            )
        entered = [target for target, source in fetches if target != source]
        self.assertEqual(len(fetches), 4)
        self.assertEqual(len(entered), len(set(entered)), f"zones of receiver and source of each fetch: {fetches}")
        self.assertNotIn(self.gateway.zone, entered)


class BatchIntake(unittest.TestCase):
    def test_a_large_batch_is_acknowledged_in_the_time_of_sending_it_once(self):
        simulation = start_simulation(5, gateways=2, settings={"machine_losses": 2})
        self.addCleanup(simulation.end)
        gateway = simulation.role("gateway")[0]
        clients = BatchClients(simulation)
        name = clients.new_batch(items=140, path="/bulk/" + "x" * 1_300)
        gateway.uplink = Uplink(simulation.clock, LINK_BYTES_PER_S)
        started_at, responses = simulation.clock.seconds(), []
        spawn(clients.submit_batch(name, gateway)).addBoth(responses.append)
        simulation.until(lambda: responses, 5, "the batch is acknowledged")
        self.assertIn(name, clients.accepted)
        self.assertLess(simulation.clock.seconds() - started_at, seconds_to_send(1, 140 * 1_400) + ROUND_TRIPS_S)

    def test_a_batch_is_acknowledged_before_most_items_start_and_before_its_log_is_cached(self):
        simulation = start_simulation(5, gateways=3)
        self.addCleanup(simulation.end)
        gateway = simulation.role("gateway")[0]
        gateway.part.slots = 200
        clients = BatchClients(simulation)
        name = clients.new_batch(items=140, path="/bulk/" + "x" * 1_300)
        cache_writes = []
        simulation.watch_calls = lambda sender, method: method == "cache.put" and cache_writes.append(sender.name)
        state_at_response = []

        async def submit():
            await clients.submit_batch(name, gateway)
            state_at_response.append((len(gateway.part.batches[name].running), len(cache_writes)))

        spawn(submit())
        simulation.until(lambda: state_at_response, 5, "the batch is acknowledged")
        started, cached = state_at_response[0]
        self.assertLessEqual(started, 4, "items started before the response")
        self.assertEqual(cached, 0, "cache writes before the response")
        simulation.until(lambda: len(gateway.part.batches[name].running) == 140, 2, "all items are started")
        simulation.until(lambda: cache_writes, 2, "the log is cached")


if __name__ == "__main__":
    unittest.main()
