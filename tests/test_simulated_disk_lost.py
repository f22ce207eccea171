"""A storage node loses its disk while all machines are down.

Its placement groups must get a replacement for it soon after the restart, and no lease may expire because of that work.
"""

import unittest

from testbed.simulator.random_faults import seeds

from .batch_builders import BatchClients, start_simulation

SEEDS = seeds(3)


class DiskLost(unittest.TestCase):
    def test_the_lost_storage_node_is_replaced_first_and_no_lease_expires_meanwhile(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = start_simulation(seed, named=True)
                self.addCleanup(simulation.end)
                simulation.until(
                    lambda: len(self._leader(simulation).consensus.cluster_state.storage_node_names) == 4,
                    20,
                    "names are in the cluster state",
                )
                clients = BatchClients(simulation)
                simulation.break_probability, simulation.event_interval = 0, simulation.event_interval * 5
                for a in simulation.simulated_nodes.values():
                    a.kill(power=True)
                lost = simulation.role("storage")[seed % 3]
                was = lost.node
                lost.wipe()
                simulation.run(1)
                for a in simulation.simulated_nodes.values():
                    a.start()
                simulation.until(
                    lambda: all(a.ctx.cluster.ready() for a in simulation.role("gateway", alive=True)), 10, "ready"
                )
                names = [clients.new_batch(8) for _ in range(6)]
                for name in names:
                    self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
                simulation.until(
                    lambda: (
                        not any(
                            was in s.storage_nodes
                            for s in self._leader(simulation).consensus.cluster_state.placement_groups.values()
                        )
                    ),
                    6,
                    "no placement group contains the lost storage node",
                )
                simulation.until(
                    lambda: all(clients.read_if_complete(n) for n in names), 40, "all batches are complete"
                )
                ran_out = [x for x in simulation.sink.lines if "lease_lost" in x and "ran out" in x]
                self.assertEqual(ran_out, [])
                self.assertEqual(clients.violations, [])

    def _leader(self, simulation):
        return simulation.until(simulation.leader, 5, "a leader").part


if __name__ == "__main__":
    unittest.main()
