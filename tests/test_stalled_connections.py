"""A connection on which nothing comes any more is dropped, and calls go on over another one."""

import unittest
import unittest.mock

from twisted.internet.task import Clock
from twisted.test import iosim

from pipitlink.errors import ConnectionFailed, DeadlineExceeded
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, ms, spawn
from pipitlink.wire.connection import RpcConnection
from pipitlink.wire.membership_pb2 import IndirectProbeRequest, ProbeResponse
from pipitlink.wire.rpc import RpcEndpoint

ADDRESS = ("10.0.0.2", 7)
LIMIT = ms(400)


class _Quiet:
    def log(self, *args):
        pass


class Hanging(unittest.TestCase):
    """Two real endpoints in memory; what is not pumped stays under way, as on a link that is cut."""

    def setUp(self):
        self.clock = Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)
        self.caller, self.callee = self._endpoint("caller"), self._endpoint("callee")
        self.asked: list[str] = []
        self.callee.register_handler("probe", IndirectProbeRequest, self._probe)
        self.pumps: list = []
        self.opened = 0
        self.caller._connect = self._connect
        self.cut = False

    def _endpoint(self, node):
        return RpcEndpoint(None, self.timers, StructuredLogger(_Quiet()), "pipit", node)

    async def _probe(self, node, ask):
        self.asked.append(ask.target)
        return ProbeResponse(alive=True)

    async def _connect(self, address):
        if self.cut:
            raise ConnectionFailed("nobody is there", sent=False)
        self.opened += 1
        here, there = RpcConnection(self.caller), RpcConnection(self.callee)
        pump = iosim.connect(there, iosim.makeFakeServer(there), here, iosim.makeFakeClient(here))
        self.pumps.append(pump)
        pump.flush()
        self.caller._connections[address] = here
        return here

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            if not self.cut:
                for pump in self.pumps:
                    pump.flush()

    def call(self, target, body=""):
        box = []
        work = self.caller.call(ADDRESS, "probe", IndirectProbeRequest(target=target + body), ProbeResponse, LIMIT)
        spawn(work).addBoth(box.append)
        return box

    def calls(self, n, body=""):
        """Calls one after another, each to its limit."""
        out = []
        for _ in range(n):
            box = self.call(f"call{len(self.asked)}", body)
            self.advance(LIMIT.total_seconds() + 0.1)
            out.append(box[0])
        return out

    def hang_and_heal(self):
        self.calls(2)
        self.cut = True
        while_cut = [f.value for f in self.calls(40)]
        asked = len(self.asked)
        self.cut = False
        healed = self.calls(2)
        return while_cut, healed, asked

    def test_a_cut_connection_is_dropped_and_a_new_one_opened_after_the_heal(self):
        while_cut, healed, _ = self.hang_and_heal()
        self.assertEqual({type(e) for e in while_cut[:2]}, {DeadlineExceeded})
        self.assertTrue(all(isinstance(e, ConnectionFailed) and not e.sent for e in while_cut[4:]), while_cut)
        self.assertTrue(all(r.alive for r in healed))
        self.assertEqual(self.opened, 2)

    def test_without_the_guard_calls_wait_on_the_connection_that_was_cut(self):
        with unittest.mock.patch.object(RpcConnection, "is_stalled", lambda self: False):
            while_cut, _, _ = self.hang_and_heal()
        self.assertEqual({type(e) for e in while_cut}, {DeadlineExceeded})
        self.assertEqual(self.opened, 1)

    def test_a_connection_that_answers_late_is_kept(self):
        """Each call runs into its limit, and its answer comes a little after."""
        late = []

        async def probe(node, ask):
            await self.timers.sleep(ms(450))
            return ProbeResponse(alive=True)

        self.callee.register_handler("probe", IndirectProbeRequest, probe)
        for _ in range(10):
            late.append(self.call("late"))
            self.advance(0.5)
        self.assertEqual({type(b[0].value) for b in late}, {DeadlineExceeded})
        self.assertEqual(self.opened, 1)

    def test_a_process_that_was_stopped_reads_what_has_come_before_it_drops_a_connection(self):
        box = self.call("stopped")
        self.clock.advance(30)
        self.pumps[0].flush()
        self.assertIsInstance(box[0].value, DeadlineExceeded)
        self.advance(1)
        self.assertTrue(self.calls(1)[0].alive)
        self.assertEqual(self.opened, 1)

    def test_a_large_call_has_the_time_that_its_bytes_take_on_a_slow_link(self):
        self.calls(1)
        self.cut = True
        self.calls(4, body="x" * 1024 * 1024)
        self.assertIn(ADDRESS, self.caller._connections)
        self.calls(30)
        self.assertNotIn(ADDRESS, self.caller._connections)
