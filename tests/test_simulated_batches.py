"""Simulated gateways and engines under random faults.

Clients submit, read and cancel batches and send live requests; the checker verifies what they saw.
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
OWNER_CALLS = (
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
    simulation.add_engines(SimulatedGateway, SimulatedEngine, engines)
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
                clients.submit_batches(),
                clients.submit_batches(),
                clients.read_batches(),
                clients.read_batches(),
                clients.cancel_batches(),
                clients.send_live_requests(),
                clients.disturb_engines(),
            ],
        )
        clients.stopped = True
        simulation.run(9)
        clients.note("healed", id=0, settle=0)
        for batch in clients.batches:

            def closed():
                return simulation.do(clients.read_results(batch), 10, "a read")["state"] in ("done", "ended")

            try:
                simulation.until(closed, 90, f"{batch} is done or ended: {random_faults.injected}")
            except AssertionError as e:
                raise AssertionError(f"{e}\n{self.known(simulation, batch)}") from None
        violations = check(clients.events, simulation.notes, {}, capacity=4)
        self.assertEqual(violations, [], f"seed {seed}: {random_faults.injected}")
        return len(clients.batches), sum(n["event"] == "run" for n in simulation.notes)

    def describe(self, simulation, batch):
        """Describes what each gateway knows of a batch, for the error message when it does not finish."""
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

    def test_batches_are_correct_under_random_faults(self):
        self.check_seeds(lambda simulation, random_faults, work: random_faults.run_with_faults(work, 10))

    def test_a_new_owner_with_slow_storage_nodes_records_started_items_and_runs_the_rest(self):
        simulation = start_simulation(5)
        self.addCleanup(simulation.end)
        clients = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(clients.submit_batch(12)), 20, "a batch is accepted")
        simulation.until(lambda: sum(n["event"] == "run" for n in simulation.notes) >= 3, 30, "items are running")

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
        simulation.until(owner, 30, "another gateway owns the batch")
        for node in simulation.role("storage"):
            node.slow = 5.0
        simulation.run(6)
        for node in simulation.role("storage"):
            node.slow = 0.0
        simulation.until(
            lambda: simulation.do(clients.read_results(batch), 10)["state"] == "done", 60, "the batch is done"
        )
        self.assertEqual(check(clients.events, simulation.notes, {}, capacity=4), [])

    def test_a_cancellation_that_is_not_durable_leaves_the_batch_open_for_its_next_owner(self):
        simulation = start_simulation(6)
        self.addCleanup(simulation.end)
        clients = SimulatedClients(simulation)
        batch = simulation.until(lambda: simulation.do(clients.submit_batch(12)), 20, "a batch is accepted")
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
            "a gateway owns the batch",
        )
        storage_nodes = [node.name for node in simulation.role("storage")]
        simulation.cut([owner.name], storage_nodes)
        result, fault = simulation.do(
            clients._request(lambda part: part.batch_ownership.cancel_local_batch(batch), 9.0, owner), 12
        )
        self.assertIsNone(result)
        simulation.heal()
        simulation.until(
            lambda: simulation.do(clients.read_results(batch), 10)["state"] in ("done", "ended"),
            60,
            "the batch is done or ended",
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

    def test_engine_announcements_that_were_queued_during_a_suspension_are_not_trusted(self):
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

    def test_a_node_that_freezes_during_a_call_that_requires_a_lease_or_leadership(self):
        """The node freezes just after it sends the call, and resumes after its lease and its leadership have ended."""

        def inject_faults(simulation, random_faults, work):
            steps = list(OWNER_CALLS)
            simulation.rng.shuffle(steps)
            random_faults.run_with_faults(work, 0)
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
