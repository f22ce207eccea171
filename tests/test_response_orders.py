"""Explores the orders of responses, resets, timeouts and client disconnects, also with each safety check removed."""

import unittest
import unittest.mock
from random import Random

import attrs

from pipitlink.router import engine_exchange, response_stream
from pipitlink.router.call import Call
from pipitlink.router.call_relay import CallRelay
from pipitlink.router.connection_pool import ConnectionPool
from pipitlink.router.engine_exchange import EngineExchange
from pipitlink.router.inbound_request import InboundRequest
from testbed.simulator.interleavings import explore_orders, run_random_orders

from .response_scenarios import ROUTES, ItemScenario, ResponseScenario

_take_idle = ConnectionPool.take_idle


@attrs.frozen
class SafetyCheck:
    """A safety check: its replacement, the violation that the replacement causes, and the scenario that shows it."""

    target: object
    name: str
    replacement: object
    violation: str
    scenario: object


def _live_scenario(kind, **args):
    return lambda: ResponseScenario(kind, **args)


def _abort_without_reason(call, reason):
    call.discard_connection()


SAFETY_CHECKS = {
    "a response is accepted by its id": SafetyCheck(
        EngineExchange, "_belongs_to", lambda *_: True, "MIXED", _live_scenario("mutating", engines=1, clients=2)
    ),
    "a response without an id is accepted only on a new connection": SafetyCheck(
        EngineExchange,
        "_belongs_to",
        lambda self, call, connection, r: r.headers.getRawHeaders(b"x-request-id", (call.id,))[0] == call.id,
        "TWICE",
        _live_scenario("mutating", engines=2, clients=2),
    ),
    "a call is sent at most once on a connection": SafetyCheck(
        ConnectionPool,
        "take_idle",
        lambda self, address, _, max_idle_time: _take_idle(self, address, b"", max_idle_time),
        "TWICE",
        _live_scenario("mutating"),
    ),
    "a lost call that must not be repeated is not retried": SafetyCheck(
        CallRelay,
        "_may_retry",
        lambda self, call, f: call.attempts < 4 and f.code != "no_room",
        "TWICE",
        _live_scenario("mutating"),
    ),
    "a lost stream that cannot be resumed is not retried": SafetyCheck(
        CallRelay,
        "_may_retry",
        lambda self, call, f: call.attempts < 4 and f.code != "no_room",
        "TWICE",
        _live_scenario("stream"),
    ),
    "the engines of an idempotent call are limited": SafetyCheck(
        Call, "budget_spent", False, "BUDGET", _live_scenario("idempotent")
    ),
    "the engines of a resumable call are limited": SafetyCheck(
        Call, "budget_spent", False, "BUDGET", _live_scenario("resumable")
    ),
    "a retryable status requires confirmation by the engine": SafetyCheck(
        engine_exchange, "NOT_RUN_STATUSES", (), "REFUSED", _live_scenario("mutating")
    ),
    "a call that may have run is not reported as not executed": SafetyCheck(
        Call,
        "has_lost_attempt",
        property(lambda _: False, lambda *_: None),
        "REFUSED",
        _live_scenario("idempotent", engines=1),
    ),
    "a truncated response is detected": SafetyCheck(
        response_stream, "ResponseDone", Exception, "MIXED", _live_scenario("mutating", engines=1)
    ),
    "a truncated response is forwarded as truncated": SafetyCheck(
        InboundRequest, "abort_response", InboundRequest.complete, "ORDER", _live_scenario("stream", engines=1)
    ),
    "a client that disconnects ends its call": SafetyCheck(
        Call, "abort", _abort_without_reason, "UNASKED", _live_scenario("idempotent")
    ),
}


def _without(check: SafetyCheck):
    return unittest.mock.patch.object(check.target, check.name, check.replacement, create=True)


class LiveRequestOrders(unittest.TestCase):
    def test_all_short_sequences(self):
        for kind in ROUTES:
            with self.subTest(kind):
                self.assertGreater(explore_orders(_live_scenario(kind), 4), 300)
                self.assertGreater(explore_orders(_live_scenario(kind, engines=1, clients=2), 4), 1500)
                self.assertGreater(explore_orders(_live_scenario(kind, engines=2, slow_connects=True), 4), 150)
                self.assertGreater(explore_orders(_live_scenario(kind, engines=2, short_waits=True), 4), 400)

    def test_long_random_sequences(self):
        for kind in ROUTES:
            with self.subTest(kind):
                rng = Random(kind)
                run_random_orders(_live_scenario(kind), rng, 12, 300)
                run_random_orders(_live_scenario(kind, engines=1, clients=2), rng, 14, 300)
                run_random_orders(
                    _live_scenario(kind, engines=2, clients=2, slow_connects=True, short_waits=True), rng, 16, 300
                )

    def test_each_safety_check_is_needed(self):
        for name, check in SAFETY_CHECKS.items():
            with self.subTest(name), _without(check):
                with self.assertRaises(AssertionError) as caught:
                    explore_orders(check.scenario, 4)
                self.assertIn(check.violation, str(caught.exception))


class BatchItemOrders(unittest.TestCase):
    def test_all_short_sequences(self):
        self.assertGreater(explore_orders(ItemScenario, 4), 800)

    def test_long_random_sequences(self):
        run_random_orders(ItemScenario, Random(1), 14, 600)


if __name__ == "__main__":
    unittest.main()
