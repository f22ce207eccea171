"""At each step of a change of voters or placement groups one member is lost with its disk, before and after the step
is agreed.
"""

import unittest
import unittest.mock

import attrs
from pipitlink.controller.log_replication import LogReplication

from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms, secs, spawn

from .loss_parts import LossStage

MOST_STEPS = 3
SMALL = {"logs": 30, "writers": 4, "storage_nodes": 5, "controllers": 5}
WHOLE_LIMIT = 8.0


class _Strike:
    """Takes a member's disk at the n-th proposal of one kind, as it is made or once it is agreed."""

    def __init__(self, stage, kind, step, agreed, pick):
        self._stage, self._kind, self._left, self._pick = stage, kind, step, pick
        self.victim = None
        self.armed = False
        strike, plain = self, LogReplication.propose

        async def propose(node, command):
            lost = strike._lost_at(command)
            if lost and not agreed:
                stage.clock.callLater(0, strike._hit, lost)
            out = await plain(node, command)
            if lost and agreed:
                strike._hit(lost)
            return out

        self.patched = unittest.mock.patch.object(LogReplication, "propose", propose)

    def _lost_at(self, command) -> str:
        """Who is lost at this step, if it is the one. A step at which nobody has the part in question is none."""
        if not self.armed or command.WhichOneof("of") != self._kind:
            return ""
        node = self._pick(self._stage, command)
        self._left -= bool(node)
        return node if self._left == 0 and self.victim is None else ""

    def _hit(self, node):
        self.victim = next((a for a in self._stage.actors.values() if a.alive and a.node == node), None)
        if self.victim is not None:
            self._stage.clock.callLater(0, self._wipe)

    def _wipe(self):
        self.victim.kill(power=True)
        self.victim.wipe()
        self._stage.clock.callLater(1, self.victim.start)


def _rows(command):
    return command.placement.placement_groups


def _staying(stage, command):
    row = _rows(command)[0]
    return next(d for d in row.storage_nodes if d not in (row.leaving, row.joining))


STORAGE = {
    "joining": lambda stage, command: _rows(command)[0].joining or _rows(command)[0].storage_nodes[-1],
    "leaving": lambda stage, command: _rows(command)[0].leaving or _rows(command)[0].storage_nodes[0],
    "staying": _staying,
}


def _changed(stage, command, gone: bool) -> str:
    """The controller that this change adds or takes off, or none."""
    before = set(stage.leader().part.consensus.voters()) if stage.leader() else set()
    after = set(command.controllers.voters)
    return next(iter(sorted(before - after if gone else after - before)), "")


VOTERS = {
    "joining": lambda stage, command: _changed(stage, command, gone=False),
    "leaving": lambda stage, command: _changed(stage, command, gone=True),
    "leader": lambda stage, command: stage.leader().node if stage.leader() else "",
}


class EachStep(unittest.TestCase):
    def play(self, seed, kind, step, agreed, pick, begin) -> bool:
        """False where the change had fewer steps."""
        stage = LossStage(seed, **SMALL)
        self.addCleanup(stage.end)
        strike = _Strike(stage, kind, step, agreed, pick)
        with strike.patched:
            stage.begin()
            strike.armed = True
            begin(stage)
            stage.run(4)
        if strike.victim is None:
            return False
        stage.wait_whole(WHOLE_LIMIT)
        edits, appends = len(stage.edits), sum(len(a) for a in stage.acked.values())
        stage.run(2)
        self.assertGreater(len(stage.edits), edits)
        self.assertGreater(sum(len(a) for a in stage.acked.values()), appends)
        self.assertEqual(stage.wrong(), [])
        return True

    def sweep(self, kind, picks, begin):
        struck = 0
        for who, pick in picks.items():
            for agreed in (False, True):
                for step in range(1, MOST_STEPS + 1):
                    with self.subTest(lost=who, step=step, agreed=agreed):
                        if not self.play(step, kind, step, agreed, pick, begin):
                            break
                        struck += 1
        self.assertGreaterEqual(struck, 2 * len(picks))

    async def retire(self, stage, node):
        timers = stage.timers()
        for _ in range(20):
            try:
                return await timers.with_timeout(secs(2), stage.leader().part.retirement.retire(node, "retire"))
            except (PipitlinkError, AttributeError):
                await timers.sleep(ms(200))

    def test_a_retirement(self):
        def begin(stage):
            spawn(self.retire(stage, stage.role("storage")[2].node))

        self.sweep("placement", STORAGE, begin)

    def test_a_new_storage_node(self):
        self.sweep("placement", STORAGE, lambda stage: stage.add("storage", "storage9", "zone-a", 1990).start())

    def test_more_losses_to_bear(self):
        def begin(stage):
            stage.losses = stage.settings["machine_losses"] = 2
            for a in stage.role("controller"):
                a.ctx.settings = attrs.evolve(a.ctx.settings, machine_losses=2)

        self.sweep("controllers", VOTERS, begin)

    def test_a_replaced_voter_whose_machine_is_lost_again(self):
        def begin(stage):
            lost = next(
                a
                for a in stage.role("controller")
                if a.node in stage.leader().part.consensus.voters() and a != stage.leader()
            )
            lost.kill(power=True)
            lost.wipe()
            stage.run(0.3)
            lost.start()

        self.sweep("controllers", {"joining": VOTERS["joining"]}, begin)

    def test_a_storage_node_that_lost_its_disk_and_is_lost_again(self):
        def begin(stage):
            lost = stage.role("storage")[1]
            lost.kill(power=True)
            lost.wipe()
            stage.run(0.3)
            lost.start()
            self.again = lost

        self.sweep("placement", {"the same": lambda stage, command: self.again.node}, begin)
