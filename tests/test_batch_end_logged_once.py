"""The end of a batch is logged once, even if its last item and the periodic check detect it at the same time."""

import unittest
from types import SimpleNamespace

from twisted.internet import defer

from pipitlink.gateway.batch_ownership import BatchOwnership
from pipitlink.gateway.open_batches import OpenBatches
from pipitlink.timers import spawn


class _Leaseholder:
    lost = final = False
    data = b""
    committed = 0

    def __init__(self):
        self.durable: list[defer.Deferred] = []

    def _wait(self):
        self.durable.append(defer.Deferred())
        return self.durable[-1]

    def append(self, records, final, reserved):
        self.final = final
        return self._wait()

    wait_durable = _wait


class _Context(SimpleNamespace):
    def __init__(self):
        self.events: list[str] = []
        timers = SimpleNamespace(sleep=lambda span: defer.Deferred())
        super().__init__(timers=timers, logger=SimpleNamespace(info=lambda event, **_: self.events.append(event)))


class BatchEnd(unittest.TestCase):
    def test_the_end_of_a_batch_is_logged_once(self):
        ctx, leaseholder = _Context(), _Leaseholder()
        ownership = BatchOwnership(ctx, None, OpenBatches())
        batch = SimpleNamespace(id="l", leaseholder=leaseholder, results={}, running={}, spec=SimpleNamespace(items=[]))
        for _ in range(2):
            spawn(ownership.finish_if_done(batch))
        for durable in leaseholder.durable:
            durable.callback(None)
        self.assertEqual(ctx.events, ["lot_completed"])


if __name__ == "__main__":
    unittest.main()
