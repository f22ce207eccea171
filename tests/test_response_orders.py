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
class Guard:
    """A safety check: its replacement, the violation that the replacement causes, and the scenario that shows it."""

    target: object
    name: str
    replacement: object
    violation: str
    scenario: object


def _live(kind, **args):
    return lambda: ResponseScenario(kind, **args)


def _abort_without_reason(call, reason):
    call.discard_connection()


GUARDS = {
    "a response is accepted by its id": Guard(
        EngineExchange, "_belongs_to", lambda *_: True, "MIXED", _live("mutating", engines=1, clients=2)
    ),
    "a response without an id is accepted only on a new connection": Guard(
        EngineExchange,
        "_belongs_to",
        lambda self, call, connection, r: r.headers.getRawHeaders(b"x-request-id", (call.id,))[0] == call.id,
        "TWICE",
        _live("mutating", engines=2, clients=2),
    ),
    "a call is sent at most once on a connection": Guard(
        ConnectionPool,
        "take_idle",
        lambda self, address, _, max_idle_time: _take_idle(self, address, b"", max_idle_time),
        "TWICE",
        _live("mutating"),
    ),
    "a lost call that must not be repeated is not retried": Guard(
        CallRelay,
        "_may_retry",
        lambda self, call, f: call.attempts < 4 and f.code != "no_room",
        "TWICE",
        _live("mutating"),
    ),
    "a lost stream that cannot be resumed is not retried": Guard(
        CallRelay,
        "_may_retry",
        lambda self, call, f: call.attempts < 4 and f.code != "no_room",
        "TWICE",
        _live("stream"),
    ),
    "the engines of an idempotent call are limited": Guard(Call, "budget_spent", False, "BUDGET", _live("idempotent")),
    "the engines of a resumable call are limited": Guard(Call, "budget_spent", False, "BUDGET", _live("resumable")),
    "a retryable status requires confirmation by the engine": Guard(
        engine_exchange, "RETRYABLE_STATUSES", (), "REFUSED", _live("mutating")
    ),
    "a call that may have run is not reported as not executed": Guard(
        Call, "has_lost_attempt", property(lambda _: False, lambda *_: None), "REFUSED", _live("idempotent", engines=1)
    ),
    "a truncated response is detected": Guard(
        response_stream, "ResponseDone", Exception, "MIXED", _live("mutating", engines=1)
    ),
    "a truncated response is forwarded as truncated": Guard(
        InboundRequest, "abort_response", InboundRequest.complete, "ORDER", _live("stream", engines=1)
    ),
    "a client that disconnects ends its call": Guard(
        Call, "abort", _abort_without_reason, "UNASKED", _live("idempotent")
    ),
}


def _without(guard: Guard):
    return unittest.mock.patch.object(guard.target, guard.name, guard.replacement, create=True)


class LiveRequestOrders(unittest.TestCase):
    def test_all_short_sequences(self):
        for kind in ROUTES:
            with self.subTest(kind):
                self.assertGreater(explore_orders(_live(kind), 4), 300)
                self.assertGreater(explore_orders(_live(kind, engines=1, clients=2), 4), 1500)
                self.assertGreater(explore_orders(_live(kind, engines=2, slow_connects=True), 4), 150)
                self.assertGreater(explore_orders(_live(kind, engines=2, short_waits=True), 4), 400)

    def test_long_random_sequences(self):
        for kind in ROUTES:
            with self.subTest(kind):
                rng = Random(kind)
                run_random_orders(_live(kind), rng, 12, 300)
                run_random_orders(_live(kind, engines=1, clients=2), rng, 14, 300)
                run_random_orders(_live(kind, engines=2, clients=2, slow_connects=True, short_waits=True), rng, 16, 300)

    def test_each_safety_check_is_needed(self):
        for name, guard in GUARDS.items():
            with self.subTest(name), _without(guard):
                with self.assertRaises(AssertionError) as caught:
                    explore_orders(guard.scenario, 4)
                self.assertIn(guard.violation, str(caught.exception))


class BatchItemOrders(unittest.TestCase):
    def test_all_short_sequences(self):
        self.assertGreater(explore_orders(ItemScenario, 4), 800)

    def test_long_random_sequences(self):
        run_random_orders(ItemScenario, Random(1), 14, 600)


if __name__ == "__main__":
    unittest.main()
