"""Batches in gateways in a simulation: taken once, run, listed once in an order that stays, ended."""

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

    def test_a_batch_is_taken_run_and_listed_whole(self):
        simulation, clients = self.simulation()
        name = clients.new_batch(8)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        doc = simulation.until(lambda: clients.read_if_complete(name), 20, "all is listed")
        self.assertEqual({o["state"] for o in doc["outputs"]}, {"done"})
        simulation.run(0.5)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.read(name, 0, gateway=node))[1]["outputs"], doc["outputs"])
            self.assertEqual(simulation.do(clients.read(name, 5, gateway=node))[1]["outputs"], doc["outputs"][5:])
            self.assertEqual(simulation.do(clients.read(name, 8, gateway=node))[1]["outputs"], [])
        first = simulation.runs[0]
        self.assertEqual((first["path"], first["headers"]), ("/bulk/x", [("A", "b")]))
        simulation.until(
            lambda: not any(node.part.batches for node in simulation.role("gateway")), 5, "its lease is given back"
        )
        self.assertEqual(clients.violations, [])

    def test_the_same_batch_at_two_gateways_at_once_is_taken_once(self):
        simulation, clients = self.simulation()
        simulation.break_probability = 0
        for n in range(5):
            name = clients.new_batch(4)
            statuses = [[], []]
            for node, statuses_of_one in zip(simulation.role("gateway"), statuses):
                simulation.timers().with_timeout(ms(5000), clients.submit_batch(name, node)).addBoth(
                    statuses_of_one.append
                )
            simulation.until(lambda: all(statuses), 10, "both answered")
            self.assertEqual(statuses, [[202], [202]])
            simulation.until(lambda: clients.read_if_complete(name), 20, "all is listed")
        self.assertEqual(len(simulation.runs), len({(r["item"], r["after"]) for r in simulation.runs}))
        self.assertEqual(clients.violations, [])

    def test_another_batch_under_a_taken_id_is_refused(self):
        simulation, clients = self.simulation()
        name = clients.new_batch(3)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        clients.new_batch(4, name=name)
        for node in simulation.role("gateway"):
            self.assertEqual(simulation.do(clients.submit_batch(name, node)), 409)

    def test_nothing_is_lost_where_all_storage_nodes_lose_power_right_after_the_answer(self):
        simulation, clients = self.simulation(2)
        name = clients.new_batch(6)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        for node in simulation.role("storage") + simulation.role("gateway"):
            node.kill(power=node.role == "storage")
        for node in simulation.role("storage") + simulation.role("gateway"):
            node.start()
        simulation.ready()
        simulation.until(lambda: clients.read_if_complete(name), 40, "all is listed")
        self.assertEqual(clients.violations, [])

    def test_another_gateway_goes_on_where_an_owner_was_killed(self):
        simulation, clients = self.simulation(3)
        name = clients.new_batch(30)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        simulation.until(
            lambda: len((simulation.do(clients.read(name))[1] or {"outputs": ()})["outputs"]) >= 8,
            20,
            "some are listed",
        )
        self.owner(simulation, name).kill()
        simulation.until(lambda: clients.read_if_complete(name), 30, "all is listed")
        self.assertLess(len(simulation.runs), 60)
        self.assertEqual(clients.violations, [])

    def test_a_held_read_is_answered_as_soon_as_there_is_one_more(self):
        simulation, clients = self.simulation(4)
        simulation.event_interval, simulation.break_probability = ms(300), 0
        name = clients.new_batch(2)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        asked = simulation.clock.seconds()
        for node in simulation.role("gateway"):
            status, doc = simulation.do(clients.read(name, 0, 5000, node))
            self.assertTrue(doc["outputs"])
        self.assertLess(simulation.clock.seconds() - asked, 3)
        status, doc = simulation.do(clients.read(name, 2, 5000))
        asked = simulation.clock.seconds()
        self.assertEqual(simulation.do(clients.read(name, 2, 5000))[1]["outputs"], [])
        self.assertLess(simulation.clock.seconds() - asked, 1)

    def test_an_end_stops_the_items_and_is_final_and_may_be_repeated(self):
        simulation, clients = self.simulation(5)
        simulation.event_interval = ms(400)
        name = clients.new_batch(40)
        owner = simulation.role("gateway")[0]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        simulation.run(3.2)
        for node in reversed(simulation.role("gateway")):
            self.assertEqual(simulation.do(clients.cancel(name, node)), 200)
        at = clients.cancelled[name]
        simulation.run(10)
        self.assertEqual([r for r in simulation.runs if r["at"] > at + 0.1], [])
        self.assertEqual(sum(node.part.running_items for node in simulation.role("gateway")), 0)
        docs = [simulation.do(clients.read(name, gateway=node))[1] for node in simulation.role("gateway")]
        self.assertEqual(docs[0], docs[1])
        owner.kill()
        simulation.run(8)
        self.assertEqual(simulation.do(clients.cancel(name)), 200)
        self.assertEqual([r for r in simulation.runs if r["at"] > at + 0.1], [])
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        self.assertEqual(clients.violations, [])

    def test_what_is_not_there_is_404_and_what_nobody_can_know_is_503(self):
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

    def test_bytes_that_one_storage_node_alone_has_are_not_told_as_nothing(self):
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
        simulation.until(lambda: clients.read_if_complete(name), 20, "it is taken up, and all is listed")
        self.assertEqual(clients.violations, [])

    def test_items_are_abandoned_for_their_causes_only(self):
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
            simulation.until(lambda: states(name) == {"abandoned"}, 20, f"{name} is abandoned")

        def runs(name):
            return [r["item"] for r in simulation.runs if r["item"].startswith(name)]

        self.assertEqual(sorted(runs(never)), sorted(i["id"] for i in clients.items[never]))
        self.assertEqual(sorted(runs(failing)), sorted(3 * [i["id"] for i in clients.items[failing]]))
        self.assertGreater(simulation.clock.seconds() - clients.accepted[late], 4)
        simulation.run(10)
        self.assertEqual(states(dead) | states(gone), set())
        del simulation.routes["gone"]
        simulation.until(lambda: states(gone) == {"abandoned"}, 10, "its route is gone")
        self.assertEqual(states(dead), set())
        self.assertGreater(len(runs(dead)), 20)
        self.assertLess(len(runs(dead)), 80)

    def test_texts_are_whole_where_runs_break_off_again_and_again(self):
        simulation, clients = self.simulation(9)
        simulation.break_probability = 0.4
        name = clients.new_batch(12)
        self.assertEqual(simulation.do(clients.submit_batch(name)), 202)
        doc = simulation.until(lambda: clients.read_if_complete(name), 60, "all is listed")
        for out in doc["outputs"]:
            self.assertEqual(out["text"], expected_text(out["id"]))
        self.assertTrue(any(r["after"] for r in simulation.runs))
        self.assertEqual(clients.violations, [])

    def test_a_gateway_that_leaves_in_order_hands_its_batches_over_at_once(self):
        simulation, clients = self.simulation(10)
        simulation.event_interval, simulation.break_probability = ms(150), 0
        name = clients.new_batch(40)
        owner = simulation.role("gateway")[2]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        simulation.run(2)
        other = clients.new_batch(2)
        simulation.do(owner.part.service.table.drain())
        self.assertEqual(simulation.do(clients.submit_batch(other, owner)), 202)
        left = simulation.clock.seconds()
        owner.kill()
        simulation.until(lambda: self.owner(simulation, name), 5, "another owns it")
        self.assertLess(simulation.clock.seconds() - left, 4.5)
        for one in (name, other):
            simulation.until(lambda: clients.read_if_complete(one), 60, "all is listed")
        self.assertEqual(clients.violations, [])
        self.assertEqual(len(simulation.runs), len({(r["item"], r["after"]) for r in simulation.runs}))

    def test_lengths_are_polled_only_while_somebody_reads(self):
        simulation, clients = self.simulation(11)
        simulation.event_interval, simulation.break_probability = ms(600), 0
        name = clients.new_batch(3)
        owner, reader = simulation.role("gateway")[:2]
        self.assertEqual(simulation.do(clients.submit_batch(name, owner)), 202)
        status, doc = simulation.do(clients.read(name, 0, 6000, reader))
        self.assertTrue(doc["outputs"])
        self.assertEqual(reader.ctx.cache.poller._known, {})
        simulation.until(
            lambda: len(simulation.do(clients.read(name, gateway=reader))[1]["outputs"]) == 3, 10, "all is listed"
        )
        self.assertEqual(reader.ctx.cache.poller._known, {})
        self.assertEqual(clients.violations, [])
