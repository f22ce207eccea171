"""Batches under kills, power losses, freezes and cuts, over many seeds."""

import unittest

from testbed.simulator.random_faults import Trouble, seeds

from .batch_parts import Callers, staged

SEEDS = seeds(5)
CANCEL = 3.0


class BatchesUnderTrouble(unittest.TestCase):
    def run_seed(self, seed, **words):
        stage = staged(seed, gateways=4)
        self.addCleanup(stage.end)
        c = Callers(stage)
        trouble = Trouble(stage, **words)
        trouble.during([c.hand_in_all(), c.hand_in_all(), c.read_some(), c.read_some(), c.end_some()], 10)
        c.over = True
        stage.run(9)
        for name in c.taken:
            if name not in c.ended:
                try:
                    stage.until(lambda: c.whole(name), 60, f"{name} is whole: {trouble.told}")
                except AssertionError as e:
                    raise AssertionError(f"{e}\n{self.known(stage, name)}") from None
        for name in c.ended:
            stage.until(lambda: stage.do(c.end(name), 12) in (200, 404), 30, f"{name} is ended")
        for a in stage.role("gateway"):
            for name in c.taken:
                status, doc = stage.do(c.read(name, gateway=a))
                self.assertEqual(status, 200, f"seed {seed} {name} at {a.name}")
                missed = [n for n in c.seen[name] if n >= len(doc["outputs"])]
                self.assertEqual(missed, [], f"seed {seed}: {name} at {a.name} no longer shows what was read")
                self.assertEqual(stage.do(c.body(name, 0, a)), 200)
        self.assertEqual(c.wrong, [], f"seed {seed}: {trouble.told}")
        ran = {r["item"].partition("i")[0] for r in stage.runs}
        self.assertEqual(ran & c.refused, set(), f"seed {seed}: refused at every try, and run")
        late = [r for r in stage.runs if r["at"] > c.ended.get(r["item"].partition("i")[0], float("inf")) + CANCEL]
        self.assertEqual(late, [], f"seed {seed}: run after their end: {trouble.told}")
        whole = sum(name not in c.ended for name in c.taken)
        return len(c.taken), whole, len(stage.runs), sum(len(c.items[n]) for n in c.taken)

    def known(self, stage, name):
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
                    sorted(o.done),
                    o.waiting,
                    list(o.running),
                    o.flushing,
                    len(o.queue),
                ),
            )
            for a in stage.role("gateway")
        ]
        return "\n".join(map(str, out)) + "\n" + "\n".join(x for x in stage.sink.lines if name in x)[-4000:]

    def test_batches_hold_under_trouble(self):
        done = [self.run_seed(s) for s in SEEDS]
        self.assertGreater(sum(taken for taken, *_ in done), 5 * len(done))
        self.assertGreater(sum(whole for _, whole, *_ in done), 3 * len(done))

    def test_batches_hold_while_gateways_come_and_go(self):
        for s in SEEDS:
            self.run_seed(100 + s, roles=("gateway",))
