"""How soon the controllers lead again after all of them ended, and that nobody else's leader is put aside by it."""

import unittest

from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Simulation

SEEDS = seeds(4)


class Restart(unittest.TestCase):
    def _start_cluster(self, seed):
        simulation = Simulation(seed, controllers=4, storage_nodes=3, gateways=1)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(1)
        return simulation

    def _restart(self, simulation, controllers):
        for a in controllers:
            a.kill(power=True)
        simulation.run(1.5)
        for a in controllers:
            a.start()

    def test_all_controllers_that_started_together_lead_within_half_a_second(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                self._restart(simulation, simulation.role("controller"))
                simulation.until(simulation.leader, 0.55, "a leader after a restart of all controllers")

    def test_a_voter_that_came_back_empty_need_not_be_waited_out(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                voters = [
                    a for a in simulation.role("controller") if a.node in simulation.leader().part.consensus.voters()
                ]
                for a in simulation.role("controller"):
                    a.kill(power=True)
                simulation.run(1.5)
                voters[seed % len(voters)].wipe()
                for a in simulation.role("controller"):
                    a.start()
                simulation.until(simulation.leader, 0.55, "a leader after a restart with one disk lost")

    def test_a_controller_that_starts_alone_does_not_put_the_leader_aside(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                leader = simulation.leader()
                term = leader.part.consensus.term
                others = [
                    a
                    for a in simulation.role("controller")
                    if a is not leader and a.node in leader.part.consensus.voters()
                ]
                for a in others[:1]:
                    a.kill(power=True)
                    a.start()
                simulation.run(2)
                self.assertIs(simulation.leader(), leader)
                self.assertEqual(leader.part.consensus.term, term)

    def test_two_that_started_wait_out_a_leader_that_they_cannot_hear(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                leader = simulation.leader()
                others = [a for a in simulation.role("controller") if a is not leader]
                simulation.cut([leader.name], [a.name for a in others])
                for a in others:
                    a.kill(power=True)
                    a.start()
                simulation.run(0.55)
                self.assertFalse([a.name for a in others if a.part.consensus.role == "leader"])
                simulation.until(
                    lambda: [a for a in others if a.part.consensus.role == "leader"], 6, "another leader in time"
                )


if __name__ == "__main__":
    unittest.main()
