"""An accepted item that is not listed is at an engine, or starts again soon, whatever was lost on the way."""

import unittest

from testbed.simulator.simulation import Simulation

from .batch_builders import BatchClients, route
from .control_client import ControlClient, config_of, route_of
from .engine_network import POOL, EngineNetwork, NetworkedBatchGateway


def start_networked(seed, gateways=2, engines=3):
    """Starts a cluster whose gateways run items on the engines of an EngineNetwork, which it returns with it."""
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=gateways, placement_groups=2)
    simulation.routes = {"bulk": route()}
    simulation.runs = []
    simulation.network = network = EngineNetwork(simulation, engines)
    simulation.add_engines(NetworkedBatchGateway, None, 0)
    simulation.start()
    simulation.ready()
    simulation.run(2)
    bulk = route_of("bulk", POOL, host="h", kind="bulk", due_ms=20_000, retain_ms=600_000, max_tries=3)
    client = ControlClient(simulation)
    status, _ = client.put(simulation.leader(), config_of(1, bulk, pools=(POOL,)), 0)
    if status != 200:
        raise AssertionError(f"the configuration was refused: {status}")
    network.open()
    simulation.run(0.5)
    return simulation, network


class ItemsLeftLying(unittest.TestCase):
    def start(self, seed=1, **args):
        self.simulation, self.network = start_networked(seed, **args)
        self.addCleanup(self.simulation.end)
        self.clients = BatchClients(self.simulation)

    def submit(self, items=1):
        name = self.clients.new_batch(items)
        self.assertEqual(self.simulation.do(self.clients.submit_batch(name)), 202)
        return name

    def owner_of(self, name):
        return next(node for node in self.simulation.role("gateway", alive=True) if name in node.part.batches)

    def run_of(self, name):
        """Returns the first run of an item once its engine has sent an event."""
        run = self.simulation.until(lambda: self.network.runs, 3, "the item reaches an engine")[0]
        call = self.owner_of(name).part.batches[name].calls[0]
        self.simulation.until(lambda: call.attempt.last_event, 3, "an event arrives")
        return run

    def break_off_behind_a_cut(self, name):
        """Has the engine of an item reset its connection while the path is cut for a moment."""
        run = self.run_of(name)
        engine = self.network.engines[run.engine]
        self.network.cut_paths.add((self.owner_of(name).name, engine.name))
        for link in list(engine.links):
            link.reset_by_engine()
        self.simulation.run(0.5)
        self.network.heal()
        return run

    def test_an_item_whose_engine_reset_the_connection_behind_a_cut_starts_again(self):
        self.start()
        self.network.event_seconds = 0.5
        name = self.submit()
        first = self.break_off_behind_a_cut(name)
        self.simulation.until(lambda: len(self.network.runs) > 1, 4, "the item starts again")
        self.assertIsNotNone(first.ended_at)
        self.assertGreater(self.network.runs[1].after, 0)
        self.simulation.until(lambda: self.clients.read_if_complete(name), 10, "the item is listed")
        self.assertEqual(self.clients.violations, [])


if __name__ == "__main__":
    unittest.main()
