"""Changes of members, explored in full at small sizes: a majority after each step has what one had before it."""

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
    return [set(c) for n in range(len(nodes) + 1) for c in combinations(nodes, n)]


def moves(size: int) -> list[PlacementGroup]:
    """Every kind of move of a placement group of this size."""
    nodes = tuple("abcde"[:size])
    return [
        PlacementGroup(0, 2, nodes, joining="j", leaving=nodes[-1]),
        PlacementGroup(0, 2, nodes, joining="j"),
        PlacementGroup(0, 2, nodes, leaving=nodes[-1]),
    ]


def lost_by(group: PlacementGroup) -> list[str]:
    """Appends that a majority had and that are on no majority once the move has ended.

    Before the move an append is on a majority of the old set; during it, on one of each set. Those that copy take what
    a majority of the old set shows them.
    """
    out = []
    after = PlacementGroup(0, 3, group.next_nodes)
    for held in _subsets(group.all_nodes):
        before_move = majority(held, group.storage_nodes) and held <= set(group.storage_nodes)
        if before_move and not after.is_quorum(held | set(group.transfer_targets)):
            out.append(f"{sorted(held)} before {group}")
        if group.is_quorum(held) and not after.is_quorum(held):
            out.append(f"{sorted(held)} during {group}")
    return out


def disjoint_quorums(group: PlacementGroup) -> list[str]:
    """Two majorities, one that goes by the move and one by the sets before or after it, without a common member."""
    sides = [PlacementGroup(0, 1, group.storage_nodes), group], [group, PlacementGroup(0, 3, group.next_nodes)]
    return [
        f"{sorted(one)} and {sorted(other)} in {group}"
        for first, second in sides
        for one in _subsets(group.all_nodes)
        for other in _subsets(group.all_nodes)
        if first.is_quorum(one) and second.is_quorum(other) and not one & other
    ]


class Moves(unittest.TestCase):
    def test_no_move_leaves_an_append_without_a_majority_or_quorums_that_do_not_meet(self):
        for size in SIZES:
            for group in moves(size):
                self.assertEqual(lost_by(group) + disjoint_quorums(group), [])

    def test_a_copy_that_leaves_unmade_up_for_is_found(self):
        with mock.patch.object(PlacementGroup, "transfer_targets", ()):
            found = [bad for size in SIZES for group in moves(size) for bad in lost_by(group)]
        self.assertTrue(found)

    def test_a_move_by_the_new_set_alone_is_found(self):
        with mock.patch.object(PlacementGroup, "quorum_sets", property(lambda self: (self.next_nodes,))):
            found = [bad for size in (3, 5) for group in moves(size) for bad in disjoint_quorums(group)]
        self.assertFalse([f for f in found if "leaving=''" in f])
        lost = []
        with mock.patch.object(PlacementGroup, "quorum_sets", property(lambda self: (self.storage_nodes,))):
            lost = [bad for size in SIZES for group in moves(size) for bad in lost_by(group) if " during " in bad]
        self.assertTrue(lost)

    def test_each_move_goes_on_with_any_one_of_its_members_lost(self):
        for group in (g for size in SIZES for g in moves(size) if len(g.next_nodes) >= 3):
            for lost in group.all_nodes:
                self.assertTrue(group.is_quorum([d for d in group.all_nodes if d != lost]), f"{lost} of {group}")


class _Leader(VoterChanges):
    """The choice of the next voters alone, at a leader that knows who is lost and who stands by."""

    def __init__(self, losses, lost, standbys):
        self._lost, self._spares = set(lost), list(standbys)
        settings = Settings(machine_losses=losses)
        membership = SimpleNamespace(find=lambda node: Member(node=node, zone=node))
        self._ctx = SimpleNamespace(settings=settings, node="a", membership=membership)

    def _is_lost(self, node):
        return node in self._lost

    def _standbys(self, voters, live):
        return [s for s in self._spares if s not in voters]


def steps(losses, lost, standbys):
    """The sets of voters from the first to the last, one change after the other."""
    voters = tuple("abcde"[: 2 * losses + 1])
    leader, out = _Leader(losses, lost, standbys), [voters]
    while (voters := leader._next_voters(voters)) is not None:
        out.append(voters)
        assert len(out) < 20, out
    return out


def stuck(losses, take_off_first=True) -> list[str]:
    """Steps at which the voters that were never lost are no majority, so that a standby lost as well stops all."""
    out = []
    for n in range(1, losses + 1):
        for lost in combinations("bcde"[: 2 * losses], n):
            for spares in range(1, n + 1):
                for voters in steps(losses, lost, "xy"[:spares]):
                    steady = [v for v in voters if v not in lost and v not in "xy"]
                    if not majority(steady, voters):
                        out.append(f"{lost} lost: {steady} of {voters}")
    return out


def _added_first(self, voters):
    """The rule as it was: a standby is added before the lost voter is taken off."""
    lost = [v for v in voters if self._is_lost(v)]
    live = [v for v in voters if v not in lost]
    if len(voters) > self._ctx.settings.replica_count:
        return self._remove_voter(voters, live, lost[0])
    standbys = self._standbys(voters, live)
    return self._add_voter(voters, live, standbys[0]) if lost and standbys else None


class VoterSteps(unittest.TestCase):
    def test_the_voters_that_were_never_lost_are_a_majority_at_each_step(self):
        for losses in (1, 2):
            self.assertEqual(stuck(losses), [])

    def test_a_standby_that_is_added_first_may_stop_all(self):
        with mock.patch.object(VoterChanges, "_next_voters", _added_first):
            self.assertTrue(stuck(1) and stuck(2))

    def test_all_places_are_filled_by_those_that_stand_by(self):
        for losses in (1, 2):
            last = steps(losses, "bcde"[:losses], "xy"[:losses])[-1]
            self.assertEqual(len(last), 2 * losses + 1)
            self.assertFalse(set(last) & set("bcde"[:losses]))

    def test_one_change_at_a_time(self):
        for losses in (1, 2):
            sets = steps(losses, "bcde"[:losses], "xy"[:losses])
            self.assertTrue(all(len(set(a) ^ set(b)) == 1 for a, b in zip(sets, sets[1:], strict=False)), sets)
