"""A leaseholder whose epoch has passed must not gather a majority over a move from what it was told before it."""

import unittest

from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Command, PlacementGroupRow
from pipitlink.wire.cluster_pb2 import Placement as PlacementRow
from testbed.simulator.simulation import Simulation

from .model.recorder import Recorder
from .test_model_conformance import IN_EFFECT

LOG = "results/x"


class StaleLeaseholder(unittest.TestCase):
    def run_seed(self, seed: int) -> list[str]:
        """The first leaseholder reaches one old storage node, which then ends, and the one that joins.

        Another has taken over by the rest of the old set, and its append is acknowledged before the move.
        """
        simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=2, placement_groups=1)
        recorder = Recorder(simulation)
        try:
            with recorder.recording():
                self.play(simulation)
            return recorder.found(IN_EFFECT)
        finally:
            simulation.end()

    def play(self, simulation: Simulation):
        simulation.start()
        simulation.ready()
        simulation.run(6)
        first, second = simulation.role("gateway")
        group = simulation.leader().part.consensus.cluster_state.placement_groups[0]
        nodes = {a.node: a for a in simulation.role("storage")}
        stays, ends, leaves = (nodes[n] for n in group.storage_nodes)
        joins = next(a for n, a in nodes.items() if n not in group.storage_nodes)
        stale = simulation.do(first.ctx.replicated_log.acquire(LOG))
        simulation.run(0.7)
        simulation.cut([first.name], [stays.name, leaves.name])
        spawn(stale.append([b"stale"])).addErrback(lambda f: None)
        simulation.run(0.03)
        ends.kill()
        simulation.cut([joins.name], [stays.name, leaves.name])
        newer = simulation.do(second.ctx.replicated_log.acquire(LOG, first.node))
        simulation.do(newer.append([b"acknowledged"]))
        row = PlacementGroupRow(
            number=0,
            sequence=group.sequence + 1,
            storage_nodes=group.storage_nodes,
            joining=joins.node,
            leaving=leaves.node,
        )
        simulation.do(
            simulation.leader().part.log_replication.propose(Command(placement=PlacementRow(placement_groups=[row])))
        )
        until = simulation.clock.seconds() + 4
        while simulation.clock.seconds() < until:
            simulation.run(0.05)
            progress = stale.progress.get(joins.node)
            if progress is not None and progress.tail_epoch == stale.epoch:
                simulation.cuts = {c for c in simulation.cuts if joins.name not in c}

    def test_it_acknowledges_nothing_after_the_move(self):
        for seed in (1, 3, 4):
            with self.subTest(seed=seed):
                self.assertEqual(self.run_seed(seed), [])
