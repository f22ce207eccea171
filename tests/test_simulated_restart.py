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
        for controller in controllers:
            controller.kill(power=True)
        simulation.run(1.5)
        for controller in controllers:
            controller.start()

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
                simulation.until(simulation.leader, 0.55, "a leader after a restart with one disk lost")

    def test_a_controller_that_starts_alone_does_not_put_the_leader_aside(self):
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

    def test_two_that_started_wait_out_a_leader_that_they_cannot_hear(self):
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
                    "another leader in time",
                )


if __name__ == "__main__":
    unittest.main()
