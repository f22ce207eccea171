"""The assumptions of the capacity page.

Lightweight nodes send the same messages as real ones, and the number of messages per node is bounded.
"""

import unittest
from collections import Counter
from random import Random

from pipitlink.context import Context
from pipitlink.disk import Disk
from pipitlink.settings import Settings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from pipitlink.wire.frame_pb2 import Empty, Hello
from pipitlink.wire.membership_pb2 import Gossip, Member
from pipitlink.wire.rpc import RpcEndpoint
from testbed.benchmarks.capacity import SERIES
from testbed.benchmarks.linear_fit import fit
from testbed.processes.lightweight_nodes import CountedRpcEndpoint, open_parts
from testbed.processes.synthetic_load import SyntheticLoad
from testbed.simulator.simulated_engine import SimulatedEngine
from testbed.simulator.simulated_gateway import SimulatedGateway
from testbed.simulator.simulation import SimulatedNode, SimulatedRpcEndpoint, Simulation
from testbed.simulator.virtual_time import NodeReactor

MEASURED_SECONDS = 12


class LightweightNode(SimulatedNode):
    """A simulated gateway whose components are opened as in the capacity command."""

    def start(self):
        simulation = self.simulation
        self.start_count, self.alive, self.node = 1, True, f"{self.name}x{simulation.next_number()}"
        self.clock = NodeReactor(simulation.clock)
        self.ctx = ctx = Context(
            "gateway",
            self.node,
            Settings(zone=self.zone, seeds=simulation.seeds, placement_groups=simulation.placement_groups),
            self.clock,
            simulation.timers(self.clock),
            StructuredLogger(simulation.sink, node=self.node),
            None,
            Random(simulation.rng.random()),
        )
        ctx.rpc = SimulatedRpcEndpoint(simulation, self)
        self.part = open_parts(
            ctx,
            "lightweight",
            Member(
                node=self.node,
                incarnation=1,
                role="gateway",
                zone=self.zone,
                host=self.address[0],
                port=self.address[1],
            ),
            Disk(),
        )
        ctx.cluster.open()


class LightweightSimulation(Simulation):
    def add(self, role, name, zone, port):
        kind = LightweightNode if role == "gateway" else SimulatedNode
        self.simulated_nodes[name] = kind(self, role, name, zone, port)
        return self.simulated_nodes[name]


def measure_call_rates(simulation, engines: int, load=None) -> Counter:
    """Returns the calls per second and node by role and method, counted once the cluster has settled."""
    simulation.start()
    simulation.ready()
    if load:
        simulation.do(load.start(engines=[f"engine{i}" for i in range(engines)]))
    simulation.run(6)
    counts: Counter = Counter()
    simulation.watch_calls = lambda sender, method: counts.update([(sender.role, method)])
    simulation.run(MEASURED_SECONDS)
    nodes = Counter(a.role for a in simulation.simulated_nodes.values())
    return Counter({k: n / MEASURED_SECONDS / nodes[k[0]] for k, n in counts.items()})


class LightweightNodes(unittest.TestCase):
    def run_real(self, gateways, engines):
        simulation = Simulation(3, controllers=3, storage_nodes=3, gateways=gateways, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.add_engines(SimulatedGateway, SimulatedEngine, engines)
        return measure_call_rates(simulation, engines)

    def run_lightweight(self, gateways, engines):
        simulation = LightweightSimulation(3, controllers=3, storage_nodes=3, gateways=gateways, placement_groups=2)
        self.addCleanup(simulation.end)
        host = type("Host", (), {"nodes": simulation.role("gateway")})
        return measure_call_rates(simulation, engines, SyntheticLoad(host))

    def test_lightweight_gateway_sends_the_same_calls_as_a_real_one(self):
        real, lightweight = self.run_real(6, 4), self.run_lightweight(6, 4)
        for role in ("gateway", "storage", "controller"):
            a, b = (sum(v for (r, _), v in c.items() if r == role) for c in (real, lightweight))
            self.assertAlmostEqual(b / a, 1, delta=0.1, msg=role)
        for key, rate in real.items():
            if rate >= 0.5:
                self.assertAlmostEqual(lightweight[key] / rate, 1, delta=0.1, msg=key)
        self.assertEqual({k for k, v in lightweight.items() if v >= 0.5} - set(real), set())


class Bounds(unittest.TestCase):
    """Calls that a node starts per second without client traffic.

    Except for load reports and announcements, they don't depend on the size of the cluster.
    """

    def count(self, gateways, engines=0):
        simulation = LightweightSimulation(5, controllers=3, storage_nodes=3, gateways=gateways, placement_groups=2)
        self.addCleanup(simulation.end)
        host = type("Host", (), {"nodes": simulation.role("gateway")})
        return measure_call_rates(simulation, engines, SyntheticLoad(host))

    def test_calls_per_node_are_bounded_as_the_cluster_grows(self):
        for gateways in (3, 6, 12, 20):
            with self.subTest(gateways=gateways):
                c = self.count(gateways)
                bounds = {
                    "membership.probe": 5.1,
                    "controller.follow": 4.1,
                    "replicated_log.list": 3.1,
                    "engines.loads": 5.1 * (gateways - 1),
                }
                for method, most in bounds.items():
                    self.assertLessEqual(c["gateway", method], most, method)
                rest = sum(v for (role, method), v in c.items() if role == "gateway" and method not in bounds)
                self.assertLessEqual(rest, 0.5, {k: v for k, v in c.items() if k[0] == "gateway"})
                for role, most in (("storage", 11), ("controller", 12)):
                    self.assertLessEqual(sum(v for (r, _), v in c.items() if r == role), most, role)

    def test_each_announcement_is_sent_to_each_gateway_once(self):
        gateways = 6
        few, more = self.count(gateways, 4), self.count(gateways, 24)
        for c, engines in ((few, 4), (more, 24)):
            self.assertLessEqual(c["gateway", "engines.tell"], 1.05 * engines * (gateways - 1) / gateways)
        for method in ("membership.probe", "controller.follow", "engines.loads", "replicated_log.list"):
            self.assertAlmostEqual(
                few["gateway", method], more["gateway", method], delta=0.1 * few["gateway", method], msg=method
            )

    def test_waiting_follow_call_is_not_woken_by_other_followers(self):
        """The work of a leader per follow call must not grow with the number of its followers."""
        for gateways in (4, 12, 20):
            simulation = LightweightSimulation(6, controllers=3, storage_nodes=3, gateways=gateways, placement_groups=2)
            self.addCleanup(simulation.end)
            simulation.start()
            simulation.ready()
            simulation.run(3)
            leader = simulation.leader()
            waits, asked, timers = [], [], leader.ctx.timers
            hold = timers.wait_at_most
            timers.wait_at_most = lambda d, span: waits.append(span) or hold(d, span)
            simulation.watch_calls = lambda sender, method: method == "controller.follow" and asked.append(method)
            simulation.run(MEASURED_SECONDS)
            heartbeats = 2 * MEASURED_SECONDS * 10
            self.assertLessEqual(len(waits), 1.05 * len(asked) + heartbeats, gateways)
            self.assertLessEqual(len(leader.part.state_delivery.pending_requests), gateways + 3, gateways)

    def test_edit_returns_as_soon_as_the_last_gateway_confirms(self):
        simulation = LightweightSimulation(7, controllers=3, storage_nodes=3, gateways=12, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        simulation.run(3)
        leader = simulation.leader().part
        began = simulation.clock.seconds()
        edit = TableEdit(
            base=leader.consensus.cluster_state.table_sequence, upserts=[Row(name="m", model="m", weight=1)]
        )
        simulation.do(leader.state_delivery.edit(Command(edit="e", table=edit)))
        self.assertLess(simulation.clock.seconds() - began, 0.1)
        self.assertEqual(
            {a.ctx.cluster.sequence for a in simulation.role("gateway")}, {leader.consensus.cluster_state.sequence}
        )


class Counting(unittest.TestCase):
    def test_remote_calls_are_counted_with_their_bytes_but_local_calls_are_not(self):
        rpc = CountedRpcEndpoint(None, None, None, "pipit", "me")

        async def told(node, g):
            return Empty()

        rpc.register_handler("membership.tell", Gossip, told)
        body = Gossip(sender="other").SerializeToString()
        for node in ("other", "me"):
            spawn(rpc.dispatch(Hello(node=node), "membership.tell", body))
        self.assertEqual((rpc.counts["in membership.tell"], rpc.counts["out membership.tell:response"]), (1, 1))
        self.assertGreater(rpc.counts["in_bytes membership.tell"], len(body))
        self.assertIsInstance(rpc, RpcEndpoint)


class Fits(unittest.TestCase):
    def test_linear_growth_is_recognized(self):
        f = fit([8, 16, 24, 48, 96], [1 + 0.5 * x + e for x, e in zip([8, 16, 24, 48, 96], (0.1, -0.1, 0.1, 0, -0.1))])
        self.assertFalse(f.curved)
        self.assertAlmostEqual(f.slope, 0.5, delta=0.01)
        self.assertGreater(f.r2, 0.99)

    def test_quadratic_growth_is_recognized(self):
        f = fit([8, 16, 24, 48, 96], [2 + 0.1 * x + 0.03 * x * x for x in (8, 16, 24, 48, 96)])
        self.assertTrue(f.curved)
        self.assertAlmostEqual(f.quadratic, 0.03, delta=0.001)

    def test_noise_is_not_mistaken_for_a_curve(self):
        for ys in ((8.3, 6.9, 7.5, 8.9), (0.12, 0.16, 0.15, 0.1), (85, 86, 82, 85)):
            self.assertFalse(fit([0, 1, 4, 16], list(ys)).curved, ys)

    def test_each_series_is_sorted_and_never_runs_faster_than_real_time(self):
        for name, s in SERIES.items():
            self.assertEqual(sorted(s.xs), list(s.xs), name)
            self.assertTrue(all(s.pace(x) >= 1 for x in s.xs), name)
