"""Checks the admission rule in every interleaving of a gateway's requests, an edit, a leader change and time."""

import itertools
import unittest
import unittest.mock
from datetime import timedelta

from pipitlink.cluster.cluster_state import ClusterState
from pipitlink.cluster.follower import ClusterFollower
from pipitlink.controller.state_delivery import StateDelivery
from pipitlink.errors import NotLeader
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, spawn
from pipitlink.wire.cluster_pb2 import (
    ClusterStateData,
    Command,
    FollowRequest,
    PlacementGroupRow,
    Row,
    StorageNodeEdit,
    TableEdit,
)
from pipitlink.wire.controller_pb2 import ControllerEntry, Snapshot

TICK_S = 0.5
BASE = ClusterStateData(sequence=1, placement_groups=[PlacementGroupRow(number=0, sequence=1, storage_nodes=["d"])])
EDIT = Command(table=TableEdit(base=0, upserts=[Row(name="r", model="m")]))


class _Ctx:
    def __init__(self):
        self.now = 1000.0
        self.timers = Timers(None, seconds=lambda: self.now)
        self.logger = StructuredLogger(self)
        self.settings = type("Settings", (), {"placement_groups": 1})
        self.node = "controller"

    def log(self, *args):
        pass


class _Consensus:
    """Stands in for a leader's consensus and log; the schedule decides when its one edit is committed."""

    is_leader, leader_id, term = True, "controller", 0

    def __init__(self):
        self.cluster_state = ClusterState(BASE)
        self.snapshot = Snapshot()

    def entries_after(self, index, limit):
        return [ControllerEntry(index=2, command=EDIT)] if index == 1 and self.cluster_state.sequence == 2 else []

    def commit(self):
        if self.cluster_state.sequence == 1:
            self.cluster_state.apply(2, EDIT)


class _Replication:
    """Stands in for log replication: the leader has contact with a majority until a given time."""

    def __init__(self, ctx, elected_at, contact_until):
        self._ctx, self.elected_at, self._contact_until = ctx, elected_at, contact_until

    def quorum_contact_at(self):
        now = self._ctx.timers.now()
        return now if now < self._contact_until else now - timedelta(seconds=9)


class _Leader(StateDelivery):
    def __init__(self, ctx, elected_at, contact_until):
        self.consensus = _Consensus()
        super().__init__(ctx, self.consensus, self.consensus, _Replication(ctx, elected_at, contact_until))


class _Schedule:
    """Runs one sequence of steps on the real admission and delivery code.

    With a change of leader, the first leader loses contact with its majority after 0.5 s.
    """

    def __init__(self, change_leader: bool):
        self.ctx = _Ctx()
        now = self.ctx.timers.now()
        forever = now + timedelta(days=1)
        self.first = _Leader(
            self.ctx, now - timedelta(seconds=9), now + timedelta(seconds=0.5) if change_leader else forever
        )
        self.leaders = [self.first]
        self.gateway = ClusterFollower(self.ctx)
        self.gateway.cluster_state = ClusterState(BASE)
        self.change_leader = change_leader
        self.asked_at = self.request = self.response = None
        self.acknowledged = False

    def tick(self):
        self.ctx.now += TICK_S

    def send(self):
        self.asked_at = self.ctx.timers.now()
        self.request = FollowRequest(node="g", role="gateway", sequence=self.gateway.sequence, no_wait=True)

    def respond(self):
        responses = []
        for leader in reversed(self.leaders):
            spawn(leader.follow("g", self.request)).addCallbacks(responses.append, lambda f: f.trap(NotLeader) and None)
            if responses:
                break
        self.response = responses[0] if responses else None

    def apply_response(self):
        if self.response is not None and self.gateway.apply_response(self.response) and self.response.leased:
            self.gateway.currency.leased_at = self.asked_at

    def elect(self):
        """Adds a second leader if the schedule changes the leader and at least 600 ms have passed.

        Voters elect no other leader until 600 ms after the last message from their current one.
        """
        if self.change_leader and self.ctx.now >= 1000.6:
            now = self.ctx.timers.now()
            self.leaders.append(_Leader(self.ctx, now, now + timedelta(days=1)))

    def commit(self):
        self.leaders[-1].consensus.commit()

    def acknowledge(self):
        leader = self.leaders[-1]
        if leader.consensus.cluster_state.sequence == 2 and leader.is_in_effect(2) and leader.has_recent_quorum():
            self.acknowledged = True

    def violates_rule(self) -> bool:
        return self.acknowledged and self.gateway.ready() and self.gateway.sequence < 2


def interleavings(*sequences):
    """Yields all interleavings of these sequences; each sequence keeps its order."""
    if not any(sequences):
        yield ()
        return
    for i, sequence in enumerate(sequences):
        if sequence:
            for rest in interleavings(*sequences[:i], sequence[1:], *sequences[i + 1 :]):
                yield (sequence[0], *rest)


class CurrencyInterleavings(unittest.TestCase):
    def explore(self, change_leader, sequences):
        explored = acknowledged = admitted = 0
        for steps in interleavings(*sequences):
            schedule = _Schedule(change_leader)
            explored += 1
            for step in steps:
                getattr(schedule, step)()
                self.assertFalse(schedule.violates_rule(), steps)
            acknowledged += schedule.acknowledged
            admitted += schedule.gateway.ready()
        return explored, acknowledged, admitted

    def test_no_interleaving_admits_work_without_an_acknowledged_edit(self):
        gateway = ("send", "respond", "apply_response", "send", "respond", "apply_response")
        explored, acknowledged, admitted = self.explore(False, (gateway, ("commit", "acknowledge"), ("tick",) * 3))
        self.assertEqual(explored, 4620)
        self.assertGreater(min(acknowledged, admitted), 500)

    def test_no_interleaving_with_a_leader_change_admits_work_without_an_acknowledged_edit(self):
        gateway = ("send", "respond", "apply_response")
        explored, acknowledged, _ = self.explore(True, (gateway, ("elect", "commit", "acknowledge"), ("tick",) * 5))
        self.assertEqual(explored, 9240)
        self.assertGreater(acknowledged, 20)

    def test_a_leader_that_does_not_wait_for_gateways_is_detected(self):
        with unittest.mock.patch.object(_Leader, "is_in_effect", lambda self, sequence: True):
            with self.assertRaises(AssertionError):
                self.explore(False, (("send", "respond", "apply_response"), ("commit", "acknowledge"), ("tick",) * 2))

    def test_majorities_of_witnesses_intersect_across_one_change(self):
        """A majority of the storage nodes intersects any majority of the set before or after one change, whichever of
        the two has the edit.
        """
        storage_nodes = "abcd"
        for change in (set(storage_nodes), set("abc"), set("abcde")):
            for one in itertools.combinations(storage_nodes, 3):
                for other in itertools.combinations(sorted(change), len(change) // 2 + 1):
                    self.assertTrue(set(one) & set(other), (one, other))
        cluster_state = ClusterState(BASE)
        cluster_state.apply(2, Command(storage_node=StorageNodeEdit(storage_node="a", status="serving")))
        cluster_state.apply(3, Command(storage_node=StorageNodeEdit(storage_node="b", status="retired")))
        self.assertEqual(cluster_state.witnesses(), ["a"])
