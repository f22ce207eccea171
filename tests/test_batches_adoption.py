"""How soon another gateway adopts a batch whose owner is gone."""

import unittest
from unittest import mock

from .batch_builders import BatchClients, start_simulation


class BatchAdoption(unittest.TestCase):
    def simulation(self, seed, **args):
        simulation = start_simulation(seed, **args)
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

    def accept_at_last_rank(self, simulation, clients):
        """Has a batch accepted by the gateway that would be the last one to adopt it; returns both."""
        gateways = simulation.role("gateway")
        nodes = [node.node for node in gateways]
        while True:
            name = clients.new_batch(9)
            last = max(gateways, key=lambda node: node.part.service.adopter._adoption_rank(name, nodes))
            if simulation.do(clients.submit_batch(name, last)) == 202 and self.owner(simulation, name) is last:
                return name, last

    def test_a_gateway_whose_own_lease_has_no_batch_adopts_it_without_waiting_for_its_turn(self):
        """Guards against a batch that no other gateway adopts, since its lease is renewed, while its owner waits."""
        simulation, clients = self.simulation(5, gateways=5)
        simulation.event_interval = simulation.event_interval * 20
        name, owner = self.accept_at_last_rank(simulation, clients)
        batch = owner.part.batches.pop(name)
        batch.waiting.clear()
        batch.cancel_running()
        simulation.until(lambda: self.owner(simulation, name), 2.6, "the gateway owns the batch again")
        self.assertIs(self.owner(simulation, name), owner)
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        self.assertEqual(clients.violations, [])

    def test_a_batch_with_a_lost_lease_in_the_table_is_adopted_again(self):
        """Guards against a batch that its only gateway takes for owned, though its lease is lost."""
        simulation, clients = self.simulation(6, gateways=1)
        simulation.event_interval = simulation.event_interval * 20
        name = clients.new_batch(9)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        leaseholder = self.owner(simulation, name).part.batches[name].leaseholder
        with mock.patch.object(leaseholder, "_call_watchers"):
            leaseholder.invalidate("not reported")
        simulation.until(lambda: self.owner(simulation, name), 6, "the gateway owns the batch again")
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        self.assertEqual(clients.violations, [])

    def test_a_batch_whose_outputs_fail_to_be_written_by_an_unexpected_error_is_finished(self):
        """Guards against items that count as finished, but whose outputs nobody writes any more."""
        simulation, clients = self.simulation(7)
        name = clients.new_batch(9)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        leaseholder = self.owner(simulation, name).part.batches[name].leaseholder
        with mock.patch.object(leaseholder, "append", side_effect=RuntimeError("unexpected")) as append:
            simulation.until(lambda: append.called, 5, "outputs are written")
        simulation.until(lambda: clients.read_if_complete(name), 20, "all outputs are listed")
        self.assertEqual(clients.violations, [])


if __name__ == "__main__":
    unittest.main()
