"""Checks the models' properties on recorded runs of the real code, while faults are injected."""

import unittest

from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulation import Simulation

from .model.properties import Change
from .model.recorder import Recorder

SEEDS = seeds(3)
IN_EFFECT_WITHIN_S = 2.0
LOGS = ("results/x", "results/y")
FAULTS = 12


class WipingFaults(RandomFaults):
    """Also wipes disks: one at a time, and the next only after other nodes have replaced the wiped one everywhere."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._wiped: set[str] = set()

    def inject_one(self):
        if self._simulation.rng.random() < 0.4 and self._is_fully_replicated():
            self._wipe_one()
        else:
            super().inject_one()

    def _is_fully_replicated(self) -> bool:
        leader = self._simulation.leader()
        if leader is None:
            return False
        state = leader.part.consensus.cluster_state
        groups = state.placement_groups.values()
        held = {n for g in groups for n in g.storage_nodes} | set(state.voters)
        settled = leader.part.consensus.voters() == state.voters and not any(g.joining for g in groups)
        return settled and len(state.voters) == 3 and not held & self._wiped

    def _wipe_one(self):
        simulation, rng = self._simulation, self._simulation.rng
        state = simulation.leader().part.consensus.cluster_state
        held = {n for g in state.placement_groups.values() for n in g.storage_nodes} | set(state.voters)
        simulated_node = rng.choice(
            [a for a in simulation.simulated_nodes.values() if a.node in held and a.alive and not a.frozen]
        )
        self.injected.append(f"{simulation.clock.seconds():.3f} wiped {simulated_node.name}")
        self._wiped.add(simulated_node.node)
        simulated_node.kill(power=True)
        simulated_node.wipe()
        simulation.clock.callLater(rng.choice((0.02, 0.1, 0.5, 1.5)), self._start, simulated_node)


class _Workload:
    """Operators that edit the table and gateways that compete for the leases of logs."""

    def __init__(self, recorder: Recorder):
        self.recorder, self.simulation = recorder, recorder.simulation
        self.timers = self.simulation.timers()
        self.stopped = False
        self._n = 0

    async def operate(self, who: int):
        rng = self.simulation.rng
        while not self.stopped:
            await self.timers.sleep(ms(100 + rng.randrange(400)))
            controllers = self.simulation.role("controller", alive=True)
            if controllers:
                await self._edit(rng.choice(controllers).part, who)

    async def _edit(self, part, who: int):
        self._n += 1
        text = f"edit{self._n}"
        edit = TableEdit(base=part.consensus.cluster_state.table_sequence, upserts=[Row(name=f"row{who}", model=text)])
        try:
            out = await part.state_delivery.edit(Command(edit=text, table=edit))
        except PipitlinkError:
            return
        if out.code == "done":
            self.recorder.changes.append(Change(self.simulation.clock.seconds(), out.sequence))

    async def write(self, name: str, log: str):
        n = 0
        while not self.stopped:
            simulated_node = self.simulation.simulated_nodes[name]
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(500)))
            if simulated_node.alive:
                n = await self._hold(simulated_node.ctx, log, n)

    async def _hold(self, ctx, log: str, n: int) -> int:
        previous_holder = self.simulation.rng.choice((None, None, ""))
        try:
            h = await ctx.replicated_log.acquire(log, previous_holder)
            for _ in range(ctx.rng.randrange(1, 10)):
                n += 1
                await h.append([f"{ctx.node}/{n}".encode() + b"." * ctx.rng.randrange(60)])
                await ctx.timers.sleep(ms(ctx.rng.randrange(60)))
            if ctx.rng.random() < 0.5:
                await ctx.replicated_log.release([h])
        except PipitlinkError:
            pass
        return n


def run_recorded(seed: int, faults: int = FAULTS) -> tuple[Recorder, list[str]]:
    """Runs one seed with faults and records it; at the end one gateway acquires each log once more."""
    simulation = Simulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
    recorder = Recorder(simulation)
    try:
        with recorder.recording():
            return recorder, _run(simulation, recorder, faults)
    finally:
        simulation.end()


def _run(simulation: Simulation, recorder: Recorder, faults: int) -> list[str]:
    simulation.start()
    simulation.ready()
    work = _Workload(recorder)
    original_run = simulation.run

    def run(seconds, step=0.005):
        for _ in range(max(1, int(seconds / 0.05))):
            original_run(0.05, step)
            recorder.sample()

    simulation.run = run
    random_faults = WipingFaults(simulation)
    writers = [work.write(a.name, log) for a in simulation.role("gateway") for log in LOGS]
    random_faults.run_with_faults([work.operate(0), work.operate(1), *writers], faults=faults, between=1.2)
    simulation.run(4)
    work.stopped = True
    simulation.run(3)
    simulation.ready()
    for a in simulation.role("gateway"):
        simulation.do(a.ctx.replicated_log.release(list(a.ctx.replicated_log.leaseholders.values())))
    last = simulation.role("gateway")[0].ctx

    for log in LOGS:
        simulation.do(acquire_lease(last, log), 30, f"{log} is acquired")
    return random_faults.injected


class Conformance(unittest.TestCase):
    def test_recorded_runs_satisfy_the_models_properties(self):
        acknowledged = changes = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                recorder, injected = run_recorded(seed)
                self.assertEqual(recorder.violations(IN_EFFECT_WITHIN_S), [], f"seed {seed}: {injected}")
                for observed in (recorder.votes, recorder.elected, recorder.commit_quorums, recorder.applied):
                    self.assertTrue(observed, "the recorder has recorded nothing of the consensus")
                acknowledged += len(recorder.acknowledged)
                changes += len(recorder.changes)
        self.assertGreater(acknowledged, 20 * len(SEEDS))
        self.assertGreater(changes, 5 * len(SEEDS))


async def acquire_lease(ctx, log: str):
    """Acquires the log's lease for this node, retrying until it is granted."""
    while True:
        try:
            return await ctx.replicated_log.acquire(log, "")
        except PipitlinkError:
            await ctx.timers.sleep(ms(300))
