"""Guards against a second loss, each taken out in turn: the loss is then found, and none with the guard in place."""

import unittest
import unittest.mock
from collections import Counter

from pipitlink.controller.moves import Moves
from pipitlink.controller.voters import Voters
from pipitlink.membership import Membership
from pipitlink.replicated_log.placement_group import PlacementGroup
from pipitlink.settings import Settings
from pipitlink.storage import copying
from pipitlink.storage.copying import Copying

from .loss_parts import LossStage

GROWN = {"losses": 2, "storage_nodes": 14, "controllers": 8}
IN_TIME = 3.0


def _found(test, bring, **shape) -> list[str]:
    """What goes wrong in a scene: what was lost, or what did not go on."""
    stage = LossStage(3, **{"logs": 60, **shape})
    test.addCleanup(stage.end)
    try:
        stage.begin()
        bring(stage)
        edits, appends = len(stage.edits), {n: len(a) for n, a in stage.acked.items() if n.startswith("open")}
        stage.run(4)
        stuck = [n for n, acked in appends.items() if len(stage.acked[n]) == acked]
        return stuck + ["no edits"] * (len(stage.edits) == edits) or stage.wrong()
    except AssertionError as e:
        return [str(e)]


def _lose(stage, actors, back: bool):
    for a in actors:
        a.kill(power=True)
        a.wipe()
    stage.run(1)
    for a in actors if back else ():
        a.start()


def two_copies_wiped(stage):
    """Two storage nodes that keep one placement group lose their disks, and do not come back for a while."""
    group = next(iter(stage.leader().part.cluster_state.placement_groups.values()))
    _lose(stage, [a for a in stage.role("storage") if a.node in group.storage_nodes[:2]], back=False)


def two_voters_wiped(stage):
    voters = stage.leader().part.cluster_state.voters
    _lose(stage, [a for a in stage.role("controller") if a.node in voters][:2], back=True)


def zone_lost(stage):
    """The zone that has the most of the voters and of some placement group."""
    part = stage.leader().part
    held = Counter(
        max(Counter(part._ctx.membership.find(d).zone for d in s).items(), key=lambda z: z[1])[0]
        for s in (part.cluster_state.voters, *(g.storage_nodes for g in part.cluster_state.placement_groups.values()))
    )
    zone = held.most_common(1)[0][0]
    for a in stage.role("storage") + stage.role("controller"):
        if a.zone == zone:
            a.kill(power=True)


def retired_and_wiped(stage):
    """A storage node is retired and taken away; then one of those that took its copies over loses its disk."""
    gone, other = stage.role("storage")[2], stage.role("storage")[0]
    stage.do(stage.leader().part.retire(gone.node, "retire"), 10)
    stage.until(
        lambda: stage.leader() and stage.leader().part.cluster_state.storage_nodes.get(gone.node) == "retired",
        8,
        "it is retired",
    )
    _lose(stage, [gone], back=False)
    _lose(stage, [other], back=True)


def replaced_in_time(stage):
    stage.lose(stage.role("storage")[1], "wiped")
    stage.wait_whole(IN_TIME)


def successor_in_time(stage):
    stage.lose(stage.role("storage")[1], "planned")
    stage.wait_whole(IN_TIME)


def successor_of_a_silent_one_in_time(stage):
    lost = stage.role("storage")[1]
    lost.freeze()
    stage.run(3)
    stage.successor(lost)
    stage.wait_whole(IN_TIME)


def current_in_time(stage):
    """Logs end while a storage node is away, so that no leaseholder is left to make up for it."""
    away = stage.role("storage")[1]
    away.kill()
    stage.run(0.2)
    stage.write_closed(30)
    away.start()
    stage.wait_whole(IN_TIME / 2)


def _no_zones(self, nodes) -> Counter:
    return Counter()


class _NoSpread:
    @staticmethod
    def out():
        return (
            unittest.mock.patch.object(Voters, "_voter_zones", _no_zones),
            unittest.mock.patch.object(Moves, "_zones", _no_zones),
            unittest.mock.patch.object(Moves, "_spreading_out", lambda self, held, serving: []),
            unittest.mock.patch.object(Voters, "_spreads", lambda self, live, standby: False),
        )


def _out(owner, part, instead):
    return (unittest.mock.patch.object(owner, part, instead),)


THREE = property(lambda self: 3)
_NO_SUCCESSOR = _out(Moves, "_successor_met", lambda self, storage_node: False)
GUARDS = {
    "copies follow from the losses to bear": (two_copies_wiped, GROWN, _out(Settings, "copies", THREE)),
    "voters follow from the losses to bear": (two_voters_wiped, GROWN, _out(Settings, "copies", THREE)),
    "zones share voters and copies": (zone_lost, {**GROWN, "zones": 3}, _NoSpread.out()),
    "a joining storage node copies what a majority shows": (
        retired_and_wiped,
        {},
        _out(Copying, "_copy_placement_group", lambda self, group, joining: _whole_at_once()),
    ),
    "a storage node that lost its disk is replaced at once": (
        replaced_in_time,
        {},
        _out(Membership, "replaced", lambda self, node, name="": False) + _NO_SUCCESSOR,
    ),
    "a successor with another name is taken for one": (
        successor_in_time,
        {},
        _NO_SUCCESSOR,
    ),
    "a storage node that was away compares at once": (
        current_in_time,
        {},
        _out(Copying, "_look_whether_away", lambda self: None),
    ),
    "a dead member is not waited for": (
        successor_of_a_silent_one_in_time,
        {},
        _out(copying, "majority", lambda nodes, of: len(nodes) > len(of)),
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
        self.assertFalse(group.agree(["a", "d"]))
        self.assertFalse(group.agree(["a", "c"]))
        self.assertTrue(group.agree(["a", "b"]))
