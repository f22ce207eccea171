"""Batches at simulated gateways: each is accepted once, run, listed in an order that does not change, and cancelled."""

import unittest

from pipitlink.timers import ms

from .batch_builders import BatchClients, expected_text, route, start_simulation


class SimulatedBatches(unittest.TestCase):
    def simulation(self, seed=1, **args):
        simulation = start_simulation(seed, **args)
        self.addCleanup(simulation.end)
        return simulation, BatchClients(simulation)

    def owner(self, simulation, name):
        return next(
            (
                node
                for node in simulation.role("gateway", alive=True)
                if (o := node.part.batches.get(name)) and o.leaseholder.is_held()
            ),
            None,
        )

    def test_a_batch_is_accepted_run_and_listed_completely(self):
        simulation, clients = self.simulation()
        name = clients.new_batch(8)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        doc = simulation.until(lambda: clients.read_if_complete(name), 20, "all outputs are listed")
        self.assertEqual({o["state"] for o in doc["outputs"]}, {"done"})
        simulation.run(0.5)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.read(name, 0, gateway=node))[1]["outputs"], doc["outputs"])
            self.assertEqual(simulation.do(clients.read(name, 5, gateway=node))[1]["outputs"], doc["outputs"][5:])
            self.assertEqual(simulation.do(clients.read(name, 8, gateway=node))[1]["outputs"], [])
        first = simulation.runs[0]
        self.assertEqual((first["path"], first["headers"]), ("/bulk/x", [("A", "b")]))
        simulation.until(
            lambda: not any(node.part.batches for node in simulation.role("gateway")), 5, "its lease is released"
        )
        self.assertEqual(clients.violations, [])

    def test_a_batch_submitted_to_two_gateways_at_once_is_accepted_once(self):
        simulation, clients = self.simulation()
        simulation.break_probability = 0
        for n in range(5):
            name = clients.new_batch(4)
            statuses = [[], []]
            for node, statuses_of_one in zip(simulation.role("gateway"), statuses):
                simulation.timers().with_timeout(ms(5000), clients.submit_batch(name, node)).addBoth(
                    statuses_of_one.append
                )
            simulation.until(lambda: all(statuses), 10, "both gateways respond")
            self.assertEqual(statuses, [[202], [202]])
            simulation.until(lambda: clients.read_if_complete(name), 20, "all outputs are listed")
        self.assertEqual(len(simulation.runs), len({(r["item"], r["after"]) for r in simulation.runs}))
        self.assertEqual(clients.violations, [])

    def test_a_different_batch_under_a_used_id_is_refused(self):
        simulation, clients = self.simulation()
        name = clients.new_batch(3)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        clients.new_batch(4, name=name)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 409)

    def test_no_batch_is_lost_if_all_storage_nodes_lose_power_right_after_the_response(self):
        simulation, clients = self.simulation(2)
        name = clients.new_batch(6)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        for node in simulation.role("storage") + simulation.role("gateway"):
            node.kill(power=node.role == "storage")
        for node in simulation.role("storage") + simulation.role("gateway"):
            node.start()
        simulation.ready()
        simulation.until(lambda: clients.read_if_complete(name), 40, "all outputs are listed")
        self.assertEqual(clients.violations, [])

    def test_another_gateway_continues_a_batch_whose_owner_was_killed(self):
        simulation, clients = self.simulation(3)
        name = clients.new_batch(30)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        simulation.until(
            lambda: len((simulation.do(clients.read(name))[1] or {"outputs": ()})["outputs"]) >= 8,
            20,
            "some outputs are listed",
        )
        self.owner(simulation, name).kill()
        simulation.until(lambda: clients.read_if_complete(name), 30, "all outputs are listed")
        self.assertLess(len(simulation.runs), 60)
        self.assertEqual(clients.violations, [])

    def test_a_long_poll_returns_as_soon_as_there_is_another_output(self):
        simulation, clients = self.simulation(4)
        simulation.event_interval, simulation.break_probability = ms(300), 0
        name = clients.new_batch(2)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        asked_at = simulation.clock.seconds()
        for node in simulation.role("gateway"):
            status, doc = simulation.do(clients.read(name, 0, 5000, node))
            self.assertTrue(doc["outputs"])
        self.assertLess(simulation.clock.seconds() - asked_at, 3)
        status, doc = simulation.do(clients.read(name, 2, 5000))
        asked_at = simulation.clock.seconds()
        self.assertEqual(simulation.do(clients.read(name, 2, 5000))[1]["outputs"], [])
        self.assertLess(simulation.clock.seconds() - asked_at, 1)

    def test_a_cancellation_stops_the_items_and_is_final_and_idempotent(self):
        simulation, clients = self.simulation(5)
        simulation.event_interval = ms(400)
        name = clients.new_batch(40)
        owner = simulation.role("gateway")[0]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        simulation.run(3.2)
        for node in reversed(simulation.role("gateway")):
            self.assertEqual(simulation.do(clients.cancel(name, node)), 200)
        cancelled_at = clients.cancelled[name]
        simulation.run(10)
        self.assertEqual([r for r in simulation.runs if r["at"] > cancelled_at + 0.1], [])
        self.assertEqual(sum(node.part.running_items for node in simulation.role("gateway")), 0)
        docs = [simulation.do(clients.read(name, gateway=node))[1] for node in simulation.role("gateway")]
        self.assertEqual(docs[0], docs[1])
        owner.kill()
        simulation.run(8)
        self.assertEqual(simulation.do(clients.cancel(name)), 200)
        self.assertEqual([r for r in simulation.runs if r["at"] > cancelled_at + 0.1], [])
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        self.assertEqual(clients.violations, [])

    def test_a_missing_batch_gives_404_and_an_unknown_state_gives_503(self):
        simulation, clients = self.simulation(6)
        gateway = simulation.role("gateway")[1]
        name = clients.new_batch(3)
        self.assertEqual(simulation.do(clients.read(name, gateway=gateway))[0], 404)
        self.assertEqual(simulation.do(clients.cancel(name, gateway)), 404)
        self.assertEqual(simulation.do(clients.read("../x", gateway=gateway))[0], 404)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        self.assertEqual(simulation.do(clients.read_body(name, 1, gateway)), 200)
        simulation.cut([gateway.name], [node.name for node in simulation.role("storage")])
        other = clients.new_batch(3)
        self.assertEqual(simulation.do(clients.read(other, gateway=gateway))[0], 503)
        self.assertEqual(simulation.do(clients.submit_batch(other, gateway)), 503)
        simulation.heal()
        simulation.run(6)
        self.assertEqual([r for r in simulation.runs if r["item"].startswith(other)], [])
        self.assertEqual(simulation.do(clients.read(other, gateway=gateway))[0], 404)

    def test_a_batch_that_only_one_storage_node_has_is_not_reported_as_missing(self):
        simulation, clients = self.simulation(7)
        gateway = simulation.role("gateway")[0]
        name = clients.new_batch(3)
        placement_group = gateway.ctx.replicated_log.placement_group(f"batch/{name}")
        storage_nodes = [node for node in simulation.role("storage") if node.node in placement_group.all_nodes]

        def cut_after_first_write(sender, method):
            if method == "replicated_log.write" and sender is gateway:
                simulation.cut([gateway.name], [node.name for node in storage_nodes])

        simulation.watch_calls = cut_after_first_write
        status = simulation.do(clients.submit_batch(name, gateway, 1.0), 10)
        self.assertIn(status, (500, 504))
        lengths = [k.length for node in storage_nodes if (k := node.part.log_store.logs.get(f"batch/{name}"))]
        self.assertEqual(sum(n > 0 for n in lengths), 1)
        gateway.kill()
        simulation.watch_calls = None
        simulation.heal()
        statuses = [
            simulation.do(clients.read(name, gateway=node))[0] for node in simulation.role("gateway", alive=True)
        ]
        self.assertEqual(set(statuses), {503})
        simulation.until(lambda: clients.read_if_complete(name), 20, "the batch is adopted, and all outputs are listed")
        self.assertEqual(clients.violations, [])

    def test_items_are_abandoned_only_for_the_defined_reasons(self):
        simulation, clients = self.simulation(8, routes=[route(), route("brief", retain_ms=4000), route("gone")])
        never, failing, dead = (
            clients.new_batch(2, path="/bulk/422"),
            clients.new_batch(2, path="/bulk/500"),
            clients.new_batch(2, path="/bulk/503"),
        )
        late, gone = clients.new_batch(2, path="/brief/503"), clients.new_batch(2, path="/gone/503")
        for name, route_name in ((never, "bulk"), (failing, "bulk"), (dead, "bulk"), (late, "brief"), (gone, "gone")):
            self.assertEqual(simulation.do(clients.submit_batch(name, route_name=route_name)), 202)

        def states(name):
            return {o["state"] for o in (clients.read_if_complete(name) or {"outputs": ()})["outputs"]}

        for name in (never, failing, late):
            simulation.until(lambda: states(name) == {"abandoned"}, 20, f"the items of {name} are abandoned")

        def runs(name):
            return [r["item"] for r in simulation.runs if r["item"].startswith(name)]

        self.assertEqual(sorted(runs(never)), sorted(i["id"] for i in clients.items[never]))
        self.assertEqual(sorted(runs(failing)), sorted(3 * [i["id"] for i in clients.items[failing]]))
        self.assertGreater(simulation.clock.seconds() - clients.accepted[late], 4)
        simulation.run(10)
        self.assertEqual(states(dead) | states(gone), set())
        del simulation.routes["gone"]
        simulation.until(
            lambda: states(gone) == {"abandoned"}, 10, "the items are abandoned because their route is gone"
        )
        self.assertEqual(states(dead), set())
        self.assertGreater(len(runs(dead)), 20)
        self.assertLess(len(runs(dead)), 80)

    def test_texts_are_complete_if_runs_are_interrupted_repeatedly(self):
        simulation, clients = self.simulation(9)
        simulation.break_probability = 0.4
        name = clients.new_batch(12)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        doc = simulation.until(lambda: clients.read_if_complete(name), 60, "all outputs are listed")
        for out in doc["outputs"]:
            self.assertEqual(out["text"], expected_text(out["id"]))
        self.assertTrue(any(r["after"] for r in simulation.runs))
        self.assertEqual(clients.violations, [])

    def test_a_gateway_that_shuts_down_hands_its_batches_over_at_once(self):
        simulation, clients = self.simulation(10)
        simulation.event_interval, simulation.break_probability = ms(150), 0
        name = clients.new_batch(40)
        owner = simulation.role("gateway")[2]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        simulation.run(2)
        other = clients.new_batch(2)
        simulation.do(owner.part.service.table.drain())
        self.assertEqual(simulation.do(clients.submit_batch(other, owner)), 202)
        left_at = simulation.clock.seconds()
        owner.kill()
        simulation.until(lambda: self.owner(simulation, name), 5, "another gateway owns the batch")
        self.assertLess(simulation.clock.seconds() - left_at, 4.5)
        for batch_name in (name, other):
            simulation.until(lambda: clients.read_if_complete(batch_name), 60, "all outputs are listed")
        self.assertEqual(clients.violations, [])
        self.assertEqual(len(simulation.runs), len({(r["item"], r["after"]) for r in simulation.runs}))

    def test_lengths_are_polled_only_while_a_batch_is_read(self):
        simulation, clients = self.simulation(11)
        simulation.event_interval, simulation.break_probability = ms(600), 0
        name = clients.new_batch(3)
        owner, reader = simulation.role("gateway")[:2]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        status, doc = simulation.do(clients.read(name, 0, 6000, reader))
        self.assertTrue(doc["outputs"])
        self.assertEqual(reader.ctx.cache.poller._known, {})
        simulation.until(
            lambda: len(simulation.do(clients.read(name, gateway=reader))[1]["outputs"]) == 3,
            10,
            "all outputs are listed",
        )
        self.assertEqual(reader.ctx.cache.poller._known, {})
        self.assertEqual(clients.violations, [])
