"""Operators' edits that are retried, delayed, reordered, or sent concurrently with the same version or edit id."""

import unittest
from unittest import mock

from klein import Klein
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pipitlink.cluster import ClusterState, cluster_state
from pipitlink.controller.control_api import ControlApi, ControlServer
from pipitlink.http_server import Site
from pipitlink.wire.cluster_pb2 import Command, ConfigEdit, StorageNodeEdit, TableEdit, ZoneEdit
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of

ZONE = "/v1/zones/zone-b/empty"
CONFIG = "/v1/config"


def config_command(edit, base, version, **more):
    return Command(edit=edit, config=ConfigEdit(base=base, version=version, replace_all=True), **more)


class _OperatorEdits(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(41, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.until(
            lambda: len(self.simulation.leader().part.consensus.cluster_state.storage_nodes) == 4,
            20,
            "all storage nodes are admitted",
        )
        self.simulation.run(2)
        self.client = ControlClient(self.simulation)
        self.controllers = self.simulation.role("controller")
        self.leader = self.simulation.leader()
        self.delayed, self.other, *_ = [a for a in self.controllers if a is not self.leader]

    def put(self, config, base, controller=None):
        return self.client.put(controller or self.other, config, base)

    def zone(self, method, controller=None):
        return self.client.call(controller or self.other, method, ZONE)[0]

    def empty(self):
        return "zone-b" in self.simulation.leader().part.consensus.cluster_state.empty_zones

    def version(self):
        return self.simulation.leader().part.consensus.cluster_state.routes.version

    def new_leader(self):
        old = self.simulation.leader()
        old.kill(power=True)
        self.simulation.until(lambda: self.simulation.leader() not in (None, old), 15, "another controller leads")
        self.simulation.run(2)
        old.start()
        self.simulation.until(
            lambda: {a.part.consensus.leader_id for a in self.controllers} == {self.simulation.leader().node},
            5,
            "all controllers follow the leader",
        )

    def arriving_while_frozen(self, controller, *args):
        """Sends a call whose bytes wait in the controller's socket until the controller is resumed."""
        pending = []
        controller.clock.callLater(0, lambda: pending.append(self.client.start_call(controller, *args)))
        return pending


class RepeatedEdits(_OperatorEdits):
    def test_an_edit_that_arrived_before_its_base_version_succeeds_when_retried_after_it(self):
        early = config_of(9, route_of("early"))
        self.put(config_of(3), 0)
        self.assertEqual(self.put(early, 5)[0], 412)
        self.assertEqual(self.put(config_of(5), 3)[0], 200)
        self.assertEqual(self.put(early, 5)[0], 200)
        self.assertEqual(self.version(), 9)

    def test_a_rejected_patch_succeeds_when_it_has_become_valid(self):
        patch = {"version": 9, "puts": {"routes": [route_of("c", "q")]}}
        self.put(config_of(3), 0)
        self.assertEqual(self.client.patch(self.other, patch, 5)[0], 412)
        self.assertEqual(self.put(config_of(5, pools=("p", "q")), 3)[0], 200)
        self.assertEqual(self.client.patch(self.other, patch, 5)[0], 200)

    def test_a_rejected_row_edit_succeeds_under_the_same_id_when_it_has_become_valid(self):
        state = ClusterState()
        early = Command(edit="e", table=TableEdit(base=2, removed_rows=["r"]))
        self.assertEqual(state.apply(1, early).code, "wrong_base")
        state.apply(2, Command(edit="f", table=TableEdit(base=0)))
        self.assertEqual(state.apply(3, early).code, "no_such_row")
        self.assertEqual(state.apply(4, Command(edit="e", table=TableEdit(base=2))).code, "done")

    def test_the_newest_change_is_acknowledged_again_after_any_number_of_other_edits(self):
        with mock.patch.object(cluster_state, "MAX_OUTCOMES", 20):
            newest = config_of(4)
            self.assertEqual(self.put(newest, 0)[0], 200)
            for _ in range(15):
                self.assertEqual(self.zone("PUT"), 200)
                self.assertEqual(self.zone("DELETE"), 200)
            for _ in range(2):
                for controller in self.controllers:
                    self.assertEqual(self.put(newest, 0, controller)[0], 200)
                self.new_leader()
            for a in self.controllers:
                a.kill(power=True)
                a.start()
            self.simulation.ready()
            self.assertEqual(self.put(newest, 0)[0], 200)
            self.assertEqual(self.version(), 4)

    def test_a_retry_is_rejected_again_while_another_version_is_current(self):
        lost = config_of(7, route_of("lost"))
        self.put(config_of(7, route_of("won")), 0)
        for _ in range(2):
            for controller in self.controllers:
                self.assertEqual(self.put(lost, 0, controller)[0], 412)
            self.new_leader()
        self.assertEqual(self.client.get(self.other)[1]["routes"], [route_of("won")])


class ConcurrentEdits(_OperatorEdits):
    def test_two_different_changes_with_one_edit_id_are_not_both_confirmed(self):
        headers = {"If-Match": "0", "Edit-Id": "mine"}
        first = self.client.call(self.other, "PUT", CONFIG, config_of(4, route_of("a")), headers)
        second = self.client.call(self.delayed, "PUT", CONFIG, config_of(4, route_of("b")), headers)
        self.assertEqual(first[0], 200)
        self.assertEqual((second[0], second[1]["error"]["code"]), (409, "edit_id_used"))
        self.assertEqual(self.client.call(self.delayed, "PUT", CONFIG, config_of(4, route_of("a")), headers)[0], 200)

    def test_a_zone_edit_with_the_id_of_another_edit_is_rejected(self):
        headers = {"Edit-Id": "mine"}
        self.assertEqual(self.client.call(self.other, "PUT", ZONE, headers=headers)[0], 200)
        self.assertEqual(self.client.call(self.other, "DELETE", ZONE, headers=headers)[0], 409)
        self.assertTrue(self.empty())

    def test_only_one_of_two_concurrent_retirements_succeeds_if_both_would_leave_too_few_nodes(self):
        for n in range(3):
            with self.subTest(n):
                simulation = Simulation(50 + n, placement_groups=2)
                self.addCleanup(simulation.end)
                simulation.start()
                simulation.ready()
                simulation.until(
                    lambda: len(simulation.leader().part.consensus.cluster_state.storage_nodes) == 4, 20, "admitted"
                )
                simulation.run(2)
                client = ControlClient(simulation)
                pending_calls = [
                    client.start_call(
                        simulation.role("controller")[(n + i) % 4],
                        "POST",
                        f"/v1/storage_nodes/{simulation.simulated_nodes[s].node}/retire",
                    )
                    for i, s in enumerate(("storage1", "storage2"))
                ]
                simulation.until(lambda: all(pending_calls), 10, "both calls are complete")
                self.assertEqual(sorted(b[0][0] for b in pending_calls), [200, 409])
                statuses = simulation.leader().part.consensus.cluster_state.storage_nodes.values()
                self.assertEqual(sum(s != "serving" for s in statuses), 1)

    def test_eight_concurrent_edits_of_two_zones_all_succeed(self):
        pending_calls = [
            self.client.start_call(
                self.controllers[n % 4], "PUT" if n % 3 else "DELETE", f"/v1/zones/zone-{'ab'[n % 2]}/empty"
            )
            for n in range(8)
        ]
        self.simulation.until(lambda: all(pending_calls), 3, "all calls are complete")
        self.assertEqual([b[0][0] for b in pending_calls], [200] * 8)


class DelayedCopies(_OperatorEdits):
    def test_a_copy_queued_in_a_frozen_controllers_socket_does_not_empty_a_zone_again(self):
        self.delayed.freeze()
        self.simulation.run(0.1)
        late = self.arriving_while_frozen(self.delayed, "PUT", ZONE)
        self.simulation.run(1.2)
        self.assertEqual(self.zone("PUT"), 200)
        self.assertEqual(self.zone("DELETE"), 200)
        self.simulation.run(8)
        self.delayed.thaw()
        self.simulation.run(3)
        self.assertFalse(self.empty())
        self.assertEqual(late[0][0][0], 503)
        self.assertEqual(self.zone("PUT", self.delayed), 200)

    def test_a_copy_at_a_controller_frozen_just_after_reading_it_does_not_empty_a_zone_again(self):
        for controller in (self.delayed, self.leader):
            late = self.client.start_call(controller, "PUT", ZONE)
            self.simulation.run(0.005)
            controller.freeze()
            self.simulation.until(
                lambda: self.simulation.leader() not in (None, controller), 15, "another controller leads"
            )
            self.simulation.run(2)
            self.assertEqual(self.zone("PUT"), 200)
            self.assertEqual(self.zone("DELETE"), 200)
            controller.thaw()
            self.simulation.run(3)
            self.assertFalse(self.empty(), controller.name)
            self.assertGreaterEqual(late[0][0], 500)

    def test_a_copy_delayed_on_the_way_to_the_leader_does_not_empty_a_zone_again(self):
        fenced = self.delayed.part.consensus.cluster_state.sequence
        self.assertEqual(self.zone("PUT"), 200)
        self.assertEqual(self.zone("DELETE"), 200)
        late = Command(edit="late", zone=ZoneEdit(zone="zone-b", empty=True), fencing_token=fenced)
        outcome = self.simulation.do(self.leader.part.state_delivery.edit(late))
        self.assertEqual(outcome.code, "late")
        self.assertFalse(self.empty())

    def test_an_edit_is_not_executed_if_its_client_has_disconnected(self):
        late = self.client.start_call(self.delayed, "PUT", ZONE)
        self.simulation.run(0.01)
        late.disconnect()
        self.simulation.run(2)
        self.assertFalse(self.empty())

    def test_a_delayed_copy_of_an_edit_rejected_as_early_does_not_take_effect(self):
        early = config_of(9, route_of("early"))
        self.put(config_of(3), 0)
        delayed = config_command("early", 5, 9, fencing_token=self.delayed.part.consensus.cluster_state.sequence)
        self.assertEqual(self.put(early, 5)[0], 412)
        self.assertEqual(self.put(config_of(5), 3)[0], 200)
        self.assertEqual(self.simulation.do(self.leader.part.state_delivery.edit(delayed)).code, "late")
        self.assertEqual(self.version(), 5)

    def test_a_delayed_retirement_does_not_change_a_retired_storage_node(self):
        state = ClusterState()
        state.apply(1, Command(storage_node=StorageNodeEdit(storage_node="s", status="serving")))
        for sequence, status in ((2, "retiring"), (3, "retired")):
            state.apply(sequence, Command(storage_node=StorageNodeEdit(storage_node="s", status=status)))
        late = Command(edit="l", storage_node=StorageNodeEdit(storage_node="s", status="retiring"), fencing_token=1)
        self.assertEqual(state.apply(4, late).code, "late")
        self.assertEqual(state.storage_nodes, {"s": "retired"})

    def test_a_lagging_controller_executes_an_edit_at_once(self):
        self.simulation.cut([self.leader.name], [self.delayed.name], one_way=True)
        self.simulation.run(0.2)
        self.assertEqual(self.zone("PUT"), 200)
        self.assertLess(
            self.delayed.part.consensus.cluster_state.zones_changed_at,
            self.leader.part.consensus.cluster_state.zones_changed_at,
        )
        self.simulation.heal()
        before = self.simulation.clock.seconds()
        self.assertEqual(self.zone("DELETE", self.delayed), 200)
        self.assertLess(self.simulation.clock.seconds() - before, 0.3)

    def test_an_edit_that_arrives_together_with_its_clients_disconnect_is_not_executed(self):
        app = Klein()
        ControlApi(self.delayed.ctx, self.delayed.part, self.client.control_format).add_routes(app.route)
        for leaves in (True, False):
            connection = Site(app.resource(), 1000).buildProtocol(None)
            transport = StringTransport()
            connection.makeConnection(transport)
            connection.dataReceived(b"PUT %b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" % ZONE.encode())
            if leaves:
                connection.connectionLost(Failure(ConnectionDone()))
            self.simulation.run(1)
            self.assertNotEqual(self.empty(), leaves)
        self.assertIn(b"200 OK", transport.value())
        connection.connectionLost(Failure(ConnectionDone()))

    def test_an_edit_whose_client_disconnects_before_the_commit_is_still_synced_on_the_leader(self):
        part = self.leader.part
        late = self.client.start_call(self.leader, "PUT", ZONE)
        self.simulation.until(lambda: part.log_replication.proposals, 1, "the edit is proposed")
        index = max(part.log_replication.proposals)
        late.disconnect()
        self.simulation.run(1)
        self.assertGreaterEqual(part.log_replication.synced_index, index)


class SnapshotRoundTrip(unittest.TestCase):
    def test_change_sequences_and_outcomes_are_restored_from_a_snapshot(self):
        state = ClusterState()
        state.apply(3, config_command("c", 0, 4))
        state.apply(5, Command(edit="z", zone=ZoneEdit(zone="a", empty=True)))
        state.apply(7, Command(storage_node=StorageNodeEdit(storage_node="s", status="serving")))
        restored = ClusterState(state.data())
        self.assertEqual(
            (restored.config_changed_at, restored.zones_changed_at, restored.storage_nodes_changed_at), (3, 5, 7)
        )
        for late in (
            config_command("n", 4, 9, fencing_token=2),
            Command(edit="n", zone=ZoneEdit(zone="a"), fencing_token=4),
            Command(edit="n", storage_node=StorageNodeEdit(storage_node="s", status="retiring"), fencing_token=6),
        ):
            self.assertEqual(restored.apply(8, late).code, "late")
        self.assertEqual(restored.apply(9, config_command("c", 0, 4, fencing_token=8)).code, "done")
        self.assertEqual(restored.apply(9, config_command("c", 0, 5, fencing_token=8)).code, "edit_id_used")
        self.assertEqual(restored.data().outcomes, state.data().outcomes)


class HeldUpEdits(_OperatorEdits):
    """Edits on real connections to a controller, whose bytes a cut link holds up."""

    def setUp(self):
        super().setUp()
        self.site = ControlServer(self.delayed.ctx, self.delayed.part).build_site()

    def connect(self):
        connection = self.site.buildProtocol(None)
        self.addCleanup(connection.connectionLost, Failure(ConnectionDone()))
        connection.makeConnection(StringTransport())
        return connection

    def send(self, connection, method):
        """Delivers an edit of the zone, and returns the status of its response."""
        connection.transport.clear()
        connection.dataReceived(b"%b %b HTTP/1.1\r\nHost: a\r\n\r\n" % (method, ZONE.encode()))
        self.simulation.run(1)
        return int(connection.transport.value().split(b" ")[1])

    def test_a_copy_that_was_held_up_does_not_undo_a_later_edit(self):
        """Guards against a late copy that is taken for a new edit as its client's disconnection comes later."""
        self.assertEqual(self.put(config_of(1_000_000), 0, self.delayed)[0], 200)
        self.assertEqual(self.zone("PUT"), 200)
        connection = self.connect()
        self.assertEqual(self.zone("DELETE"), 200)
        self.simulation.run(1)
        self.assertEqual(self.zone("PUT"), 200)
        self.simulation.run(1)
        self.assertEqual(self.send(connection, b"DELETE"), 503)
        self.assertTrue(self.empty())

    def test_a_copy_that_was_held_up_on_a_used_connection_does_not_undo_a_later_edit(self):
        connection = self.connect()
        self.assertEqual(self.send(connection, b"PUT"), 200)
        self.assertEqual(self.zone("DELETE"), 200)
        self.assertEqual(self.zone("PUT"), 200)
        self.simulation.run(1)
        self.assertEqual(self.send(connection, b"DELETE"), 503)
        self.assertTrue(self.empty())

    def test_a_client_that_waits_succeeds_at_its_next_attempt(self):
        connection = self.connect()
        self.assertEqual(self.zone("PUT"), 200)
        self.simulation.run(1)
        self.assertEqual(self.send(connection, b"DELETE"), 503)
        self.assertEqual(self.send(connection, b"DELETE"), 200)
        self.assertFalse(self.empty())

    def test_a_connection_that_was_idle_succeeds_at_once_if_nothing_has_changed(self):
        connection = self.connect()
        self.simulation.run(5)
        self.assertEqual(self.send(connection, b"PUT"), 200)
        self.simulation.run(5)
        self.assertEqual(self.send(connection, b"DELETE"), 200)


del _OperatorEdits
