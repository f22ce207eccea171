"""Short soak runs of the programs of the deploy file."""

import unittest

from testbed.deployment.command import plan_for
from testbed.deployment.record import RunEnd
from testbed.deployment.soak import DeployedSoak

MINUTES = 0.4


class DeployedSoaks(unittest.TestCase):
    def check(self, seed):
        soak = DeployedSoak(plan_for(seed, MINUTES))
        self.assertEqual(soak.run(), [], soak.summary())
        complete = [exchange for exchange in soak.record.exchanges if exchange.is_complete]
        self.assertGreater(len(complete), 100, soak.summary())
        self.assertGreater(sum(lot.accepted_at is not None for lot in soak.record.lots), 5, soak.summary())
        self.assertTrue(any(run.end == RunEnd.MALFORMED for run in soak.record.runs), soak.summary())

    def test_planned_work_with_few_clients(self):
        self.check(1)

    def test_planned_work_and_troubles_with_many_clients(self):
        self.check(6)


if __name__ == "__main__":
    unittest.main()
