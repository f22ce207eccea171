"""Batches in gateways on a stage: taken once, run, listed once in an order that stays, ended."""

import unittest

from pipitlink.timers import ms

from .batch_parts import Callers, route, staged, text_of


class BatchesOnAStage(unittest.TestCase):
    def stage(self, seed=1, **words):
        stage = staged(seed, **words)
        self.addCleanup(stage.end)
        return stage, Callers(stage)

    def owner(self, stage, name):
        return next(
            (
                a
                for a in stage.role("gateway", alive=True)
                if (o := a.part.batches.get(name)) and o.leaseholder.is_held()
            ),
            None,
        )

    def test_a_batch_is_taken_run_and_listed_whole(self):
        stage, c = self.stage()
        name = c.lot(8)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        doc = stage.until(lambda: c.whole(name), 20, "all is listed")
        self.assertEqual({o["state"] for o in doc["outputs"]}, {"done"})
        stage.run(0.5)
        for a in stage.role("gateway"):
            self.assertEqual(stage.do(c.read(name, 0, gateway=a))[1]["outputs"], doc["outputs"])
            self.assertEqual(stage.do(c.read(name, 5, gateway=a))[1]["outputs"], doc["outputs"][5:])
            self.assertEqual(stage.do(c.read(name, 8, gateway=a))[1]["outputs"], [])
        first = stage.runs[0]
        self.assertEqual((first["path"], first["headers"]), ("/bulk/x", [("A", "b")]))
        stage.until(lambda: not any(a.part.batches for a in stage.role("gateway")), 5, "its lease is given back")
        self.assertEqual(c.wrong, [])

    def test_the_same_batch_at_two_gateways_at_once_is_taken_once(self):
        stage, c = self.stage()
        stage.breaks = 0
        for n in range(5):
            name = c.lot(4)
            some = [[], []]
            for a, box in zip(stage.role("gateway"), some):
                stage.timers().with_timeout(ms(5000), c.hand_in(name, a)).addBoth(box.append)
            stage.until(lambda: all(some), 10, "both answered")
            self.assertEqual(some, [[202], [202]])
            stage.until(lambda: c.whole(name), 20, "all is listed")
        self.assertEqual(len(stage.runs), len({(r["item"], r["after"]) for r in stage.runs}))
        self.assertEqual(c.wrong, [])

    def test_another_batch_under_a_taken_id_is_refused(self):
        stage, c = self.stage()
        name = c.lot(3)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        c.lot(4, name=name)
        for a in stage.role("gateway"):
            self.assertEqual(stage.do(c.hand_in(name, a)), 409)

    def test_nothing_is_lost_where_all_storage_nodes_lose_power_right_after_the_answer(self):
        stage, c = self.stage(2)
        name = c.lot(6)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        for a in stage.role("storage") + stage.role("gateway"):
            a.kill(power=a.role == "storage")
        for a in stage.role("storage") + stage.role("gateway"):
            a.start()
        stage.ready()
        stage.until(lambda: c.whole(name), 40, "all is listed")
        self.assertEqual(c.wrong, [])

    def test_another_gateway_goes_on_where_an_owner_was_killed(self):
        stage, c = self.stage(3)
        name = c.lot(30)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        stage.until(lambda: len((stage.do(c.read(name))[1] or {"outputs": ()})["outputs"]) >= 8, 20, "some are listed")
        self.owner(stage, name).kill()
        stage.until(lambda: c.whole(name), 30, "all is listed")
        self.assertLess(len(stage.runs), 60)
        self.assertEqual(c.wrong, [])

    def test_a_held_read_is_answered_as_soon_as_there_is_one_more(self):
        stage, c = self.stage(4)
        stage.step, stage.breaks = ms(300), 0
        name = c.lot(2)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        asked = stage.clock.seconds()
        for a in stage.role("gateway"):
            status, doc = stage.do(c.read(name, 0, 5000, a))
            self.assertTrue(doc["outputs"])
        self.assertLess(stage.clock.seconds() - asked, 3)
        status, doc = stage.do(c.read(name, 2, 5000))
        asked = stage.clock.seconds()
        self.assertEqual(stage.do(c.read(name, 2, 5000))[1]["outputs"], [])
        self.assertLess(stage.clock.seconds() - asked, 1)

    def test_an_end_stops_the_items_and_is_final_and_may_be_repeated(self):
        stage, c = self.stage(5)
        stage.step = ms(400)
        name = c.lot(40)
        owner = stage.role("gateway")[0]
        self.assertEqual(stage.do(c.hand_in(name, owner)), 202)
        stage.run(3.2)
        for a in reversed(stage.role("gateway")):
            self.assertEqual(stage.do(c.end(name, a)), 200)
        at = c.ended[name]
        stage.run(10)
        self.assertEqual([r for r in stage.runs if r["at"] > at + 0.1], [])
        self.assertEqual(sum(a.part.busy for a in stage.role("gateway")), 0)
        docs = [stage.do(c.read(name, gateway=a))[1] for a in stage.role("gateway")]
        self.assertEqual(docs[0], docs[1])
        owner.kill()
        stage.run(8)
        self.assertEqual(stage.do(c.end(name)), 200)
        self.assertEqual([r for r in stage.runs if r["at"] > at + 0.1], [])
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        self.assertEqual(c.wrong, [])

    def test_what_is_not_there_is_404_and_what_nobody_can_know_is_503(self):
        stage, c = self.stage(6)
        gateway = stage.role("gateway")[1]
        name = c.lot(3)
        self.assertEqual(stage.do(c.read(name, gateway=gateway))[0], 404)
        self.assertEqual(stage.do(c.end(name, gateway)), 404)
        self.assertEqual(stage.do(c.read("../x", gateway=gateway))[0], 404)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        self.assertEqual(stage.do(c.body(name, 1, gateway)), 200)
        stage.cut([gateway.name], [a.name for a in stage.role("storage")])
        other = c.lot(3)
        self.assertEqual(stage.do(c.read(other, gateway=gateway))[0], 503)
        self.assertEqual(stage.do(c.hand_in(other, gateway)), 503)
        stage.heal()
        stage.run(6)
        self.assertEqual([r for r in stage.runs if r["item"].startswith(other)], [])
        self.assertEqual(stage.do(c.read(other, gateway=gateway))[0], 404)

    def test_bytes_that_one_storage_node_alone_has_are_not_told_as_nothing(self):
        stage, c = self.stage(7)
        gateway = stage.role("gateway")[0]
        name = c.lot(3)
        placement_group = gateway.ctx.replicated_log.placement_group(f"batch/{name}")
        storage_nodes = [a for a in stage.role("storage") if a.node in placement_group.all_nodes]

        def trip(sender, method):
            if method == "replicated_log.write" and sender is gateway:
                stage.cut([gateway.name], [a.name for a in storage_nodes])

        stage.watch_calls = trip
        status = stage.do(c.hand_in(name, gateway, 1.0), 10)
        self.assertIn(status, (500, 504))
        lengths = [k.length for a in storage_nodes if (k := a.part.log_store.logs.get(f"batch/{name}"))]
        self.assertEqual(sum(n > 0 for n in lengths), 1)
        gateway.kill()
        stage.watch_calls = None
        stage.heal()
        told = [stage.do(c.read(name, gateway=a))[0] for a in stage.role("gateway", alive=True)]
        self.assertEqual(set(told), {503})
        stage.until(lambda: c.whole(name), 20, "it is taken up, and all is listed")
        self.assertEqual(c.wrong, [])

    def test_items_are_abandoned_for_their_causes_only(self):
        stage, c = self.stage(8, routes=[route(), route("brief", retain_ms=4000), route("gone")])
        never, failing, dead = c.lot(2, path="/bulk/422"), c.lot(2, path="/bulk/500"), c.lot(2, path="/bulk/503")
        late, gone = c.lot(2, path="/brief/503"), c.lot(2, path="/gone/503")
        for name, row in ((never, "bulk"), (failing, "bulk"), (dead, "bulk"), (late, "brief"), (gone, "gone")):
            self.assertEqual(stage.do(c.hand_in(name, row=row)), 202)

        def states(name):
            return {o["state"] for o in (c.whole(name) or {"outputs": ()})["outputs"]}

        for name in (never, failing, late):
            stage.until(lambda: states(name) == {"abandoned"}, 20, f"{name} is abandoned")

        def runs(name):
            return [r["item"] for r in stage.runs if r["item"].startswith(name)]

        self.assertEqual(sorted(runs(never)), sorted(i["id"] for i in c.items[never]))
        self.assertEqual(sorted(runs(failing)), sorted(3 * [i["id"] for i in c.items[failing]]))
        self.assertGreater(stage.clock.seconds() - c.taken[late], 4)
        stage.run(10)
        self.assertEqual(states(dead) | states(gone), set())
        del stage.routes["gone"]
        stage.until(lambda: states(gone) == {"abandoned"}, 10, "its route is gone")
        self.assertEqual(states(dead), set())
        self.assertGreater(len(runs(dead)), 20)
        self.assertLess(len(runs(dead)), 80)

    def test_texts_are_whole_where_runs_break_off_again_and_again(self):
        stage, c = self.stage(9)
        stage.breaks = 0.4
        name = c.lot(12)
        self.assertEqual(stage.do(c.hand_in(name)), 202)
        doc = stage.until(lambda: c.whole(name), 60, "all is listed")
        for out in doc["outputs"]:
            self.assertEqual(out["text"], text_of(out["id"]))
        self.assertTrue(any(r["after"] for r in stage.runs))
        self.assertEqual(c.wrong, [])

    def test_a_gateway_that_leaves_in_order_hands_its_batches_over_at_once(self):
        stage, c = self.stage(10)
        stage.step, stage.breaks = ms(150), 0
        name = c.lot(40)
        owner = stage.role("gateway")[2]
        self.assertEqual(stage.do(c.hand_in(name, owner)), 202)
        stage.run(2)
        other = c.lot(2)
        stage.do(owner.part.service.table.drain())
        self.assertEqual(stage.do(c.hand_in(other, owner)), 202)
        left = stage.clock.seconds()
        owner.kill()
        stage.until(lambda: self.owner(stage, name), 5, "another owns it")
        self.assertLess(stage.clock.seconds() - left, 4.5)
        for one in (name, other):
            stage.until(lambda: c.whole(one), 60, "all is listed")
        self.assertEqual(c.wrong, [])
        self.assertEqual(len(stage.runs), len({(r["item"], r["after"]) for r in stage.runs}))

    def test_lengths_are_polled_only_while_somebody_reads(self):
        stage, c = self.stage(11)
        stage.step, stage.breaks = ms(600), 0
        name = c.lot(3)
        owner, reader = stage.role("gateway")[:2]
        self.assertEqual(stage.do(c.hand_in(name, owner)), 202)
        status, doc = stage.do(c.read(name, 0, 6000, reader))
        self.assertTrue(doc["outputs"])
        self.assertEqual(reader.ctx.cache.poller._known, {})
        stage.until(lambda: len(stage.do(c.read(name, gateway=reader))[1]["outputs"]) == 3, 10, "all is listed")
        self.assertEqual(reader.ctx.cache.poller._known, {})
        self.assertEqual(c.wrong, [])
