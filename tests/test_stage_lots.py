"""Whole gateways with staged engines under trouble: lots, items, ends, engines and live requests, judged by the
checker.
"""

import unittest

from pipitlink.gateway.owner_selection import choose_owner
from testbed.checks.checker import check
from testbed.simulator.random_faults import Trouble, seeds
from testbed.simulator.simulated_gateway import Customers, StagedEngine, StagedGateway
from testbed.simulator.simulation import Stage

SEEDS = seeds(3)
FEW = seeds(1)
OWNED = (
    "replicated_log.lease",
    "replicated_log.write",
    "replicated_log.renew",
    "replicated_log.mark",
    "lots.end",
    "controller.append",
    "controller.vote",
    "controller.follow",
    "replicated_log.read",
    "controller.caught_up",
)
ROLES = ("gateway", "gateway", "storage", "controller")


def staged(seed, gateways=4, engines=3):
    stage = Stage(seed, controllers=3, storage_nodes=4, gateways=gateways, placement_groups=2)
    stage.with_engines(StagedGateway, StagedEngine, engines)
    stage.start()
    stage.ready()
    return stage


class LotsUnderTrouble(unittest.TestCase):
    def run_seed(self, seed, bring):
        stage = staged(seed)
        self.addCleanup(stage.end)
        c = Customers(stage)
        trouble = Trouble(stage, roles=ROLES)
        c.note("hurt", id=0, what="trouble", nodes=[], bearable=False)
        bring(stage, trouble, [c.hand_in(), c.hand_in(), c.read(), c.read(), c.end_some(), c.live(), c.engines()])
        c.over = True
        stage.run(9)
        c.note("healed", id=0, settle=0)
        for lot in c.lots:

            def closed():
                return stage.do(c.one_read(lot), 10, "a read")["state"] in ("done", "ended")

            try:
                stage.until(closed, 90, f"{lot} is done or ended: {trouble.told}")
            except AssertionError as e:
                raise AssertionError(f"{e}\n{self.known(stage, lot)}") from None
        bad = check(c.events, stage.notes, {}, capacity=4)
        self.assertEqual(bad, [], f"seed {seed}: {trouble.told}")
        return len(c.lots), sum(n["event"] == "run" for n in stage.notes)

    def known(self, stage, lot):
        """What each gateway knows of a lot that does not get done."""
        out = []
        for a in stage.role("gateway"):
            o = a.part.open_jobs.get(lot)
            h = o and o.leaseholder
            out.append(
                (
                    a.name,
                    a.node,
                    "closed" if a.part.open_jobs.is_closed(lot) else "",
                    o
                    and (
                        choose_owner(a.ctx, lot),
                        sorted(o.results),
                        sorted(o.started),
                        o.pending,
                        list(o.running),
                        o.retry_at,
                        o.acquiring,
                        o.next_acquire_at,
                        h and (h.epoch, h.lost, h.final, h.committed, len(h.data), h.is_held()),
                    ),
                )
            )
        return "\n".join(map(str, out)) + "\n" + "\n".join(line for line in stage.sink.lines if lot in line)[-4000:]

    def judge(self, bring, few=SEEDS):
        done = [self.run_seed(s, bring) for s in few]
        self.assertGreater(sum(lots for lots, _ in done), 3 * len(done))
        self.assertGreater(sum(runs for _, runs in done), 20 * len(done))

    def test_lots_hold_under_trouble(self):
        self.judge(lambda stage, trouble, work: trouble.during(work, 10))

    def test_a_new_owner_whose_storage_nodes_are_slow_lists_what_was_started_and_runs_the_rest(self):
        stage = staged(5)
        self.addCleanup(stage.end)
        c = Customers(stage)
        lot = stage.until(lambda: stage.do(c.one_lot(12)), 20, "a lot is taken")
        stage.until(lambda: sum(n["event"] == "run" for n in stage.notes) >= 3, 30, "items run")

        def owner():
            return next(
                (a for a in stage.role("gateway", alive=True) if (o := a.part.open_jobs.get(lot)) and o.leaseholder),
                None,
            )

        owner().kill()
        stage.until(owner, 30, "another gateway owns it")
        for a in stage.role("storage"):
            a.slow = 5.0
        stage.run(6)
        for a in stage.role("storage"):
            a.slow = 0.0
        stage.until(lambda: stage.do(c.one_read(lot), 10)["state"] == "done", 60, "it is done")
        self.assertEqual(check(c.events, stage.notes, {}, capacity=4), [])

    def test_an_end_that_did_not_get_durable_leaves_the_lot_open_for_its_next_owner(self):
        stage = staged(6)
        self.addCleanup(stage.end)
        c = Customers(stage)
        lot = stage.until(lambda: stage.do(c.one_lot(12)), 20, "a lot is taken")
        owner = stage.until(
            lambda: next(
                (a for a in stage.role("gateway") if (o := a.part.open_jobs.get(lot)) and o.leaseholder), None
            ),
            30,
            "a gateway owns it",
        )
        storage_nodes = [a.name for a in stage.role("storage")]
        stage.cut([owner.name], storage_nodes)
        got, fault = stage.do(c._ask(lambda part: part.job_ownership.cancel_local_job(lot), 9.0, owner), 12)
        self.assertIsNone(got)
        stage.heal()
        stage.until(lambda: stage.do(c.one_read(lot), 10)["state"] in ("done", "ended"), 60, "it is done or ended")
        c.note("lot_ended", lot=lot, status=503, said={})
        self.assertEqual(
            check(
                [
                    e
                    for e in c.events
                    if e["status"] in (200, 201, 503) and e["event"] != "results" or e.get("status") == 200
                ],
                stage.notes,
                {},
                capacity=4,
            ),
            [],
        )

    def test_news_of_engines_that_waited_for_a_sleeping_gateway_is_not_fresh(self):
        stage = staged(4, engines=1)
        self.addCleanup(stage.end)
        stage.run(3)
        engine, gateway = stage.engines["engine0"], stage.actors["gateway2"]
        gateway.freeze()
        stage.run(0.9)
        engine.silent = True
        stage.run(4.1)
        gateway.thaw()
        for _ in range(60):
            stage.run(0.05)
            for a in stage.role("gateway"):
                engines = a.part.engines
                self.assertNotIn("ready", [engines.status(e) for e in engines.all()], a.name)

    def test_a_node_that_freezes_in_the_midst_of_each_step_that_has_an_owner(self):
        """Its call has just left; it wakes after its lease, its cluster state and its leadership have ended."""

        def bring(stage, trouble, work):
            steps = list(OWNED)
            stage.rng.shuffle(steps)
            trouble.during(work, 0)
            for method in steps[:5]:
                skip = [stage.rng.randrange(12)]

                def trip(sender, said):
                    if said == method and sender.alive and not sender.frozen:
                        skip[0] -= 1
                        if skip[0] < 0:
                            stage.watch_calls = None
                            trouble.told.append(f"{stage.clock.seconds():.3f} {sender.name} freezes in {method}")
                            stage.clock.callLater(0.0007, sender.freeze)
                            stage.clock.callLater(5, sender.thaw)

                stage.watch_calls = trip
                stage.run(9)
            stage.watch_calls = None
            stage.run(6)

        self.judge(bring, FEW)
