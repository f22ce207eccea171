"""Explores changes of placement groups and voters exhaustively at small sizes: no step may lose a majority's data."""

import unittest
from itertools import combinations
from types import SimpleNamespace
from unittest import mock

from pipitlink.controller.voter_changes import VoterChanges
from pipitlink.replicated_log.placement_group import PlacementGroup, majority
from pipitlink.settings import Settings
from pipitlink.wire.membership_pb2 import Member

SIZES = (3, 4, 5)


def _subsets(nodes):
    return [set(combination) for size in range(len(nodes) + 1) for combination in combinations(nodes, size)]


def changes_of_size(size: int) -> list[PlacementGroup]:
    """Returns one change of each kind for a placement group of this size: replacement, growth and shrinkage."""
    nodes = tuple("abcde"[:size])
    return [
        PlacementGroup(0, 2, nodes, joining="j", leaving=nodes[-1]),
        PlacementGroup(0, 2, nodes, joining="j"),
        PlacementGroup(0, 2, nodes, leaving=nodes[-1]),
    ]


def lost_appends(group: PlacementGroup) -> list[str]:
    """Returns the sets of holders whose append is committed, but not on a majority once the change has ended.

    An append from before the change is on a majority of the old set; one made during the change is on a majority of
    each set. Transfer targets copy what a majority of the old set has.
    """
    violations = []
    after = PlacementGroup(0, 3, group.next_nodes)
    for holders in _subsets(group.all_nodes):
        is_before_change = majority(holders, group.storage_nodes) and holders <= set(group.storage_nodes)
        if is_before_change and not after.is_quorum(holders | set(group.transfer_targets)):
            violations.append(f"{sorted(holders)} before {group}")
        if group.is_quorum(holders) and not after.is_quorum(holders):
            violations.append(f"{sorted(holders)} during {group}")
    return violations


def disjoint_quorums(group: PlacementGroup) -> list[str]:
    """Returns pairs of quorums without a common member: one during the change, the other before or after it."""
    phases = [PlacementGroup(0, 1, group.storage_nodes), group], [group, PlacementGroup(0, 3, group.next_nodes)]
    return [
        f"{sorted(first_quorum)} and {sorted(second_quorum)} in {group}"
        for first, second in phases
        for first_quorum in _subsets(group.all_nodes)
        for second_quorum in _subsets(group.all_nodes)
        if first.is_quorum(first_quorum) and second.is_quorum(second_quorum) and not first_quorum & second_quorum
    ]


class PlacementChanges(unittest.TestCase):
    def test_no_change_loses_a_committed_append_or_allows_disjoint_quorums(self):
        for size in SIZES:
            for group in changes_of_size(size):
                self.assertEqual(lost_appends(group) + disjoint_quorums(group), [])

    def test_a_removed_replica_whose_data_is_not_copied_is_detected(self):
        with mock.patch.object(PlacementGroup, "transfer_targets", ()):
            found = [
                violation for size in SIZES for group in changes_of_size(size) for violation in lost_appends(group)
            ]
        self.assertTrue(found)

    def test_quorums_of_only_the_new_or_the_old_set_are_detected(self):
        with mock.patch.object(PlacementGroup, "quorum_sets", property(lambda self: (self.next_nodes,))):
            found = [
                violation for size in (3, 5) for group in changes_of_size(size) for violation in disjoint_quorums(group)
            ]
        self.assertFalse([text for text in found if "leaving=''" in text])
        lost = []
        with mock.patch.object(PlacementGroup, "quorum_sets", property(lambda self: (self.storage_nodes,))):
            lost = [
                violation
                for size in SIZES
                for group in changes_of_size(size)
                for violation in lost_appends(group)
                if " during " in violation
            ]
        self.assertTrue(lost)

    def test_a_quorum_remains_during_each_change_if_any_one_member_is_lost(self):
        for group in (group for size in SIZES for group in changes_of_size(size) if len(group.next_nodes) >= 3):
            for lost in group.all_nodes:
                self.assertTrue(
                    group.is_quorum([node for node in group.all_nodes if node != lost]), f"{lost} of {group}"
                )


class _VoterChanges(VoterChanges):
    """Only the choice of the next voters, with given lost and standby controllers."""

    def __init__(self, losses, lost, standbys):
        self._lost_nodes, self._standby_nodes = set(lost), list(standbys)
        settings = Settings(machine_losses=losses)
        membership = SimpleNamespace(find=lambda node: Member(node=node, zone=node))
        self._ctx = SimpleNamespace(settings=settings, node="a", membership=membership)

    def _is_lost(self, node):
        return node in self._lost_nodes

    def _standbys(self, voters, live):
        return [standby for standby in self._standby_nodes if standby not in voters]


def voter_steps(losses, lost, standbys):
    """Returns the sets of voters from the first to the last, after each change."""
    voters = tuple("abcde"[: 2 * losses + 1])
    changes, sequence = _VoterChanges(losses, lost, standbys), [voters]
    while (voters := changes._next_voters(voters)) is not None:
        sequence.append(voters)
        assert len(sequence) < 20, sequence
    return sequence


def minority_steps(losses, remove_first=True) -> list[str]:
    """Returns the steps at which the original live voters are no majority.

    At such a step, the additional loss of a standby would leave no quorum.
    """
    violations = []
    for size in range(1, losses + 1):
        for lost in combinations("bcde"[: 2 * losses], size):
            for standby_count in range(1, size + 1):
                for voters in voter_steps(losses, lost, "xy"[:standby_count]):
                    remaining = [voter for voter in voters if voter not in lost and voter not in "xy"]
                    if not majority(remaining, voters):
                        violations.append(f"{lost} lost: {remaining} of {voters}")
    return violations


def _add_standby_first(self, voters):
    """The former rule: a standby is added before the lost voter is removed."""
    lost = [voter for voter in voters if self._is_lost(voter)]
    live = [voter for voter in voters if voter not in lost]
    if len(voters) > self._ctx.settings.replica_count:
        return self._remove_voter(voters, live, lost[0])
    standbys = self._standbys(voters, live)
    return self._add_voter(voters, live, standbys[0]) if lost and standbys else None


class VoterSteps(unittest.TestCase):
    def test_the_original_live_voters_are_a_majority_at_each_step(self):
        for losses in (1, 2):
            self.assertEqual(minority_steps(losses), [])

    def test_adding_a_standby_before_removing_the_lost_voter_may_lose_the_quorum(self):
        with mock.patch.object(VoterChanges, "_next_voters", _add_standby_first):
            self.assertTrue(minority_steps(1) and minority_steps(2))

    def test_all_lost_voters_are_replaced_by_standbys(self):
        for losses in (1, 2):
            final_voters = voter_steps(losses, "bcde"[:losses], "xy"[:losses])[-1]
            self.assertEqual(len(final_voters), 2 * losses + 1)
            self.assertFalse(set(final_voters) & set("bcde"[:losses]))

    def test_each_step_adds_or_removes_one_voter(self):
        for losses in (1, 2):
            steps = voter_steps(losses, "bcde"[:losses], "xy"[:losses])
            self.assertTrue(
                all(len(set(before) ^ set(after)) == 1 for before, after in zip(steps, steps[1:], strict=False)), steps
            )
