"""How soon a batch whose owner is gone is run on by another gateway."""

import unittest

from .batch_parts import Callers, staged


class TakenUp(unittest.TestCase):
    def fleet(self, seed):
        stage = staged(seed)
        self.addCleanup(stage.end)
        stage.breaks = 0
        return stage, Callers(stage)

    def owner(self, stage, name):
        return next(
            (a for a in stage.role("gateway", alive=True) if (o := a.part.batches.get(name)) and o.leaseholder.held()),
            None,
        )

    def test_a_killed_owner_is_followed_as_soon_as_the_membership_has_it_for_gone(self):
        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                stage, c = self.fleet(seed)
                stage.step = stage.step * 20
                name = c.lot(30)
                self.assertEqual(stage.do(c.hand_in(name)), 202)
                stage.run(0.4)
                first = self.owner(stage, name)
                first.kill()
                at = stage.clock.seconds()
                other = next(a for a in stage.role("gateway", alive=True))
                stage.until(
                    lambda: other.ctx.membership.status(first.node) == "gone", 4, "the membership has it for gone"
                )
                stage.until(lambda: self.owner(stage, name), 1.7, "another gateway owns it")
                self.assertLess(stage.clock.seconds() - at, 4.2)
                stage.until(lambda: c.whole(name), 30, "all is listed")
                self.assertEqual(c.wrong, [])

    def test_after_all_lost_power_it_is_taken_up_without_waiting_out_leases(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                stage, c = self.fleet(seed)
                stage.step = stage.step * 20
                name = c.lot(30)
                self.assertEqual(stage.do(c.hand_in(name)), 202)
                stage.run(0.3)
                for a in stage.actors.values():
                    a.kill(power=True)
                stage.run(0.5)
                for a in stage.actors.values():
                    a.start()
                stage.until(lambda: all(a.ctx.cluster.ready() for a in stage.role("gateway", alive=True)), 10, "ready")
                stage.until(lambda: self.owner(stage, name), 2.6, "a gateway owns it")
                stage.until(lambda: c.whole(name), 30, "all is listed")
                self.assertEqual(c.wrong, [])


if __name__ == "__main__":
    unittest.main()
