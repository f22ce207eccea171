"""Whole gateways with simulated engines under trouble: lots, items, ends, engines and live requests, judged by the
checker.
"""

import unittest

from pipitlink.gateway.owner_selection import choose_owner
from testbed.checks.checker import check
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulated_clients import SimulatedClients
from testbed.simulator.simulated_engine import SimulatedEngine
from testbed.simulator.simulated_gateway import SimulatedGateway
from testbed.simulator.simulation import Simulation

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


def start_simulation(seed, gateways=4, engines=3):
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=gateways, placement_groups=2)
    simulation.with_engines(SimulatedGateway, SimulatedEngine, engines)
    simulation.start()
    simulation.ready()
    return simulation


class BatchesUnderFaults(unittest.TestCase):
    def run_seed(self, seed, bring):
        simulation = start_simulation(seed)
        self.addCleanup(simulation.end)
        c = SimulatedClients(simulation)
        random_faults = RandomFaults(simulation, roles=ROLES)
        c.note("hurt", id=0, what="trouble", nodes=[], bearable=False)
        bring(
            simulation,
            random_faults,
            [c.hand_in(), c.hand_in(), c.read(), c.read(), c.end_some(), c.live(), c.engines()],
        )
        c.over = True
        simulation.run(9)
        c.note("healed", id=0, settle=0)
        for batch in c.batches:

            def closed():
                return simulation.do(c.one_read(batch), 10, "a read")["state"] in ("done", "ended")

            try:
                simulation.until(closed, 90, f"{batch} is done or ended: {random_faults.injected}")
            except AssertionError as e:
                raise AssertionError(f"{e}\n{self.known(simulation, batch)}") from None
        bad = check(c.events, simulation.notes, {}, capacity=4)
        self.assertEqual(bad, [], f"seed {seed}: {random_faults.injected}")
        return len(c.batches), sum(n["event"] == "run" for n in simulation.notes)

    def known(self, simulation, batch):
        """What each gateway knows of a lot that does not get done."""
        out = []
        for a in simulation.role("gateway"):
            o = a.part.open_batches.get(batch)
            h = o and o.leaseholder
            out.append(
                (
                    a.name,
                    a.node,
                    "closed" if a.part.open_batches.is_closed(batch) else "",
                    o
                    and (
                        choose_owner(a.ctx, batch),
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
        return (
            "\n".join(map(str, out)) + "\n" + "\n".join(line for line in simulation.sink.lines if batch in line)[-4000:]
        )

    def judge(self, bring, few=SEEDS):
        done = [self.run_seed(s, bring) for s in few]
        self.assertGreater(sum(batches for batches, _ in done), 3 * len(done))
        self.assertGreater(sum(runs for _, runs in done), 20 * len(done))

    def test_batches_hold_under_trouble(self):
        self.judge(lambda simulation, random_faults, work: random_faults.during(work, 10))

    def test_a_new_owner_whose_storage_nodes_are_slow_lists_what_was_started_and_runs_the_rest(self):
        simulation = start_simulation(5)
        self.addCleanup(simulation.end)
        c = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(c.one_batch(12)), 20, "a lot is taken")
        simulation.until(lambda: sum(n["event"] == "run" for n in simulation.notes) >= 3, 30, "items run")

        def owner():
            return next(
                (
                    a
                    for a in simulation.role("gateway", alive=True)
                    if (o := a.part.open_batches.get(batch)) and o.leaseholder
                ),
                None,
            )

        owner().kill()
        simulation.until(owner, 30, "another gateway owns it")
        for a in simulation.role("storage"):
            a.slow = 5.0
        simulation.run(6)
        for a in simulation.role("storage"):
            a.slow = 0.0
        simulation.until(lambda: simulation.do(c.one_read(batch), 10)["state"] == "done", 60, "it is done")
        self.assertEqual(check(c.events, simulation.notes, {}, capacity=4), [])

    def test_an_end_that_did_not_get_durable_leaves_the_batch_open_for_its_next_owner(self):
        simulation = start_simulation(6)
        self.addCleanup(simulation.end)
        c = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(c.one_batch(12)), 20, "a lot is taken")
        owner = simulation.until(
            lambda: next(
                (a for a in simulation.role("gateway") if (o := a.part.open_batches.get(batch)) and o.leaseholder), None
            ),
            30,
            "a gateway owns it",
        )
        storage_nodes = [a.name for a in simulation.role("storage")]
        simulation.cut([owner.name], storage_nodes)
        got, fault = simulation.do(
            c._request(lambda part: part.batch_ownership.cancel_local_batch(batch), 9.0, owner), 12
        )
        self.assertIsNone(got)
        simulation.heal()
        simulation.until(
            lambda: simulation.do(c.one_read(batch), 10)["state"] in ("done", "ended"), 60, "it is done or ended"
        )
        c.note("lot_ended", lot=batch, status=503, said={})
        self.assertEqual(
            check(
                [
                    e
                    for e in c.events
                    if e["status"] in (200, 201, 503) and e["event"] != "results" or e.get("status") == 200
                ],
                simulation.notes,
                {},
                capacity=4,
            ),
            [],
        )

    def test_news_of_engines_that_waited_for_a_sleeping_gateway_is_not_fresh(self):
        simulation = start_simulation(4, engines=1)
        self.addCleanup(simulation.end)
        simulation.run(3)
        engine, gateway = simulation.engines["engine0"], simulation.simulated_nodes["gateway2"]
        gateway.freeze()
        simulation.run(0.9)
        engine.silent = True
        simulation.run(4.1)
        gateway.thaw()
        for _ in range(60):
            simulation.run(0.05)
            for a in simulation.role("gateway"):
                engines = a.part.engines
                self.assertNotIn("ready", [engines.status(e) for e in engines.all()], a.name)

    def test_a_node_that_freezes_in_the_midst_of_each_step_that_has_an_owner(self):
        """Its call has just left; it wakes after its lease, its cluster state and its leadership have ended."""

        def bring(simulation, random_faults, work):
            steps = list(OWNED)
            simulation.rng.shuffle(steps)
            random_faults.during(work, 0)
            for method in steps[:5]:
                skip = [simulation.rng.randrange(12)]

                def trip(sender, said):
                    if said == method and sender.alive and not sender.frozen:
                        skip[0] -= 1
                        if skip[0] < 0:
                            simulation.watch_calls = None
                            random_faults.injected.append(
                                f"{simulation.clock.seconds():.3f} {sender.name} freezes in {method}"
                            )
                            simulation.clock.callLater(0.0007, sender.freeze)
                            simulation.clock.callLater(5, sender.thaw)

                simulation.watch_calls = trip
                simulation.run(9)
            simulation.watch_calls = None
            simulation.run(6)

        self.judge(bring, FEW)
