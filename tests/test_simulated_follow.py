"""Follow requests that a leader holds for a long time, and the leases that start from its responses."""

import unittest
from unittest import mock

from pipitlink.cluster import ClusterFollower, ClusterState
from pipitlink.cluster.currency import FOLLOWER_LEASE_DURATION
from pipitlink.cluster.follower import MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT
from pipitlink.cluster.state_transfer import StateTransfer
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import ClusterStateData, Delta, FollowResponse, StateChunk
from testbed.simulator.simulation import Simulation

from . import test_simulated_controllers as under_faults
from .test_simulated_controllers import edit_of


def long_follow_waits():
    return mock.patch("pipitlink.cluster.follower.MIN_FOLLOW_WAIT", MAX_FOLLOW_WAIT)


class InitialState(unittest.TestCase):
    def test_a_follower_gets_the_bootstrapped_state_together_with_the_first_change(self):
        """The leader created the transfer before the first commit, and sends the change along with it."""
        simulation = Simulation(4, controllers=3, storage_nodes=1, gateways=1, placement_groups=1)
        self.addCleanup(simulation.end)
        simulation.start()
        initial = ClusterState(ClusterStateData(voters=["a", "b", "c"]))
        chunk = StateTransfer.compress(initial, 1).chunk_after(StateChunk())
        first = Delta(sequence=1, command=edit_of("r", 0, "m"))
        follower = ClusterFollower(simulation.role("gateway")[0].ctx)
        self.assertTrue(follower.apply_response(FollowResponse(sequence=1, chunk=chunk, deltas=[first])))
        self.assertEqual((follower.sequence, follower.cluster_state.voters), (1, ("a", "b", "c")))


class LongFollowWaits(unittest.TestCase):
    def simulation(self, gateways=3, seed=4):
        simulation = Simulation(seed, controllers=3, storage_nodes=3, gateways=gateways, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(2)
        return simulation

    def request_rate(self, simulation, seconds) -> float:
        """Returns the number of follow requests per second and gateway."""
        requests = []
        simulation.watch_calls = lambda sender, method: (
            sender.role == "gateway" and method == "controller.follow" and requests.append(sender.name)
        )
        simulation.run(seconds)
        simulation.watch_calls = None
        return len(requests) / seconds / len(simulation.role("gateway"))

    def test_gateways_of_a_large_cluster_send_fewer_requests_and_always_hold_a_proof(self):
        small_cluster_rate = self.request_rate(self.simulation(4), 5)
        self.assertAlmostEqual(small_cluster_rate, 1 / MIN_FOLLOW_WAIT.total_seconds(), delta=0.2)
        simulation = self.simulation(60)
        self.assertAlmostEqual(self.request_rate(simulation, 5), 1 / MAX_FOLLOW_WAIT.total_seconds(), delta=0.2)
        for _ in range(40):
            simulation.run(0.05)
            self.assertEqual(
                {a.ctx.cluster.ready() and a.ctx.cluster.state for a in simulation.role("gateway")}, {"led"}
            )

    def test_an_edit_is_in_effect_soon_although_requests_are_held_long(self):
        with long_follow_waits():
            simulation = self.simulation()
            leader = simulation.leader().part
            for n in range(5):
                simulation.run(0.13)
                started_at = simulation.clock.seconds()
                simulation.do(
                    leader.state_delivery.edit(
                        edit_of("row", leader.consensus.cluster_state.table_sequence, f"edit{n}")
                    )
                )
                self.assertLess(simulation.clock.seconds() - started_at, 0.1)

    def test_an_edit_waits_for_the_lease_of_a_gateway_that_was_cut_off_just_after_a_response(self):
        """The lease starts at the response on both sides, and ends at the gateway before it ends at the leader."""
        with long_follow_waits():
            simulation = self.simulation()
            gateway, leader = simulation.role("gateway")[0], simulation.leader()
            cluster = gateway.ctx.cluster
            others = [a for a in simulation.simulated_nodes if a != gateway.name]
            for event in ("a request is held", "it got a response, and its next request is lost"):
                before = cluster.currency.leased_at
                simulation.until(lambda before=before: cluster.currency.leased_at != before, 2, event)
                simulation.run(0.02)
                simulation.cut([gateway.name], others, one_way=True)
            simulation.cut([gateway.name], others)
            results = []
            spawn(
                leader.part.state_delivery.edit(edit_of("row", leader.part.consensus.cluster_state.table_sequence, "e"))
            ).addBoth(results.append)
            led_steps = 0
            while not results:
                simulation.run(0.01)
                led_steps += cluster.ready() and cluster.state == "led"
            self.assertEqual(results[0].code, "done")
            self.assertLess(cluster.sequence, leader.part.consensus.cluster_state.sequence)
            self.assertFalse(cluster.ready() and cluster.state == "led", "it lacks an acknowledged edit")
            self.assertGreater(
                led_steps * 0.01, FOLLOWER_LEASE_DURATION.total_seconds() - 0.1, "its lease starts at the response"
            )

    def test_a_leader_that_steps_down_releases_the_requests_that_it_holds(self):
        with long_follow_waits():
            simulation = self.simulation()
            leader = simulation.leader()
            simulation.until(lambda: len(leader.part.state_delivery.pending_requests) >= 5, 2, "requests are held")
            leader.part.consensus.step_down()
            simulation.run(0.01)
            self.assertEqual(len(leader.part.state_delivery.pending_requests), 0)


class LongFollowWaitsUnderFaults(under_faults.ClusterUnderFaults):
    """Runs the fault tests with long waits."""

    def setUp(self):
        patched = long_follow_waits()
        patched.start()
        self.addCleanup(patched.stop)


if __name__ == "__main__":
    unittest.main()
