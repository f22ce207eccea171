"""Placement groups move off lost and retired storage nodes without losing acknowledged records."""

import unittest

from pipitlink.controller.placement_planner import replicas_per_node
from pipitlink.disk import decode_frames
from pipitlink.errors import ApiError, PipitlinkError
from pipitlink.timers import ms
from pipitlink.wire.cluster_pb2 import Command, StorageNodeEdit
from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Simulation


class _LogWriter:
    def __init__(self, simulation, log):
        self.simulation, self.log = simulation, log
        self.acknowledged: dict[int, bytes] = {}
        self.stopped = False

    async def write(self, simulated_node):
        number = 0
        ctx = simulated_node.ctx
        while not self.stopped:
            try:
                leaseholder = await ctx.replicated_log.acquire(self.log)
                while not self.stopped:
                    number += 1
                    body = f"{self.log}/{number}".encode()
                    self.acknowledged[await leaseholder.append([body])] = body
                    await ctx.timers.sleep(ms(40))
            except PipitlinkError:
                await ctx.timers.sleep(ms(300))
        for leaseholder in list(ctx.replicated_log.leaseholders.values()):
            if leaseholder.log == self.log:
                await ctx.replicated_log.release([leaseholder])


class PlacementGroups(unittest.TestCase):
    def simulation(self, seed, **options):
        simulation = Simulation(seed, controllers=3, gateways=3, placement_groups=4, **options)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        logs = [_LogWriter(simulation, f"results/{number}") for number in range(4)]
        for number, log in enumerate(logs):
            simulation.role("gateway")[number % 3].ctx.run_in_background(
                log.write(simulation.role("gateway")[number % 3]), "write"
            )
        return simulation, logs

    def check(self, simulation, logs):
        for log in logs:
            log.stopped = True
        simulation.run(4)
        for log in logs:
            self.assertGreater(len(log.acknowledged), 20)
            leaseholder = simulation.do(simulation.role("gateway")[0].ctx.replicated_log.acquire(log.log), 30)
            found = {position: body for position, body, _ in decode_frames(bytes(leaseholder.data))}
            for position, body in log.acknowledged.items():
                self.assertEqual(found.get(position), body, f"seed {simulation.seed} {log.log}")

    def is_moved_off(self, simulation, without):
        leader = simulation.leader()
        if leader is None:
            return False
        rows = leader.part.consensus.cluster_state.placement_groups.values()
        return all(not row.joining and without not in row.storage_nodes and len(row.storage_nodes) == 3 for row in rows)

    def test_two_lost_disks_with_a_repair_in_between_lose_no_record(self):
        for seed in seeds(3):
            with self.subTest(seed=seed):
                simulation, logs = self.simulation(seed, storage_nodes=5)
                for lost in simulation.rng.sample(simulation.role("storage"), 2):
                    simulation.run(2)
                    node = lost.node
                    lost.kill(power=True)
                    lost.wipe()
                    simulation.until(lambda: self.is_moved_off(simulation, node), 40, "the placement groups have moved")
                self.check(simulation, logs)

    def test_a_wiped_storage_node_takes_over_the_placement_groups_of_its_former_id(self):
        simulation, logs = self.simulation(7, storage_nodes=4)
        simulation.run(2)
        lost = simulation.role("storage")[1]
        node = lost.node
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        simulation.until(
            lambda: self.is_moved_off(simulation, node),
            6,
            "the placement groups have moved without waiting for the lost node",
        )
        simulation.until(
            lambda: simulation.leader() and node not in simulation.leader().part.consensus.cluster_state.storage_nodes,
            10,
            "the lost node is removed from the cluster state",
        )
        self.check(simulation, logs)

    def test_a_retired_storage_node_is_relieved_of_its_placement_groups_and_can_be_shut_down(self):
        simulation, logs = self.simulation(8, storage_nodes=4)
        retired = simulation.role("storage")[2]
        part = simulation.leader().part
        part.retirement.check_capacity(part.consensus.cluster_state, retired.node)
        simulation.do(
            part.state_delivery.edit(
                Command(storage_node=StorageNodeEdit(storage_node=retired.node, status="retiring"))
            )
        )
        simulation.until(
            lambda: (
                simulation.leader()
                and simulation.leader().part.consensus.cluster_state.storage_nodes.get(retired.node) == "retired"
            ),
            60,
            "the storage node is retired",
        )
        with self.assertRaises(ApiError) as caught:
            simulation.leader().part.retirement.check_capacity(
                simulation.leader().part.consensus.cluster_state, simulation.role("storage")[0].node
            )
        self.assertEqual(caught.exception.code, "too_few_copies")
        retired.kill()
        simulation.run(3)
        self.check(simulation, logs)

    def test_a_new_storage_node_gets_placement_groups(self):
        simulation, logs = self.simulation(9, storage_nodes=3)
        new_node = simulation.add("storage", "storage7", "zone-d", 1700)
        new_node.start()
        simulation.until(
            lambda: (
                simulation.leader()
                and replicas_per_node(simulation.leader().part.consensus.cluster_state)[new_node.node] >= 2
            ),
            60,
            "the new storage node has placement groups",
        )
        simulation.run(5)
        self.check(simulation, logs)
