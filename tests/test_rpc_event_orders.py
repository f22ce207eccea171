"""Explores the orders of responses, duplicate responses, timeouts and lost connections of RPC calls."""

import unittest
import unittest.mock
from random import Random

from pipitlink.timers import secs, spawn
from pipitlink.wire.connection import RpcConnection
from pipitlink.wire.frame_pb2 import Hello
from testbed.simulator.interleavings import explore_orders, run_random_orders

from .rpc_scenarios import ADDRESS, RpcScenario


class RpcOrders(unittest.TestCase):
    def test_all_short_event_orders(self):
        self.assertGreater(explore_orders(RpcScenario, 7), 2500)

    def test_random_long_event_orders(self):
        run_random_orders(RpcScenario, Random(1), 16, 2000)

    def test_a_call_made_from_the_errback_of_a_lost_connection_uses_a_new_one(self):
        scenario = RpcScenario()

        def call(name):
            return spawn(scenario.endpoint.call(ADDRESS, "echo", Hello(node=name), Hello, secs(1)))

        called_again = call("first").addErrback(lambda _: call("second"))
        scenario._cut(scenario.endpoint.opened[0])
        scenario._read_requests()
        self.assertEqual([request.name for request in scenario.received], ["first", "second"])
        scenario._respond(scenario.received[1])
        self.assertEqual(called_again.result.node, "second")

    def test_without_matching_call_ids_responses_are_mixed_up(self):
        def resolve_any(connection, frame):
            pending_calls = connection._pending_calls
            if pending_calls:
                pending_calls.pop(min(pending_calls)).callback(frame)

        with unittest.mock.patch.object(RpcConnection, "_resolve_call", resolve_any):
            with self.assertRaisesRegex(AssertionError, "MIXED"):
                explore_orders(RpcScenario, 5)

    def test_reused_call_ids_are_detected(self):
        constant = property(lambda _: 0, lambda *_: None)
        with unittest.mock.patch.object(RpcConnection, "_last_call_id", constant, create=True):
            with self.assertRaises(AssertionError):
                explore_orders(RpcScenario, 5)


if __name__ == "__main__":
    unittest.main()
