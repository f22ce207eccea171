"""Batches under kills, power losses, freezes and cuts, over many seeds."""

import unittest

from testbed.simulator.random_faults import RandomFaults, seeds

from .batch_builders import Callers, start_simulation

SEEDS = seeds(5)
CANCEL = 3.0


class BatchesUnderFaults(unittest.TestCase):
    def run_seed(self, seed, **args):
        simulation = start_simulation(seed, gateways=4)
        self.addCleanup(simulation.end)
        c = Callers(simulation)
        random_faults = RandomFaults(simulation, **args)
        random_faults.during([c.hand_in_all(), c.hand_in_all(), c.read_some(), c.read_some(), c.end_some()], 10)
        c.over = True
        simulation.run(9)
        for name in c.taken:
            if name not in c.ended:
                try:
                    simulation.until(lambda: c.whole(name), 60, f"{name} is whole: {random_faults.injected}")
                except AssertionError as e:
                    raise AssertionError(f"{e}\n{self.known(simulation, name)}") from None
        for name in c.ended:
            simulation.until(lambda: simulation.do(c.end(name), 12) in (200, 404), 30, f"{name} is ended")
        for a in simulation.role("gateway"):
            for name in c.taken:
                status, doc = simulation.do(c.read(name, gateway=a))
                self.assertEqual(status, 200, f"seed {seed} {name} at {a.name}")
                missed = [n for n in c.seen[name] if n >= len(doc["outputs"])]
                self.assertEqual(missed, [], f"seed {seed}: {name} at {a.name} no longer shows what was read")
                self.assertEqual(simulation.do(c.body(name, 0, a)), 200)
        self.assertEqual(c.wrong, [], f"seed {seed}: {random_faults.injected}")
        ran = {r["item"].partition("i")[0] for r in simulation.runs}
        self.assertEqual(ran & c.refused, set(), f"seed {seed}: refused at every try, and run")
        late = [r for r in simulation.runs if r["at"] > c.ended.get(r["item"].partition("i")[0], float("inf")) + CANCEL]
        self.assertEqual(late, [], f"seed {seed}: run after their end: {random_faults.injected}")
        whole = sum(name not in c.ended for name in c.taken)
        return len(c.taken), whole, len(simulation.runs), sum(len(c.items[n]) for n in c.taken)

    def known(self, simulation, name):
        out = [
            (
                a.name,
                a.node,
                (o := a.part.batches.get(name))
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
            for a in simulation.role("gateway")
        ]
        return "\n".join(map(str, out)) + "\n" + "\n".join(x for x in simulation.sink.lines if name in x)[-4000:]

    def test_batches_hold_under_trouble(self):
        done = [self.run_seed(s) for s in SEEDS]
        self.assertGreater(sum(taken for taken, *_ in done), 5 * len(done))
        self.assertGreater(sum(whole for _, whole, *_ in done), 3 * len(done))

    def test_batches_hold_while_gateways_come_and_go(self):
        for s in SEEDS:
            self.run_seed(100 + s, roles=("gateway",))
