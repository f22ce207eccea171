"""Cached member selections by role and status always equal a selection without the cache."""

import unittest
from itertools import product

from testbed.simulator.random_faults import RandomFaults
from testbed.simulator.simulation import Simulation

ROLES = (None, "gateway", "storage", "controller")
STATUSES = (("alive", "suspect"), ("alive",), ("suspect", "gone"), ("alive", "suspect", "gone"))


class CachedSelections(unittest.TestCase):
    def test_cached_selections_are_current(self):
        distinct_views = 0
        for seed in range(3):
            simulation = Simulation(seed, controllers=3, storage_nodes=3, gateways=4)
            self.addCleanup(simulation.end)
            simulation.start()
            simulation.ready()
            plain_run, snapshots = simulation.run, []

            def run(seconds, step=0.005, simulation=simulation, plain_run=plain_run, snapshots=snapshots):
                for _ in range(int(seconds / 0.05)):
                    plain_run(0.05, step)
                    snapshots.append(self.check_members(simulation))

            simulation.run = run
            RandomFaults(simulation, roles=("controller", "gateway", "storage")).run_with_faults([], faults=6)
            simulation.run(4)
            distinct_views += len(set(snapshots))
        self.assertGreater(distinct_views, 10, "member statuses changed during the run")

    def check_members(self, simulation) -> str:
        for member in simulation.simulated_nodes.values():
            membership = member.ctx.membership
            for role, status, include_self in product(ROLES, STATUSES, (True, False)):
                self.assertEqual(
                    membership.members(role, status, include_self),
                    membership.table.select(role, status, include_self),
                    (member.name, role, status),
                )
        return " ".join(
            f"{peer.member.node}{peer.state}"
            for member in simulation.simulated_nodes.values()
            for peer in member.ctx.membership.table.peers.values()
        )

    def test_changing_a_returned_list_does_not_affect_the_cache(self):
        simulation = Simulation(1, controllers=3, storage_nodes=3, gateways=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        membership = simulation.simulated_nodes["gateway0"].ctx.membership
        membership.members("gateway").clear()
        self.assertEqual(len(membership.members("gateway")), 2)


if __name__ == "__main__":
    unittest.main()
