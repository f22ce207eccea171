"""Guards against a second loss, each taken out in turn: the loss is then found, and none with the guard in place."""

import unittest
import unittest.mock
from collections import Counter

from pipitlink.controller.placement_planner import PlacementPlanner
from pipitlink.controller.storage_nodes import StorageNodeView
from pipitlink.controller.voter_changes import VoterChanges
from pipitlink.membership import Membership
from pipitlink.replicated_log.placement_group import PlacementGroup
from pipitlink.settings import Settings
from pipitlink.storage import replica_transfer
from pipitlink.storage.replica_repair import ReplicaRepair
from pipitlink.storage.replica_transfer import ReplicaTransfer

from .loss_simulation import LossSimulation

GROWN = {"losses": 2, "storage_nodes": 14, "controllers": 8}
IN_TIME = 3.0


def _found(test, bring, **shape) -> list[str]:
    """What goes wrong in a scenario: what was lost, or what did not go on."""
    simulation = LossSimulation(3, **{"logs": 60, **shape})
    test.addCleanup(simulation.end)
    try:
        simulation.begin()
        bring(simulation)
        edits, appends = len(simulation.edits), {n: len(a) for n, a in simulation.acked.items() if n.startswith("open")}
        simulation.run(4)
        stuck = [n for n, acked in appends.items() if len(simulation.acked[n]) == acked]
        return stuck + ["no edits"] * (len(simulation.edits) == edits) or simulation.wrong()
    except AssertionError as e:
        return [str(e)]


def _lose(simulation, simulated_nodes, back: bool):
    for a in simulated_nodes:
        a.kill(power=True)
        a.wipe()
    simulation.run(1)
    for a in simulated_nodes if back else ():
        a.start()


def two_copies_wiped(simulation):
    """Two storage nodes that keep one placement group lose their disks, and do not come back for a while."""
    group = next(iter(simulation.leader().part.consensus.cluster_state.placement_groups.values()))
    _lose(simulation, [a for a in simulation.role("storage") if a.node in group.storage_nodes[:2]], back=False)


def two_voters_wiped(simulation):
    voters = simulation.leader().part.consensus.cluster_state.voters
    _lose(simulation, [a for a in simulation.role("controller") if a.node in voters][:2], back=True)


def zone_lost(simulation):
    """The zone that has the most of the voters and of some placement group."""
    part = simulation.leader().part
    held = Counter(
        max(Counter(part._ctx.membership.find(d).zone for d in s).items(), key=lambda z: z[1])[0]
        for s in (
            part.consensus.cluster_state.voters,
            *(g.storage_nodes for g in part.consensus.cluster_state.placement_groups.values()),
        )
    )
    zone = held.most_common(1)[0][0]
    for a in simulation.role("storage") + simulation.role("controller"):
        if a.zone == zone:
            a.kill(power=True)


def retired_and_wiped(simulation):
    """A storage node is retired and taken away; then one of those that took its copies over loses its disk."""
    gone, other = simulation.role("storage")[2], simulation.role("storage")[0]
    simulation.do(simulation.leader().part.retirement.retire(gone.node, "retire"), 10)
    simulation.until(
        lambda: (
            simulation.leader()
            and simulation.leader().part.consensus.cluster_state.storage_nodes.get(gone.node) == "retired"
        ),
        8,
        "it is retired",
    )
    _lose(simulation, [gone], back=False)
    _lose(simulation, [other], back=True)


def replaced_in_time(simulation):
    simulation.lose(simulation.role("storage")[1], "wiped")
    simulation.wait_whole(IN_TIME)


def successor_in_time(simulation):
    simulation.lose(simulation.role("storage")[1], "planned")
    simulation.wait_whole(IN_TIME)


def successor_of_a_silent_one_in_time(simulation):
    lost = simulation.role("storage")[1]
    lost.freeze()
    simulation.run(3)
    simulation.successor(lost)
    simulation.wait_whole(IN_TIME)


def current_in_time(simulation):
    """Logs end while a storage node is away, so that no leaseholder is left to make up for it."""
    away = simulation.role("storage")[1]
    away.kill()
    simulation.run(0.2)
    simulation.write_closed(30)
    away.start()
    simulation.wait_whole(IN_TIME / 2)


def _no_zones(self, nodes) -> Counter:
    return Counter()


class _NoSpread:
    @staticmethod
    def out():
        return (
            unittest.mock.patch.object(VoterChanges, "_zone_counts", _no_zones),
            unittest.mock.patch.object(PlacementPlanner, "_zone_counts", _no_zones),
            unittest.mock.patch.object(PlacementPlanner, "_rebalance_zones", lambda self, load, serving: []),
            unittest.mock.patch.object(VoterChanges, "_improves_zone_balance", lambda self, live, standby: False),
        )


def _out(owner, part, instead):
    return (unittest.mock.patch.object(owner, part, instead),)


THREE = property(lambda self: 3)
_NO_SUCCESSOR = _out(StorageNodeView, "has_successor", lambda self, node: False)
GUARDS = {
    "copies follow from the losses to bear": (two_copies_wiped, GROWN, _out(Settings, "replica_count", THREE)),
    "voters follow from the losses to bear": (two_voters_wiped, GROWN, _out(Settings, "replica_count", THREE)),
    "zones share voters and copies": (zone_lost, {**GROWN, "zones": 3}, _NoSpread.out()),
    "a joining storage node copies what a majority shows": (
        retired_and_wiped,
        {},
        _out(ReplicaTransfer, "transfer_placement_group", lambda self, group, joining: _whole_at_once()),
    ),
    "a storage node that lost its disk is replaced at once": (
        replaced_in_time,
        {},
        _out(Membership, "is_replaced", lambda self, node, name="": False) + _NO_SUCCESSOR,
    ),
    "a successor with another name is taken for one": (
        successor_in_time,
        {},
        _NO_SUCCESSOR,
    ),
    "a storage node that was away compares at once": (
        current_in_time,
        {},
        _out(ReplicaRepair, "_check_leader_contact", lambda self: None),
    ),
    "a dead member is not waited for": (
        successor_of_a_silent_one_in_time,
        {},
        _out(replica_transfer, "majority", lambda nodes, of: len(nodes) > len(of)),
    ),
}


async def _whole_at_once() -> bool:
    return True


class Guards(unittest.TestCase):
    def test_with_the_guard_nothing_is_found(self):
        for name, (bring, shape, _) in GUARDS.items():
            with self.subTest(name):
                self.assertEqual(_found(self, bring, **shape), [])

    def test_without_the_guard_it_is_found(self):
        for name, (bring, shape, patches) in GUARDS.items():
            with self.subTest(name):
                for patch in patches:
                    patch.start()
                    self.addCleanup(patch.stop)
                try:
                    found = _found(self, bring, **shape)
                finally:
                    for patch in patches:
                        patch.stop()
                self.assertTrue(found)

    def test_sets_of_a_move_are_both_asked(self):
        """A writer that goes by the new set alone and one that goes by the old would not see each other."""
        group = PlacementGroup(0, 2, ("a", "b", "c"), joining="d", leaving="c")
        self.assertFalse(group.is_quorum(["a", "d"]))
        self.assertFalse(group.is_quorum(["a", "c"]))
        self.assertTrue(group.is_quorum(["a", "b"]))
