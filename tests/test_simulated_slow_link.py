"""Nodes that are far behind, on links of 15 Mbit/s: they catch up in time, and the leader keeps leading."""

import unittest
from random import Random
from unittest import mock

from pipitlink.cluster import state_transfer
from pipitlink.controller import durable_log, snapshot_transfer
from pipitlink.controller.log_replication import LogReplication, SenderKey
from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms, secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

LINK_BYTES_PER_S = 15_000_000 / 8
CATCH_UP_S = 4.7
LARGE_EDIT_BYTES = 60_000
REELECTION_S = 3.5


class SlowLink(unittest.TestCase):
    def start_cluster(self, controllers=3, gateways=0, storage_nodes=0):
        simulation = Simulation(
            5, controllers=controllers, storage_nodes=storage_nodes, gateways=gateways, placement_groups=2
        )
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(2)
        simulation.bytes_per_s = LINK_BYTES_PER_S
        self.random = Random(1)
        return simulation

    def change(self, simulation, name, size):
        """Commits one change of `size` bytes, which compression can at most halve."""
        part = simulation.leader().part
        row = Row(name=name, model=self.random.randbytes(size // 2).hex())
        simulation.do(
            part.log_replication.propose(
                Command(table=TableEdit(base=part.consensus.cluster_state.table_sequence, upserts=[row]))
            ),
            20,
        )

    def is_current(self, simulation, simulated_node) -> bool:
        leader = simulation.leader()
        return leader is not None and simulated_node.part.consensus.commit_index == leader.part.consensus.commit_index

    def test_a_log_of_large_edits_reaches_a_voter_that_the_majority_needs(self):
        simulation = self.start_cluster()
        lagging, other = (a for a in simulation.role("controller") if a is not simulation.leader())
        lagging.kill()
        for n in range(40):
            self.change(simulation, f"row{n % 3}", LARGE_EDIT_BYTES)
        other.kill()
        lagging.start()
        simulation.until(
            lambda: self.is_current(simulation, lagging), CATCH_UP_S, "the lagging controller is up to date"
        )
        self.change(simulation, "row", LARGE_EDIT_BYTES)

    def test_a_leader_keeps_leading_while_a_voter_that_the_majority_needs_gets_a_snapshot(self):
        self.majority_needs_a_voter_that_gets_a_snapshot()

    def majority_needs_a_voter_that_gets_a_snapshot(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster()
            leader = simulation.leader()
            lagging, other = (a for a in simulation.role("controller") if a is not leader)
            lagging.kill()
            for n in range(80):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT_BYTES)
            simulation.run(1)
            self.assertGreater(simulation.leader().part.durable_log.snapshot.ByteSize(), 4_000_000)
            term = simulation.leader().part.consensus.term
            other.kill()
            lagging.start()
            simulation.until(
                lambda: self.is_current(simulation, lagging), CATCH_UP_S, "the lagging controller is up to date"
            )
            self.assertEqual(simulation.leader().part.consensus.term, term, "the leader had to be elected again")

    def test_a_snapshot_arrives_while_changes_continue(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 8),
        ):
            simulation = self.start_cluster()
            lagging = next(a for a in simulation.role("controller") if a is not simulation.leader())
            lagging.kill()
            for n in range(40):
                self.change(simulation, f"row{n}", LARGE_EDIT_BYTES)
            stopped, timers = [], simulation.timers()

            async def propose_continuously():
                while not stopped:
                    await timers.sleep(ms(100))
                    leader = simulation.leader()
                    if leader is not None:
                        try:
                            await leader.part.log_replication.propose(Command(no_op=True))
                        except PipitlinkError:
                            pass

            spawn(propose_continuously())
            lagging.start()
            simulation.run(CATCH_UP_S)
            behind = simulation.leader().part.consensus.commit_index - lagging.part.consensus.commit_index
            stopped.append(True)
            simulation.run(1)
            self.assertLess(behind, 3)
            self.assertGreater(lagging.part.durable_log.snapshot.index, 0)

    def test_an_interrupted_transfer_resumes_at_its_offset(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster()
            leader = simulation.leader()
            lagging = next(a for a in simulation.role("controller") if a is not leader)
            lagging.kill()
            for n in range(60):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT_BYTES)
            simulation.run(1)
            lagging.start()
            simulation.until(
                lambda: lagging.part.snapshots.incoming and len(lagging.part.snapshots.incoming.data) > 10**6,
                5,
                "a part of the snapshot arrives",
            )
            simulation.cut([leader.name], [lagging.name])
            simulation.run(0.3)
            before = len(lagging.part.snapshots.incoming.data)
            simulation.heal()
            sizes = []
            while lagging.part.snapshots.incoming:
                sizes.append(len(lagging.part.snapshots.incoming.data))
                simulation.run(0.02)
            self.assertGreaterEqual(min(sizes), before)
            simulation.until(
                lambda: self.is_current(simulation, lagging), CATCH_UP_S, "the lagging controller is up to date"
            )

    def test_a_hanging_call_does_not_block_the_same_leader_in_its_next_term(self):
        self.elected_again_while_a_call_hangs()

    def elected_again_while_a_call_hangs(self):
        simulation = self.start_cluster()
        leader = simulation.leader()
        needed, other = (a for a in simulation.role("controller") if a is not leader)
        other.kill()
        simulation.cut([leader.name], [needed.name])
        row = Row(name="large", model="x" * 20 * LARGE_EDIT_BYTES)
        lost_proposal = leader.part.log_replication.propose(
            Command(table=TableEdit(base=leader.part.consensus.cluster_state.table_sequence, upserts=[row]))
        )
        spawn(lost_proposal).addErrback(lambda f: f.trap(PipitlinkError))
        simulation.run(0.8)
        simulation.heal()
        leader.part.consensus.step_down()
        needed.part.elections.election_timeout = secs(60)
        simulation.until(lambda: simulation.leader() is leader, REELECTION_S, "the same controller leads again")
        self.change(simulation, "row", 100)

    def test_senders_identified_by_node_alone_would_be_blocked(self):
        with (
            mock.patch.object(LogReplication, "_sender_key", lambda self, node: SenderKey(node, 0)),
            self.assertRaises(AssertionError),
        ):
            self.elected_again_while_a_call_hangs()

    def wait_until_gateway_is_current(self, simulation, gateway):
        cluster = gateway.ctx.cluster
        simulation.until(
            lambda: cluster.ready() and cluster.sequence == simulation.leader().part.consensus.commit_index,
            CATCH_UP_S,
            "the gateway is up to date",
        )

    def test_a_gateway_far_behind_catches_up_in_time(self):
        self.gateway_far_behind()

    def gateway_far_behind(self):
        simulation = self.start_cluster(controllers=3, gateways=2, storage_nodes=3)
        lagging = simulation.role("gateway")[0]
        simulation.cut([lagging.name], [a for a in simulation.simulated_nodes if a != lagging.name])
        for n in range(50):
            self.change(simulation, f"row{n}", LARGE_EDIT_BYTES)
        simulation.heal()
        self.wait_until_gateway_is_current(simulation, lagging)

    def test_a_starting_gateway_gets_a_large_state_in_time(self):
        self.gateway_starts()

    def gateway_starts(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster(controllers=3, gateways=2, storage_nodes=3)
            for n in range(60):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT_BYTES)
            lagging = simulation.role("gateway")[0]
            lagging.kill()
            lagging.start()
            self.wait_until_gateway_is_current(simulation, lagging)

    def test_without_a_limit_on_message_size_the_state_does_not_arrive_in_time(self):
        for module, limit, scenario in (
            (snapshot_transfer, "CHUNK_BYTES", self.majority_needs_a_voter_that_gets_a_snapshot),
            (durable_log, "MAX_BATCH_BYTES", self.gateway_far_behind),
            (state_transfer, "CHUNK_BYTES", self.gateway_starts),
        ):
            with self.subTest(limit), mock.patch.object(module, limit, 10**9), self.assertRaises(AssertionError):
                scenario()


class SnapshotChunks(unittest.TestCase):
    def test_the_chunks_make_up_the_snapshot_and_none_exceeds_its_size_limit(self):
        data = Random(2).randbytes(300_000)
        transfer = snapshot_transfer.OutgoingSnapshot(7, 2, data)
        received = b""
        while transfer.offset < len(data):
            chunk = transfer.next_chunk()
            self.assertLessEqual(len(chunk.data), snapshot_transfer.CHUNK_BYTES)
            received += chunk.data
            transfer.offset += len(chunk.data)
        self.assertEqual(received, data)
