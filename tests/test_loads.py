"""Exchange of loads between gateways: directly between few, through the totals of a controller between many."""

import unittest
from collections import Counter

from pipitlink.wire.membership_pb2 import EngineUpdate

from .batch_builders import start_simulation

MEASURED_SECONDS = 4
ENGINES = 6
DIRECT_GATEWAYS, RELAYED_GATEWAYS = 6, 24


class LoadExchange(unittest.TestCase):
    def start_cluster(self, gateways):
        simulation = start_simulation(3, gateways=gateways, settle_s=1.0)
        self.addCleanup(simulation.end)
        simulation.sequence = 0
        self.announce_engines(simulation)
        simulation.until(
            lambda: all(len(self.engines(node)) == ENGINES for node in simulation.role("gateway")),
            3,
            "the engines are known",
        )
        return simulation

    def announce_engines(self, simulation):
        """Announces all engines again, so that none is considered silent."""
        simulation.sequence += 1
        for i in range(ENGINES):
            update = EngineUpdate(
                engine=f"e{i}", pool="p", address=f"10.9.0.{i}:80", zone="zone-a", state="ready", capacity=8,
                sequence=simulation.sequence,
            )  # fmt: skip
            simulation.do(simulation.role("controller", alive=True)[i % 2].part.announcements.announce(update))

    def engines(self, gateway):
        return gateway.part.engines.all()

    def acquire_slots(self, simulation, count):
        """Acquires `count` slots on one engine per gateway, one of them for a batch item; returns their release."""
        releases = []
        for n, node in enumerate(simulation.role("gateway", alive=True)):
            engine = self.engines(node)[n % ENGINES]
            releases += [node.part.engines.acquire_slot(engine, 0, k == 0).release for k in range(count)]
        return releases

    def known_loads(self, gateway):
        now = gateway.ctx.timers.now()
        return {engine.name: engine.load(now) for engine in self.engines(gateway)}

    def actual_loads(self, simulation):
        totals: Counter = Counter()
        batches: Counter = Counter()
        for node in simulation.role("gateway", alive=True):
            for engine in self.engines(node):
                totals[engine.name] += engine.running
                batches[engine.name] += engine.batch_items
        return {f"e{i}": (totals[f"e{i}"], batches[f"e{i}"]) for i in range(ENGINES)}

    def all_loads_known(self, simulation):
        return all(
            self.known_loads(node) == self.actual_loads(simulation) for node in simulation.role("gateway", alive=True)
        )

    def test_every_gateway_knows_the_load_of_all(self):
        for gateways in (DIRECT_GATEWAYS, RELAYED_GATEWAYS):
            with self.subTest(gateways=gateways):
                simulation = self.start_cluster(gateways)
                releases = self.acquire_slots(simulation, 3)
                simulation.until(
                    lambda simulation=simulation: self.all_loads_known(simulation), 0.6, "all know the load"
                )
                for release in releases[: len(releases) // 2]:
                    release()
                simulation.until(
                    lambda simulation=simulation: self.all_loads_known(simulation), 0.6, "all know the remaining load"
                )
                simulation.run(1.5)
                self.announce_engines(simulation)
                simulation.run(1.5)
                self.assertTrue(self.all_loads_known(simulation), "the loads are unchanged and still known")

    def messages_per_second(self, simulation):
        """Returns the RPC messages about loads that a node of each role sends per second while all loads change."""
        counts: Counter = Counter()
        simulation.watch_calls = lambda sender, method: counts.update([(sender.role, method)])
        for _ in range(MEASURED_SECONDS * 10):
            releases = self.acquire_slots(simulation, 1 + simulation.rng.randrange(3))
            simulation.run(0.1)
            for release in releases:
                release()
        simulation.watch_calls = None
        return {
            k: n / MEASURED_SECONDS / len(simulation.role(k[0]))
            for k, n in counts.items()
            if k[1].startswith("engines.")
        }

    def test_few_gateways_report_directly_to_each_other(self):
        rates = self.messages_per_second(self.start_cluster(DIRECT_GATEWAYS))
        self.assertGreater(rates["gateway", "engines.loads"], 2 * (DIRECT_GATEWAYS - 1))
        self.assertLessEqual(rates["gateway", "engines.loads"], 5.2 * (DIRECT_GATEWAYS - 1))
        self.assertNotIn(("controller", "engines.totals"), rates)

    def test_with_many_gateways_each_sends_reports_to_one_node_only(self):
        for gateways in (RELAYED_GATEWAYS, 2 * RELAYED_GATEWAYS):
            with self.subTest(gateways=gateways):
                simulation = self.start_cluster(gateways)
                rates = self.messages_per_second(simulation)
                self.assertLessEqual(rates["gateway", "engines.loads"], 5.2)
                self.assertLessEqual(rates["controller", "engines.totals"] * 3, 5.3 * gateways)

    def test_another_controller_continues_the_totals_when_the_aggregating_one_fails(self):
        simulation = self.start_cluster(RELAYED_GATEWAYS)
        self.acquire_slots(simulation, 2)
        simulation.until(lambda: self.all_loads_known(simulation), 0.6, "all know the load")
        aggregators = [node for node in simulation.role("controller") if node.part.load_aggregator._reports]
        self.assertEqual(len(aggregators), 1)
        aggregators[0].kill()
        self.announce_engines(simulation)
        simulation.run(3)
        self.announce_engines(simulation)
        self.acquire_slots(simulation, 1)
        simulation.until(lambda: self.all_loads_known(simulation), 3, "all know the load through another controller")

    def test_without_controllers_many_gateways_report_directly_to_each_other(self):
        simulation = self.start_cluster(RELAYED_GATEWAYS)
        for node in simulation.role("controller"):
            node.kill()
        simulation.until(
            lambda: all(
                not node.ctx.membership.members("controller", statuses=("alive",))
                for node in simulation.role("gateway")
            ),
            6,
            "no gateway considers a controller alive",
        )
        self.acquire_slots(simulation, 2)
        simulation.until(lambda: self.all_loads_known(simulation), 3.5, "all know the load")

    def test_the_load_of_a_gateway_that_is_gone_is_removed_from_the_totals(self):
        simulation = self.start_cluster(RELAYED_GATEWAYS)
        self.acquire_slots(simulation, 2)
        simulation.until(lambda: self.all_loads_known(simulation), 0.6, "all know the load")
        for node in simulation.role("gateway")[:4]:
            node.kill()
        self.announce_engines(simulation)
        simulation.until(lambda: self.all_loads_known(simulation), 4, "only the load of alive gateways is known")


if __name__ == "__main__":
    unittest.main()
