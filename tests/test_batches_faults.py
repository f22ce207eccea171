"""Batches under process kills, power losses, freezes and network partitions, for several seeds."""

import unittest

from testbed.simulator.random_faults import ORPHANED_WRITE, RandomFaults, seeds

from .batch_builders import BatchClients, start_simulation

SEEDS = seeds(5)
MAX_CANCEL_DELAY_S = 3.0


class BatchesUnderFaults(unittest.TestCase):
    def run_seed(self, seed, **args):
        simulation = start_simulation(seed, gateways=4)
        self.addCleanup(simulation.end)
        clients = BatchClients(simulation)
        random_faults = RandomFaults(simulation, **args)
        random_faults.run_with_faults(
            [
                clients.submit_repeatedly(),
                clients.submit_repeatedly(),
                clients.read_some(),
                clients.read_some(),
                clients.cancel_some(),
            ],
            10,
        )
        clients.stopped = True
        simulation.run(9)
        for name in clients.accepted:
            if name not in clients.cancelled:
                try:
                    simulation.until(
                        lambda: clients.read_if_complete(name), 60, f"{name} is complete: {random_faults.injected}"
                    )
                except AssertionError as error:
                    raise AssertionError(f"{error}\n{self.describe_state(simulation, name)}") from None
        for name in clients.cancelled:
            simulation.until(lambda: simulation.do(clients.cancel(name), 12) in (200, 404), 30, f"{name} is cancelled")
        for node in simulation.role("gateway"):
            for name in clients.accepted:
                status, doc = simulation.do(clients.read(name, gateway=node))
                self.assertEqual(status, 200, f"seed {seed} {name} at {node.name}")
                missed = [n for n in clients.seen[name] if n >= len(doc["outputs"])]
                self.assertEqual(missed, [], f"seed {seed}: {name} at {node.name} no longer shows what was read")
                self.assertEqual(simulation.do(clients.read_body(name, 0, node)), 200)
        self.assertEqual(clients.violations, [], f"seed {seed}: {random_faults.injected}")
        ran = {r["item"].partition("i")[0] for r in simulation.runs}
        self.assertEqual(ran & clients.rejected, set(), f"seed {seed}: refused at every attempt, but run")
        late = [
            r
            for r in simulation.runs
            if r["at"] > clients.cancelled.get(r["item"].partition("i")[0], float("inf")) + MAX_CANCEL_DELAY_S
        ]
        self.assertEqual(late, [], f"seed {seed}: run after their cancellation: {random_faults.injected}")
        completed = sum(name not in clients.cancelled for name in clients.accepted)
        return (
            len(clients.accepted),
            completed,
            len(simulation.runs),
            sum(len(clients.items[n]) for n in clients.accepted),
        )

    def describe_state(self, simulation, name):
        states = [
            (
                node.name,
                node.node,
                (o := node.part.batches.get(name))
                and (
                    o.leaseholder.epoch,
                    o.leaseholder.lost,
                    o.leaseholder.final,
                    o.leaseholder.committed,
                    len(o.leaseholder.data),
                    o.leaseholder.is_held(),
                    sorted(o.finished),
                    o.waiting,
                    list(o.running),
                    o.is_writing,
                    len(o.pending_outputs),
                ),
            )
            for node in simulation.role("gateway")
        ]
        return (
            "\n".join(map(str, states))
            + "\n"
            + "\n".join(line for line in simulation.sink.lines if name in line)[-4000:]
        )

    def test_batches_survive_faults_of_all_roles(self):
        done = [self.run_seed(seed) for seed in SEEDS]
        self.assertGreater(sum(taken for taken, *_ in done), 5 * len(done))
        self.assertGreater(sum(completed for _, completed, *_ in done), 3 * len(done))

    def test_batches_survive_faults_of_gateways(self):
        for seed in SEEDS:
            self.run_seed(100 + seed, roles=("gateway",))

    def test_batches_keep_their_positions_if_writes_are_orphaned(self):
        """Guards against results of a dead owner, read from a storage node that returns with its last write."""
        for seed in SEEDS:
            self.run_seed(200 + seed, kinds=(ORPHANED_WRITE, ORPHANED_WRITE, "kill", "power"))
