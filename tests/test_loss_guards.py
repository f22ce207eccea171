"""Disables each guard against data loss in turn: its scenario must then show a violation, and none with the guard."""

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

TOLERATES_TWO = {"losses": 2, "storage_nodes": 14, "controllers": 8}
REPAIR_TIMEOUT_S = 3.0


def _find_violations(test, cause_loss, **shape) -> list[str]:
    """Runs a scenario; returns acknowledged data that was lost, or the logs and edits that made no progress."""
    simulation = LossSimulation(3, **{"logs": 60, **shape})
    test.addCleanup(simulation.end)
    try:
        simulation.start_workload()
        cause_loss(simulation)
        edits, appends = (
            len(simulation.edits),
            {name: len(records) for name, records in simulation.acknowledged.items() if name.startswith("open")},
        )
        simulation.run(4)
        stuck = [name for name, count in appends.items() if len(simulation.acknowledged[name]) == count]
        return stuck + ["no edits"] * (len(simulation.edits) == edits) or simulation.missing_acknowledged()
    except AssertionError as error:
        return [str(error)]


def _wipe(simulation, simulated_nodes, back: bool):
    for member in simulated_nodes:
        member.kill(power=True)
        member.wipe()
    simulation.run(1)
    for member in simulated_nodes if back else ():
        member.start()


def two_replicas_wiped(simulation):
    """Two storage nodes of one placement group lose their disks and do not come back."""
    group = next(iter(simulation.leader().part.consensus.cluster_state.placement_groups.values()))
    _wipe(
        simulation,
        [member for member in simulation.role("storage") if member.node in group.storage_nodes[:2]],
        back=False,
    )


def two_voters_wiped(simulation):
    voters = simulation.leader().part.consensus.cluster_state.voters
    _wipe(simulation, [member for member in simulation.role("controller") if member.node in voters][:2], back=True)


def zone_lost(simulation):
    """Stops the zone that most often has the largest part of the voters or of a placement group."""
    part = simulation.leader().part
    held = Counter(
        max(Counter(part._ctx.membership.find(node).zone for node in nodes).items(), key=lambda z: z[1])[0]
        for nodes in (
            part.consensus.cluster_state.voters,
            *(group.storage_nodes for group in part.consensus.cluster_state.placement_groups.values()),
        )
    )
    zone = held.most_common(1)[0][0]
    for member in simulation.role("storage") + simulation.role("controller"):
        if member.zone == zone:
            member.kill(power=True)


def retired_and_wiped(simulation):
    """A storage node is retired and removed; then one of those that took over its replicas loses its disk."""
    retired, other = simulation.role("storage")[2], simulation.role("storage")[0]
    simulation.do(simulation.leader().part.retirement.retire(retired.node, "retire"), 10)
    simulation.until(
        lambda: (
            simulation.leader()
            and simulation.leader().part.consensus.cluster_state.storage_nodes.get(retired.node) == "retired"
        ),
        8,
        "the storage node is retired",
    )
    _wipe(simulation, [retired], back=False)
    _wipe(simulation, [other], back=True)


def replaced_in_time(simulation):
    simulation.inject_loss(simulation.role("storage")[1], "wiped")
    simulation.wait_until_repaired(REPAIR_TIMEOUT_S)


def planned_replacement_in_time(simulation):
    simulation.inject_loss(simulation.role("storage")[1], "planned")
    simulation.wait_until_repaired(REPAIR_TIMEOUT_S)


def frozen_node_replaced_in_time(simulation):
    lost = simulation.role("storage")[1]
    lost.freeze()
    simulation.run(3)
    simulation.add_successor(lost)
    simulation.wait_until_repaired(REPAIR_TIMEOUT_S)


def repaired_in_time(simulation):
    """Logs end while a storage node is down, so that no leaseholder is left to bring its replicas up to date."""
    absent = simulation.role("storage")[1]
    absent.kill()
    simulation.run(0.2)
    simulation.write_closed_logs(30)
    absent.start()
    simulation.wait_until_repaired(REPAIR_TIMEOUT_S / 2)


def _no_zone_counts(self, nodes) -> Counter:
    return Counter()


class _WithoutZoneSpread:
    @staticmethod
    def without():
        return (
            unittest.mock.patch.object(VoterChanges, "_zone_counts", _no_zone_counts),
            unittest.mock.patch.object(PlacementPlanner, "_zone_counts", _no_zone_counts),
            unittest.mock.patch.object(PlacementPlanner, "_rebalance_zones", lambda self, load, serving: []),
            unittest.mock.patch.object(VoterChanges, "_improves_zone_balance", lambda self, live, standby: False),
        )


def _without(owner, part, instead):
    return (unittest.mock.patch.object(owner, part, instead),)


FIXED_REPLICA_COUNT = property(lambda self: 3)
_NO_SUCCESSOR = _without(StorageNodeView, "has_successor", lambda self, node: False)
GUARDS = {
    "the replica count follows from the tolerated losses": (
        two_replicas_wiped,
        TOLERATES_TWO,
        _without(Settings, "replica_count", FIXED_REPLICA_COUNT),
    ),
    "the voter count follows from the tolerated losses": (
        two_voters_wiped,
        TOLERATES_TWO,
        _without(Settings, "replica_count", FIXED_REPLICA_COUNT),
    ),
    "voters and replicas are spread over zones": (
        zone_lost,
        {**TOLERATES_TWO, "zones": 3},
        _WithoutZoneSpread.without(),
    ),
    "a joining storage node copies the data of a majority": (
        retired_and_wiped,
        {},
        _without(ReplicaTransfer, "transfer_placement_group", lambda self, group, joining: _report_transferred()),
    ),
    "a storage node that lost its disk is replaced at once": (
        replaced_in_time,
        {},
        _without(Membership, "is_replaced", lambda self, node, name="": False) + _NO_SUCCESSOR,
    ),
    "a successor with another name is recognized": (
        planned_replacement_in_time,
        {},
        _NO_SUCCESSOR,
    ),
    "a storage node that was down starts a repair at once": (
        repaired_in_time,
        {},
        _without(ReplicaRepair, "_check_leader_contact", lambda self: None),
    ),
    "a transfer does not wait for a dead member": (
        frozen_node_replaced_in_time,
        {},
        _without(replica_transfer, "majority", lambda nodes, of: len(nodes) > len(of)),
    ),
}


async def _report_transferred() -> bool:
    return True


class Guards(unittest.TestCase):
    def test_there_is_no_violation_with_the_guard(self):
        for name, (cause_loss, shape, _) in GUARDS.items():
            with self.subTest(name):
                self.assertEqual(_find_violations(self, cause_loss, **shape), [])

    def test_there_is_a_violation_without_the_guard(self):
        for name, (cause_loss, shape, patches) in GUARDS.items():
            with self.subTest(name):
                for patch in patches:
                    patch.start()
                    self.addCleanup(patch.stop)
                try:
                    violations = _find_violations(self, cause_loss, **shape)
                finally:
                    for patch in patches:
                        patch.stop()
                self.assertTrue(violations)

    def test_a_quorum_needs_a_majority_of_the_old_and_the_new_set(self):
        """Otherwise the quorums of a writer with the old set and of one with the new set might not overlap."""
        group = PlacementGroup(0, 2, ("a", "b", "c"), joining="d", leaving="c")
        self.assertFalse(group.is_quorum(["a", "d"]))
        self.assertFalse(group.is_quorum(["a", "c"]))
        self.assertTrue(group.is_quorum(["a", "b"]))
