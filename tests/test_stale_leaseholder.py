"""A stale leaseholder must not form a majority from responses of before and after a change of the placement group."""

import unittest

from pipitlink.timers import spawn
from testbed.simulator.simulation import Simulation

from .model.recorder import Recorder
from .placement_changes import start_replacing
from .test_model_conformance import IN_EFFECT_WITHIN_S

LOG = "results/x"


class StaleLeaseholder(unittest.TestCase):
    def run_seed(self, seed: int) -> list[str]:
        """Runs the scenario and returns the violated properties.

        The first leaseholder reaches one storage node of the old set, which then stops, and the joining one. Meanwhile
        another leaseholder takes over with the rest of the old set, and its append is acknowledged before the change.
        """
        simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=2, placement_groups=1)
        recorder = Recorder(simulation)
        try:
            with recorder.recording():
                self.run_scenario(simulation)
            return recorder.violations(IN_EFFECT_WITHIN_S)
        finally:
            simulation.end()

    def run_scenario(self, simulation: Simulation):
        simulation.start()
        simulation.ready()
        simulation.run(6)
        first, second = simulation.role("gateway")
        group = simulation.leader().part.consensus.cluster_state.placement_groups[0]
        nodes = {member.node: member for member in simulation.role("storage")}
        staying, stopping, leaving = (nodes[node] for node in group.storage_nodes)
        joining = next(member for node, member in nodes.items() if node not in group.storage_nodes)
        stale = simulation.do(first.ctx.replicated_log.acquire(LOG))
        simulation.run(0.7)
        simulation.cut([first.name], [staying.name, leaving.name])
        spawn(stale.append([b"stale"])).addErrback(lambda failure: None)
        simulation.run(0.03)
        stopping.kill()
        simulation.cut([joining.name], [staying.name, leaving.name])
        newer = simulation.do(second.ctx.replicated_log.acquire(LOG, first.node))
        simulation.do(newer.append([b"acknowledged"]))
        start_replacing(simulation, joining.node, leaving.node)
        end_at = simulation.clock.seconds() + 4
        while simulation.clock.seconds() < end_at:
            simulation.run(0.05)
            progress = stale.progress.get(joining.node)
            if progress is not None and progress.tail_epoch == stale.epoch:
                simulation.blocked_links = {cut for cut in simulation.blocked_links if joining.name not in cut}

    def test_it_acknowledges_nothing_after_the_placement_change(self):
        for seed in (1, 3, 4):
            with self.subTest(seed=seed):
                self.assertEqual(self.run_seed(seed), [])
