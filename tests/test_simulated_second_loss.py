"""After a loss of each kind, the cluster repairs itself in time, so that a second loss does not lose data."""

import unittest

from pipitlink.errors import ApiError
from testbed.simulator.random_faults import seeds

from .loss_simulation import LOSS_KINDS, LossSimulation

REPAIR_TIMEOUT_S = 3.0
"""The time from a machine's return, or its successor's start, until all replicas and voters are up to date."""
TOLERATES_TWO = {"losses": 2, "storage_nodes": 14, "controllers": 8}
SHAPES = (TOLERATES_TWO, {**TOLERATES_TWO, "controllers": 5, "zones": 5})


def _start_simulation(test, seed, **shape) -> LossSimulation:
    simulation = LossSimulation(seed, **{"logs": 100, **shape})
    test.addCleanup(simulation.end)
    simulation.start_workload()
    return simulation


def _voters(simulation):
    """Returns the voters, the leader first."""
    leader = simulation.until(simulation.leader, 10, "a controller leads")
    voters = leader.part.consensus.cluster_state.voters
    return [leader] + [
        member for member in simulation.role("controller", alive=True) if member.node in voters and member is not leader
    ]


def _wipe(simulation, simulated_nodes, power=()):
    """Some nodes lose their disks at the same time, while others may lose power; all restart after 1 s."""
    for member in (*simulated_nodes, *power):
        member.kill(power=True)
    for member in simulated_nodes:
        member.wipe()
    simulation.run(1)
    for member in (*simulated_nodes, *power):
        member.start()


def _assert_progress(test, simulation):
    """Waits until new edits and appends are acknowledged."""
    edits, appends = len(simulation.edits), sum(len(records) for records in simulation.acknowledged.values())
    simulation.until(lambda: len(simulation.edits) > edits + 2, 12, "edits are acknowledged")
    simulation.until(
        lambda: sum(len(records) for records in simulation.acknowledged.values()) > appends + 30,
        12,
        "appends are acknowledged",
    )


def _is_retired(simulation, simulated_node) -> bool:
    """Requests the retirement of a storage node once, and returns whether the node is retired now.

    Also returns False if there is no leader or the retirement cannot start yet (status 503): call it repeatedly.
    """
    leader = simulation.leader()
    if leader is None:
        return False
    try:
        simulation.do(leader.part.retirement.retire(simulated_node.node, "retire"), 10)
    except ApiError as error:
        if error.status != 503:
            raise
        simulation.run(1)
        return False
    return leader.part.consensus.cluster_state.storage_nodes.get(simulated_node.node) == "retired"


class SecondLoss(unittest.TestCase):
    def run_two_losses(self, role, kind, seed):
        simulation = _start_simulation(self, seed)
        candidates = _voters(simulation) if role == "controller" else simulation.role("storage")
        first = candidates[seed % 2]
        simulation.inject_loss(first, kind)
        simulation.wait_until_repaired(REPAIR_TIMEOUT_S)
        if role == "controller":
            second = next(member for member in _voters(simulation) if member.name != first.name)
        else:
            second = next(member for member in simulation.role("storage", alive=True) if member.name != first.name)
        _wipe(simulation, [second])
        _assert_progress(self, simulation)
        self.assertEqual(simulation.missing_acknowledged(), [])

    def test_a_voter_loses_its_disk_after_a_loss_of_each_kind(self):
        for number, kind in enumerate(LOSS_KINDS):
            with self.subTest(kind=kind):
                self.run_two_losses("controller", kind, number + 1)

    def test_a_storage_node_loses_its_disk_after_a_loss_of_each_kind(self):
        for number, kind in enumerate(LOSS_KINDS):
            with self.subTest(kind=kind):
                self.run_two_losses("storage", kind, number + 1)

    def test_a_retirement_after_a_replacement_and_a_lost_disk_ends_in_time(self):
        for seed in seeds(2):
            with self.subTest(seed=seed):
                simulation = _start_simulation(self, seed)
                first, second, third = simulation.role("storage")[:3]
                simulation.inject_loss(first, "replaced")
                simulation.wait_until_repaired(REPAIR_TIMEOUT_S)
                simulation.inject_loss(second, "wiped_late")
                simulation.wait_until_repaired(REPAIR_TIMEOUT_S)
                simulation.until(
                    lambda simulation=simulation, third=third: _is_retired(simulation, third),
                    4,
                    "the storage node is retired",
                )
                third.kill(power=True)
                third.wipe()
                _wipe(simulation, [second])
                _assert_progress(self, simulation)
                self.assertEqual(simulation.missing_acknowledged(), [])


class TwoAtOnce(unittest.TestCase):
    def test_two_voters_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(SHAPES, 1):
            with self.subTest(shape=shape):
                simulation = _start_simulation(self, seed, **shape)
                edits = len(simulation.edits)
                simulation.until(
                    lambda simulation=simulation, edits=edits: len(simulation.edits) > edits,
                    5,
                    "an edit is acknowledged",
                )
                voters = _voters(simulation)
                self.assertEqual(len(voters), 5)
                _wipe(simulation, voters[:2], power=voters[2:] if seed == 1 else ())
                _assert_progress(self, simulation)
                simulation.wait_until_repaired(2 * REPAIR_TIMEOUT_S)
                self.assertEqual(simulation.missing_acknowledged(), [])

    def test_two_storage_nodes_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(SHAPES, 3):
            with self.subTest(shape=shape):
                simulation = _start_simulation(self, seed, **shape)
                _wipe(simulation, simulation.rng.sample(simulation.role("storage"), 2))
                _assert_progress(self, simulation)
                simulation.wait_until_repaired(2 * REPAIR_TIMEOUT_S)
                _wipe(simulation, simulation.rng.sample(simulation.role("storage"), 2))
                _assert_progress(self, simulation)
                self.assertEqual(simulation.missing_acknowledged(), [])

    def test_all_quorums_survive_a_power_loss_of_one_zone(self):
        for seed, shape in enumerate(SHAPES, 5):
            with self.subTest(shape=shape):
                simulation = _start_simulation(self, seed, **shape)
                zone = "zone-" + "ab"[seed % 2]
                lost = [
                    member
                    for member in simulation.role("storage") + simulation.role("controller")
                    if member.zone == zone
                ]
                for member in lost:
                    member.kill(power=True)
                _assert_progress(self, simulation)
                for member in lost:
                    member.start()
                simulation.wait_until_repaired(2 * REPAIR_TIMEOUT_S)
                self.assertEqual(simulation.missing_acknowledged(), [])


class ToleratedLosses(unittest.TestCase):
    def test_the_number_of_tolerated_losses_can_change_while_the_cluster_serves(self):
        simulation = _start_simulation(self, 7, logs=40, storage_nodes=8, controllers=8)
        for losses in (2, 1):
            simulation.losses = simulation.settings["machine_losses"] = losses
            for member in simulation.role("controller"):
                member.kill()
                member.start()
                simulation.run(2)
            simulation.wait_until_repaired(20)
            _assert_progress(self, simulation)
        self.assertEqual(simulation.missing_acknowledged(), [])
