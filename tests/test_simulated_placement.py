"""Placement groups move off lost and retired storage nodes, and nothing acknowledged is lost on the way."""

import unittest

from pipitlink.controller.placement_planner import replicas_per_node
from pipitlink.disk import decode_frames
from pipitlink.errors import ApiError, PipitlinkError
from pipitlink.timers import ms
from pipitlink.wire.cluster_pb2 import Command, StorageNodeEdit
from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Simulation


class _Log:
    def __init__(self, simulation, log):
        self.simulation, self.log = simulation, log
        self.acked: dict[int, bytes] = {}
        self.over = False

    async def write(self, simulated_node):
        n = 0
        ctx = simulated_node.ctx
        while not self.over:
            try:
                h = await ctx.replicated_log.acquire(self.log)
                while not self.over:
                    n += 1
                    body = f"{self.log}/{n}".encode()
                    self.acked[await h.append([body])] = body
                    await ctx.timers.sleep(ms(40))
            except PipitlinkError:
                await ctx.timers.sleep(ms(300))
        for h in list(ctx.replicated_log.leaseholders.values()):
            if h.log == self.log:
                await ctx.replicated_log.release([h])


class PlacementGroups(unittest.TestCase):
    def simulation(self, seed, **more):
        simulation = Simulation(seed, controllers=3, gateways=3, placement_groups=4, **more)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        logs = [_Log(simulation, f"results/{n}") for n in range(4)]
        for n, log in enumerate(logs):
            simulation.role("gateway")[n % 3].ctx.run_in_background(
                log.write(simulation.role("gateway")[n % 3]), "write"
            )
        return simulation, logs

    def check(self, simulation, logs):
        for log in logs:
            log.over = True
        simulation.run(4)
        for log in logs:
            self.assertGreater(len(log.acked), 20)
            h = simulation.do(simulation.role("gateway")[0].ctx.replicated_log.acquire(log.log), 30)
            found = {at: body for at, body, _ in decode_frames(bytes(h.data))}
            for at, body in log.acked.items():
                self.assertEqual(found.get(at), body, f"seed {simulation.seed} {log.log}")

    def placed(self, simulation, without):
        leader = simulation.leader()
        if leader is None:
            return False
        rows = leader.part.consensus.cluster_state.placement_groups.values()
        return all(not s.joining and without not in s.storage_nodes and len(s.storage_nodes) == 3 for s in rows)

    def test_two_losses_in_turn_with_repair_between_lose_nothing(self):
        for seed in seeds(3):
            with self.subTest(seed=seed):
                simulation, logs = self.simulation(seed, storage_nodes=5)
                for lost in simulation.rng.sample(simulation.role("storage"), 2):
                    simulation.run(2)
                    node = lost.node
                    lost.kill(power=True)
                    lost.wipe()
                    simulation.until(lambda: self.placed(simulation, node), 40, "the placement groups have moved")
                self.check(simulation, logs)

    def test_an_empty_storage_node_in_place_of_a_lost_one_takes_its_placement_groups(self):
        simulation, logs = self.simulation(7, storage_nodes=4)
        simulation.run(2)
        lost = simulation.role("storage")[1]
        node = lost.node
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        simulation.until(
            lambda: self.placed(simulation, node), 6, "the placement groups have moved, and nothing was waited for"
        )
        simulation.until(
            lambda: simulation.leader() and node not in simulation.leader().part.consensus.cluster_state.storage_nodes,
            10,
            "it is off the cluster state",
        )
        self.check(simulation, logs)

    def test_a_retired_storage_node_gives_up_its_placement_groups_and_then_may_be_switched_off(self):
        simulation, logs = self.simulation(8, storage_nodes=4)
        gone = simulation.role("storage")[2]
        part = simulation.leader().part
        part.retirement.check_capacity(part.consensus.cluster_state, gone.node)
        simulation.do(
            part.state_delivery.edit(Command(storage_node=StorageNodeEdit(storage_node=gone.node, status="retiring")))
        )
        simulation.until(
            lambda: (
                simulation.leader()
                and simulation.leader().part.consensus.cluster_state.storage_nodes.get(gone.node) == "retired"
            ),
            60,
            "it may be switched off",
        )
        with self.assertRaises(ApiError) as no:
            simulation.leader().part.retirement.check_capacity(
                simulation.leader().part.consensus.cluster_state, simulation.role("storage")[0].node
            )
        self.assertEqual(no.exception.code, "too_few_copies")
        gone.kill()
        simulation.run(3)
        self.check(simulation, logs)

    def test_a_new_storage_node_takes_a_fair_share(self):
        simulation, logs = self.simulation(9, storage_nodes=3)
        new = simulation.add("storage", "storage7", "zone-d", 1700)
        new.start()
        simulation.until(
            lambda: (
                simulation.leader()
                and replicas_per_node(simulation.leader().part.consensus.cluster_state)[new.node] >= 2
            ),
            60,
            "it has placement groups",
        )
        simulation.run(5)
        self.check(simulation, logs)
