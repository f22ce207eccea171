"""A route's waiting tokens over all gateways: never above its cap, and no room left unused."""

import json
import unittest

from pipitlink.timers import ms, spawn

from .batch_parts import Callers, route, staged

CAP = 300


class QuotaOnAStage(unittest.TestCase):
    def stage(self, seed=1, cap=CAP, **words):
        stage = staged(seed, routes=[route(max_waiting_tokens=cap)], **words)
        stage.step, stage.breaks = ms(400), 0
        self.addCleanup(stage.end)
        return stage, Callers(stage)

    def waiting(self, stage, c):
        """The tokens of what was accepted and no engine has finished yet."""
        ended = {r["item"] for r in stage.finished}
        return sum(
            i["tokens"] for name in c.taken for i in c.items[name] if i["id"] not in ended and name not in c.ended
        )

    def steward(self, stage):
        part = stage.role("gateway", alive=True)[0].part
        node = part.service.quota.coordinator_of("bulk")
        return next(a for a in stage.role("gateway") if a.node == node)

    def test_the_cap_holds_and_is_used_up_while_gateways_race(self):
        stage, c = self.stage()
        for a in stage.role("gateway"):
            a.part.places = 0
        said = []
        for n in range(18):
            spawn(c.hand_in(c.lot(5), stage.role("gateway")[n % 3])).addBoth(said.append)
        stage.until(lambda: len(said) == 18, 15, "all are answered")
        self.assertEqual(sorted(said), [202] * 6 + [429] * 12)
        self.assertEqual(self.waiting(stage, c), CAP)
        self.assertEqual([r for r in stage.runs if r["item"].partition("i")[0] not in c.taken], [])

    def test_room_that_was_freed_is_given_again_within_a_second(self):
        stage, c = self.stage(2)
        stage.step = ms(40)
        names = [c.lot(5) for _ in range(6)]
        for name in names:
            self.assertEqual(stage.do(c.hand_in(name)), 202)
        for name in names:
            stage.until(lambda: c.whole(name), 30, "all is listed")
        stage.run(1)
        self.assertEqual(stage.do(c.hand_in(c.lot(30))), 202)

    def test_an_ended_batch_waits_no_more(self):
        stage, c = self.stage(3)
        for a in stage.role("gateway"):
            a.part.places = 0
        name = c.lot(30)
        self.assertEqual(stage.do(c.hand_in(name, stage.role("gateway")[1])), 202)
        self.assertEqual(stage.do(c.hand_in(c.lot(1))), 429)
        self.assertEqual(stage.do(c.end(name)), 200)
        stage.run(0.6)
        self.assertEqual(stage.do(c.hand_in(c.lot(30))), 202)

    def test_a_batch_above_the_cap_alone_is_refused_with_a_time_to_come_back(self):
        stage, c = self.stage(4)
        name = c.lot(31)
        raw = json.dumps({"items": c.items[name]}).encode()
        part = stage.role("gateway")[0].part
        response = stage.do(part.submit(stage.routes["bulk"], "/bulk/", name, raw, ms(3000)))
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "1"))

    def test_a_batch_taken_again_is_counted_once(self):
        stage, c = self.stage(5)
        for a in stage.role("gateway"):
            a.part.places = 0
        name, other = c.lot(20), c.lot(10)
        for a in stage.role("gateway"):
            self.assertEqual(stage.do(c.hand_in(name, a)), 202)
        self.assertEqual(stage.do(c.hand_in(other)), 202)
        for a in stage.role("gateway"):
            self.assertEqual(stage.do(c.hand_in(name, a)), 202)
        self.assertEqual(stage.do(c.hand_in(c.lot(1))), 429)

    def test_a_new_steward_knows_what_waits_and_what_is_free(self):
        for seed in (6, 7):
            stage, c = self.stage(seed)
            for a in stage.role("gateway"):
                a.part.places = 0
            for a in stage.role("gateway"):
                self.assertEqual(stage.do(c.hand_in(c.lot(5), a)), 202)
            self.steward(stage).kill()
            self.assertEqual(self.until_sure(stage, c, 16), 429)
            self.assertEqual(self.until_sure(stage, c, 15), 202)
            self.assertEqual(self.until_sure(stage, c, 1), 429)

    def test_what_the_old_steward_granted_last_is_counted_by_the_new_one(self):
        stage, c = self.stage(8)
        for a in stage.role("gateway"):
            a.part.places = 0
        steward = self.steward(stage)
        self.assertEqual(stage.do(c.hand_in(c.lot(25), steward)), 202)
        steward.kill()
        self.assertEqual(self.until_sure(stage, c, 6), 429)
        self.assertEqual(self.until_sure(stage, c, 5), 202)

    def test_after_a_start_of_all_gateways_what_is_open_is_counted_first(self):
        stage, c = self.stage(9)
        for a in stage.role("gateway"):
            a.part.places = 0
        self.assertEqual(stage.do(c.hand_in(c.lot(25))), 202)
        for a in stage.role("gateway"):
            a.kill()
        for a in stage.role("gateway"):
            a.start()
            a.part.places = 0
        stage.ready()
        self.assertEqual(self.until_sure(stage, c, 6), 429)
        self.assertEqual(self.until_sure(stage, c, 5), 202)

    def until_sure(self, stage, c, items):
        """The first answer that is not 503; it must come within a few seconds."""
        said = []
        name = c.lot(items)

        def sure():
            said.append(stage.do(c.hand_in(name)))
            return said[-1] in (202, 429)

        stage.until(sure, 12, f"a sure answer: {said}")
        return said[-1]

    def test_the_cap_holds_while_gateways_are_killed_and_items_finish(self):
        for seed in (10, 11, 12):
            stage, c = self.stage(seed, gateways=4)
            stage.step = ms(60)
            over = []

            async def callers():
                while not c.over:
                    name = c.lot(1 + stage.rng.randrange(8))
                    before = len(c.taken)
                    await c.hand_in(name)
                    if len(c.taken) == before:
                        await c.timers.sleep(ms(30))
                    elif self.waiting(stage, c) > CAP:
                        over.append((stage.clock.seconds(), name, self.waiting(stage, c)))

            for _ in range(4):
                spawn(callers())
            for _ in range(4):
                stage.run(4)
                a = stage.rng.choice(stage.role("gateway", alive=True))
                a.kill()
                stage.run(3)
                a.start()
            c.over = True
            stage.run(12)
            self.assertEqual(over, [], f"seed {seed}")
            self.assertGreater(len(c.taken), 20)
            for name in c.taken:
                stage.until(lambda: c.whole(name), 60, f"{name} is whole")
            self.assertEqual(c.wrong, [])

    def test_a_storage_node_that_is_away_holds_up_no_count_after_gateways_change(self):
        for seed in (20, 21, 22):
            stage, c = self.stage(seed, gateways=4)
            storage_node = stage.role("storage")[0]
            stage.cut([storage_node.name], [a.name for a in stage.role("gateway")])
            stage.run(3)
            gone = next(a for a in stage.role("gateway") if a is not self.steward(stage))
            gone.kill()
            steward = self.steward(stage)
            stage.until(
                lambda: steward.ctx.membership.status(gone.node) != "alive", 5, "the steward misses the gateway"
            )
            at = stage.clock.seconds()
            self.assertEqual(stage.do(c.hand_in(c.lot(3), steward)), 202)
            self.assertLess(stage.clock.seconds() - at, 0.9, f"seed {seed}")
