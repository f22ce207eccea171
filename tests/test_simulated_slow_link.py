"""Members that are far behind, on links of 15 Mbit/s: what they need arrives in time, and the leader keeps leading."""

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
LARGE_EDIT = 60_000
LEAD_AGAIN_S = 3.5


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
        """One agreed change of so many bytes, that no compression makes smaller than half."""
        part = simulation.leader().part
        row = Row(name=name, model=self.random.randbytes(size // 2).hex())
        simulation.do(
            part.log_replication.propose(
                Command(table=TableEdit(base=part.consensus.cluster_state.table_sequence, upserts=[row]))
            ),
            20,
        )

    def current(self, simulation, simulated_node) -> bool:
        leader = simulation.leader()
        return leader is not None and simulated_node.part.consensus.commit_index == leader.part.consensus.commit_index

    def test_a_log_of_large_edits_reaches_a_member_that_the_leader_needs(self):
        simulation = self.start_cluster()
        late, other = (a for a in simulation.role("controller") if a is not simulation.leader())
        late.kill()
        for n in range(40):
            self.change(simulation, f"row{n % 3}", LARGE_EDIT)
        other.kill()
        late.start()
        simulation.until(lambda: self.current(simulation, late), CATCH_UP_S, "the member is current")
        self.change(simulation, "row", LARGE_EDIT)

    def test_a_leader_that_needs_a_member_without_its_log_keeps_leading_while_that_gets_the_snapshot(self):
        self.leader_needs_a_member_without_its_log()

    def leader_needs_a_member_without_its_log(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster()
            leader = simulation.leader()
            late, other = (a for a in simulation.role("controller") if a is not leader)
            late.kill()
            for n in range(80):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT)
            simulation.run(1)
            self.assertGreater(simulation.leader().part.durable_log.snapshot.ByteSize(), 4_000_000)
            term = simulation.leader().part.consensus.term
            other.kill()
            late.start()
            simulation.until(lambda: self.current(simulation, late), CATCH_UP_S, "the member is current")
            self.assertEqual(simulation.leader().part.consensus.term, term, "the leader had to be elected again")

    def test_a_snapshot_arrives_while_changes_go_on(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 8),
        ):
            simulation = self.start_cluster()
            late = next(a for a in simulation.role("controller") if a is not simulation.leader())
            late.kill()
            for n in range(40):
                self.change(simulation, f"row{n}", LARGE_EDIT)
            over, timers = [], simulation.timers()

            async def on():
                while not over:
                    await timers.sleep(ms(100))
                    leader = simulation.leader()
                    if leader is not None:
                        try:
                            await leader.part.log_replication.propose(Command(no_op=True))
                        except PipitlinkError:
                            pass

            spawn(on())
            late.start()
            simulation.run(CATCH_UP_S)
            behind = simulation.leader().part.consensus.commit_index - late.part.consensus.commit_index
            over.append(True)
            simulation.run(1)
            self.assertLess(behind, 3)
            self.assertGreater(late.part.durable_log.snapshot.index, 0)

    def test_a_broken_transfer_goes_on_where_it_was(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster()
            leader = simulation.leader()
            late = next(a for a in simulation.role("controller") if a is not leader)
            late.kill()
            for n in range(60):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT)
            simulation.run(1)
            late.start()
            simulation.until(
                lambda: late.part.snapshots.incoming and len(late.part.snapshots.incoming.data) > 10**6,
                5,
                "a part arrives",
            )
            simulation.cut([leader.name], [late.name])
            simulation.run(0.3)
            before = len(late.part.snapshots.incoming.data)
            simulation.heal()
            sizes = []
            while late.part.snapshots.incoming:
                sizes.append(len(late.part.snapshots.incoming.data))
                simulation.run(0.02)
            self.assertGreaterEqual(min(sizes), before)
            simulation.until(lambda: self.current(simulation, late), CATCH_UP_S, "the member is current")

    def test_a_call_that_hangs_does_not_hold_up_the_same_leader_in_its_next_term(self):
        self.elected_again_while_a_call_hangs()

    def elected_again_while_a_call_hangs(self):
        simulation = self.start_cluster()
        leader = simulation.leader()
        needed, other = (a for a in simulation.role("controller") if a is not leader)
        other.kill()
        simulation.cut([leader.name], [needed.name])
        row = Row(name="large", model="x" * 20 * LARGE_EDIT)
        lost = leader.part.log_replication.propose(
            Command(table=TableEdit(base=leader.part.consensus.cluster_state.table_sequence, upserts=[row]))
        )
        spawn(lost).addErrback(lambda f: f.trap(PipitlinkError))
        simulation.run(0.8)
        simulation.heal()
        leader.part.consensus.step_down()
        needed.part.elections.election_timeout = secs(60)
        simulation.until(lambda: simulation.leader() is leader, LEAD_AGAIN_S, "the same one leads again")
        self.change(simulation, "row", 100)

    def test_senders_by_node_alone_would_be_held_up(self):
        with (
            mock.patch.object(LogReplication, "_sender_key", lambda self, node: SenderKey(node, 0)),
            self.assertRaises(AssertionError),
        ):
            self.elected_again_while_a_call_hangs()

    def gateway_is_current(self, simulation, gateway):
        cluster = gateway.ctx.cluster
        simulation.until(
            lambda: cluster.ready() and cluster.sequence == simulation.leader().part.consensus.commit_index,
            CATCH_UP_S,
            "the gateway is current",
        )

    def test_a_gateway_far_behind_follows_in_time(self):
        self.gateway_far_behind()

    def gateway_far_behind(self):
        simulation = self.start_cluster(controllers=3, gateways=2, storage_nodes=3)
        late = simulation.role("gateway")[0]
        simulation.cut([late.name], [a for a in simulation.simulated_nodes if a != late.name])
        for n in range(50):
            self.change(simulation, f"row{n}", LARGE_EDIT)
        simulation.heal()
        self.gateway_is_current(simulation, late)

    def test_a_gateway_that_starts_gets_a_large_state_in_time(self):
        self.gateway_starts()

    def gateway_starts(self):
        with (
            mock.patch.object(durable_log, "COMPACTION_ENTRIES", 20),
            mock.patch.object(durable_log, "RETAINED_ENTRIES", 4),
        ):
            simulation = self.start_cluster(controllers=3, gateways=2, storage_nodes=3)
            for n in range(60):
                self.change(simulation, f"row{n}", 2 * LARGE_EDIT)
            late = simulation.role("gateway")[0]
            late.kill()
            late.start()
            self.gateway_is_current(simulation, late)

    def test_without_a_bound_on_one_message_they_do_not_arrive(self):
        for module, bound, scenario in (
            (snapshot_transfer, "CHUNK_BYTES", self.leader_needs_a_member_without_its_log),
            (durable_log, "MAX_BATCH_BYTES", self.gateway_far_behind),
            (state_transfer, "CHUNK_BYTES", self.gateway_starts),
        ):
            with self.subTest(bound), mock.patch.object(module, bound, 10**9), self.assertRaises(AssertionError):
                scenario()


class Pieces(unittest.TestCase):
    def test_the_pieces_make_the_snapshot_and_none_is_larger_than_its_bound(self):
        data = Random(2).randbytes(300_000)
        out = snapshot_transfer.OutgoingSnapshot(7, 2, data)
        got = b""
        while out.offset < len(data):
            piece = out.next_chunk()
            self.assertLessEqual(len(piece.data), snapshot_transfer.CHUNK_BYTES)
            got += piece.data
            out.offset += len(piece.data)
        self.assertEqual(got, data)
