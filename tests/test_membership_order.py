"""Members by role and status, sorted out once for each change: always what the entries say."""

import unittest
from itertools import product

from testbed.simulator.random_faults import RandomFaults
from testbed.simulator.simulation import Simulation

ROLES = (None, "gateway", "storage", "controller")
STATUSES = (("alive", "suspect"), ("alive",), ("suspect", "gone"), ("alive", "suspect", "gone"))


class Kept(unittest.TestCase):
    def test_what_is_kept_is_what_would_be_sorted_out_now(self):
        beliefs = 0
        for seed in range(3):
            s = Simulation(seed, controllers=3, storage_nodes=3, gateways=4)
            self.addCleanup(s.end)
            s.start()
            s.ready()
            plain_run, looks = s.run, []

            def run(seconds, step=0.005, s=s, plain_run=plain_run, looks=looks):
                for _ in range(int(seconds / 0.05)):
                    plain_run(0.05, step)
                    looks.append(self.look(s))

            s.run = run
            RandomFaults(s, roles=("controller", "gateway", "storage")).during([], faults=6)
            s.run(4)
            beliefs += len(set(looks))
        self.assertGreater(beliefs, 10, "beliefs moved")

    def look(self, s) -> str:
        for a in s.simulated_nodes.values():
            membership = a.ctx.membership
            for role, status, me in product(ROLES, STATUSES, (True, False)):
                self.assertEqual(
                    membership.members(role, status, me),
                    membership.table.select(role, status, me),
                    (a.name, role, status),
                )
        return " ".join(
            f"{e.member.node}{e.state}"
            for a in s.simulated_nodes.values()
            for e in a.ctx.membership.table.peers.values()
        )

    def test_a_list_that_was_handed_out_is_the_callers_own(self):
        s = Simulation(1, controllers=3, storage_nodes=3, gateways=2)
        self.addCleanup(s.end)
        s.start()
        s.ready()
        membership = s.simulated_nodes["gateway0"].ctx.membership
        membership.members("gateway").clear()
        self.assertEqual(len(membership.members("gateway")), 2)


if __name__ == "__main__":
    unittest.main()
