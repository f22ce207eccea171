"""The age of a batch does not depend on wall clocks, which differ between machines and may be stepped."""

import unittest
from datetime import timedelta

from .batch_builders import BatchClients, route, start_simulation

RETAIN_S = 6
STEP = timedelta(seconds=8)


class BatchAge(unittest.TestCase):
    """One batch whose items no engine runs, with a retention of RETAIN_S."""

    def start(self, seed):
        self.simulation = start_simulation(seed, routes=[route("brief", retain_ms=RETAIN_S * 1000)])
        self.addCleanup(self.simulation.end)
        self.clients = BatchClients(self.simulation)

    def step_clocks(self, nodes, step):
        """Steps the wall clocks of nodes."""
        for node in nodes:
            utc_now = node.ctx.timers.utc_now
            node.ctx.timers.utc_now = lambda utc_now=utc_now: utc_now() + step

    def submit(self):
        """Submits the batch; returns its name and the time at which it was sent."""
        name = self.clients.new_batch(2, path="/brief/503")
        sent_at = self.simulation.clock.seconds()
        self.assertEqual(self.simulation.do(self.clients.submit_batch(name, route_name="brief")), 202)
        return name, sent_at

    def is_abandoned(self, name):
        listing = self.clients.read_if_complete(name)
        return bool(listing) and {output["state"] for output in listing["outputs"]} == {"abandoned"}

    def seconds_until_abandoned(self, name, sent_at, limit=4 * RETAIN_S):
        self.simulation.until(lambda: self.is_abandoned(name), limit, "the items are abandoned")
        return self.simulation.clock.seconds() - sent_at

    def owner(self, name):
        return next(node for node in self.simulation.role("gateway", alive=True) if name in node.part.batches)

    def test_an_owner_whose_clock_is_stepped_ahead_keeps_items_until_their_retention_has_passed(self):
        """Guards against items given up early: they were accepted by one clock and aged by another."""
        self.start(1)
        name, sent_at = self.submit()
        self.step_clocks(self.simulation.role("gateway"), STEP)
        self.assertGreaterEqual(self.seconds_until_abandoned(name, sent_at), RETAIN_S)

    def test_an_acceptor_whose_clock_was_behind_does_not_make_its_items_older(self):
        self.start(2)
        self.step_clocks(self.simulation.role("gateway"), -STEP)
        name, sent_at = self.submit()
        self.step_clocks(self.simulation.role("gateway"), STEP)
        self.assertGreaterEqual(self.seconds_until_abandoned(name, sent_at), RETAIN_S)

    def test_an_owner_whose_clock_is_behind_abandons_items_soon_after_their_retention(self):
        self.start(3)
        name, sent_at = self.submit()
        self.step_clocks(self.simulation.role("gateway"), -STEP)
        self.assertLess(self.seconds_until_abandoned(name, sent_at), RETAIN_S + 2)

    def test_a_batch_does_not_become_younger_when_its_owner_changes(self):
        self.start(4)
        name, sent_at = self.submit()
        self.simulation.run(RETAIN_S / 2)
        self.owner(name).kill()
        seconds = self.seconds_until_abandoned(name, sent_at)
        self.assertGreaterEqual(seconds, RETAIN_S)
        self.assertLess(seconds, RETAIN_S + 2)

    def test_after_a_restart_of_all_nodes_items_are_kept_for_longer_but_not_for_less(self):
        self.start(5)
        name, sent_at = self.submit()
        self.simulation.run(RETAIN_S / 2)
        for node in self.simulation.simulated_nodes.values():
            node.kill()
        self.step_clocks(self.simulation.role("gateway"), STEP)
        for node in self.simulation.simulated_nodes.values():
            node.start()
        self.step_clocks(self.simulation.role("gateway"), STEP)
        self.simulation.ready()
        self.assertGreaterEqual(self.seconds_until_abandoned(name, sent_at), RETAIN_S)


if __name__ == "__main__":
    unittest.main()
