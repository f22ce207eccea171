"""A call to a specific node fails, without being executed, if another node is at that address."""

import unittest
import unittest.mock

from twisted.internet.task import Clock
from twisted.test import iosim

from pipitlink.errors import NoQuorum, PipitlinkError, WrongPeer
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, secs, spawn
from pipitlink.wire.cluster_pb2 import Command, FollowRequest, FollowResponse, Row, TableEdit, WitnessResponse
from pipitlink.wire.connection import RpcConnection
from pipitlink.wire.frame_pb2 import Empty
from pipitlink.wire.membership_pb2 import IndirectProbeRequest, ProbeResponse
from pipitlink.wire.replicated_log_pb2 import StatesRequest, StatesResponse
from pipitlink.wire.rpc import RpcEndpoint
from testbed.simulator.simulation import Simulation

ADDRESS = ("10.0.0.2", 7)
LOG = "log"


class _SilentLog:
    def log(self, *args):
        pass


class Connections(unittest.TestCase):
    """Two real endpoints on one in-memory connection."""

    def setUp(self):
        self.timers = Timers(Clock(), seconds=lambda: 0.0)
        self.client, self.server = self._endpoint("client"), self._endpoint("server")
        self.handled_targets: list[str] = []
        self.server.register_handler("probe", IndirectProbeRequest, self._probe)
        client_connection, server_connection = RpcConnection(self.client), RpcConnection(self.server)
        self.pump = iosim.connect(
            server_connection,
            iosim.makeFakeServer(server_connection),
            client_connection,
            iosim.makeFakeClient(client_connection),
        )
        self.client._connections[ADDRESS] = client_connection

    def _endpoint(self, node):
        return RpcEndpoint(None, self.timers, StructuredLogger(_SilentLog()), "pipit", node)

    async def _probe(self, node, request):
        self.handled_targets.append(request.target)
        return ProbeResponse(alive=True)

    def call(self, endpoint, address, target, **kwargs):
        results = []
        work = endpoint.call(address, "probe", IndirectProbeRequest(target=target), ProbeResponse, secs(1), **kwargs)
        spawn(work).addBoth(results.append)
        self.pump.flush()
        return results[0]

    def test_calls_with_the_right_node_id_or_without_one_succeed(self):
        self.assertTrue(self.call(self.client, ADDRESS, "a", node="server").alive)
        self.assertTrue(self.call(self.client, ADDRESS, "b").alive)
        self.assertEqual(self.handled_targets, ["a", "b"])

    def test_a_call_with_another_node_id_fails_and_is_not_executed(self):
        failure = self.call(self.client, ADDRESS, "a", node="predecessor")
        self.assertIsInstance(failure.value, WrongPeer)
        self.assertFalse(failure.value.sent)
        self.assertEqual(self.handled_targets, [])

    def test_a_local_call_with_another_node_id_fails_and_is_not_executed(self):
        self.server.address = ADDRESS
        self.assertTrue(self.call(self.server, ADDRESS, "a", node="server").alive)
        self.assertIsInstance(self.call(self.server, ADDRESS, "b", node="predecessor").value, WrongPeer)
        self.assertEqual(self.handled_targets, ["a"])


SEEDS = range(11, 17)


def without_peer_check():
    return unittest.mock.patch("testbed.simulator.simulation.require_peer", lambda expected, actual: None)


class WipedMembers(unittest.TestCase):
    """A member lost its disk and restarts at the same address with a new id, before other nodes learn of the new id."""

    def setUp(self):
        self.start_simulation(11)

    def start_simulation(self, seed: int):
        self.simulation = Simulation(seed, controllers=3, storage_nodes=3, gateways=2, placement_groups=1)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(3)

    def wipe_and_restart(self, simulated_node):
        simulated_node.kill(power=True)
        simulated_node.wipe()
        simulated_node.start()

    def confirmed_edits_with_one_voter_left(self) -> list[bool]:
        """Returns for each of several seeds whether the leader confirmed an edit."""
        confirmed = []
        for seed in SEEDS:
            self.start_simulation(seed)
            confirmed.append(self.is_edit_confirmed_with_one_voter_left())
        return confirmed

    def is_edit_confirmed_with_one_voter_left(self):
        """Returns whether the leader confirms an edit while, of three voters, one is down and one has lost its disk."""
        leader = self.simulation.leader()
        down, wiped = [member for member in self.simulation.role("controller") if member is not leader]
        down.kill()
        self.wipe_and_restart(wiped)
        edit = TableEdit(base=leader.part.consensus.cluster_state.table_sequence, upserts=[Row(name="r", model="m")])
        try:
            self.simulation.do(leader.part.state_delivery.edit(Command(edit="alone", table=edit)), 10)
        except PipitlinkError:
            return False
        return True

    def test_a_voter_that_lost_its_disk_does_not_confirm_an_edit(self):
        self.assertNotIn(True, self.confirmed_edits_with_one_voter_left())

    def test_without_the_peer_check_an_edit_on_a_single_voter_is_confirmed(self):
        with without_peer_check():
            self.assertIn(True, self.confirmed_edits_with_one_voter_left())

    def read_after_a_loss(self):
        """Returns the log as a new leaseholder reads it after two replicas with an acknowledged record were lost.

        Two of three replicas have the record; one of these loses its disk, and the other one goes down.
        """
        first, second = self.simulation.role("gateway")
        behind, wiped, down = self.simulation.role("storage")
        behind.kill()
        leaseholder = self.simulation.do(first.ctx.replicated_log.acquire(LOG), 10)
        self.simulation.do(leaseholder.append([b"acknowledged"]), 10)
        first.kill()
        down.kill()
        behind.start()
        self.wipe_and_restart(wiped)
        self.simulation.until(
            lambda: wiped.ctx.cluster.sequence and behind.ctx.cluster.sequence, 10, "the storage nodes follow a leader"
        )
        return self.simulation.do(second.ctx.replicated_log.acquire(LOG, lost_leaseholder=first.node), 10).data

    def test_a_wiped_storage_node_grants_no_lease_under_its_former_id(self):
        with self.assertRaises(NoQuorum):
            self.read_after_a_loss()

    def test_without_the_peer_check_an_acknowledged_record_is_lost(self):
        with without_peer_check():
            self.assertNotIn(b"acknowledged", bytes(self.read_after_a_loss()))

    def test_a_wiped_storage_node_does_not_respond_as_witness_or_replica_under_its_former_id(self):
        storage_node, gateway = self.simulation.role("storage")[0], self.simulation.role("gateway")[0]
        lost = storage_node.node
        self.wipe_and_restart(storage_node)
        replicated_log = gateway.ctx.replicated_log
        for method, request, response_type in (
            ("cluster.witness", Empty(), WitnessResponse),
            ("replicated_log.states", StatesRequest(logs=[LOG]), StatesResponse),
        ):
            self.assertIsNotNone(gateway.ctx.membership.find(lost))
            with self.assertRaises(WrongPeer):
                self.simulation.do(replicated_log.call(lost, method, request, response_type), 3)

    def test_calls_of_followers_name_the_node_that_they_are_for(self):
        node_names = []
        original_deliver_call = self.simulation.deliver_call

        def deliver_call(sender, address, method, body, node=""):
            if method in ("controller.follow", "cluster.pass_on"):
                node_names.append(node)
            return original_deliver_call(sender, address, method, body, node)

        with unittest.mock.patch.object(self.simulation, "deliver_call", deliver_call):
            self.simulation.run(1)
        self.assertTrue(node_names)
        self.assertTrue(all(node_names))

    def test_a_follow_call_to_a_wiped_controller_fails_under_its_former_id(self):
        leader, gateway = self.simulation.leader(), self.simulation.role("gateway")[0]
        lost = leader.node
        self.wipe_and_restart(leader)
        request = FollowRequest(node=gateway.node, role="gateway", sequence=1)
        with self.assertRaises(WrongPeer):
            self.simulation.do(
                gateway.ctx.rpc.call(leader.address, "controller.follow", request, FollowResponse, secs(1), node=lost),
                3,
            )
