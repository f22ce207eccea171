"""How soon another gateway adopts a batch whose owner is gone."""

import unittest

from .batch_builders import BatchClients, start_simulation


class BatchAdoption(unittest.TestCase):
    def simulation(self, seed):
        simulation = start_simulation(seed)
        self.addCleanup(simulation.end)
        simulation.break_probability = 0
        return simulation, BatchClients(simulation)

    def owner(self, simulation, name):
        return next(
            (
                node
                for node in simulation.role("gateway", alive=True)
                if (o := node.part.batches.get(name)) and o.leaseholder.is_held()
            ),
            None,
        )

    def test_a_batch_is_adopted_as_soon_as_the_membership_reports_its_owner_gone(self):
        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                simulation, clients = self.simulation(seed)
                simulation.event_interval = simulation.event_interval * 20
                name = clients.new_batch(30)
                self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
                simulation.run(0.4)
                first_owner = self.owner(simulation, name)
                first_owner.kill()
                killed_at = simulation.clock.seconds()
                other = next(node for node in simulation.role("gateway", alive=True))
                simulation.until(
                    lambda: other.ctx.membership.status(first_owner.node) == "gone", 4, "the owner is reported gone"
                )
                simulation.until(lambda: self.owner(simulation, name), 1.7, "another gateway owns the batch")
                self.assertLess(simulation.clock.seconds() - killed_at, 4.2)
                simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
                self.assertEqual(clients.violations, [])

    def test_a_batch_is_adopted_after_a_power_loss_of_all_nodes_without_waiting_for_leases_to_expire(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                simulation, clients = self.simulation(seed)
                simulation.event_interval = simulation.event_interval * 20
                name = clients.new_batch(30)
                self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
                simulation.run(0.3)
                for node in simulation.simulated_nodes.values():
                    node.kill(power=True)
                simulation.run(0.5)
                for node in simulation.simulated_nodes.values():
                    node.start()
                simulation.until(
                    lambda: all(node.ctx.cluster.ready() for node in simulation.role("gateway", alive=True)),
                    10,
                    "ready",
                )
                simulation.until(lambda: self.owner(simulation, name), 2.6, "a gateway owns the batch")
                simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
                self.assertEqual(clients.violations, [])


if __name__ == "__main__":
    unittest.main()
