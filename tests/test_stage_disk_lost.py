"""A storage node's disk is lost while all machines are down: its placement groups are made whole first, and leases
outlast that.
"""

import unittest

from testbed.simulator.random_faults import seeds

from .batch_parts import Callers, staged

SEEDS = seeds(3)


class DiskLost(unittest.TestCase):
    def test_the_lost_storage_nodes_place_is_filled_first_and_no_lease_runs_out_over_it(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                stage = staged(seed, named=True)
                self.addCleanup(stage.end)
                stage.until(
                    lambda: len(self._leader(stage).consensus.cluster_state.storage_node_names) == 4,
                    20,
                    "names are in the cluster state",
                )
                c = Callers(stage)
                stage.breaks, stage.step = 0, stage.step * 5
                for a in stage.actors.values():
                    a.kill(power=True)
                lost = stage.role("storage")[seed % 3]
                was = lost.node
                lost.wipe()
                stage.run(1)
                for a in stage.actors.values():
                    a.start()
                stage.until(lambda: all(a.ctx.cluster.ready() for a in stage.role("gateway", alive=True)), 10, "ready")
                names = [c.lot(8) for _ in range(6)]
                for name in names:
                    self.assertEqual(stage.do(c.hand_in(name)), 202)
                stage.until(
                    lambda: (
                        not any(
                            was in s.storage_nodes
                            for s in self._leader(stage).consensus.cluster_state.placement_groups.values()
                        )
                    ),
                    6,
                    "no placement group counts on the lost storage node",
                )
                stage.until(lambda: all(c.whole(n) for n in names), 40, "all is listed")
                ran_out = [x for x in stage.sink.lines if "lease_lost" in x and "ran out" in x]
                self.assertEqual(ran_out, [])
                self.assertEqual(c.wrong, [])

    def _leader(self, stage):
        return stage.until(stage.leader, 5, "a leader").part


if __name__ == "__main__":
    unittest.main()
