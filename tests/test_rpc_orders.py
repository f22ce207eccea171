"""Every order in which calls between two processes can be answered, answered again, time out and be cut off."""

import unittest
import unittest.mock
from random import Random

from pipitlink.timers import secs, spawn
from pipitlink.wire.connection import RpcConnection
from pipitlink.wire.frame_pb2 import Hello
from testbed.simulator.interleavings import explore_events, walk_events

from .rpc_scenarios import ADDRESS, RpcScenario


class RpcOrders(unittest.TestCase):
    def test_all_short_orders(self):
        self.assertGreater(explore_events(RpcScenario, 7), 2500)

    def test_long_orders_at_random(self):
        walk_events(RpcScenario, Random(1), 16, 2000)

    def test_a_call_made_as_another_is_cut_off_goes_on_a_new_connection(self):
        scenario = RpcScenario()

        def call(name):
            return spawn(scenario.endpoint.call(ADDRESS, "echo", Hello(node=name), Hello, secs(1)))

        called_again = call("first").addErrback(lambda _: call("second"))
        scenario._cut(scenario.endpoint.opened[0])
        scenario._read_requests()
        self.assertEqual([request.name for request in scenario.received], ["first", "second"])
        scenario._respond(scenario.received[1])
        self.assertEqual(called_again.result.node, "second")

    def test_numbers_are_needed(self):
        def resolve_any(connection, frame):
            pending_calls = connection._pending_calls
            if pending_calls:
                pending_calls.pop(min(pending_calls)).callback(frame)

        with unittest.mock.patch.object(RpcConnection, "_resolve_call", resolve_any):
            with self.assertRaisesRegex(AssertionError, "MIXED"):
                explore_events(RpcScenario, 5)

    def test_numbers_are_never_used_again(self):
        constant = property(lambda _: 0, lambda *_: None)
        with unittest.mock.patch.object(RpcConnection, "_last_call_id", constant, create=True):
            with self.assertRaises(AssertionError):
                explore_events(RpcScenario, 5)


if __name__ == "__main__":
    unittest.main()
