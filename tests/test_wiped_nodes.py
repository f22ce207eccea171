"""Calls go to addresses: a node that returns to its address without its disk must not count as its former self."""

import unittest

from pipitlink.errors import PipitlinkError
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

from .model.recorder import Recorder
from .test_model_conformance import IN_EFFECT_WITHIN_S, acquire_lease


class WipedNodes(unittest.TestCase):
    def start_recorded_simulation(self, seed: int, **args) -> tuple[Simulation, Recorder]:
        simulation = Simulation(seed, placement_groups=1, **args)
        self.addCleanup(simulation.end)
        recorder = Recorder(simulation)
        recording = recorder.recording()
        recording.__enter__()
        self.addCleanup(recording.__exit__, None, None, None)
        simulation.start()
        simulation.ready()
        return simulation, recorder

    def test_a_wiped_controller_does_not_count_as_the_voter_it_was(self):
        simulation, recorder = self.start_recorded_simulation(3, controllers=3, storage_nodes=3, gateways=1)
        lost = next(member for member in simulation.role("controller") if member is not simulation.leader())
        simulation.leader().part.consensus.step_down()
        lost.kill(power=True)
        leader = simulation.until(simulation.leader, 10, "a leader of another term")
        cut_off = next(member for member in simulation.role("controller", alive=True) if member is not leader)
        simulation.cut([cut_off.name], [name for name in simulation.simulated_nodes if name != cut_off.name])
        lost.wipe()
        lost.start()
        with self.assertRaises(PipitlinkError):
            simulation.do(
                leader.part.state_delivery.edit(
                    Command(edit="lone", table=TableEdit(upserts=[Row(name="r", model="lone")]))
                ),
                10,
            )
        simulation.heal()
        simulation.run(6)
        self.assertEqual(recorder.violations(IN_EFFECT_WITHIN_S), [])

    def test_a_wiped_storage_node_does_not_count_as_the_replica_it_was(self):
        simulation, recorder = self.start_recorded_simulation(4, controllers=3, storage_nodes=3, gateways=2)
        first, second = simulation.role("gateway")
        current, behind, lost = simulation.role("storage")
        gateways = [first.name, second.name]
        simulation.cut([behind.name], gateways)
        leaseholder = simulation.do(first.ctx.replicated_log.acquire("results/x"))
        simulation.do(leaseholder.append([b"kept"]))
        simulation.do(first.ctx.replicated_log.release([leaseholder]))
        simulation.heal()
        simulation.cut([current.name], [*gateways, behind.name, lost.name])
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        with self.assertRaises(PipitlinkError):
            simulation.do(second.ctx.replicated_log.acquire("results/x", ""), 10)
        simulation.heal()
        simulation.run(8)
        simulation.do(acquire_lease(second.ctx, "results/x"), 30)
        self.assertEqual(recorder.violations(IN_EFFECT_WITHIN_S), [])
        self.assertTrue([state for state in recorder.recovered_tails if state.node == second.node])
