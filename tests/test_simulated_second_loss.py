"""A loss of each kind is made good before the next may come, and the next loss then takes nothing along."""

import unittest

from pipitlink.errors import ApiError
from testbed.simulator.random_faults import seeds

from .loss_simulation import KINDS, LossSimulation

WHOLE_AGAIN = 3.0
"""Seconds from a machine's return, or its successor's start, until all copies and votes are whole."""
TWO = {"losses": 2, "storage_nodes": 14, "controllers": 8}
GROWN = (TWO, {**TWO, "controllers": 5, "zones": 5})


def _start_simulation(test, seed, **shape) -> LossSimulation:
    simulation = LossSimulation(seed, **{"logs": 100, **shape})
    test.addCleanup(simulation.end)
    simulation.begin()
    return simulation


def _voters(simulation):
    """The controllers that vote, the leader first."""
    leader = simulation.until(simulation.leader, 10, "a controller leads")
    voters = leader.part.consensus.cluster_state.voters
    return [leader] + [a for a in simulation.role("controller", alive=True) if a.node in voters and a is not leader]


def _wipe(simulation, simulated_nodes, power=()):
    """Disks lost at once, while others may lose power."""
    for a in (*simulated_nodes, *power):
        a.kill(power=True)
    for a in simulated_nodes:
        a.wipe()
    simulation.run(1)
    for a in (*simulated_nodes, *power):
        a.start()


def _goes_on(test, simulation):
    """Edits and appends are acknowledged again."""
    edits, appends = len(simulation.edits), sum(len(a) for a in simulation.acked.values())
    simulation.until(lambda: len(simulation.edits) > edits + 2, 12, "edits go on")
    simulation.until(lambda: sum(len(a) for a in simulation.acked.values()) > appends + 30, 12, "appends go on")


def _retired(simulation, simulated_node) -> bool:
    """Asks for the retirement, again where it cannot be begun yet, and then whether it has ended."""
    leader = simulation.leader()
    if leader is None:
        return False
    try:
        simulation.do(leader.part.retirement.retire(simulated_node.node, "retire"), 10)
    except ApiError as e:
        if e.status != 503:
            raise
        simulation.run(1)
        return False
    return leader.part.consensus.cluster_state.storage_nodes.get(simulated_node.node) == "retired"


class SecondLoss(unittest.TestCase):
    def lose_twice(self, role, kind, seed):
        simulation = _start_simulation(self, seed)
        pick = _voters(simulation) if role == "controller" else simulation.role("storage")
        first = pick[seed % 2]
        simulation.lose(first, kind)
        simulation.wait_whole(WHOLE_AGAIN)
        if role == "controller":
            second = next(a for a in _voters(simulation) if a.name != first.name)
        else:
            second = next(a for a in simulation.role("storage", alive=True) if a.name != first.name)
        _wipe(simulation, [second])
        _goes_on(self, simulation)
        self.assertEqual(simulation.wrong(), [])

    def test_a_voter_after_a_loss_of_each_kind(self):
        for n, kind in enumerate(KINDS):
            with self.subTest(kind=kind):
                self.lose_twice("controller", kind, n + 1)

    def test_a_storage_node_after_a_loss_of_each_kind(self):
        for n, kind in enumerate(KINDS):
            with self.subTest(kind=kind):
                self.lose_twice("storage", kind, n + 1)

    def test_a_retirement_after_a_replacement_and_a_lost_disk_ends_in_time(self):
        for seed in seeds(2):
            with self.subTest(seed=seed):
                simulation = _start_simulation(self, seed)
                a, b, c = simulation.role("storage")[:3]
                simulation.lose(a, "replaced")
                simulation.wait_whole(WHOLE_AGAIN)
                simulation.lose(b, "wiped_late")
                simulation.wait_whole(WHOLE_AGAIN)
                simulation.until(lambda simulation=simulation, c=c: _retired(simulation, c), 4, "it is retired")
                c.kill(power=True)
                c.wipe()
                _wipe(simulation, [b])
                _goes_on(self, simulation)
                self.assertEqual(simulation.wrong(), [])


class TwoAtOnce(unittest.TestCase):
    def test_two_voters_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(GROWN, 1):
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
                _goes_on(self, simulation)
                simulation.wait_whole(2 * WHOLE_AGAIN)
                self.assertEqual(simulation.wrong(), [])

    def test_two_storage_nodes_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(GROWN, 3):
            with self.subTest(shape=shape):
                simulation = _start_simulation(self, seed, **shape)
                _wipe(simulation, simulation.rng.sample(simulation.role("storage"), 2))
                _goes_on(self, simulation)
                simulation.wait_whole(2 * WHOLE_AGAIN)
                _wipe(simulation, simulation.rng.sample(simulation.role("storage"), 2))
                _goes_on(self, simulation)
                self.assertEqual(simulation.wrong(), [])

    def test_a_zone_without_power_leaves_majorities_everywhere(self):
        for seed, shape in enumerate(GROWN, 5):
            with self.subTest(shape=shape):
                simulation = _start_simulation(self, seed, **shape)
                zone = "zone-" + "ab"[seed % 2]
                lost = [a for a in simulation.role("storage") + simulation.role("controller") if a.zone == zone]
                for a in lost:
                    a.kill(power=True)
                _goes_on(self, simulation)
                for a in lost:
                    a.start()
                simulation.wait_whole(2 * WHOLE_AGAIN)
                self.assertEqual(simulation.wrong(), [])


class LossesToBear(unittest.TestCase):
    def test_the_number_is_changed_while_the_fleet_serves(self):
        simulation = _start_simulation(self, 7, logs=40, storage_nodes=8, controllers=8)
        for losses in (2, 1):
            simulation.losses = simulation.settings["machine_losses"] = losses
            for a in simulation.role("controller"):
                a.kill()
                a.start()
                simulation.run(2)
            simulation.wait_whole(20)
            _goes_on(self, simulation)
        self.assertEqual(simulation.wrong(), [])
