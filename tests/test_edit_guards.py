"""Disables each guard of operators' edits in turn: the history checker must then report a violation in the guard's
scenario, and none while the guard is active.
"""

import unittest
from unittest import mock

from pipitlink.cluster import ClusterState, cluster_state
from pipitlink.controller import edit_fencing
from pipitlink.controller.edit_fencing import EditFencing
from pipitlink.timers import ZERO
from testbed.checks.linearizability import ConfigRead, ConfigWrite, Response, ZoneRead, ZoneWrite, check_history

from .control_client import ControlClient, config_of, route_of
from .operator_simulation import DelayingSimulation

ZONE = "zone-b"
PATH = f"/v1/zones/{ZONE}/empty"
RESPONSES = {200: Response.CONFIRMED, 412: Response.OTHER_VERSION, 400: Response.REFUSED, 409: Response.REFUSED}


class Scenario:
    """A small simulated cluster and the records of the edits sent to it, for the history checker."""

    def __init__(self, test):
        self.simulation = DelayingSimulation(43, placement_groups=2)
        test.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.simulation.run(2)
        self.client = ControlClient(self.simulation)
        self.records: list = []
        self.leader = self.simulation.leader()
        self.delayed, self.other, *_ = [a for a in self.simulation.role("controller") if a is not self.leader]

    def config(self, content, base, version, **headers):
        self.simulation.run(0.01)
        started_at = self.simulation.clock.seconds()
        body = config_of(version, route_of(content))
        args = ("PUT", "/v1/config", body, {"If-Match": str(base), **headers})
        response = RESPONSES[self.client.call(self.other, *args)[0]]
        self.records.append(ConfigWrite(content, base, version, started_at, self.simulation.clock.seconds(), response))

    def zone(self, empty: bool):
        self.simulation.run(0.01)
        started_at = self.simulation.clock.seconds()
        response = RESPONSES[self.client.call(self.other, "PUT" if empty else "DELETE", PATH)[0]]
        self.records.append(ZoneWrite(ZONE, empty, started_at, self.simulation.clock.seconds(), response))

    def record_gateways(self):
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway"):
            state = a.ctx.cluster.cluster_state
            content = next(iter(state.routes.routes), "")
            self.records.append(ConfigRead(state.routes.version, content, now, now, a.node))
            self.records.append(ZoneRead(ZONE, ZONE in state.empty_zones, now, now, a.node))

    def record_unanswered_copy(self):
        """Records a copy of the edit that empties the zone; its client times out after a second and retries."""
        now = self.simulation.clock.seconds()
        self.records.append(ZoneWrite(ZONE, True, now, now + 1.1, Response.UNKNOWN))

    def empty_and_fill(self):
        """The retried edit is confirmed and then reverted."""
        self.simulation.run(1.1)
        self.zone(True)
        self.zone(False)
        self.simulation.run(2)
        self.record_gateways()


def early_edit_sent_again(s):
    s.config("first", 0, 3)
    s.config("early", 5, 9)
    s.config("between", 3, 5)
    s.config("early", 5, 9)


def delayed_on_the_way_to_the_leader(s):
    s.simulation.cut([s.delayed.name], [s.leader.name], one_way=True)
    s.record_unanswered_copy()
    s.client.start_call(s.delayed, "PUT", PATH)
    s.empty_and_fill()
    s.simulation.heal()
    s.simulation.run(1)
    s.record_gateways()


def delayed_in_a_frozen_socket(s):
    s.delayed.freeze()
    s.record_unanswered_copy()
    s.delayed.clock.callLater(0, s.client.start_call, s.delayed, "PUT", PATH)
    s.empty_and_fill()
    s.simulation.run(3)
    s.delayed.thaw()
    s.simulation.run(1)
    s.record_gateways()


def arrived_after_its_client_disconnected(s):
    """A copy waits in a cut link together with its client's disconnect."""
    s.empty_and_fill()
    late = s.client.start_call(s.delayed, "PUT", PATH)
    s.simulation.clock.callLater(0.005, late.disconnect)
    s.simulation.run(1)
    s.record_gateways()


def two_edits_on_one_base(s):
    s.config("a", 0, 3)
    s.config("b", 3, 5)
    s.config("c", 3, 6)


def edit_sent_again(s):
    s.config("a", 0, 3)
    s.config("a", 0, 3)


def two_edits_under_one_id(s):
    s.config("a", 0, 3, **{"Edit-Id": "mine"})
    s.config("b", 0, 3, **{"Edit-Id": "mine"})


def edit_sent_again_after_many_others(s):
    with mock.patch.object(cluster_state, "MAX_OUTCOMES", 10):
        s.config("a", 0, 3)
        for _ in range(6):
            s.zone(True)
            s.zone(False)
        s.config("a", 0, 3)


def _apply_and_record_rejections(self, sequence, command):
    outcome = _apply(self, sequence, command)
    if command.edit and outcome.code not in ("done", "late"):
        self.outcomes[command.edit] = outcome
    return outcome


_apply = ClusterState.apply


def _apply_on_any_base(self, edit, sequence):
    edit.base = self.routes.version
    return _apply_config(self, edit, sequence)


_apply_config = ClusterState._apply_config


def _record_only_the_newest(self, outcome, command, kind):
    self.outcomes[command.edit] = outcome
    while len(self.outcomes) > cluster_state.MAX_OUTCOMES:
        self.outcomes.popitem(last=False)


GUARDS = {
    "a rejected edit is evaluated again": (early_edit_sent_again, ClusterState, "apply", _apply_and_record_rejections),
    "an edit is fenced": (
        delayed_on_the_way_to_the_leader,
        ClusterState,
        "_is_fenced",
        lambda self, command, kind: False,
    ),
    "a resumed controller accepts no edit": (
        delayed_in_a_frozen_socket,
        EditFencing,
        "check_timely",
        lambda self, at: None,
    ),
    "the client of an edit is still connected": (
        arrived_after_its_client_disconnected,
        edit_fencing,
        "DISCONNECT_CHECK_DELAY",
        ZERO,
    ),
    "a change is based on the current version": (
        two_edits_on_one_base,
        ClusterState,
        "_apply_config",
        _apply_on_any_base,
    ),
    "a confirmed edit is recorded": (edit_sent_again, ClusterState, "recorded_outcome", lambda self, command: None),
    "an edit id identifies one content": (
        two_edits_under_one_id,
        cluster_state,
        "_content_digest",
        lambda command: b"",
    ),
    "the newest outcome is not evicted": (
        edit_sent_again_after_many_others,
        ClusterState,
        "_record_outcome",
        _record_only_the_newest,
    ),
}


class EditGuards(unittest.TestCase):
    def violations(self, run_scenario) -> list[str]:
        s = Scenario(self)
        run_scenario(s)
        return check_history(s.records)

    def test_with_the_guard_no_violation_is_found(self):
        for name, (run_scenario, *_) in GUARDS.items():
            with self.subTest(name):
                self.assertEqual(self.violations(run_scenario), [])

    def test_without_the_guard_a_violation_is_found(self):
        for name, (run_scenario, owner, attribute, replacement) in GUARDS.items():
            with self.subTest(name), mock.patch.object(owner, attribute, replacement):
                self.assertNotEqual(self.violations(run_scenario), [])
