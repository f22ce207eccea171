"""Loads among gateways: all pairs where they are few, through one controller's totals where they are many."""

import unittest
from collections import Counter

from pipitlink.wire.membership_pb2 import EngineUpdate

from .batch_builders import start_simulation

SPAN = 4
ENGINES = 6
FEW, MANY = 6, 24


class Loads(unittest.TestCase):
    def fleet(self, gateways):
        s = start_simulation(3, gateways=gateways, settle_s=1.0)
        self.addCleanup(s.end)
        s.sequence = 0
        self.renew(s)
        s.until(lambda: all(len(self.engines(a)) == ENGINES for a in s.role("gateway")), 3, "the engines are known")
        return s

    def renew(self, s):
        """The engines announce themselves again, so that none is held for silent."""
        s.sequence += 1
        for i in range(ENGINES):
            news = EngineUpdate(
                engine=f"e{i}", pool="p", address=f"10.9.0.{i}:80", zone="zone-a", state="ready", capacity=8,
                sequence=s.sequence,
            )  # fmt: skip
            s.do(s.role("controller", alive=True)[i % 2].part.announcements.announce(news))

    def engines(self, gateway):
        return gateway.part.engines.all()

    def put_on(self, s, each):
        """Each gateway runs `each` requests on one engine, by its number, one of them a batch's item."""
        out = []
        for n, a in enumerate(s.role("gateway", alive=True)):
            e = self.engines(a)[n % ENGINES]
            out += [a.part.engines.acquire_slot(e, 0, k == 0).release for k in range(each)]
        return out

    def seen(self, gateway):
        now = gateway.ctx.timers.now()
        return {e.name: e.load(now) for e in self.engines(gateway)}

    def true(self, s):
        totals: Counter = Counter()
        batches: Counter = Counter()
        for a in s.role("gateway", alive=True):
            for e in self.engines(a):
                totals[e.name] += e.running
                batches[e.name] += e.batch_items
        return {f"e{i}": (totals[f"e{i}"], batches[f"e{i}"]) for i in range(ENGINES)}

    def all_see_what_runs(self, s):
        return all(self.seen(a) == self.true(s) for a in s.role("gateway", alive=True))

    def test_every_gateway_knows_what_all_run(self):
        for gateways in (FEW, MANY):
            with self.subTest(gateways=gateways):
                s = self.fleet(gateways)
                give = self.put_on(s, 3)
                s.until(lambda s=s: self.all_see_what_runs(s), 0.6, "all see what runs")
                for back in give[: len(give) // 2]:
                    back()
                s.until(lambda s=s: self.all_see_what_runs(s), 0.6, "all see what is left")
                s.run(1.5)
                self.renew(s)
                s.run(1.5)
                self.assertTrue(self.all_see_what_runs(s), "nothing moves, and it is still known")

    def messages(self, s):
        """Calls and notes about loads that a node of each role sends in a second while all loads move."""
        counts: Counter = Counter()
        s.watch_calls = lambda sender, method: counts.update([(sender.role, method)])
        for _ in range(SPAN * 10):
            give = self.put_on(s, 1 + s.rng.randrange(3))
            s.run(0.1)
            for back in give:
                back()
        s.watch_calls = None
        return {k: n / SPAN / len(s.role(k[0])) for k, n in counts.items() if k[1].startswith("engines.")}

    def test_few_gateways_tell_each_other_at_once(self):
        c = self.messages(self.fleet(FEW))
        self.assertGreater(c["gateway", "engines.loads"], 2 * (FEW - 1))
        self.assertLessEqual(c["gateway", "engines.loads"], 5.2 * (FEW - 1))
        self.assertNotIn(("controller", "engines.totals"), c)

    def test_many_gateways_send_the_same_as_one_to_one(self):
        for gateways in (MANY, 2 * MANY):
            with self.subTest(gateways=gateways):
                s = self.fleet(gateways)
                c = self.messages(s)
                self.assertLessEqual(c["gateway", "engines.loads"], 5.2)
                self.assertLessEqual(c["controller", "engines.totals"] * 3, 5.3 * gateways)

    def test_the_totals_go_on_when_the_controller_that_sums_them_ends(self):
        s = self.fleet(MANY)
        self.put_on(s, 2)
        s.until(lambda: self.all_see_what_runs(s), 0.6, "all see what runs")
        hubs = [a for a in s.role("controller") if a.part.load_aggregator._reports]
        self.assertEqual(len(hubs), 1)
        hubs[0].kill()
        self.renew(s)
        s.run(3)
        self.renew(s)
        self.put_on(s, 1)
        s.until(lambda: self.all_see_what_runs(s), 3, "all see what runs, by another controller")

    def test_without_any_controller_gateways_tell_each_other(self):
        s = self.fleet(MANY)
        for a in s.role("controller"):
            a.kill()
        s.until(
            lambda: all(not a.ctx.membership.members("controller", statuses=("alive",)) for a in s.role("gateway")),
            6, "none is alive to the gateways",
        )  # fmt: skip
        self.put_on(s, 2)
        s.until(lambda: self.all_see_what_runs(s), 3.5, "all see what runs")

    def test_what_a_gateway_that_is_gone_ran_is_taken_out_of_the_totals(self):
        s = self.fleet(MANY)
        self.put_on(s, 2)
        s.until(lambda: self.all_see_what_runs(s), 0.6, "all see what runs")
        for a in s.role("gateway")[:4]:
            a.kill()
        self.renew(s)
        s.until(lambda: self.all_see_what_runs(s), 4, "only what the living run is seen")


if __name__ == "__main__":
    unittest.main()
