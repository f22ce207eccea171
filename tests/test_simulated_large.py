"""The message rates of a large cluster, idle and with open batches, and its detection of dead nodes and orphans."""

import unittest
from collections import Counter

from pipitlink.timers import ms
from testbed.simulator.simulation import Simulation

from .batch_builders import BatchClients, start_simulation

MEASUREMENT_S = 8
GATEWAYS = 48


class Large(unittest.TestCase):
    def message_rates(self, simulation) -> dict:
        """Returns the rates per second of RPC calls and notifications that a node sends, by role and method."""
        counts: Counter = Counter()
        simulation.watch_calls = lambda sender, method: counts.update([(sender.role, method)])
        simulation.run(MEASUREMENT_S)
        simulation.watch_calls = None
        return {k: n / MEASUREMENT_S / len(simulation.role(k[0])) for k, n in counts.items()}

    def test_every_node_reports_a_dead_node_as_gone_in_time(self):
        """Detection takes 1.9 to 4.1 s, since all simulated nodes probe at the same moments, which varies it most."""
        for seed in range(3):
            simulation = Simulation(seed, controllers=3, storage_nodes=5, gateways=GATEWAYS)
            self.addCleanup(simulation.end)
            simulation.start()
            simulation.ready(60)
            simulation.run(6)
            dead = [simulation.simulated_nodes["storage1"], simulation.simulated_nodes["gateway7"]]
            for node in dead:
                node.kill()
            remaining = [node for node in simulation.simulated_nodes.values() if node.alive]
            simulation.until(
                lambda: all(node.ctx.membership.status(d.node) == "gone" for node in remaining for d in dead),
                4,
                "all nodes report the dead nodes as gone",
            )

    def test_the_messages_of_an_idle_node_are_limited(self):
        simulation = Simulation(5, controllers=3, storage_nodes=5, gateways=GATEWAYS)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready(60)
        simulation.run(12)
        rates = self.message_rates(simulation)
        for role in ("controller", "storage", "gateway"):
            self.assertLessEqual(rates[role, "membership.probe"], 2.6, role)
        self.assertLessEqual(rates["gateway", "controller.follow"], 2.0)
        self.assertLessEqual(sum(n for (role, _), n in rates.items() if role == "gateway"), 4.8)

    def test_the_rate_of_listings_is_limited_and_an_orphan_batch_is_adopted(self):
        simulation = start_simulation(6, gateways=GATEWAYS, settle_s=14.0)
        self.addCleanup(simulation.end)
        simulation.event_interval = ms(3000)
        clients = BatchClients(simulation)
        name = clients.new_batch(6)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        simulation.run(1)
        storage_node_count = len(simulation.role("storage"))
        self.assertLessEqual(
            self.message_rates(simulation)["gateway", "replicated_log.list"], storage_node_count / 3 + 0.1
        )
        owner = next(node for node in simulation.role("gateway") if name in node.part.batches)
        owner.kill()

        def is_adopted():
            return any(name in node.part.batches for node in simulation.role("gateway", alive=True))

        simulation.until(is_adopted, 8, "another gateway owns the batch")


if __name__ == "__main__":
    unittest.main()
