"""At each step of a change of voters or placement groups, one member loses its disk, before or after the commit."""

import unittest
import unittest.mock

import attrs

from pipitlink.controller.log_replication import LogReplication
from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms, secs, spawn

from .loss_simulation import LossSimulation

MAX_STEPS = 3
SMALL_CLUSTER = {"logs": 30, "writers": 4, "storage_nodes": 5, "controllers": 5}
REPAIR_TIMEOUT_S = 8.0


class _DiskLoss:
    """Destroys a member's disk at the n-th proposal of one kind, either when it is made or once it is committed."""

    def __init__(self, simulation, kind, step, committed, choose_node):
        self._simulation, self._kind, self._steps_left, self._choose_node = simulation, kind, step, choose_node
        self.lost_node = None
        self.armed = False
        disk_loss, original_propose = self, LogReplication.propose

        async def propose(replication, command):
            lost = disk_loss._node_lost_at(command)
            if lost and not committed:
                simulation.clock.callLater(0, disk_loss._lose, lost)
            outcome = await original_propose(replication, command)
            if lost and committed:
                disk_loss._lose(lost)
            return outcome

        self.patch = unittest.mock.patch.object(LogReplication, "propose", propose)

    def _node_lost_at(self, command) -> str:
        """Returns the node to lose if this is the chosen step, or "". Proposals without such a node do not count."""
        if not self.armed or command.WhichOneof("of") != self._kind:
            return ""
        node = self._choose_node(self._simulation, command)
        self._steps_left -= bool(node)
        return node if self._steps_left == 0 and self.lost_node is None else ""

    def _lose(self, node):
        self.lost_node = next(
            (member for member in self._simulation.simulated_nodes.values() if member.alive and member.node == node),
            None,
        )
        if self.lost_node is not None:
            self._simulation.clock.callLater(0, self._wipe)

    def _wipe(self):
        self.lost_node.kill(power=True)
        self.lost_node.wipe()
        self._simulation.clock.callLater(1, self.lost_node.start)


def _placement_rows(command):
    return command.placement.placement_groups


def _staying(simulation, command):
    row = _placement_rows(command)[0]
    return next(node for node in row.storage_nodes if node not in (row.leaving, row.joining))


STORAGE_CHOICES = {
    "joining": lambda simulation, command: (
        _placement_rows(command)[0].joining or _placement_rows(command)[0].storage_nodes[-1]
    ),
    "leaving": lambda simulation, command: (
        _placement_rows(command)[0].leaving or _placement_rows(command)[0].storage_nodes[0]
    ),
    "staying": _staying,
}


def _changed(simulation, command, removed: bool) -> str:
    """Returns the controller that this change adds or removes, or "" if there is none."""
    before = set(simulation.leader().part.consensus.voters()) if simulation.leader() else set()
    after = set(command.controllers.voters)
    return next(iter(sorted(before - after if removed else after - before)), "")


VOTER_CHOICES = {
    "joining": lambda simulation, command: _changed(simulation, command, removed=False),
    "leaving": lambda simulation, command: _changed(simulation, command, removed=True),
    "leader": lambda simulation, command: simulation.leader().node if simulation.leader() else "",
}


class LossAtEachStep(unittest.TestCase):
    def run_step(self, seed, kind, step, committed, choose_node, start_change) -> bool:
        """Runs the change with a disk loss at one step; returns False if the change has fewer steps."""
        simulation = LossSimulation(seed, **SMALL_CLUSTER)
        self.addCleanup(simulation.end)
        disk_loss = _DiskLoss(simulation, kind, step, committed, choose_node)
        with disk_loss.patch:
            simulation.start_workload()
            disk_loss.armed = True
            start_change(simulation)
            simulation.run(4)
        if disk_loss.lost_node is None:
            return False
        simulation.wait_until_repaired(REPAIR_TIMEOUT_S)
        edits, appends = len(simulation.edits), sum(len(records) for records in simulation.acknowledged.values())
        simulation.run(2)
        self.assertGreater(len(simulation.edits), edits)
        self.assertGreater(sum(len(records) for records in simulation.acknowledged.values()), appends)
        self.assertEqual(simulation.missing_acknowledged(), [])
        return True

    def run_all_steps(self, kind, choices, start_change):
        loss_count = 0
        for who, choose_node in choices.items():
            for committed in (False, True):
                for step in range(1, MAX_STEPS + 1):
                    with self.subTest(lost=who, step=step, committed=committed):
                        if not self.run_step(step, kind, step, committed, choose_node, start_change):
                            break
                        loss_count += 1
        self.assertGreaterEqual(loss_count, 2 * len(choices))

    async def retire(self, simulation, node):
        timers = simulation.timers()
        for _ in range(20):
            try:
                return await timers.with_timeout(secs(2), simulation.leader().part.retirement.retire(node, "retire"))
            except (PipitlinkError, AttributeError):
                await timers.sleep(ms(200))

    def test_retirement_of_a_storage_node(self):
        def start_change(simulation):
            spawn(self.retire(simulation, simulation.role("storage")[2].node))

        self.run_all_steps("placement", STORAGE_CHOICES, start_change)

    def test_addition_of_a_storage_node(self):
        self.run_all_steps(
            "placement",
            STORAGE_CHOICES,
            lambda simulation: simulation.add("storage", "storage9", "zone-a", 1990).start(),
        )

    def test_increase_of_the_tolerated_losses(self):
        def start_change(simulation):
            simulation.losses = simulation.settings["machine_losses"] = 2
            for member in simulation.role("controller"):
                member.ctx.settings = attrs.evolve(member.ctx.settings, machine_losses=2)

        self.run_all_steps("controllers", VOTER_CHOICES, start_change)

    def test_a_replaced_voter_whose_machine_loses_its_disk_again(self):
        def start_change(simulation):
            lost = next(
                member
                for member in simulation.role("controller")
                if member.node in simulation.leader().part.consensus.voters() and member != simulation.leader()
            )
            lost.kill(power=True)
            lost.wipe()
            simulation.run(0.3)
            lost.start()

        self.run_all_steps("controllers", {"joining": VOTER_CHOICES["joining"]}, start_change)

    def test_a_storage_node_that_loses_its_disk_twice(self):
        def start_change(simulation):
            lost = simulation.role("storage")[1]
            lost.kill(power=True)
            lost.wipe()
            simulation.run(0.3)
            lost.start()
            self.lost_again = lost

        self.run_all_steps("placement", {"the same": lambda simulation, command: self.lost_again.node}, start_change)
