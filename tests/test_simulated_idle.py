"""What a fleet at rest sends: in the simulation, so that nothing depends on the machine."""

import unittest
from collections import Counter

from testbed.simulator.simulated_engine import SimulatedEngine
from testbed.simulator.simulated_gateway import SimulatedGateway
from testbed.simulator.simulation import Simulation

SPAN = 5
CLUSTERS = ((3, 3, 2), (3, 3, 10), (4, 4, 24))
PROBE_BYTES = 400
GATEWAY_BYTES = 500
GATEWAY_MESSAGES = 19


class _Counted:
    """A fleet's messages and their bytes within a span at rest, responses included, by node and by method."""

    def __init__(self, controllers, storage_nodes, gateways):
        self.simulation = s = Simulation(1, controllers=controllers, storage_nodes=storage_nodes, gateways=gateways)
        s.add_engines(SimulatedGateway, SimulatedEngine, 0)
        self.messages, self.bytes, self.asks = Counter(), Counter(), Counter()
        self.verb_bytes: Counter = Counter()
        self._at_rest = False
        self._carry, s.deliver_call = s.deliver_call, self._count
        s.start()
        s.ready(60)
        s.run(12)
        self._at_rest = True
        s.run(SPAN)
        self._at_rest = False

    def _count(self, sender, address, method, body, node=""):
        d = self._carry(sender, address, method, body, node)
        if self._at_rest:
            goal = next(a for a in self.simulation.simulated_nodes.values() if a.address == address)
            self.asks[method] += 1
            self._add(sender, method, body)
            d.addCallback(lambda response: self._add(goal, method, response) or response)
        return d

    def _add(self, simulated_node, method, body):
        self.messages[simulated_node.name] += 1
        self.bytes[simulated_node.name] += len(body)
        self.verb_bytes[method] += len(body)

    def per_gateway(self, counter) -> float:
        names = [a.name for a in self.simulation.role("gateway")]
        return max(counter[n] for n in names) / SPAN


class AtRest(unittest.TestCase):
    def test_a_nodes_share_does_not_grow_with_the_fleet(self):
        for sizes in CLUSTERS:
            with self.subTest(nodes=sum(sizes)):
                c = _Counted(*sizes)
                self.addCleanup(c.simulation.end)
                n = sum(sizes)
                self.assertEqual(c.asks["engines.loads"], 0)
                self.assertAlmostEqual(c.asks["membership.probe"] / SPAN / n, 5, delta=0.2)
                self.assertLess(c.verb_bytes["membership.probe"] / SPAN / n, PROBE_BYTES)
                self.assertEqual(c.asks["membership.tell"], 0)
                self.assertLess(c.per_gateway(c.messages), GATEWAY_MESSAGES + sizes[1])
                self.assertLess(c.per_gateway(c.bytes), GATEWAY_BYTES)

    def test_nodes_that_believe_otherwise_are_told_the_whole_and_agree_again(self):
        s = Simulation(2, controllers=3, storage_nodes=3, gateways=6)
        self.addCleanup(s.end)
        s.start()
        s.ready()
        s.run(6)
        one, others = (
            s.simulated_nodes["gateway5"],
            [a.name for a in s.simulated_nodes.values() if a.name != "gateway5"],
        )
        s.cut(["gateway5"], others)
        s.until(
            lambda: all(s.simulated_nodes[n].ctx.membership.status(one.node) == "gone" for n in others),
            10,
            "it is gone",
        )
        s.run(5)
        s.heal()
        s.until(
            lambda: len({a.ctx.membership.digest() for a in s.simulated_nodes.values()}) == 1, 6, "all believe alike"
        )
        self.assertEqual({a.ctx.membership.status(one.node) for a in s.simulated_nodes.values()}, {"alive"})

    def test_a_dead_node_is_gone_at_every_node_in_time(self):
        """As with whole gossip at each probe, which took 1.6 to 2.3 s over 24 seeds."""
        for seed in range(4):
            s = Simulation(seed, controllers=3, storage_nodes=3, gateways=4)
            self.addCleanup(s.end)
            s.start()
            s.ready()
            s.run(6)
            dead = s.simulated_nodes["storage1"]
            dead.kill()
            rest = [a for a in s.simulated_nodes.values() if a.alive]
            s.until(lambda: all(a.ctx.membership.status(dead.node) == "gone" for a in rest), 3, "it is gone")


if __name__ == "__main__":
    unittest.main()
