"""What a large cluster sends at rest and with open batches, and that it still finds in time what ended."""

import unittest
from collections import Counter

from pipitlink.timers import ms
from testbed.simulator.simulation import Simulation

from .batch_builders import Callers, start_simulation

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
            s = Simulation(seed, controllers=3, storage_nodes=5, gateways=GATEWAYS)
            self.addCleanup(s.end)
            s.start()
            s.ready(60)
            s.run(6)
            dead = [s.simulated_nodes["storage1"], s.simulated_nodes["gateway7"]]
            for a in dead:
                a.kill()
            rest = [a for a in s.simulated_nodes.values() if a.alive]
            s.until(
                lambda: all(a.ctx.membership.status(d.node) == "gone" for a in rest for d in dead), 4, "they are gone"
            )

    def test_a_nodes_messages_at_rest(self):
        s = Simulation(5, controllers=3, storage_nodes=5, gateways=GATEWAYS)
        self.addCleanup(s.end)
        s.start()
        s.ready(60)
        s.run(12)
        c = self.count(s)
        for role in ("controller", "storage", "gateway"):
            self.assertLessEqual(c[role, "membership.probe"], 2.6, role)
        self.assertLessEqual(c["gateway", "controller.follow"], 2.0)
        self.assertLessEqual(sum(n for (role, _), n in c.items() if role == "gateway"), 4.8)

    def test_open_batches_are_listed_as_often_by_all_together_and_what_is_left_over_is_taken_up(self):
        s = start_simulation(6, gateways=GATEWAYS, settle=14.0)
        self.addCleanup(s.end)
        s.step = ms(3000)
        callers = Callers(s)
        name = callers.batch(6)
        self.assertEqual(s.do(callers.hand_in(name)), 202)
        s.run(1)
        depots = len(s.role("storage"))
        self.assertLessEqual(self.count(s)["gateway", "replicated_log.list"], depots / 3 + 0.1)
        owner = next(a for a in s.role("gateway") if name in a.part.batches)
        owner.kill()

        def taken_up():
            return any(name in a.part.batches for a in s.role("gateway", alive=True))

        s.until(taken_up, 8, "another gateway has it")


if __name__ == "__main__":
    unittest.main()
