"""How soon controllers elect a leader after a restart of all of them, and that restarts do not depose a live leader."""

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
        for controller in controllers:
            controller.kill(power=True)
        simulation.run(1.5)
        for controller in controllers:
            controller.start()

    def test_controllers_restarted_together_elect_a_leader_within_half_a_second(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                self._restart(simulation, simulation.role("controller"))
                simulation.until(simulation.leader, 0.55, "a leader is elected after a restart of all controllers")

    def test_a_voter_that_restarts_with_an_empty_disk_does_not_delay_the_election(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                voters = [
                    controller
                    for controller in simulation.role("controller")
                    if controller.node in simulation.leader().part.consensus.voters()
                ]
                for controller in simulation.role("controller"):
                    controller.kill(power=True)
                simulation.run(1.5)
                voters[seed % len(voters)].wipe()
                for controller in simulation.role("controller"):
                    controller.start()
                simulation.until(simulation.leader, 0.55, "a leader is elected after a restart with one disk lost")

    def test_a_restarted_controller_does_not_depose_the_leader(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                leader = simulation.leader()
                term = leader.part.consensus.term
                others = [
                    controller
                    for controller in simulation.role("controller")
                    if controller is not leader and controller.node in leader.part.consensus.voters()
                ]
                for controller in others[:1]:
                    controller.kill(power=True)
                    controller.start()
                simulation.run(2)
                self.assertIs(simulation.leader(), leader)
                self.assertEqual(leader.part.consensus.term, term)

    def test_restarted_controllers_wait_before_they_replace_an_unreachable_leader(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._start_cluster(seed)
                leader = simulation.leader()
                others = [controller for controller in simulation.role("controller") if controller is not leader]
                simulation.cut([leader.name], [controller.name for controller in others])
                for controller in others:
                    controller.kill(power=True)
                    controller.start()
                simulation.run(0.55)
                self.assertFalse(
                    [controller.name for controller in others if controller.part.consensus.role == "leader"]
                )
                simulation.until(
                    lambda: [controller for controller in others if controller.part.consensus.role == "leader"],
                    6,
                    "another leader is elected",
                )


if __name__ == "__main__":
    unittest.main()
