"""Calls go to a place: a node that came back there without its disk must not count for the one that it was."""

import unittest

from pipitlink.errors import PipitlinkError
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.simulation import Stage

from .model.recorder import Recorder
from .test_model_conformance import IN_EFFECT, settled_anew


class WhoAnswered(unittest.TestCase):
    def record(self, seed: int, **words) -> tuple[Stage, Recorder]:
        stage = Stage(seed, placement_groups=1, **words)
        self.addCleanup(stage.end)
        recorder = Recorder(stage)
        recording = recorder.recording()
        recording.__enter__()
        self.addCleanup(recording.__exit__, None, None, None)
        stage.start()
        stage.ready()
        return stage, recorder

    def test_an_emptied_controller_is_not_counted_as_the_voter_it_was(self):
        stage, recorder = self.record(3, controllers=3, storage_nodes=3, gateways=1)
        lost = next(a for a in stage.role("controller") if a is not stage.leader())
        stage.leader().part.consensus.step_down()
        lost.kill(power=True)
        leader = stage.until(stage.leader, 10, "another term is led")
        cut = next(a for a in stage.role("controller", alive=True) if a is not leader)
        stage.cut([cut.name], [a for a in stage.actors if a != cut.name])
        lost.wipe()
        lost.start()
        with self.assertRaises(PipitlinkError):
            stage.do(
                leader.part.state_delivery.edit(
                    Command(edit="lone", table=TableEdit(upserts=[Row(name="r", model="lone")]))
                ),
                10,
            )
        stage.heal()
        stage.run(6)
        self.assertEqual(recorder.found(IN_EFFECT), [])

    def test_an_emptied_storage_node_is_not_counted_as_the_copy_it_was(self):
        stage, recorder = self.record(4, controllers=3, storage_nodes=3, gateways=2)
        first, second = stage.role("gateway")
        has, lags, lost = stage.role("storage")
        gateways = [first.name, second.name]
        stage.cut([lags.name], gateways)
        holder = stage.do(first.ctx.replicated_log.acquire("results/x"))
        stage.do(holder.append([b"kept"]))
        stage.do(first.ctx.replicated_log.release([holder]))
        stage.heal()
        stage.cut([has.name], [*gateways, lags.name, lost.name])
        lost.kill(power=True)
        lost.wipe()
        lost.start()
        with self.assertRaises(PipitlinkError):
            stage.do(second.ctx.replicated_log.acquire("results/x", ""), 10)
        stage.heal()
        stage.run(8)
        stage.do(settled_anew(second.ctx, "results/x"), 30)
        self.assertEqual(recorder.found(IN_EFFECT), [])
        self.assertTrue([s for s in recorder.settled if s.node == second.node])
