"""How soon a batch whose owner is gone is run on by another gateway."""

import unittest

from .batch_builders import Callers, start_simulation


class TakenUp(unittest.TestCase):
    def start_cluster(self, seed):
        simulation = start_simulation(seed)
        self.addCleanup(simulation.end)
        simulation.breaks = 0
        return simulation, Callers(simulation)

    def owner(self, simulation, name):
        return next(
            (
                a
                for a in simulation.role("gateway", alive=True)
                if (o := a.part.batches.get(name)) and o.leaseholder.is_held()
            ),
            None,
        )

    def test_a_killed_owner_is_followed_as_soon_as_the_membership_has_it_for_gone(self):
        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                simulation, c = self.start_cluster(seed)
                simulation.step = simulation.step * 20
                name = c.lot(30)
                self.assertEqual(simulation.do(c.hand_in(name)), 202)
                simulation.run(0.4)
                first = self.owner(simulation, name)
                first.kill()
                at = simulation.clock.seconds()
                other = next(a for a in simulation.role("gateway", alive=True))
                simulation.until(
                    lambda: other.ctx.membership.status(first.node) == "gone", 4, "the membership has it for gone"
                )
                simulation.until(lambda: self.owner(simulation, name), 1.7, "another gateway owns it")
                self.assertLess(simulation.clock.seconds() - at, 4.2)
                simulation.until(lambda: c.whole(name), 30, "all is listed")
                self.assertEqual(c.wrong, [])

    def test_after_all_lost_power_it_is_taken_up_without_waiting_out_leases(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                simulation, c = self.start_cluster(seed)
                simulation.step = simulation.step * 20
                name = c.lot(30)
                self.assertEqual(simulation.do(c.hand_in(name)), 202)
                simulation.run(0.3)
                for a in simulation.simulated_nodes.values():
                    a.kill(power=True)
                simulation.run(0.5)
                for a in simulation.simulated_nodes.values():
                    a.start()
                simulation.until(
                    lambda: all(a.ctx.cluster.ready() for a in simulation.role("gateway", alive=True)), 10, "ready"
                )
                simulation.until(lambda: self.owner(simulation, name), 2.6, "a gateway owns it")
                simulation.until(lambda: c.whole(name), 30, "all is listed")
                self.assertEqual(c.wrong, [])


if __name__ == "__main__":
    unittest.main()
