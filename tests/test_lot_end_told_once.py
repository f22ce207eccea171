"""The end of a lot may be seen by its last item and by the look at all lots at once; it is told once."""

import unittest
from types import SimpleNamespace

from twisted.internet import defer

from pipitlink.gateway.dispatch import Dispatch
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


class _Node(Dispatch):
    def __init__(self):
        self.told: list[str] = []
        timers = SimpleNamespace(sleep=lambda span: defer.Deferred())
        self._ctx = SimpleNamespace(
            timers=timers, logger=SimpleNamespace(info=lambda event, **_: self.told.append(event))
        )

    def _close(self, lot_id):
        pass


class LotEnd(unittest.TestCase):
    def test_it_is_told_once(self):
        node, leaseholder = _Node(), _Leaseholder()
        lot = SimpleNamespace(id="l", leaseholder=leaseholder, results={}, running={}, lot=SimpleNamespace(items=[]))
        for _ in range(2):
            spawn(node._finish_if_done(lot))
        for durable in leaseholder.durable:
            durable.callback(None)
        self.assertEqual(node.told, ["lot_done"])


if __name__ == "__main__":
    unittest.main()
