"""A route's waiting tokens over all gateways: never above its cap, and no room left unused."""

import json
import unittest

from pipitlink.timers import ms, spawn

from .batch_builders import Callers, route, start_simulation

CAP = 300


class SimulatedQuota(unittest.TestCase):
    def simulation(self, seed=1, cap=CAP, **args):
        simulation = start_simulation(seed, routes=[route(max_waiting_tokens=cap)], **args)
        simulation.step, simulation.breaks = ms(400), 0
        self.addCleanup(simulation.end)
        return simulation, Callers(simulation)

    def waiting(self, simulation, c):
        """The tokens of what was accepted and no engine has finished yet."""
        ended = {r["item"] for r in simulation.finished}
        return sum(
            i["tokens"] for name in c.taken for i in c.items[name] if i["id"] not in ended and name not in c.ended
        )

    def steward(self, simulation):
        part = simulation.role("gateway", alive=True)[0].part
        node = part.service.quota.coordinator_of("bulk")
        return next(a for a in simulation.role("gateway") if a.node == node)

    def test_the_cap_holds_and_is_used_up_while_gateways_race(self):
        simulation, c = self.simulation()
        for a in simulation.role("gateway"):
            a.part.slots = 0
        said = []
        for n in range(18):
            spawn(c.hand_in(c.lot(5), simulation.role("gateway")[n % 3])).addBoth(said.append)
        simulation.until(lambda: len(said) == 18, 15, "all are answered")
        self.assertEqual(sorted(said), [202] * 6 + [429] * 12)
        self.assertEqual(self.waiting(simulation, c), CAP)
        self.assertEqual([r for r in simulation.runs if r["item"].partition("i")[0] not in c.taken], [])

    def test_room_that_was_freed_is_given_again_within_a_second(self):
        simulation, c = self.simulation(2)
        simulation.step = ms(40)
        names = [c.lot(5) for _ in range(6)]
        for name in names:
            self.assertEqual(simulation.do(c.hand_in(name)), 202)
        for name in names:
            simulation.until(lambda: c.whole(name), 30, "all is listed")
        simulation.run(1)
        self.assertEqual(simulation.do(c.hand_in(c.lot(30))), 202)

    def test_an_ended_batch_waits_no_more(self):
        simulation, c = self.simulation(3)
        for a in simulation.role("gateway"):
            a.part.slots = 0
        name = c.lot(30)
        self.assertEqual(simulation.do(c.hand_in(name, simulation.role("gateway")[1])), 202)
        self.assertEqual(simulation.do(c.hand_in(c.lot(1))), 429)
        self.assertEqual(simulation.do(c.end(name)), 200)
        simulation.run(0.6)
        self.assertEqual(simulation.do(c.hand_in(c.lot(30))), 202)

    def test_a_batch_above_the_cap_alone_is_refused_with_a_time_to_come_back(self):
        simulation, c = self.simulation(4)
        name = c.lot(31)
        raw = json.dumps({"items": c.items[name]}).encode()
        part = simulation.role("gateway")[0].part
        response = simulation.do(part.submit(simulation.routes["bulk"], "/bulk/", name, raw, ms(3000)))
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "1"))

    def test_a_batch_taken_again_is_counted_once(self):
        simulation, c = self.simulation(5)
        for a in simulation.role("gateway"):
            a.part.slots = 0
        name, other = c.lot(20), c.lot(10)
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.hand_in(name, a)), 202)
        self.assertEqual(simulation.do(c.hand_in(other)), 202)
        for a in simulation.role("gateway"):
            self.assertEqual(simulation.do(c.hand_in(name, a)), 202)
        self.assertEqual(simulation.do(c.hand_in(c.lot(1))), 429)

    def test_a_new_steward_knows_what_waits_and_what_is_free(self):
        for seed in (6, 7):
            simulation, c = self.simulation(seed)
            for a in simulation.role("gateway"):
                a.part.slots = 0
            for a in simulation.role("gateway"):
                self.assertEqual(simulation.do(c.hand_in(c.lot(5), a)), 202)
            self.steward(simulation).kill()
            self.assertEqual(self.until_sure(simulation, c, 16), 429)
            self.assertEqual(self.until_sure(simulation, c, 15), 202)
            self.assertEqual(self.until_sure(simulation, c, 1), 429)

    def test_what_the_old_steward_granted_last_is_counted_by_the_new_one(self):
        simulation, c = self.simulation(8)
        for a in simulation.role("gateway"):
            a.part.slots = 0
        steward = self.steward(simulation)
        self.assertEqual(simulation.do(c.hand_in(c.lot(25), steward)), 202)
        steward.kill()
        self.assertEqual(self.until_sure(simulation, c, 6), 429)
        self.assertEqual(self.until_sure(simulation, c, 5), 202)

    def test_after_a_start_of_all_gateways_what_is_open_is_counted_first(self):
        simulation, c = self.simulation(9)
        for a in simulation.role("gateway"):
            a.part.slots = 0
        self.assertEqual(simulation.do(c.hand_in(c.lot(25))), 202)
        for a in simulation.role("gateway"):
            a.kill()
        for a in simulation.role("gateway"):
            a.start()
            a.part.slots = 0
        simulation.ready()
        self.assertEqual(self.until_sure(simulation, c, 6), 429)
        self.assertEqual(self.until_sure(simulation, c, 5), 202)

    def until_sure(self, simulation, c, items):
        """The first answer that is not 503; it must come within a few seconds."""
        said = []
        name = c.lot(items)

        def sure():
            said.append(simulation.do(c.hand_in(name)))
            return said[-1] in (202, 429)

        simulation.until(sure, 12, f"a sure answer: {said}")
        return said[-1]

    def test_the_cap_holds_while_gateways_are_killed_and_items_finish(self):
        for seed in (10, 11, 12):
            simulation, c = self.simulation(seed, gateways=4)
            simulation.step = ms(60)
            over = []

            async def callers():
                while not c.over:
                    name = c.lot(1 + simulation.rng.randrange(8))
                    before = len(c.taken)
                    await c.hand_in(name)
                    if len(c.taken) == before:
                        await c.timers.sleep(ms(30))
                    elif self.waiting(simulation, c) > CAP:
                        over.append((simulation.clock.seconds(), name, self.waiting(simulation, c)))

            for _ in range(4):
                spawn(callers())
            for _ in range(4):
                simulation.run(4)
                a = simulation.rng.choice(simulation.role("gateway", alive=True))
                a.kill()
                simulation.run(3)
                a.start()
            c.over = True
            simulation.run(12)
            self.assertEqual(over, [], f"seed {seed}")
            self.assertGreater(len(c.taken), 20)
            for name in c.taken:
                simulation.until(lambda: c.whole(name), 60, f"{name} is whole")
            self.assertEqual(c.wrong, [])

    def test_a_storage_node_that_is_away_holds_up_no_count_after_gateways_change(self):
        for seed in (20, 21, 22):
            simulation, c = self.simulation(seed, gateways=4)
            storage_node = simulation.role("storage")[0]
            simulation.cut([storage_node.name], [a.name for a in simulation.role("gateway")])
            simulation.run(3)
            gone = next(a for a in simulation.role("gateway") if a is not self.steward(simulation))
            gone.kill()
            steward = self.steward(simulation)
            simulation.until(
                lambda: steward.ctx.membership.status(gone.node) != "alive", 5, "the steward misses the gateway"
            )
            at = simulation.clock.seconds()
            self.assertEqual(simulation.do(c.hand_in(c.lot(3), steward)), 202)
            self.assertLess(simulation.clock.seconds() - at, 0.9, f"seed {seed}")
