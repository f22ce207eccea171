"""A route's waiting tokens at all gateways together: they never exceed the cap, and can use all of it."""

import json
import unittest

from pipitlink.timers import ms, spawn

from .batch_builders import BatchClients, route, start_simulation

CAP = 300


class SimulatedQuota(unittest.TestCase):
    def simulation(self, seed=1, cap=CAP, **args):
        simulation = start_simulation(seed, routes=[route(max_waiting_tokens=cap)], **args)
        simulation.event_interval, simulation.break_probability = ms(400), 0
        self.addCleanup(simulation.end)
        return simulation, BatchClients(simulation)

    def waiting_tokens(self, simulation, clients):
        """Returns the tokens of accepted items that no engine has finished yet."""
        ended = {r["item"] for r in simulation.finished}
        return sum(
            i["tokens"]
            for name in clients.accepted
            for i in clients.items[name]
            if i["id"] not in ended and name not in clients.cancelled
        )

    def coordinator(self, simulation):
        part = simulation.role("gateway", alive=True)[0].part
        coordinator = part.service.quota.coordinator_of("bulk")
        return next(node for node in simulation.role("gateway") if node.node == coordinator)

    def test_concurrent_submissions_use_up_the_cap_but_never_exceed_it(self):
        simulation, clients = self.simulation()
        for node in simulation.role("gateway"):
            node.part.slots = 0
        statuses = []
        for n in range(18):
            spawn(clients.submit_batch(clients.new_batch(5), simulation.role("gateway")[n % 3])).addBoth(
                statuses.append
            )
        simulation.until(lambda: len(statuses) == 18, 15, "there is a response to each")
        self.assertEqual(sorted(statuses), [202] * 6 + [429] * 12)
        self.assertEqual(self.waiting_tokens(simulation, clients), CAP)
        self.assertEqual([r for r in simulation.runs if r["item"].partition("i")[0] not in clients.accepted], [])

    def test_freed_tokens_are_granted_again_within_a_second(self):
        simulation, clients = self.simulation(2)
        simulation.event_interval = ms(40)
        names = [clients.new_batch(5) for _ in range(6)]
        for name in names:
            self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        for name in names:
            simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        simulation.run(1)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(30))), 202)

    def test_a_cancelled_batch_has_no_waiting_tokens(self):
        simulation, clients = self.simulation(3)
        for node in simulation.role("gateway"):
            node.part.slots = 0
        name = clients.new_batch(30)
        self.assertEqual(simulation.do(clients.submit_batch(name, simulation.role("gateway")[1])), 202)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(1))), 429)
        self.assertEqual(simulation.do(clients.cancel(name)), 200)
        simulation.run(0.6)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(30))), 202)

    def test_a_batch_larger_than_the_cap_is_refused_with_retry_after(self):
        simulation, clients = self.simulation(4)
        name = clients.new_batch(31)
        raw = json.dumps({"items": clients.items[name]}).encode()
        part = simulation.role("gateway")[0].part
        response = simulation.do(part.submit(simulation.routes["bulk"], "/bulk/", name, raw, ms(3000)))
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "1"))

    def test_a_batch_accepted_again_is_counted_once(self):
        simulation, clients = self.simulation(5)
        for node in simulation.role("gateway"):
            node.part.slots = 0
        name, other = clients.new_batch(20), clients.new_batch(10)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 202)
        self.assertEqual(simulation.do(clients.submit_batch(other)), 202)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 202)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(1))), 429)

    def test_a_new_coordinator_knows_the_waiting_and_the_free_tokens(self):
        for seed in (6, 7):
            simulation, clients = self.simulation(seed)
            for node in simulation.role("gateway"):
                node.part.slots = 0
            for node in simulation.role("gateway"):
                self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(5), node)), 202)
            self.coordinator(simulation).kill()
            self.assertEqual(self.first_definite_status(simulation, clients, 16), 429)
            self.assertEqual(self.first_definite_status(simulation, clients, 15), 202)
            self.assertEqual(self.first_definite_status(simulation, clients, 1), 429)

    def test_a_new_coordinator_counts_the_last_grants_of_the_old_one(self):
        simulation, clients = self.simulation(8)
        for node in simulation.role("gateway"):
            node.part.slots = 0
        coordinator = self.coordinator(simulation)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(25), coordinator)), 202)
        coordinator.kill()
        self.assertEqual(self.first_definite_status(simulation, clients, 6), 429)
        self.assertEqual(self.first_definite_status(simulation, clients, 5), 202)

    def test_open_batches_are_counted_first_after_all_gateways_restart(self):
        simulation, clients = self.simulation(9)
        for node in simulation.role("gateway"):
            node.part.slots = 0
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(25))), 202)
        for node in simulation.role("gateway"):
            node.kill()
        for node in simulation.role("gateway"):
            node.start()
            node.part.slots = 0
        simulation.ready()
        self.assertEqual(self.first_definite_status(simulation, clients, 6), 429)
        self.assertEqual(self.first_definite_status(simulation, clients, 5), 202)

    def first_definite_status(self, simulation, clients, items):
        """Submits a batch until the status is not 503 but 202 or 429, within a few seconds, and returns the status."""
        statuses = []
        name = clients.new_batch(items)

        def is_definite():
            statuses.append(simulation.do(clients.submit_batch(name)))
            return statuses[-1] in (202, 429)

        simulation.until(is_definite, 12, f"a definite status: {statuses}")
        return statuses[-1]

    def test_the_cap_holds_while_gateways_are_killed_and_items_finish(self):
        for seed in (10, 11, 12):
            simulation, clients = self.simulation(seed, gateways=4)
            simulation.event_interval = ms(60)
            cap_excesses = []

            async def submit_continuously():
                while not clients.stopped:
                    name = clients.new_batch(1 + simulation.rng.randrange(8))
                    before = len(clients.accepted)
                    await clients.submit_batch(name)
                    if len(clients.accepted) == before:
                        await clients.timers.sleep(ms(30))
                    elif self.waiting_tokens(simulation, clients) > CAP:
                        cap_excesses.append(
                            (simulation.clock.seconds(), name, self.waiting_tokens(simulation, clients))
                        )

            for _ in range(4):
                spawn(submit_continuously())
            for _ in range(4):
                simulation.run(4)
                node = simulation.rng.choice(simulation.role("gateway", alive=True))
                node.kill()
                simulation.run(3)
                node.start()
            clients.stopped = True
            simulation.run(12)
            self.assertEqual(cap_excesses, [], f"seed {seed}")
            self.assertGreater(len(clients.accepted), 20)
            for name in clients.accepted:
                simulation.until(lambda: clients.read_if_complete(name), 60, f"{name} is complete")
            self.assertEqual(clients.violations, [])

    def test_an_unreachable_storage_node_does_not_delay_counting_after_gateways_change(self):
        for seed in (20, 21, 22):
            simulation, clients = self.simulation(seed, gateways=4)
            storage_node = simulation.role("storage")[0]
            simulation.cut([storage_node.name], [node.name for node in simulation.role("gateway")])
            simulation.run(3)
            gone = next(node for node in simulation.role("gateway") if node is not self.coordinator(simulation))
            gone.kill()
            coordinator = self.coordinator(simulation)
            simulation.until(
                lambda: coordinator.ctx.membership.status(gone.node) != "alive",
                5,
                "the coordinator notices that the gateway is gone",
            )
            at = simulation.clock.seconds()
            self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(3), coordinator)), 202)
            self.assertLess(simulation.clock.seconds() - at, 0.9, f"seed {seed}")
