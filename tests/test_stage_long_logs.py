"""Hundreds of changes with members restarted, emptied and replaced: each is soon current, none acts on old state."""

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
from testbed.faults.disks import LosingDisk
from testbed.simulator.random_faults import seeds
from testbed.simulator.simulation import Stage

SEEDS = seeds(2)
CATCH_UP_S = 4.7
SETTLE_S = 0.5
LOOK_S = 0.02
WRITE_S = 3
"""A writer gives up on a controller that was ended with its order: nothing that it began goes on."""
WHOLE_S = 10
TROUBLES = 8
WRITERS = 4
KINDS = ("kill", "power", "wipe", "replace", "freeze")


def digest(state) -> int:
    """What two members at one sequence must have alike; of the outcomes their number and the newest few."""
    rows = sorted((r.name, r.model) for r in state.rows.values())
    newest = [(o.edit, o.code, o.sequence) for o, _ in zip(reversed(state.outcomes.values()), range(5), strict=False)]
    return zlib.crc32(repr((state.table_sequence, state.voters, rows, len(state.outcomes), newest)).encode())


class _Judge:
    """Reads, all through a run, what each controller has applied, voted, led with and served."""

    def __init__(self, stage):
        self.stage = stage
        self.faults: list[str] = []
        self.states: dict[int, int] = {}
        self.sequences: dict[str, int] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.leaders: dict[int, str] = {}
        self.agreed: list[tuple[float, int]] = []
        self.trims = 0

    def fault(self, text: str):
        self.faults.append(f"{self.stage.clock.seconds():.3f} {text}")

    def admit(self, actor):
        """A life begins: its votes are read from now on, and its state may be older than that of the life before."""
        part = actor.part
        self.sequences[actor.name] = 0
        vote = part.elections.vote

        async def judged(ask):
            r = await vote(ask)
            if r.granted and not ask.pre_vote:
                self._voted(actor.node, part, ask)
            return r

        part.elections.vote = judged

    def _voted(self, node, part, ask):
        if part.consensus.role == "newcomer":
            self.fault(f"{node} is empty and votes")
        before = self.votes.setdefault((node, ask.term), ask.candidate)
        if before != ask.candidate:
            self.fault(f"{node} votes for {before} and {ask.candidate} in {ask.term}")

    def look(self):
        for actor in self.stage.role("controller", alive=True):
            self._look_at(actor)
        leader = self.stage.leader()
        if leader is not None:
            self.agreed.append((self.stage.clock.seconds(), leader.part.consensus.commit_index))

    def _look_at(self, actor):
        part = actor.part
        state = part.consensus.cluster_state
        if state.sequence < self.sequences[actor.name]:
            self.fault(f"{actor.name} goes back from {self.sequences[actor.name]} to {state.sequence}")
        if state.sequence == self.sequences[actor.name]:
            return
        self.sequences[actor.name] = state.sequence
        sum_of = digest(state)
        if self.states.setdefault(state.sequence, sum_of) != sum_of:
            self.fault(f"{actor.name} has another state at {state.sequence}")
        if part.consensus.role == "leader" and self.leaders.setdefault(part.consensus.term, actor.node) != actor.node:
            self.fault(f"{actor.node} and {self.leaders[part.consensus.term]} lead in {part.consensus.term}")

    def agreed_at(self, at: float) -> int:
        return max((commit for when, commit in self.agreed if when <= at), default=0)


class _Writers:
    """Operators that edit and read at whichever controller leads, one edit after another."""

    def __init__(self, stage, judge):
        self.stage, self.judge = stage, judge
        self.timers = stage.timers()
        self.over = False
        self.acked: dict[str, int] = {}
        self.floor = 0
        self.n = 0

    async def write(self, who: int):
        while not self.over:
            await self.timers.sleep(ms(40 + self.stage.rng.randrange(80)))
            leaders = [a for a in self.stage.role("controller", alive=True) if a.part.consensus.role == "leader"]
            if leaders:
                try:
                    work = self._write_at(self.stage.rng.choice(leaders).part, who)
                    await self.timers.with_timeout(secs(WRITE_S), work)
                except PipitlinkError:
                    pass

    async def _write_at(self, part, who: int):
        floor = self.floor
        await part.log_replication.confirm_leadership()
        if part.consensus.cluster_state.table_sequence < floor:
            self.judge.fault(f"read {part.consensus.cluster_state.table_sequence} after {floor} was acknowledged")
        self.n += 1
        edit = TableEdit(
            base=part.consensus.cluster_state.table_sequence,
            upserts=[Row(name=f"row{self.n % 40}", model=f"m{self.n}")],
        )
        out = await part.state_delivery.edit(Command(edit=f"edit{self.n}", table=edit))
        if out.code == "done":
            self.acked[out.edit] = out.sequence
            self.floor = max(self.floor, out.sequence)


class LongLogs(unittest.TestCase):
    def setUp(self):
        for module, name, value in (
            (durable_log, "COMPACTION_ENTRIES", 25),
            (durable_log, "RETAINED_ENTRIES", 6),
            (durable_log, "MAX_BATCH_BYTES", 600),
            (snapshot_transfer, "CHUNK_BYTES", 700),
            (testbed.simulator.simulation, "LosingDisk", partial(LosingDisk, names=True)),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def fleet(self, seed):
        stage = Stage(seed, controllers=4, storage_nodes=0, gateways=0)
        self.addCleanup(stage.end)
        judge = _Judge(stage)
        for actor in stage.role("controller"):
            self._judge_lives(actor, judge)
        stage.start()
        stage.until(stage.leader, 10, "a leader")
        writers = _Writers(stage, judge)
        for who in range(WRITERS):
            spawn(writers.write(who))
        return stage, judge, writers

    def _judge_lives(self, actor, judge):
        start = actor.start

        def judged():
            start()
            judge.admit(actor)

        actor.start = judged

    def run_for(self, stage, judge, seconds):
        end = stage.clock.seconds() + seconds
        while stage.clock.seconds() < end:
            stage.run(LOOK_S)
            judge.look()

    def trouble(self, stage, judge, kind, actor, away):
        """One member is lost and comes back; returns whoever must be current now."""
        if kind == "freeze":
            actor.freeze()
            self.run_for(stage, judge, away)
            actor.thaw()
            return actor
        actor.kill(power=kind != "kill")
        self.run_for(stage, judge, away)
        if kind == "wipe":
            actor.wipe()
        if kind == "replace":
            del stage.actors[actor.name]
            name = f"controller-{stage.fresh()}"
            actor = stage.add("controller", name, actor.zone, 2000 + int(stage.fresh()))
            self._judge_lives(actor, judge)
        stage.seeds = tuple(f"{a.place[0]}:{a.place[1]}" for a in stage.role("controller") if a is not actor)
        actor.start()
        return actor

    def until_voters_are_whole(self, stage, judge):
        """A second loss before that is another test's matter: here each member lost is made good first."""
        end = stage.clock.seconds() + WHOLE_S
        while stage.clock.seconds() < end:
            nodes = {a.node for a in stage.role("controller", alive=True)}
            leader = stage.leader()
            if (
                leader is not None
                and len(leader.part.consensus.voters()) == leader.ctx.settings.replica_count
                and nodes.issuperset(leader.part.consensus.voters())
            ):
                return
            self.run_for(stage, judge, LOOK_S)
        judge.fault(f"the voters are not whole after {WHOLE_S} s")

    def run_seed(self, seed, troubles=TROUBLES):
        stage, judge, writers = self.fleet(seed)
        self.run_for(stage, judge, 2.5)
        told = []
        for _ in range(troubles):
            kind, actor = stage.rng.choice(KINDS), stage.rng.choice(stage.role("controller"))
            away = stage.rng.choice((0.05, 0.4, 1.5, 5.0))
            told.append(f"{stage.clock.seconds():.2f} {kind} {actor.name} {away}")
            back = self.trouble(stage, judge, kind, actor, away)
            self.run_for(stage, judge, CATCH_UP_S)
            expected = judge.agreed_at(stage.clock.seconds() - SETTLE_S)
            if back.part.consensus.cluster_state.sequence < expected:
                judge.fault(f"{back.name} is at {back.part.consensus.cluster_state.sequence}, {expected} was agreed")
            self.until_voters_are_whole(stage, judge)
        writers.over = True
        self.run_for(stage, judge, 2)
        self.assertEqual(judge.faults, [], f"seed {seed}: {told}")
        done = stage.leader().part.consensus.cluster_state.outcomes
        kept = {e: sequence for e, sequence in writers.acked.items() if e in done or len(done) < MAX_OUTCOMES}
        lost = [e for e, sequence in kept.items() if e not in done or done[e].sequence != sequence]
        self.assertEqual(lost, [], f"seed {seed}: {told}")
        return len(writers.acked), stage.leader().part.durable_log.snapshot.index

    def test_each_member_is_current_in_time_and_none_acts_on_old_state(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                acked, trimmed = self.run_seed(seed)
                self.assertGreater(acked, 300)
                self.assertGreater(trimmed, 300)
