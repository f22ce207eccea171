"""An accepted item that is not listed is at an engine, or starts again soon, whatever was lost on the way."""

import unittest
from unittest import mock

from pipitlink.router.call_relay import CallRelay
from pipitlink.router.item_runner import MIN_SILENCE_LIMIT
from pipitlink.timers import ms
from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Simulation

from .batch_builders import BatchClients, route
from .control_client import ControlClient, config_of, route_of
from .engine_faults import EngineFaults
from .engine_network import POOL, EngineNetwork, NetworkedBatchGateway
from .item_liveness import MAX_IDLE_SECONDS, ItemLiveness

SEEDS = seeds(4)
READ_INTERVAL = ms(200)
FAULTS = 10
CALM_SECONDS = 40


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

    def cut_path_of(self, name):
        """Cuts the path between the gateway and the engine of an item; returns the run and the engine."""
        run = self.run_of(name)
        engine = self.network.engines[run.engine]
        self.network.cut_paths.add((self.owner_of(name).name, engine.name))
        return run, engine

    def break_off_behind_a_cut(self, name):
        """Has the engine of an item reset its connection while the path is cut for a moment."""
        run, engine = self.cut_path_of(name)
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

    def test_an_item_whose_engine_closed_the_connection_behind_a_long_cut_starts_again(self):
        """Guards against waiting for the retransmission of the end of a connection, here 15 s after it was sent."""
        self.start()
        self.network.event_seconds = 0.5
        name = self.submit()
        _, engine = self.cut_path_of(name)
        for link in list(engine.links):
            link.close_by_engine()
        self.simulation.run(MIN_SILENCE_LIMIT.total_seconds() - 1)
        self.assertEqual(len(self.network.runs), 1)
        self.simulation.until(lambda: len(self.network.runs) > 1, 2, "the item starts again")
        self.simulation.until(lambda: self.clients.read_if_complete(name), 10, "the item is listed")
        self.assertEqual(self.clients.violations, [])

    def test_an_item_that_hangs_in_its_engine_starts_again(self):
        self.start()
        self.network.event_seconds = 0.5
        name = self.submit()
        self.network.engines[self.run_of(name).engine].hang()
        limit_s = MIN_SILENCE_LIMIT.total_seconds()
        self.simulation.until(lambda: len(self.network.runs) > 1, limit_s + 1, "the item starts again")
        self.simulation.until(lambda: self.clients.read_if_complete(name), 10, "the item is listed")
        self.assertEqual(self.clients.violations, [])

    def test_without_keepalive_and_silence_limit_the_check_finds_the_item_left_lying(self):
        with (
            mock.patch("pipitlink.router.engine_connection.enable_keepalive"),
            mock.patch.object(CallRelay, "_exceeds_silence_limit", lambda *_: False),
        ):
            self.start()
            self.network.event_seconds = 0.5
            liveness = ItemLiveness(self.simulation, self.network, self.clients, lambda: True)
            self.break_off_behind_a_cut(self.submit())
            self.simulation.run(MAX_IDLE_SECONDS + 1)
        self.assertEqual(len(liveness.violations), 1)
        self.assertIn("running=1", liveness.violations[0])

    async def read_open_batches(self):
        """Reads what is listed of all batches that are not complete, at any gateways."""
        clients = self.clients
        while True:
            await clients.timers.sleep(READ_INTERVAL)
            for name in list(clients.accepted):
                if len(clients.seen.get(name, ())) < len(clients.items[name]):
                    await clients.read(name, len(clients.seen.get(name, ())))

    def run_with_random_faults(self, seed):
        """Runs a seed; returns its faults and the liveness check."""
        self.start(seed, gateways=3, engines=4)
        self.network.break_probability, self.network.event_seconds = 0.02, 0.2
        faults = EngineFaults(self.simulation, self.network)
        liveness = ItemLiveness(self.simulation, self.network, self.clients, faults.is_calm)
        work = [self.clients.submit_repeatedly(), self.clients.submit_repeatedly(), self.read_open_batches()]
        faults.run_with_faults(work, FAULTS)
        self.simulation.run(CALM_SECONDS / 4)
        self.clients.stopped = True
        self.simulation.run(CALM_SECONDS)
        return faults, liveness

    def test_no_item_is_left_lying_under_random_faults_of_engines_and_nodes(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                faults, liveness = self.run_with_random_faults(seed)
                self.assertEqual(liveness.violations, [], faults.injected)
                self.assertEqual(self.clients.violations, [], faults.injected)
                self.assertGreater(len(self.clients.accepted), 5)
                unlisted = [name for name in self.clients.accepted if not self.clients.read_if_complete(name)]
                self.assertEqual(unlisted, [], faults.injected)


if __name__ == "__main__":
    unittest.main()
