"""A controller is isolated for twenty seconds: its responses meanwhile, and its recovery."""

import unittest
import unittest.mock
from datetime import UTC, datetime

from pipitlink.controller import state_delivery
from pipitlink.controller.gateway_notifier import GatewayNotifier
from pipitlink.controller.log_replication import LogReplication
from pipitlink.errors import PipitlinkError
from pipitlink.timers import secs
from testbed.simulator.simulation import Simulation

from .control_client import config_of, route_of
from .partition_scenario import CUT_DETECTED_S, CUT_DIRECTIONS, CUT_S, ENGINE, MAX_RESPONSE_S, RECOVERY_S, Scenario


class IsolatedController(unittest.TestCase):
    def check(self, role, direction):
        s = Scenario(self)
        simulated_node = s.controller(role)
        s.run_calls(simulated_node, direction)
        self.assertEqual(s.slow_calls(), [])
        self.assertEqual(s.unexpected_responses(), [])
        self.assertIsNot(s.simulation.leader(), None)
        led, term = s.simulation.leader(), s.simulation.leader().part.consensus.term
        self.assertIsNot(led, simulated_node)
        self.assertEqual(s.change_on_newest(led), 200)
        self.assertLess(s.heal_and_time_recovery(simulated_node), RECOVERY_S)
        self.assertEqual(s.client.get(simulated_node)[1]["version"], s.version)
        s.simulation.run(3)
        self.assertEqual(
            (s.simulation.leader(), s.simulation.leader().part.consensus.term),
            (led, term),
            "healing the partition caused an election",
        )
        self.assertEqual(s.client.call(simulated_node, "PUT", "/v1/engines/e9", {**ENGINE, "sequence": 1})[0], 200)
        self.assertEqual(s.client.call(simulated_node, "DELETE", "/v1/engines/e9")[0], 200)

    def test_an_isolated_leader(self):
        for direction in CUT_DIRECTIONS:
            with self.subTest(direction):
                self.check("leader", direction)

    def test_an_isolated_voter(self):
        for direction in CUT_DIRECTIONS:
            with self.subTest(direction):
                self.check("voter", direction)

    def test_an_isolated_standby(self):
        for direction in CUT_DIRECTIONS:
            with self.subTest(direction):
                self.check("standby", direction)

    def test_a_leader_whose_wall_clock_jumps(self):
        s = Scenario(self)
        simulated_node = s.controller("leader")
        for shift in (-86_400, 86_400):
            simulated_node.ctx.timers.utc_now = lambda shift=shift: datetime.fromtimestamp(
                1_700_000_000 + shift + s.now(), UTC
            )
            s.run_calls(simulated_node, "both")
            s.heal_and_time_recovery(simulated_node)
        self.assertEqual(s.slow_calls(), [])

    def test_a_voter_and_the_leader_cut_off_only_from_each_other(self):
        """The other controllers reach both, so there is no election; the voter rejects what it cannot forward."""
        for direction in CUT_DIRECTIONS:
            with self.subTest(direction):
                s = Scenario(self)
                leader, voter = s.controller("leader"), s.controller("voter")
                term = leader.part.consensus.term
                s.run_calls(voter, direction, [leader.name])
                self.assertEqual((s.simulation.leader(), leader.part.consensus.term), (leader, term))
                operator_calls = [c for c in s.calls if c.what in ("GET config", "PUT config", "PUT empty")]
                self.assertEqual(
                    [str(c) for c in operator_calls if c.duration_s is None or c.duration_s > MAX_RESPONSE_S], []
                )
                self.assertEqual(
                    [str(c) for c in operator_calls if c.at > CUT_DETECTED_S and c.pending[0][0] != 503], []
                )
                self.assertLess(s.heal_and_time_recovery(voter), RECOVERY_S)

    def test_a_resumed_leader_responds_with_503_to_calls_queued_while_it_was_frozen(self):
        s = Scenario(self)
        leader = s.controller("leader")
        leader.freeze()
        s.started_at = s.now()
        leader.clock.callLater(0, s.call_all, leader, s.started_at)
        new = s.simulation.until(s.simulation.leader, 10, "another controller leads")
        for _ in range(3):
            self.assertEqual(s.change(new), 200)
        s.run_and_record(CUT_S - 5)
        min_version = s.version
        leader.thaw()
        s.run_and_record(1)
        for c in s.calls:
            c.min_version = min_version
        self.assertEqual([str(c) for c in s.calls if not c.pending], [])
        self.assertEqual(
            [line for line in s.unexpected_responses() if "engine" not in line and "leaving" not in line], []
        )
        self.assertLess(s.heal_and_time_recovery(leader), RECOVERY_S)
        self.assertEqual(s.client.get(leader)[1]["version"], s.version)

    def test_a_leader_that_reaches_only_controllers_does_not_hold_edits(self):
        """It cannot confirm that an edit is in effect, so the outcome is unknown; a retry after the heal succeeds."""
        s = Scenario(self)
        leader = s.controller("leader")
        s.simulation.cut(
            [leader.name], [a.name for a in s.simulation.simulated_nodes.values() if a.role != "controller"]
        )
        s.simulation.run(3)
        edit = (leader, "PUT", "/v1/config", config_of(2, route_of("r2")), {"If-Match": "1"})
        started_at = s.now()
        self.assertEqual(s.client.call(*edit)[0], 503)
        self.assertLess(s.now() - started_at, MAX_RESPONSE_S)
        s.simulation.heal()
        s.simulation.run(2)
        self.assertEqual(s.client.call(*edit)[0], 200)


class RenewalsOnly(unittest.TestCase):
    def last_acknowledged(self, role=None) -> float:
        """Returns how long after a cut a controller still acknowledges the unchanged renewals of an engine."""
        s = Scenario(self)
        voter = s.controller("voter")
        others = [a.name for a in s.simulation.role(role)] if role else None
        last = 0.0
        for n in range(16):
            if n == 4:
                s.cut(voter, "both", others)
            status, _ = s.client.call(voter, "PUT", "/v1/engines/e1", {**ENGINE, "sequence": n})
            last = (n - 4) * 0.5 if status == 200 else last
            s.simulation.run(0.5)
        return last

    def test_renewals_are_rejected_before_the_engine_counts_as_silent(self):
        for role in (None, "gateway"):
            with self.subTest(cut_off_from=role or "all"):
                self.assertLess(self.last_acknowledged(role), 2.5)

    def test_without_calls_unanswered_notifications_are_acknowledged_for_too_long(self):
        with unittest.mock.patch.object(GatewayNotifier, "_gateways_to_call", lambda self, gateways: []):
            for role in (None, "gateway"):
                self.assertGreater(self.last_acknowledged(role), 2.5)


class DisabledGuards(unittest.TestCase):
    """Each guard is disabled in turn: the scenario must then show the failure that the guard prevents."""

    def slow_calls(self, role, direction, *patch):
        s = Scenario(self)
        with unittest.mock.patch.object(*patch):
            s.run_calls(s.controller(role), direction, changing=False)
        return s.slow_calls()

    def test_edits_are_held_if_contact_is_not_checked(self):
        found = self.slow_calls(
            "voter", "both", LogReplication, "has_contact", lambda self: bool(self._consensus.leader_id)
        )
        self.assertTrue(any("PUT config" in line for line in found), found)

    def test_edits_are_held_if_one_direction_counts_as_contact(self):
        found = self.slow_calls("voter", "out", LogReplication, "_last_response_age_ms", lambda self, node: 0)
        self.assertTrue(any("PUT config" in line for line in found), found)

    def test_edits_are_held_for_seconds_without_their_timeout(self):
        with unittest.mock.patch.object(state_delivery, "OPERATOR_EDIT_TIMEOUT", secs(5)):
            s = Scenario(self)
            leader = s.controller("leader")
            s.simulation.cut(
                [leader.name], [a.name for a in s.simulation.simulated_nodes.values() if a.role != "controller"]
            )
            s.simulation.run(3)
            started_at = s.now()
            edit = (leader, "PUT", "/v1/config", config_of(2, route_of("r2")), {"If-Match": "1"})
            self.assertEqual(s.client.call(*edit)[0], 503)
            self.assertGreater(s.now() - started_at, MAX_RESPONSE_S)

    def test_announcements_that_reach_no_gateway_are_acknowledged(self):
        s = Scenario(self)
        with unittest.mock.patch.object(GatewayNotifier, "reaches_majority", lambda self: True):
            s.run_calls(s.controller("voter"), "both", changing=False)
        self.assertTrue(any("PUT engine" in line for line in s.unexpected_responses()), s.unexpected_responses())


class LeavingEngines(unittest.TestCase):
    """Leaving engines at a controller that reaches only some of the gateways."""

    def leaving_statuses(self, reached=1):
        """Returns the statuses of a leaving engine's calls to a controller cut off together with `reached` gateways."""
        s = Scenario(self)
        controller = s.controller("voter")
        side = [controller.name, *(g.name for g in s.simulation.role("gateway")[:reached])]
        s.simulation.cut(side, [a for a in s.simulation.simulated_nodes if a not in side])
        out = []
        for n in range(4):
            out.append(
                s.client.call(controller, "PUT", "/v1/engines/e1", {**ENGINE, "state": "leaving", "sequence": n})
            )
            s.simulation.run(4)
        return [status for status, _ in out]

    def test_leaving_is_acknowledged_only_if_a_majority_of_gateways_is_reached(self):
        self.assertEqual(self.leaving_statuses(reached=1), [503] * 4)
        self.assertEqual(self.leaving_statuses(reached=2)[0], 200)

    def test_without_the_guard_one_gateway_is_enough(self):
        with unittest.mock.patch.object(GatewayNotifier, "is_majority", lambda self, nodes: bool(list(nodes))):
            self.assertIn(200, self.leaving_statuses(reached=1))


class StartingNodes(unittest.TestCase):
    def test_a_starting_gateway_that_reaches_only_an_isolated_controller_does_not_serve(self):
        for role in ("leader", "voter"):
            with self.subTest(role):
                s = Scenario(self)
                controller, gateway = s.controller(role), s.simulation.role("gateway")[0]
                gateway.kill()
                side = [controller.name, gateway.name]
                s.simulation.cut(side, [a for a in s.simulation.simulated_nodes if a not in side])
                gateway.start()
                for _ in range(int(CUT_S)):
                    s.simulation.run(1)
                    self.assertFalse(gateway.ctx.cluster.usable())
                s.simulation.heal()
                s.simulation.until(lambda g=gateway: g.ctx.cluster.ready(), 5, "it serves with the newest state")

    def write_on_both_sides(self):
        """A storage node and a gateway are isolated until the node's replica has been moved. Then a storage node of the
        new placement restarts and reaches only them. Returns whether a write was acknowledged on each side.
        """
        simulation = Simulation(5, controllers=3, storage_nodes=4, gateways=2, placement_groups=1)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(6)
        group = simulation.leader().part.consensus.cluster_state.placement_group(0)
        storage_nodes = {a.node: a for a in simulation.role("storage")}
        first, _, isolated = (storage_nodes[n] for n in group.storage_nodes)
        old, new = simulation.role("gateway")
        side = [isolated.name, old.name]
        simulation.cut(side, [a for a in simulation.simulated_nodes if a not in side])
        simulation.until(
            lambda: isolated.node not in simulation.leader().part.consensus.cluster_state.placement_group(0).all_nodes,
            40,
            "its replica is moved",
        )
        simulation.run(1)
        first.kill()
        side.append(first.name)
        simulation.heal()
        simulation.cut(side, [a for a in simulation.simulated_nodes if a not in side])
        first.start()
        simulation.run(1)
        return [self.written(simulation, g) for g in (old, new)]

    def written(self, simulation, gateway) -> bool:
        async def write():
            h = await gateway.ctx.replicated_log.acquire("log", lost_leaseholder="")
            return await h.append([gateway.name.encode()])

        try:
            simulation.do(write(), 20)
        except PipitlinkError:
            return False
        return True

    def test_a_restarted_storage_node_that_reaches_only_outdated_nodes_accepts_no_write(self):
        self.assertEqual(self.write_on_both_sides(), [False, True])

    def test_without_the_guard_both_sides_write_the_same_log(self):
        with unittest.mock.patch("pipitlink.cluster.ClusterFollower.caught_up", True):
            self.assertEqual(self.write_on_both_sides(), [True, True])
