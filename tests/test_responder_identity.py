"""Calls go to a place: a node that came back there without its disk must not count for the one that it was."""

import unittest

from pipitlink.errors import PipitlinkError
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Simulation

from .model.recorder import Recorder
from .test_model_conformance import IN_EFFECT, settled_anew


class ResponderIdentity(unittest.TestCase):
    def record(self, seed: int, **args) -> tuple[Simulation, Recorder]:
        simulation = Simulation(seed, placement_groups=1, **args)
        self.addCleanup(simulation.end)
        recorder = Recorder(simulation)
        recording = recorder.recording()
        recording.__enter__()
        self.addCleanup(recording.__exit__, None, None, None)
        simulation.start()
        simulation.ready()
        return simulation, recorder

    def test_an_emptied_controller_is_not_counted_as_the_voter_it_was(self):
        simulation, recorder = self.record(3, controllers=3, storage_nodes=3, gateways=1)
        lost = next(a for a in simulation.role("controller") if a is not simulation.leader())
        simulation.leader().part.consensus.step_down()
        lost.kill(power=True)
        leader = simulation.until(simulation.leader, 10, "another term is led")
        cut = next(a for a in simulation.role("controller", alive=True) if a is not leader)
        simulation.cut([cut.name], [a for a in simulation.simulated_nodes if a != cut.name])
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
        self.assertEqual(recorder.found(IN_EFFECT), [])

    def test_an_emptied_storage_node_is_not_counted_as_the_copy_it_was(self):
        simulation, recorder = self.record(4, controllers=3, storage_nodes=3, gateways=2)
        first, second = simulation.role("gateway")
        has, lags, lost = simulation.role("storage")
        gateways = [first.name, second.name]
        simulation.cut([lags.name], gateways)
        holder = simulation.do(first.ctx.replicated_log.acquire("results/x"))
        simulation.do(holder.append([b"kept"]))
        simulation.do(first.ctx.replicated_log.release([holder]))
        simulation.heal()
        simulation.cut([has.name], [*gateways, lags.name, lost.name])
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        with self.assertRaises(PipitlinkError):
            simulation.do(second.ctx.replicated_log.acquire("results/x", ""), 10)
        simulation.heal()
        simulation.run(8)
        simulation.do(settled_anew(second.ctx, "results/x"), 30)
        self.assertEqual(recorder.found(IN_EFFECT), [])
        self.assertTrue([s for s in recorder.settled if s.node == second.node])
