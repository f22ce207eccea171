"""Each guard of the operators' orders is taken out in turn: the history checker must then find its scenario, and not
before.
"""

import unittest
from unittest import mock

from pipitlink.cluster import ClusterState, cluster_state
from pipitlink.controller import order_fencing
from pipitlink.controller.order_fencing import OrderFencing
from pipitlink.timers import ZERO
from testbed.checks.linearizability import ConfigOrder, ConfigSeen, Response, ZoneOrder, ZoneSeen, check_history

from .control_calls import Caller, config_of, route_of
from .order_simulation import DelayingSimulation

ZONE = "zone-b"
PATH = f"/v1/zones/{ZONE}/empty"
ANSWERS = {200: Response.TAKEN, 412: Response.OTHER_VERSION, 400: Response.REFUSED, 409: Response.REFUSED}


class Scenario:
    """A small fleet, the orders that were sent to it, and what the checker says of them."""

    def __init__(self, test):
        self.simulation = DelayingSimulation(43, placement_groups=2)
        test.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(2)
        self.caller = Caller(self.simulation)
        self.records: list = []
        self.leader = self.simulation.leader()
        self.held, self.other, *_ = [a for a in self.simulation.role("controller") if a is not self.leader]

    def config(self, content, base, version, **headers):
        self.simulation.run(0.01)
        began = self.simulation.clock.seconds()
        body = config_of(version, route_of(content))
        args = ("PUT", "/v1/config", body, {"If-Match": str(base), **headers})
        response = ANSWERS[self.caller.ask(self.other, *args)[0]]
        self.records.append(ConfigOrder(content, base, version, began, self.simulation.clock.seconds(), response))

    def zone(self, empty: bool):
        self.simulation.run(0.01)
        began = self.simulation.clock.seconds()
        response = ANSWERS[self.caller.ask(self.other, "PUT" if empty else "DELETE", PATH)[0]]
        self.records.append(ZoneOrder(ZONE, empty, began, self.simulation.clock.seconds(), response))

    def look(self):
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway"):
            state = a.ctx.cluster.cluster_state
            content = next(iter(state.routes.routes), "")
            self.records.append(ConfigSeen(state.routes.version, content, now, now, a.node))
            self.records.append(ZoneSeen(ZONE, ZONE in state.empty_zones, now, now, a.node))

    def note_copy(self):
        """A copy of the order that empties the zone; its caller gives it up after a second and sends it again."""
        now = self.simulation.clock.seconds()
        self.records.append(ZoneOrder(ZONE, True, now, now + 1.1, Response.UNKNOWN))

    def empty_and_fill(self):
        """The order that was sent again is confirmed and taken back."""
        self.simulation.run(1.1)
        self.zone(True)
        self.zone(False)
        self.simulation.run(2)
        self.look()


def early_sent_again(s):
    s.config("first", 0, 3)
    s.config("early", 5, 9)
    s.config("between", 3, 5)
    s.config("early", 5, 9)


def held_on_its_way_to_the_leader(s):
    s.simulation.cut([s.held.name], [s.leader.name], one_way=True)
    s.note_copy()
    s.caller.begin(s.held, "PUT", PATH)
    s.empty_and_fill()
    s.simulation.heal()
    s.simulation.run(1)
    s.look()


def held_in_a_frozen_socket(s):
    s.held.freeze()
    s.note_copy()
    s.held.clock.callLater(0, s.caller.begin, s.held, "PUT", PATH)
    s.empty_and_fill()
    s.simulation.run(3)
    s.held.thaw()
    s.simulation.run(1)
    s.look()


def arrived_after_its_caller_had_left(s):
    """A copy waits in a cut link together with its caller's leaving."""
    s.empty_and_fill()
    late = s.caller.begin(s.held, "PUT", PATH)
    s.simulation.clock.callLater(0.005, late.hang_up)
    s.simulation.run(1)
    s.look()


def two_on_one_base(s):
    s.config("a", 0, 3)
    s.config("b", 3, 5)
    s.config("c", 3, 6)


def sent_again(s):
    s.config("a", 0, 3)
    s.config("a", 0, 3)


def two_under_one_id(s):
    s.config("a", 0, 3, **{"Edit-Id": "mine"})
    s.config("b", 0, 3, **{"Edit-Id": "mine"})


def sent_again_after_many_others(s):
    with mock.patch.object(cluster_state, "MAX_OUTCOMES", 10):
        s.config("a", 0, 3)
        for _ in range(6):
            s.zone(True)
            s.zone(False)
        s.config("a", 0, 3)


def _apply_and_remember(self, sequence, c):
    out = _apply(self, sequence, c)
    if c.edit and out.code not in ("done", "late"):
        self.outcomes[c.edit] = out
    return out


_apply = ClusterState.apply


def _apply_on_any_base(self, e, sequence):
    e.base = self.routes.version
    return _apply_config(self, e, sequence)


_apply_config = ClusterState._apply_config


def _remember_the_last(self, out, c, what):
    self.outcomes[c.edit] = out
    while len(self.outcomes) > cluster_state.MAX_OUTCOMES:
        self.outcomes.popitem(last=False)


GUARDS = {
    "a refusal is judged anew": (early_sent_again, ClusterState, "apply", _apply_and_remember),
    "an order is fenced": (held_on_its_way_to_the_leader, ClusterState, "_is_fenced", lambda self, c, what: False),
    "a controller that woke takes no order": (
        held_in_a_frozen_socket,
        OrderFencing,
        "check_timely",
        lambda self, at: None,
    ),
    "an order's caller is still there": (arrived_after_its_caller_had_left, order_fencing, "HANG_UP_DELAY", ZERO),
    "a change builds on the version in force": (two_on_one_base, ClusterState, "_apply_config", _apply_on_any_base),
    "what was taken is remembered": (sent_again, ClusterState, "recorded_outcome", lambda self, c: None),
    "an id stands for one content": (two_under_one_id, cluster_state, "_content_digest", lambda c: b""),
    "the newest is not forgotten": (sent_again_after_many_others, ClusterState, "_record_outcome", _remember_the_last),
}


class OrderGuards(unittest.TestCase):
    def found(self, bring) -> list[str]:
        s = Scenario(self)
        bring(s)
        return check_history(s.records)

    def test_with_the_guard_nothing_is_found(self):
        for name, (bring, *_) in GUARDS.items():
            with self.subTest(name):
                self.assertEqual(self.found(bring), [])

    def test_without_the_guard_it_is_found(self):
        for name, (bring, owner, part, instead) in GUARDS.items():
            with self.subTest(name), mock.patch.object(owner, part, instead):
                self.assertNotEqual(self.found(bring), [])
