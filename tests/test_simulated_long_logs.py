"""Hundreds of changes while controllers are restarted, wiped and replaced: each catches up, none uses stale state."""

import unittest
import zlib
from functools import partial
from unittest import mock

import testbed.simulator.simulation
from pipitlink.cluster.cluster_state import MAX_OUTCOMES
from pipitlink.controller import durable_log, snapshot_transfer
from pipitlink.errors import PipitlinkError
from pipitlink.timers import ms, secs, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from testbed.faults.disks import PowerLossDisk
from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Simulation

SEEDS = seeds(2)
CATCH_UP_S = 4.7
SETTLE_S = 0.5
CHECK_INTERVAL_S = 0.02
WRITE_TIMEOUT_S = 3
"""Timeout of a write at a controller that was killed meanwhile and so never completes it."""
VOTERS_RESTORED_S = 10
FAULTS = 8
WRITERS = 4
FAULT_KINDS = ("kill", "power", "wipe", "replace", "freeze")


def digest(state) -> int:
    """Digest of what must be equal on all controllers at one sequence, the outcome count and the newest five."""
    rows = sorted((r.name, r.model) for r in state.rows.values())
    newest = [(o.edit, o.code, o.sequence) for o, _ in zip(reversed(state.outcomes.values()), range(5), strict=False)]
    return zlib.crc32(repr((state.table_sequence, state.voters, rows, len(state.outcomes), newest)).encode())


class _InvariantChecker:
    """Checks continuously what each controller has applied, voted for and led."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.violations: list[str] = []
        self.states: dict[int, int] = {}
        self.sequences: dict[str, int] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.leaders: dict[int, str] = {}
        self.commits: list[tuple[float, int]] = []
        self.trims = 0

    def add_violation(self, text: str):
        self.violations.append(f"{self.simulation.clock.seconds():.3f} {text}")

    def start_checking(self, simulated_node):
        """Registers a started controller: its votes are checked, and its state may be older than before a restart."""
        part = simulated_node.part
        self.sequences[simulated_node.name] = 0
        vote = part.elections.vote

        async def checked(request):
            r = await vote(request)
            if r.granted and not request.pre_vote:
                self._voted(simulated_node.node, part, request)
            return r

        part.elections.vote = checked

    def _voted(self, node, part, request):
        if part.consensus.role == "newcomer":
            self.add_violation(f"{node} has no state and votes")
        before = self.votes.setdefault((node, request.term), request.candidate)
        if before != request.candidate:
            self.add_violation(f"{node} votes for {before} and {request.candidate} in {request.term}")

    def check(self):
        for simulated_node in self.simulation.role("controller", alive=True):
            self._check_controller(simulated_node)
        leader = self.simulation.leader()
        if leader is not None:
            self.commits.append((self.simulation.clock.seconds(), leader.part.consensus.commit_index))

    def _check_controller(self, simulated_node):
        part = simulated_node.part
        state = part.consensus.cluster_state
        if state.sequence < self.sequences[simulated_node.name]:
            self.add_violation(
                f"{simulated_node.name} went back from {self.sequences[simulated_node.name]} to {state.sequence}"
            )
        if state.sequence == self.sequences[simulated_node.name]:
            return
        self.sequences[simulated_node.name] = state.sequence
        state_digest = digest(state)
        if self.states.setdefault(state.sequence, state_digest) != state_digest:
            self.add_violation(f"{simulated_node.name} has a different state at {state.sequence}")
        if (
            part.consensus.role == "leader"
            and self.leaders.setdefault(part.consensus.term, simulated_node.node) != simulated_node.node
        ):
            self.add_violation(
                f"{simulated_node.node} and {self.leaders[part.consensus.term]} lead in {part.consensus.term}"
            )

    def commit_index_at(self, at: float) -> int:
        return max((commit for when, commit in self.commits if when <= at), default=0)


class _Writers:
    """Operators that edit and read at the current leader, one edit after another."""

    def __init__(self, simulation, checker):
        self.simulation, self.checker = simulation, checker
        self.timers = simulation.timers()
        self.over = False
        self.acked: dict[str, int] = {}
        self.min_sequence = 0
        self.n = 0

    async def write(self, writer: int):
        while not self.over:
            await self.timers.sleep(ms(40 + self.simulation.rng.randrange(80)))
            leaders = [a for a in self.simulation.role("controller", alive=True) if a.part.consensus.role == "leader"]
            if leaders:
                try:
                    work = self._write_at(self.simulation.rng.choice(leaders).part, writer)
                    await self.timers.with_timeout(secs(WRITE_TIMEOUT_S), work)
                except PipitlinkError:
                    pass

    async def _write_at(self, part, writer: int):
        min_sequence = self.min_sequence
        await part.log_replication.confirm_leadership()
        if part.consensus.cluster_state.table_sequence < min_sequence:
            self.checker.add_violation(
                f"read {part.consensus.cluster_state.table_sequence} after {min_sequence} was acknowledged"
            )
        self.n += 1
        edit = TableEdit(
            base=part.consensus.cluster_state.table_sequence,
            upserts=[Row(name=f"row{self.n % 40}", model=f"m{self.n}")],
        )
        outcome = await part.state_delivery.edit(Command(edit=f"edit{self.n}", table=edit))
        if outcome.code == "done":
            self.acked[outcome.edit] = outcome.sequence
            self.min_sequence = max(self.min_sequence, outcome.sequence)


class LongLogs(unittest.TestCase):
    def setUp(self):
        for module, name, value in (
            (durable_log, "COMPACTION_ENTRIES", 25),
            (durable_log, "RETAINED_ENTRIES", 6),
            (durable_log, "MAX_BATCH_BYTES", 600),
            (snapshot_transfer, "CHUNK_BYTES", 700),
            (testbed.simulator.simulation, "PowerLossDisk", partial(PowerLossDisk, names=True)),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def start_cluster(self, seed):
        simulation = Simulation(seed, controllers=4, storage_nodes=0, gateways=0)
        self.addCleanup(simulation.end)
        checker = _InvariantChecker(simulation)
        for simulated_node in simulation.role("controller"):
            self._check_each_start(simulated_node, checker)
        simulation.start()
        simulation.until(simulation.leader, 10, "a leader")
        writers = _Writers(simulation, checker)
        for writer in range(WRITERS):
            spawn(writers.write(writer))
        return simulation, checker, writers

    def _check_each_start(self, simulated_node, checker):
        start = simulated_node.start

        def checked():
            start()
            checker.start_checking(simulated_node)

        simulated_node.start = checked

    def run_for(self, simulation, checker, seconds):
        end = simulation.clock.seconds() + seconds
        while simulation.clock.seconds() < end:
            simulation.run(CHECK_INTERVAL_S)
            checker.check()

    def inject_fault(self, simulation, checker, kind, simulated_node, outage_s):
        """Takes one controller down and brings it back; returns the controller that must catch up."""
        if kind == "freeze":
            simulated_node.freeze()
            self.run_for(simulation, checker, outage_s)
            simulated_node.thaw()
            return simulated_node
        simulated_node.kill(power=kind != "kill")
        self.run_for(simulation, checker, outage_s)
        if kind == "wipe":
            simulated_node.wipe()
        if kind == "replace":
            del simulation.simulated_nodes[simulated_node.name]
            name = f"controller-{simulation.next_number()}"
            simulated_node = simulation.add(
                "controller", name, simulated_node.zone, 2000 + int(simulation.next_number())
            )
            self._check_each_start(simulated_node, checker)
        simulation.seeds = tuple(
            f"{a.address[0]}:{a.address[1]}" for a in simulation.role("controller") if a is not simulated_node
        )
        simulated_node.start()
        return simulated_node

    def wait_until_voters_are_restored(self, simulation, checker):
        """Waits until all voters are alive again; a second loss before that is covered by another test."""
        end = simulation.clock.seconds() + VOTERS_RESTORED_S
        while simulation.clock.seconds() < end:
            nodes = {a.node for a in simulation.role("controller", alive=True)}
            leader = simulation.leader()
            if (
                leader is not None
                and len(leader.part.consensus.voters()) == leader.ctx.settings.replica_count
                and nodes.issuperset(leader.part.consensus.voters())
            ):
                return
            self.run_for(simulation, checker, CHECK_INTERVAL_S)
        checker.add_violation(f"the voters are not restored after {VOTERS_RESTORED_S} s")

    def run_seed(self, seed, faults=FAULTS):
        simulation, checker, writers = self.start_cluster(seed)
        self.run_for(simulation, checker, 2.5)
        history = []
        for _ in range(faults):
            kind, simulated_node = (
                simulation.rng.choice(FAULT_KINDS),
                simulation.rng.choice(simulation.role("controller")),
            )
            outage_s = simulation.rng.choice((0.05, 0.4, 1.5, 5.0))
            history.append(f"{simulation.clock.seconds():.2f} {kind} {simulated_node.name} {outage_s}")
            restarted = self.inject_fault(simulation, checker, kind, simulated_node, outage_s)
            self.run_for(simulation, checker, CATCH_UP_S)
            expected = checker.commit_index_at(simulation.clock.seconds() - SETTLE_S)
            if restarted.part.consensus.cluster_state.sequence < expected:
                checker.add_violation(
                    f"{restarted.name} is at {restarted.part.consensus.cluster_state.sequence}, below {expected}"
                )
            self.wait_until_voters_are_restored(simulation, checker)
        writers.over = True
        self.run_for(simulation, checker, 2)
        self.assertEqual(checker.violations, [], f"seed {seed}: {history}")
        done = simulation.leader().part.consensus.cluster_state.outcomes
        retained = {e: sequence for e, sequence in writers.acked.items() if e in done or len(done) < MAX_OUTCOMES}
        lost = [e for e, sequence in retained.items() if e not in done or done[e].sequence != sequence]
        self.assertEqual(lost, [], f"seed {seed}: {history}")
        return len(writers.acked), simulation.leader().part.durable_log.snapshot.index

    def test_each_controller_catches_up_in_time_and_none_acts_on_stale_state(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                acked, snapshot_index = self.run_seed(seed)
                self.assertGreater(acked, 300)
                self.assertGreater(snapshot_index, 300)
