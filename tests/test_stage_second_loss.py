"""A loss of each kind is made good before the next may come, and the next loss then takes nothing along."""

import unittest

from pipitlink.errors import ApiError
from testbed.simulator.random_faults import seeds

from .loss_parts import KINDS, LossStage

WHOLE_AGAIN = 3.0
"""Seconds from a machine's return, or its successor's start, until all copies and votes are whole."""
TWO = {"losses": 2, "storage_nodes": 14, "controllers": 8}
GROWN = (TWO, {**TWO, "controllers": 5, "zones": 5})


def _staged(test, seed, **shape) -> LossStage:
    stage = LossStage(seed, **{"logs": 100, **shape})
    test.addCleanup(stage.end)
    stage.begin()
    return stage


def _voters(stage):
    """The controllers that vote, the leader first."""
    leader = stage.until(stage.leader, 10, "a controller leads")
    voters = leader.part.consensus.cluster_state.voters
    return [leader] + [a for a in stage.role("controller", alive=True) if a.node in voters and a is not leader]


def _wipe(stage, actors, power=()):
    """Disks lost at once, while others may lose power."""
    for a in (*actors, *power):
        a.kill(power=True)
    for a in actors:
        a.wipe()
    stage.run(1)
    for a in (*actors, *power):
        a.start()


def _goes_on(test, stage):
    """Edits and appends are acknowledged again."""
    edits, appends = len(stage.edits), sum(len(a) for a in stage.acked.values())
    stage.until(lambda: len(stage.edits) > edits + 2, 12, "edits go on")
    stage.until(lambda: sum(len(a) for a in stage.acked.values()) > appends + 30, 12, "appends go on")


def _retired(stage, actor) -> bool:
    """Asks for the retirement, again where it cannot be begun yet, and then whether it has ended."""
    leader = stage.leader()
    if leader is None:
        return False
    try:
        stage.do(leader.part.retirement.retire(actor.node, "retire"), 10)
    except ApiError as e:
        if e.status != 503:
            raise
        stage.run(1)
        return False
    return leader.part.consensus.cluster_state.storage_nodes.get(actor.node) == "retired"


class SecondLoss(unittest.TestCase):
    def lose_twice(self, role, kind, seed):
        stage = _staged(self, seed)
        pick = _voters(stage) if role == "controller" else stage.role("storage")
        first = pick[seed % 2]
        stage.lose(first, kind)
        stage.wait_whole(WHOLE_AGAIN)
        if role == "controller":
            second = next(a for a in _voters(stage) if a.name != first.name)
        else:
            second = next(a for a in stage.role("storage", alive=True) if a.name != first.name)
        _wipe(stage, [second])
        _goes_on(self, stage)
        self.assertEqual(stage.wrong(), [])

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
                stage = _staged(self, seed)
                a, b, c = stage.role("storage")[:3]
                stage.lose(a, "replaced")
                stage.wait_whole(WHOLE_AGAIN)
                stage.lose(b, "wiped_late")
                stage.wait_whole(WHOLE_AGAIN)
                stage.until(lambda stage=stage, c=c: _retired(stage, c), 4, "it is retired")
                c.kill(power=True)
                c.wipe()
                _wipe(stage, [b])
                _goes_on(self, stage)
                self.assertEqual(stage.wrong(), [])


class TwoAtOnce(unittest.TestCase):
    def test_two_voters_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(GROWN, 1):
            with self.subTest(shape=shape):
                stage = _staged(self, seed, **shape)
                edits = len(stage.edits)
                stage.until(lambda stage=stage, edits=edits: len(stage.edits) > edits, 5, "an edit is acknowledged")
                voters = _voters(stage)
                self.assertEqual(len(voters), 5)
                _wipe(stage, voters[:2], power=voters[2:] if seed == 1 else ())
                _goes_on(self, stage)
                stage.wait_whole(2 * WHOLE_AGAIN)
                self.assertEqual(stage.wrong(), [])

    def test_two_storage_nodes_lose_their_disks_right_after_an_acknowledgement(self):
        for seed, shape in enumerate(GROWN, 3):
            with self.subTest(shape=shape):
                stage = _staged(self, seed, **shape)
                _wipe(stage, stage.rng.sample(stage.role("storage"), 2))
                _goes_on(self, stage)
                stage.wait_whole(2 * WHOLE_AGAIN)
                _wipe(stage, stage.rng.sample(stage.role("storage"), 2))
                _goes_on(self, stage)
                self.assertEqual(stage.wrong(), [])

    def test_a_zone_without_power_leaves_majorities_everywhere(self):
        for seed, shape in enumerate(GROWN, 5):
            with self.subTest(shape=shape):
                stage = _staged(self, seed, **shape)
                zone = "zone-" + "ab"[seed % 2]
                lost = [a for a in stage.role("storage") + stage.role("controller") if a.zone == zone]
                for a in lost:
                    a.kill(power=True)
                _goes_on(self, stage)
                for a in lost:
                    a.start()
                stage.wait_whole(2 * WHOLE_AGAIN)
                self.assertEqual(stage.wrong(), [])


class LossesToBear(unittest.TestCase):
    def test_the_number_is_changed_while_the_fleet_serves(self):
        stage = _staged(self, 7, logs=40, storage_nodes=8, controllers=8)
        for losses in (2, 1):
            stage.losses = stage.settings["machine_losses"] = losses
            for a in stage.role("controller"):
                a.kill()
                a.start()
                stage.run(2)
            stage.wait_whole(20)
            _goes_on(self, stage)
        self.assertEqual(stage.wrong(), [])
