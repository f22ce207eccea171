"""What a large cluster sends at rest and with open batches, and that it still finds in time what ended."""

import unittest
from collections import Counter

from pipitlink.timers import ms
from testbed.simulator.simulation import Simulation

from .batch_builders import BatchClients, start_simulation

SPAN = 8
GATEWAYS = 48


class Large(unittest.TestCase):
    def count(self, simulation) -> dict:
        """Calls and notes that a node of each role sends in a second."""
        counts: Counter = Counter()
        simulation.watch_calls = lambda sender, method: counts.update([(sender.role, method)])
        simulation.run(SPAN)
        simulation.watch_calls = None
        return {k: n / SPAN / len(simulation.role(k[0])) for k, n in counts.items()}

    def test_a_dead_node_is_gone_at_every_node_in_time(self):
        """It took 1.9 to 4.1 s over 4 seeds; in the simulation all probe at the same moments, which spreads it most."""
        for seed in range(3):
            simulation = Simulation(seed, controllers=3, storage_nodes=5, gateways=GATEWAYS)
            self.addCleanup(simulation.end)
            simulation.start()
            simulation.ready(60)
            simulation.run(6)
            dead = [simulation.simulated_nodes["storage1"], simulation.simulated_nodes["gateway7"]]
            for node in dead:
                node.kill()
            rest = [node for node in simulation.simulated_nodes.values() if node.alive]
            simulation.until(
                lambda: all(node.ctx.membership.status(d.node) == "gone" for node in rest for d in dead),
                4,
                "they are gone",
            )

    def test_a_nodes_messages_at_rest(self):
        simulation = Simulation(5, controllers=3, storage_nodes=5, gateways=GATEWAYS)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready(60)
        simulation.run(12)
        rates = self.count(simulation)
        for role in ("controller", "storage", "gateway"):
            self.assertLessEqual(rates[role, "membership.probe"], 2.6, role)
        self.assertLessEqual(rates["gateway", "controller.follow"], 2.0)
        self.assertLessEqual(sum(n for (role, _), n in rates.items() if role == "gateway"), 4.8)

    def test_open_batches_are_listed_as_often_by_all_together_and_what_is_left_over_is_taken_up(self):
        simulation = start_simulation(6, gateways=GATEWAYS, settle=14.0)
        self.addCleanup(simulation.end)
        simulation.event_interval = ms(3000)
        clients = BatchClients(simulation)
        name = clients.new_batch(6)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        simulation.run(1)
        storage_nodes = len(simulation.role("storage"))
        self.assertLessEqual(self.count(simulation)["gateway", "replicated_log.list"], storage_nodes / 3 + 0.1)
        owner = next(node for node in simulation.role("gateway") if name in node.part.batches)
        owner.kill()

        def taken_up():
            return any(name in node.part.batches for node in simulation.role("gateway", alive=True))

        simulation.until(taken_up, 8, "another gateway has it")


if __name__ == "__main__":
    unittest.main()
