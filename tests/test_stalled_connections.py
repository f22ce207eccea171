"""A connection on which nothing arrives any more is dropped, and later calls use a new one."""

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
CALL_TIMEOUT = ms(400)


class _SilentLog:
    def log(self, *args):
        pass


class StalledConnections(unittest.TestCase):
    """Two real endpoints on in-memory transports; bytes that are not pumped stay in transit, as on a cut link."""

    def setUp(self):
        self.clock = Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)
        self.client, self.server = self._endpoint("client"), self._endpoint("server")
        self.handled_targets: list[str] = []
        self.server.register_handler("probe", IndirectProbeRequest, self._probe)
        self.pumps: list = []
        self.opened = 0
        self.client._connect = self._connect
        self.cut = False

    def _endpoint(self, node):
        return RpcEndpoint(None, self.timers, StructuredLogger(_SilentLog()), "pipit", node)

    async def _probe(self, node, request):
        self.handled_targets.append(request.target)
        return ProbeResponse(alive=True)

    async def _connect(self, address):
        if self.cut:
            raise ConnectionFailed("connection refused", sent=False)
        self.opened += 1
        client_connection, server_connection = RpcConnection(self.client), RpcConnection(self.server)
        pump = iosim.connect(
            server_connection,
            iosim.makeFakeServer(server_connection),
            client_connection,
            iosim.makeFakeClient(client_connection),
        )
        self.pumps.append(pump)
        pump.flush()
        self.client._connections[address] = client_connection
        return client_connection

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            if not self.cut:
                for pump in self.pumps:
                    pump.flush()

    def call(self, target, body=""):
        results = []
        work = self.client.call(
            ADDRESS, "probe", IndirectProbeRequest(target=target + body), ProbeResponse, CALL_TIMEOUT
        )
        spawn(work).addBoth(results.append)
        return results

    def calls(self, count, body=""):
        """Makes calls one after another, each until its timeout; returns their results."""
        outcomes = []
        for _ in range(count):
            results = self.call(f"call{len(self.handled_targets)}", body)
            self.advance(CALL_TIMEOUT.total_seconds() + 0.1)
            outcomes.append(results[0])
        return outcomes

    def cut_and_heal(self):
        self.calls(2)
        self.cut = True
        while_cut = [failure.value for failure in self.calls(40)]
        handled_count = len(self.handled_targets)
        self.cut = False
        healed = self.calls(2)
        return while_cut, healed, handled_count

    def test_a_stalled_connection_is_dropped_and_a_new_one_opened_once_the_link_works_again(self):
        while_cut, healed, _ = self.cut_and_heal()
        self.assertEqual({type(error) for error in while_cut[:2]}, {DeadlineExceeded})
        self.assertTrue(
            all(isinstance(error, ConnectionFailed) and not error.sent for error in while_cut[4:]), while_cut
        )
        self.assertTrue(all(response.alive for response in healed))
        self.assertEqual(self.opened, 2)

    def test_without_stall_detection_calls_keep_timing_out_on_the_old_connection(self):
        with unittest.mock.patch.object(RpcConnection, "is_stalled", lambda self: False):
            while_cut, _, _ = self.cut_and_heal()
        self.assertEqual({type(error) for error in while_cut}, {DeadlineExceeded})
        self.assertEqual(self.opened, 1)

    def test_a_connection_with_late_responses_is_kept(self):
        """Each response arrives shortly after the timeout of its call."""
        late_calls = []

        async def probe(node, request):
            await self.timers.sleep(ms(450))
            return ProbeResponse(alive=True)

        self.server.register_handler("probe", IndirectProbeRequest, probe)
        for _ in range(10):
            late_calls.append(self.call("late"))
            self.advance(0.5)
        self.assertEqual({type(results[0].value) for results in late_calls}, {DeadlineExceeded})
        self.assertEqual(self.opened, 1)

    def test_a_resumed_process_reads_buffered_responses_before_it_drops_a_connection(self):
        results = self.call("stopped")
        self.clock.advance(30)
        self.pumps[0].flush()
        self.assertIsInstance(results[0].value, DeadlineExceeded)
        self.advance(1)
        self.assertTrue(self.calls(1)[0].alive)
        self.assertEqual(self.opened, 1)

    def test_the_stall_timeout_includes_the_transfer_time_of_large_calls(self):
        self.calls(1)
        self.cut = True
        self.calls(4, body="x" * 1024 * 1024)
        self.assertIn(ADDRESS, self.client._connections)
        self.calls(30)
        self.assertNotIn(ADDRESS, self.client._connections)
