"""A replica with the uncommitted tail of a writer that has lost its lease is never taken for the log.

A large write reaches one storage node, which ends together with the writer. The next leaseholder commits other bytes
at the same positions; then the storage node returns. Readers, leaseholders, repairs and joining storage nodes may take
from one replica only what is proven to be committed, or a tail whose writer's epoch they know.
"""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from twisted.internet import defer

from pipitlink.cache.tail import Tail
from pipitlink.disk import Disk, encode_frame
from pipitlink.errors import CorruptData, NoQuorum
from pipitlink.replicated_log.commit_proof import CommittedEnd, merge_states
from pipitlink.replicated_log.placement_group import PlacementGroup
from pipitlink.storage.log_store import LogStore
from pipitlink.storage.replica import Replica
from pipitlink.storage.replica import Tail as StoredTail
from pipitlink.timers import spawn
from pipitlink.wire.replicated_log_pb2 import Entry, LogState, WriteRequest, WriteResponse
from testbed.simulator.simulation import Simulation

from .batch_builders import BatchClients, start_simulation
from .placement_changes import start_replacing

LOG = "results/x"
FIRST = b"first" + b"." * 200
STALE = [letter * 6000 for letter in (b"a", b"b", b"c")]
COMMITTED = [letter * 6000 for letter in (b"c", b"a", b"b")]
READ_LIMIT_S = 5
RENEWAL_S = 0.7
"""Longer than the interval in which leases are renewed."""


class StaleReplicaCase(unittest.TestCase):
    """A gateway and a storage node in each of three zones; a log in one placement group of all storage nodes."""

    storage_nodes = 3

    def setUp(self):
        self.simulation = Simulation(3, controllers=3, storage_nodes=self.storage_nodes, gateways=3, placement_groups=1)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(3)
        self.writer, self.successor, self.third = self.simulation.role("gateway")
        leader = self.simulation.until(self.simulation.leader, 5, "a leader")
        members = leader.part.consensus.cluster_state.placement_groups[0].storage_nodes
        by_id = {node.node: node for node in self.simulation.role("storage")}
        self.replicas = sorted((by_id[node] for node in members), key=lambda node: node.zone)

    def acquire(self, gateway, lost_leaseholder=""):
        return self.simulation.do(gateway.ctx.replicated_log.acquire(LOG, lost_leaseholder))

    def names(self, nodes):
        return [node.name for node in nodes]

    def reconnect(self, node, other):
        """Ends the partition between two nodes."""
        self.simulation.blocked_links -= {(node.name, other.name), (other.name, node.name)}

    def start_append(self, leaseholder, records):
        """Starts an append that the test does not wait for; returns the list that gets its result."""
        results = []
        spawn(leaseholder.append(records)).addBoth(results.append)
        return results

    def leave_stale_tail(self, records=STALE):
        """Has the first gateway write records to the first replica alone; returns its leaseholder and that replica."""
        stale, *others = self.replicas
        leaseholder = self.acquire(self.writer)
        self.simulation.do(leaseholder.append([FIRST]))
        self.simulation.run(0.5)
        self.simulation.cut([self.writer.name], self.names(others))
        self.start_append(leaseholder, records)
        self.simulation.until(
            lambda: stale.part.log_store.state(LOG).length == len(leaseholder.data), 1, "one replica has the tail"
        )
        return leaseholder, stale

    def commit_other_records(self, records=COMMITTED):
        """Has the second gateway take the log over without the first replica, and append other records."""
        leaseholder = self.acquire(self.successor, self.writer.node)
        self.simulation.do(leaseholder.append(records))
        self.simulation.run(0.3)
        return leaseholder

    def return_stale_replica(self):
        """Leaves a stale tail, commits other records, and restarts writer and replica, which cannot be repaired."""
        _, stale = self.leave_stale_tail()
        self.writer.kill()
        stale.kill()
        self.simulation.heal()
        leaseholder = self.commit_other_records()
        self.simulation.cut([stale.name], self.names(self.replicas[1:]))
        stale.start()
        self.writer.start()
        self.simulation.ready()
        self.simulation.until(lambda: stale.part is not None and LOG in stale.part.log_store.logs, 2, "it is open")
        self.assertNotEqual(stale.part.log_store.state(LOG).tail_epoch, leaseholder.epoch)
        return leaseholder, stale

    def states(self, gateway):
        return self.simulation.do(gateway.ctx.replicated_log.states([LOG]))[LOG]

    def read_all(self, gateway, count=4):
        """Returns the payloads of the first `count` records, read by a gateway in the zone of the stale replica."""
        tail = gateway.ctx.cache.tail(LOG)
        return self.simulation.do(read_records(tail, count), READ_LIMIT_S, "the log is read")


async def read_records(tail, count):
    found = []
    while len(found) < count:
        records = await tail.read_records()
        found += [payload for _, payload in records]
        if not records:
            await tail.wait_for_growth()
    tail.close()
    return found


class Readers(StaleReplicaCase):
    def test_a_reader_gets_no_bytes_of_a_dead_writer_from_a_returned_storage_node(self):
        """Guards against results at changed positions: the length is the quorum's, the bytes those of a stale tail."""
        self.return_stale_replica()
        self.assertEqual(self.read_all(self.writer), [FIRST, *COMMITTED])

    def test_nor_after_the_storage_node_was_killed_and_restarted_once_more(self):
        _, stale = self.return_stale_replica()
        stale.kill(power=True)
        stale.start()
        self.simulation.run(0.3)
        self.assertEqual(self.read_all(self.writer), [FIRST, *COMMITTED])

    def test_nor_from_a_storage_node_that_was_frozen_meanwhile(self):
        _, stale = self.leave_stale_tail()
        self.writer.kill()
        stale.freeze()
        self.simulation.heal()
        self.commit_other_records()
        self.simulation.cut([stale.name], self.names(self.replicas[1:]))
        stale.thaw()
        self.writer.start()
        self.simulation.ready()
        self.assertEqual(self.read_all(self.writer), [FIRST, *COMMITTED])

    def test_without_the_check_of_the_epoch_the_stale_bytes_are_returned(self):
        self.return_stale_replica()
        with mock.patch.object(Replica, "committed_length", lambda replica, _: replica.synced.length):
            self.assertEqual(self.read_all(self.writer), [FIRST, *STALE])

    def test_a_returned_storage_node_with_the_committed_tail_is_read_before_it_knows_the_commit_position(self):
        leaseholder = self.acquire(self.writer)
        self.simulation.do(leaseholder.append([FIRST, *COMMITTED]))
        self.simulation.until(
            lambda: all(node.part.log_store.state(LOG).length == len(leaseholder.data) for node in self.replicas),
            2,
            "all replicas have the records",
        )
        near, *others = self.replicas
        self.simulation.cut([near.name], self.names(others))
        near.kill()
        near.start()
        self.simulation.run(0.3)
        self.assertLess(near.part.log_store.state(LOG).committed, len(leaseholder.data))
        for node in others:
            self.simulation.cut([node.name], [self.third.name])
            node.ctx.rpc._handlers.pop("replicated_log.read")
        state = self.states(self.successor)
        read = self.successor.ctx.replicated_log.read(LOG, 0, state.committed, state.committed_epoch)
        self.assertEqual(self.simulation.do(read), bytes(leaseholder.data))

    def test_a_reader_that_read_stale_bytes_beside_committed_ones_reports_it_and_reads_them_again(self):
        """Guards against a reader that stands still: mixed bytes are no records."""
        leaseholder, _ = self.return_stale_replica()
        tail = self.writer.ctx.cache.tail(LOG)
        self.simulation.do(self.writer.ctx.cache.poller.confirm_durable([LOG]))
        right = bytes(leaseholder.data)
        wrong = right[:7000] + bytes(5000) + right[12000:]
        with mock.patch.object(Tail, "read", lambda _, start, end: defer.succeed(wrong[start:end])):
            with self.assertRaises(CorruptData):
                self.simulation.do(read_records(tail, 4), READ_LIMIT_S)
        self.assertEqual(self.simulation.do(read_records(tail, 4), READ_LIMIT_S), [FIRST, *COMMITTED])


class Followers(unittest.TestCase):
    """A gateway that follows a batch of another one."""

    def test_a_follower_that_read_damaged_bytes_is_dropped_and_the_next_read_is_right(self):
        """Guards against a gateway that keeps answering 200 with what it had read before it stood still."""
        simulation = start_simulation(1)
        self.addCleanup(simulation.end)
        clients = BatchClients(simulation)
        name = clients.new_batch(4)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        listing = simulation.until(lambda: clients.read_if_complete(name), 30, "the batch is complete")
        gateways = simulation.role("gateway")
        reader = next(node for node in gateways if name not in node.part.batches)
        followers = reader.part.service.followers.followers
        followers.pop(name, None)
        read = Tail.read

        async def read_damaged(tail, start, end):
            data = await read(tail, start, end)
            return data[:-20] + bytes(10) + data[-10:]

        with mock.patch.object(Tail, "read", read_damaged):
            status, _ = simulation.do(clients.read(name, gateway=reader))
        self.assertEqual((status, name in followers), (503, False))
        status, again = simulation.do(clients.read(name, gateway=reader))
        self.assertEqual((status, again["outputs"]), (200, listing["outputs"]))


class Recovery(StaleReplicaCase):
    def hold_reads(self, node):
        """Holds back all reads at a storage node until the returned function is called."""
        released = defer.Deferred()
        request_type, handler = node.ctx.rpc._handlers["replicated_log.read"]

        async def read_later(peer, request):
            waiter = defer.Deferred()
            released.addCallback(lambda _: waiter.callback(None))
            await waiter
            return await handler(peer, request)

        node.ctx.rpc._handlers["replicated_log.read"] = (request_type, read_later)
        return lambda: released.callback(None)

    def overwrite(self, replica, epoch):
        """Replaces the uncommitted tail of one replica as a leaseholder with a later epoch does."""
        state = replica.part.log_store.state(LOG)
        write = WriteRequest(
            log=LOG,
            epoch=epoch,
            placement_group_sequence=1,
            position=state.committed,
            data=b"".join(encode_frame(record) for record in COMMITTED) + encode_frame(FIRST),
            expect_tail_epoch=state.tail_epoch,
            expect_length=state.length,
        )
        call = self.third.ctx.replicated_log.call(replica.node, "replicated_log.write", write, WriteResponse)
        self.assertTrue(self.simulation.do(call).written)

    def test_a_leaseholder_does_not_recover_bytes_that_a_later_one_wrote_meanwhile(self):
        """Guards against a recovered tail that ends within a record of another writer."""
        _, stale = self.leave_stale_tail()
        self.writer.kill()
        self.simulation.heal()
        self.simulation.cut([stale.name], self.names(self.replicas[1:]))
        self.simulation.cut([self.successor.name], [self.replicas[2].name])
        release = self.hold_reads(stale)
        recovered = []
        spawn(self.successor.ctx.replicated_log.acquire(LOG, self.writer.node)).addBoth(recovered.append)
        self.simulation.until(lambda: stale.part.log_store.state(LOG).epoch == 2, 1, "the epoch is granted")
        self.simulation.run(1)
        self.overwrite(stale, epoch=3)
        release()
        self.simulation.until(lambda: recovered, 5, "the acquisition ends")
        self.assertIsInstance(getattr(recovered[0], "value", None), NoQuorum, "other bytes were recovered")

    def test_a_repair_does_not_copy_bytes_that_a_later_leaseholder_wrote_meanwhile(self):
        """Guards against two different tails under one epoch."""
        _, stale = self.leave_stale_tail()
        self.writer.kill()
        behind = self.replicas[1]
        release = self.hold_reads(stale)
        self.simulation.run(4)
        listed = stale.part.log_store.state(LOG)
        self.overwrite(stale, epoch=3)
        self.simulation.run(0.02)
        release()
        self.simulation.run(0.1)
        state = behind.part.log_store.state(LOG)
        self.assertNotEqual(
            (state.tail_epoch, state.length),
            (listed.tail_epoch, listed.length),
            "bytes of epoch 3 were copied as those of epoch 1",
        )

    def test_the_next_leaseholder_keeps_the_stale_tail_if_it_may_have_been_acknowledged(self):
        leaseholder, stale = self.leave_stale_tail()
        self.writer.kill()
        self.simulation.heal()
        self.simulation.run(2)
        newer = self.acquire(self.successor, self.writer.node)
        self.assertEqual(bytes(newer.data), bytes(leaseholder.data))


class Placement(StaleReplicaCase):
    """A spare storage node joins the placement group, and copies a stale tail."""

    storage_nodes = 4

    def hold_reports(self):
        """Lets no placement change end until the reports are released; returns the handlers."""
        controllers = self.simulation.role("controller")
        return [(node, node.ctx.rpc._handlers.pop("controller.caught_up")) for node in controllers]

    def release_reports(self, reports):
        for node, handler in reports:
            node.ctx.rpc._handlers["controller.caught_up"] = handler

    def is_moved(self, joining):
        group = self.simulation.leader().part.consensus.cluster_state.placement_groups[0]
        return joining.node in group.storage_nodes and not group.joining

    def copy_stale_tail(self):
        """A new leaseholder takes over without the stale tail, which a joining storage node then copies.

        Returns both leaseholders and the results of the append that was never acknowledged.
        """
        stale, staying, leaving = self.replicas
        spare = next(node for node in self.simulation.role("storage") if node not in self.replicas)
        older = self.acquire(self.writer)
        self.simulation.cut([self.writer.name, stale.name], self.names([staying, leaving]))
        append = self.start_append(older, STALE)
        self.simulation.until(lambda: stale.part.log_store.state(LOG).length == len(older.data), 1, "the tail is there")
        self.simulation.cut([stale.name], [self.successor.name])
        newer = self.acquire(self.successor, self.writer.node)
        self.assertEqual((newer.epoch, bytes(newer.data)), (2, b""))
        self.reconnect(stale, staying)
        self.reconnect(stale, self.successor)
        self.simulation.cut([spare.name], [leaving.name])
        reports = self.hold_reports()
        start_replacing(self.simulation, spare.node, leaving.node)
        self.simulation.until(lambda: spare.part.log_store.state(LOG).epoch == 2, 5, "the joining node has copied")
        self.simulation.run(RENEWAL_S)
        self.release_reports(reports)
        self.simulation.until(lambda: self.is_moved(spare), 10, "the placement change has ended")
        return older, newer, append, spare

    def test_a_copied_stale_tail_does_not_count_after_a_later_epoch_was_granted(self):
        """Guards against lengths counted under an old epoch: two replicas have the stale tail, but only by a copy."""
        _, newer, append, spare = self.copy_stale_tail()
        stale = self.replicas[0]
        if spare.part.log_store.state(LOG).tail_epoch != 1:
            self.skipTest("the joining storage node copied from other replicas")
        self.assertEqual(spare.part.log_store.state(LOG).length, stale.part.log_store.state(LOG).length)
        self.assertEqual(self.states(self.third).committed, 0)
        self.simulation.run(0.7)
        self.simulation.do(newer.append(COMMITTED))
        self.simulation.heal()
        self.simulation.run(1)
        self.assertEqual(self.read_all(self.third, 3), COMMITTED)
        self.assertFalse([result for result in append if isinstance(result, int)], "the stale append was acknowledged")


class ProofsOfCommits(unittest.TestCase):
    """What the states of replicas prove, without a cluster."""

    GROUP = PlacementGroup(0, 1, ("a", "b", "c"))

    def merge(self, **states):
        return merge_states(self.GROUP, {node: LogState(log=LOG, **state) for node, state in states.items()})

    def test_a_quorum_under_one_tail_epoch_counts_only_while_none_of_it_knows_a_later_epoch(self):
        current = {"epoch": 1, "tail_epoch": 1, "length": 9}
        fenced = {**current, "epoch": 2}
        merged = self.merge(a=current, b=current)
        self.assertEqual((merged.committed, merged.committed_epoch), (9, 1))
        self.assertEqual(self.merge(a=current, b=fenced).committed, 0)
        self.assertEqual(self.merge(a=current, b=fenced, c=current).committed, 9)

    def test_a_commit_position_is_known_under_the_epoch_of_the_replica_that_reports_it(self):
        behind = {"epoch": 3, "tail_epoch": 1, "length": 20, "committed": 4}
        merged = self.merge(a={"epoch": 3, "tail_epoch": 3, "length": 12, "committed": 8}, b=behind)
        self.assertEqual((merged.committed, merged.committed_epoch), (8, 3))

    def test_of_equal_commit_positions_the_lowest_known_epoch_is_used(self):
        self.assertEqual(CommittedEnd(8, 3).merge(CommittedEnd(8, 2)), CommittedEnd(8, 2))
        self.assertEqual(CommittedEnd(8, 0).merge(CommittedEnd(8, 2)), CommittedEnd(8, 2))
        self.assertEqual(CommittedEnd(9, 0).merge(CommittedEnd(8, 2)), CommittedEnd(9, 0))

    def test_a_log_has_not_ended_because_one_replica_has_a_stale_end(self):
        """Guards against a cancelled batch that goes on: the end of a dead writer is on one replica only."""
        stale = {"epoch": 1, "tail_epoch": 1, "length": 5, "final": True}
        going_on = {"epoch": 2, "tail_epoch": 2, "length": 9, "committed": 9}
        self.assertFalse(self.merge(a=stale, b=going_on, c=going_on).final)
        self.assertFalse(self.merge(a=stale, b={"epoch": 2}).final)

    def test_a_log_has_ended_if_a_quorum_has_its_end_or_one_replica_knows_that_it_is_committed(self):
        end = {"epoch": 2, "tail_epoch": 2, "length": 9, "final": True}
        self.assertTrue(self.merge(a=end, b=end).final)
        self.assertTrue(self.merge(a={**end, "committed": 9}, b={"epoch": 1}).final)
        self.assertTrue(self.merge(a={**end, "length": 0}, b={**end, "length": 0}).final, "removed after retention")
        self.assertFalse(self.merge(a=end, b={**end, "epoch": 3}).final)


class QueuedWrites(unittest.TestCase):
    """The state that a storage node reports while a write is not on disk yet."""

    def setUp(self):
        self.store = LogStore(Path(self.enterContext(TemporaryDirectory())), Disk(), 10**6, 0)
        self.store.recover()
        self.addCleanup(self.store.close)

    def write(self, epoch, position, data, committed=0):
        """Queues a write."""
        tail = self.store.logs[LOG].tail if LOG in self.store.logs else StoredTail()
        entry = Entry(kind=Entry.WRITE, log=LOG, epoch=epoch, position=position, data=data, committed=committed)
        self.assertTrue(self.store.write(entry, tail, False, defer.Deferred()))

    def sync(self, epoch, length):
        self.store.segments.flush()
        self.store.record_synced(LOG, epoch, length, False)

    def test_the_commit_position_of_a_queued_write_says_nothing_of_the_stale_bytes_on_disk(self):
        """Guards against a stale tail that looks committed until the write that replaces it is synced."""
        self.write(1, 0, b"first")
        self.sync(1, 5)
        self.store.commit(LOG, 1, 5)
        self.write(1, 5, b"stale" * 20)
        self.sync(1, 105)
        self.write(2, 5, b"right" * 30, committed=155)
        state = self.store.state(LOG)
        self.assertEqual((state.tail_epoch, state.length, state.committed), (1, 105, 5))
        self.assertEqual(self.store.committed_length(LOG, 1), 5)
        self.sync(2, 155)
        state = self.store.state(LOG)
        self.assertEqual((state.tail_epoch, state.length, state.committed), (2, 155, 155))

    def test_an_end_counts_as_open_while_a_later_epoch_may_have_replaced_it(self):
        self.write(1, 0, b"last")
        self.sync(1, 4)
        replica = self.store.logs[LOG]
        replica.final, replica.synced = True, StoredTail(1, 4, True)
        self.assertFalse(replica.is_open())
        self.store.grant_epoch(LOG, 2, defer.Deferred())
        self.assertTrue(replica.is_open())
        self.store.commit(LOG, 1, 4)
        self.assertFalse(replica.is_open())


if __name__ == "__main__":
    unittest.main()
