"""At each step of a change of voters or placement groups one member is lost with its disk, before and after the step
is agreed.
"""

import unittest
import unittest.mock

import attrs

from pipitlink.controller.log_replication import LogReplication
from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms, secs, spawn

from .loss_simulation import LossSimulation

MOST_STEPS = 3
SMALL = {"logs": 30, "writers": 4, "storage_nodes": 5, "controllers": 5}
WHOLE_LIMIT = 8.0


class _Strike:
    """Takes a member's disk at the n-th proposal of one kind, as it is made or once it is agreed."""

    def __init__(self, simulation, kind, step, agreed, pick):
        self._simulation, self._kind, self._left, self._pick = simulation, kind, step, pick
        self.victim = None
        self.armed = False
        strike, plain = self, LogReplication.propose

        async def propose(replication, command):
            lost = strike._lost_at(command)
            if lost and not agreed:
                simulation.clock.callLater(0, strike._hit, lost)
            out = await plain(replication, command)
            if lost and agreed:
                strike._hit(lost)
            return out

        self.patched = unittest.mock.patch.object(LogReplication, "propose", propose)

    def _lost_at(self, command) -> str:
        """Who is lost at this step, if it is the one. A step at which nobody has the part in question is none."""
        if not self.armed or command.WhichOneof("of") != self._kind:
            return ""
        node = self._pick(self._simulation, command)
        self._left -= bool(node)
        return node if self._left == 0 and self.victim is None else ""

    def _hit(self, node):
        self.victim = next((a for a in self._simulation.simulated_nodes.values() if a.alive and a.node == node), None)
        if self.victim is not None:
            self._simulation.clock.callLater(0, self._wipe)

    def _wipe(self):
        self.victim.kill(power=True)
        self.victim.wipe()
        self._simulation.clock.callLater(1, self.victim.start)


def _rows(command):
    return command.placement.placement_groups


def _staying(simulation, command):
    row = _rows(command)[0]
    return next(d for d in row.storage_nodes if d not in (row.leaving, row.joining))


STORAGE = {
    "joining": lambda simulation, command: _rows(command)[0].joining or _rows(command)[0].storage_nodes[-1],
    "leaving": lambda simulation, command: _rows(command)[0].leaving or _rows(command)[0].storage_nodes[0],
    "staying": _staying,
}


def _changed(simulation, command, gone: bool) -> str:
    """The controller that this change adds or takes off, or none."""
    before = set(simulation.leader().part.consensus.voters()) if simulation.leader() else set()
    after = set(command.controllers.voters)
    return next(iter(sorted(before - after if gone else after - before)), "")


VOTERS = {
    "joining": lambda simulation, command: _changed(simulation, command, gone=False),
    "leaving": lambda simulation, command: _changed(simulation, command, gone=True),
    "leader": lambda simulation, command: simulation.leader().node if simulation.leader() else "",
}


class EachStep(unittest.TestCase):
    def play(self, seed, kind, step, agreed, pick, begin) -> bool:
        """False where the change had fewer steps."""
        simulation = LossSimulation(seed, **SMALL)
        self.addCleanup(simulation.end)
        strike = _Strike(simulation, kind, step, agreed, pick)
        with strike.patched:
            simulation.begin()
            strike.armed = True
            begin(simulation)
            simulation.run(4)
        if strike.victim is None:
            return False
        simulation.wait_whole(WHOLE_LIMIT)
        edits, appends = len(simulation.edits), sum(len(a) for a in simulation.acked.values())
        simulation.run(2)
        self.assertGreater(len(simulation.edits), edits)
        self.assertGreater(sum(len(a) for a in simulation.acked.values()), appends)
        self.assertEqual(simulation.wrong(), [])
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

    async def retire(self, simulation, node):
        timers = simulation.timers()
        for _ in range(20):
            try:
                return await timers.with_timeout(secs(2), simulation.leader().part.retirement.retire(node, "retire"))
            except (PipitlinkError, AttributeError):
                await timers.sleep(ms(200))

    def test_a_retirement(self):
        def begin(simulation):
            spawn(self.retire(simulation, simulation.role("storage")[2].node))

        self.sweep("placement", STORAGE, begin)

    def test_a_new_storage_node(self):
        self.sweep(
            "placement", STORAGE, lambda simulation: simulation.add("storage", "storage9", "zone-a", 1990).start()
        )

    def test_more_losses_to_bear(self):
        def begin(simulation):
            simulation.losses = simulation.settings["machine_losses"] = 2
            for a in simulation.role("controller"):
                a.ctx.settings = attrs.evolve(a.ctx.settings, machine_losses=2)

        self.sweep("controllers", VOTERS, begin)

    def test_a_replaced_voter_whose_machine_is_lost_again(self):
        def begin(simulation):
            lost = next(
                a
                for a in simulation.role("controller")
                if a.node in simulation.leader().part.consensus.voters() and a != simulation.leader()
            )
            lost.kill(power=True)
            lost.wipe()
            simulation.run(0.3)
            lost.start()

        self.sweep("controllers", {"joining": VOTERS["joining"]}, begin)

    def test_a_storage_node_that_lost_its_disk_and_is_lost_again(self):
        def begin(simulation):
            lost = simulation.role("storage")[1]
            lost.kill(power=True)
            lost.wipe()
            simulation.run(0.3)
            lost.start()
            self.again = lost

        self.sweep("placement", {"the same": lambda simulation, command: self.again.node}, begin)
