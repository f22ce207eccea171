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
SINGLE_SEED = seeds(1)
LEASED_CALLS = (
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
    def run_seed(self, seed, inject_faults):
        simulation = start_simulation(seed)
        self.addCleanup(simulation.end)
        clients = SimulatedClients(simulation)
        random_faults = RandomFaults(simulation, roles=ROLES)
        clients.note("hurt", id=0, what="trouble", nodes=[], bearable=False)
        inject_faults(
            simulation,
            random_faults,
            [
                clients.hand_in(),
                clients.hand_in(),
                clients.read(),
                clients.read(),
                clients.end_some(),
                clients.live(),
                clients.engines(),
            ],
        )
        clients.over = True
        simulation.run(9)
        clients.note("healed", id=0, settle=0)
        for batch in clients.batches:

            def closed():
                return simulation.do(clients.one_read(batch), 10, "a read")["state"] in ("done", "ended")

            try:
                simulation.until(closed, 90, f"{batch} is done or ended: {random_faults.injected}")
            except AssertionError as e:
                raise AssertionError(f"{e}\n{self.known(simulation, batch)}") from None
        violations = check(clients.events, simulation.notes, {}, capacity=4)
        self.assertEqual(violations, [], f"seed {seed}: {random_faults.injected}")
        return len(clients.batches), sum(n["event"] == "run" for n in simulation.notes)

    def describe(self, simulation, batch):
        """What each gateway knows of a lot that does not get done."""
        descriptions = []
        for node in simulation.role("gateway"):
            batch_state = node.part.open_batches.get(batch)
            leaseholder = batch_state and batch_state.leaseholder
            descriptions.append(
                (
                    node.name,
                    node.node,
                    "closed" if node.part.open_batches.is_closed(batch) else "",
                    batch_state
                    and (
                        choose_owner(node.ctx, batch),
                        sorted(batch_state.results),
                        sorted(batch_state.started),
                        batch_state.pending,
                        list(batch_state.running),
                        batch_state.retry_at,
                        batch_state.acquiring,
                        batch_state.next_acquire_at,
                        leaseholder
                        and (
                            leaseholder.epoch,
                            leaseholder.lost,
                            leaseholder.final,
                            leaseholder.committed,
                            len(leaseholder.data),
                            leaseholder.is_held(),
                        ),
                    ),
                )
            )
        return (
            "\n".join(map(str, descriptions))
            + "\n"
            + "\n".join(line for line in simulation.sink.lines if batch in line)[-4000:]
        )

    def check_seeds(self, inject_faults, seed_list=SEEDS):
        counts = [self.run_seed(seed, inject_faults) for seed in seed_list]
        self.assertGreater(sum(batches for batches, _ in counts), 3 * len(counts))
        self.assertGreater(sum(runs for _, runs in counts), 20 * len(counts))

    def test_batches_hold_under_trouble(self):
        self.check_seeds(lambda simulation, random_faults, work: random_faults.during(work, 10))

    def test_a_new_owner_whose_storage_nodes_are_slow_lists_what_was_started_and_runs_the_rest(self):
        simulation = start_simulation(5)
        self.addCleanup(simulation.end)
        clients = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(clients.one_batch(12)), 20, "a lot is taken")
        simulation.until(lambda: sum(n["event"] == "run" for n in simulation.notes) >= 3, 30, "items run")

        def owner():
            return next(
                (
                    node
                    for node in simulation.role("gateway", alive=True)
                    if (batch_state := node.part.open_batches.get(batch)) and batch_state.leaseholder
                ),
                None,
            )

        owner().kill()
        simulation.until(owner, 30, "another gateway owns it")
        for node in simulation.role("storage"):
            node.slow = 5.0
        simulation.run(6)
        for node in simulation.role("storage"):
            node.slow = 0.0
        simulation.until(lambda: simulation.do(clients.one_read(batch), 10)["state"] == "done", 60, "it is done")
        self.assertEqual(check(clients.events, simulation.notes, {}, capacity=4), [])

    def test_an_end_that_did_not_get_durable_leaves_the_batch_open_for_its_next_owner(self):
        simulation = start_simulation(6)
        self.addCleanup(simulation.end)
        clients = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(clients.one_batch(12)), 20, "a lot is taken")
        owner = simulation.until(
            lambda: next(
                (
                    node
                    for node in simulation.role("gateway")
                    if (batch_state := node.part.open_batches.get(batch)) and batch_state.leaseholder
                ),
                None,
            ),
            30,
            "a gateway owns it",
        )
        storage_nodes = [node.name for node in simulation.role("storage")]
        simulation.cut([owner.name], storage_nodes)
        result, fault = simulation.do(
            clients._request(lambda part: part.batch_ownership.cancel_local_batch(batch), 9.0, owner), 12
        )
        self.assertIsNone(result)
        simulation.heal()
        simulation.until(
            lambda: simulation.do(clients.one_read(batch), 10)["state"] in ("done", "ended"), 60, "it is done or ended"
        )
        clients.note("lot_ended", lot=batch, status=503, said={})
        self.assertEqual(
            check(
                [
                    e
                    for e in clients.events
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
            for node in simulation.role("gateway"):
                engines = node.part.engines
                self.assertNotIn("ready", [engines.status(e) for e in engines.all()], node.name)

    def test_a_node_that_freezes_in_the_midst_of_each_step_that_has_an_owner(self):
        """Its call has just left; it wakes after its lease, its cluster state and its leadership have ended."""

        def inject_faults(simulation, random_faults, work):
            steps = list(LEASED_CALLS)
            simulation.rng.shuffle(steps)
            random_faults.during(work, 0)
            for method in steps[:5]:
                skip = [simulation.rng.randrange(12)]

                def freeze_on_call(sender, called):
                    if called == method and sender.alive and not sender.frozen:
                        skip[0] -= 1
                        if skip[0] < 0:
                            simulation.watch_calls = None
                            random_faults.injected.append(
                                f"{simulation.clock.seconds():.3f} {sender.name} freezes in {method}"
                            )
                            simulation.clock.callLater(0.0007, sender.freeze)
                            simulation.clock.callLater(5, sender.thaw)

                simulation.watch_calls = freeze_on_call
                simulation.run(9)
            simulation.watch_calls = None
            simulation.run(6)

        self.check_seeds(inject_faults, SINGLE_SEED)
