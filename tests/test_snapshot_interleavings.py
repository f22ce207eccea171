"""Every order in which a follower can meet snapshots, appends, commits, its own trims and the ends of disk calls."""

import unittest
import zlib
from unittest import mock

from twisted.internet import defer

from pipitlink.cluster import ClusterState
from pipitlink.controller import durable_log
from pipitlink.controller.snapshot_transfer import SnapshotManager
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from pipitlink.wire.controller_pb2 import AppendRequest, ControllerEntry, HardState, Snapshot, SnapshotChunk
from testbed.simulator.interleavings import Choices
from testbed.simulator.simulation import Simulation

LEADER = "the leader"
OLD_TERM = 1
TERM = 2
OLD_LAST = 3
NEWEST = 13
SNAPSHOT_AT = 10
STEP_S = 0.003
MOST_STEPS = 60


def term_of(index: int) -> int:
    """The agreed log's first entries are of an earlier leader."""
    if index == 0:
        return 0
    return OLD_TERM if index <= OLD_LAST else TERM


class _History:
    """The agreed entries, and the state after each of them."""

    def __init__(self, voters):
        self._voters = voters
        self.entries: dict[int, ControllerEntry] = {}
        self.states: dict[int, bytes] = {}
        state = self.first()
        for n in range(1, NEWEST + 1):
            edit = TableEdit(base=state.table_sequence, upserts=[Row(name=f"row{n}", model=f"m{n}")])
            self.entries[n] = ControllerEntry(index=n, term=term_of(n), command=Command(edit=f"e{n}", table=edit))
            state.apply(n, self.entries[n].command)
            self.states[n] = told(state)
            if n == SNAPSHOT_AT:
                self.snapshot = Snapshot(index=n, term=TERM, cluster_state=state.data())

    def first(self) -> ClusterState:
        state = ClusterState()
        state.voters = self._voters
        return state

    def append(self, prev: int, last: int) -> AppendRequest:
        entries = [self.entries[n] for n in range(prev + 1, last + 1)]
        return AppendRequest(
            term=TERM, leader=LEADER, prev_index=prev, prev_term=term_of(prev), entries=entries, commit_index=last
        )

    def other_branch(self, last: int) -> AppendRequest:
        """What the earlier leader wrote on and never got agreed."""
        entries = [
            ControllerEntry(index=n, term=OLD_TERM, command=Command(edit=f"lost{n}", no_op=True))
            for n in range(OLD_LAST + 1, last + 1)
        ]
        return AppendRequest(
            term=OLD_TERM,
            leader=LEADER,
            prev_index=OLD_LAST,
            prev_term=OLD_TERM,
            entries=entries,
            commit_index=OLD_LAST,
        )

    def poll(self) -> AppendRequest:
        """What the leader sends once all pieces are there, until they are adopted."""
        ask = self.whole()
        ask.chunk.offset, ask.chunk.data = ask.chunk.total, b""
        return ask

    def whole(self) -> AppendRequest:
        data = zlib.compress(self.snapshot.SerializeToString())
        chunk = SnapshotChunk(index=SNAPSHOT_AT, term=TERM, total=len(data), data=data)
        ask = self.append(SNAPSHOT_AT, SNAPSHOT_AT)
        ask.chunk.CopyFrom(chunk)
        return ask


def told(state: ClusterState) -> bytes:
    data = state.data()
    data.rows.sort(key=lambda r: r.name)
    return data.SerializeToString(deterministic=True)


class _Follower:
    """One controller whose disk calls end, and whose messages arrive, in the order that the choices give."""

    def __init__(self, test, choices, other_branch=False):
        self.simulation = Simulation(3, controllers=1, storage_nodes=0, gateways=0)
        test.addCleanup(self.simulation.end)
        self.simulated_node = self.simulation.role("controller")[0]
        self.simulation.start()
        self.part = self.simulated_node.part
        self.simulation.until(lambda: self.part.consensus.role != "newcomer", 5, "it is founded")
        self.history = _History((self.simulated_node.node, LEADER, "third"))
        self._begin()
        self.choices = choices
        if other_branch:
            self.simulation.do(self.part.log_receiver.append(LEADER, self.history.other_branch(NEWEST)))
        self._jobs: list = []
        self.simulated_node.ctx.run_in_thread = self._hold
        self.results: list = []
        self.sequence = 0
        self.refusals = 0

    def _begin(self):
        """Three voters, none of whom it hears, and the first three entries."""
        part = self.part
        s = Snapshot(index=0, term=0, cluster_state=self.history.first().data())
        part.durable_log.hard_state.CopyFrom(HardState())
        part.consensus.step_down()
        part.durable_log.entries.clear()
        part.durable_log.entry_bytes = 0
        part.consensus.commit_index = 0
        part.durable_log.snapshot = s
        part.consensus.restore(s)
        first = self.history.append(0, OLD_LAST)
        first.term = OLD_TERM
        self.simulation.do(part.log_receiver.append(LEADER, first))

    def _hold(self, do, *args):
        d = defer.Deferred()
        self._jobs.append((d, do, args))
        return d

    def play(self, messages):
        messages = list(messages)
        for _ in range(MOST_STEPS):
            options = [*messages, *self._jobs]
            if not options:
                break
            chosen = options[self.choices.pick(len(options)) if len(options) > 1 else 0]
            if chosen in messages:
                messages.remove(chosen)
                spawn(self.part.log_receiver.append(LEADER, chosen)).addBoth(self.results.append)
            else:
                self._jobs.remove(chosen)
                self._end(*chosen)
            self.simulation.clock.advance(STEP_S)
            self.check()
        assert not messages and not self._jobs, "it goes on for ever"

    def _end(self, d, do, args):
        try:
            d.callback(do(*args))
        except Exception as e:
            d.errback(e)

    def faults(self) -> list[str]:
        """What the logger says of snapshots and trims that failed."""
        return [
            line
            for line in self.simulation.sink.lines
            if "event=install_snapshot " in line or "event=compact_log " in line
        ]

    def check(self):
        part, kept = self.part, self.part.durable_log
        sequence = part.consensus.cluster_state.sequence
        assert sequence >= self.sequence, f"back from {self.sequence} to {sequence}"
        self.sequence = sequence
        assert told(part.consensus.cluster_state) == self.history.states[sequence], f"another state at {sequence}"
        assert part.consensus.commit_index <= kept.last_index(), (
            f"commit {part.consensus.commit_index} beyond {kept.last_index()}"
        )
        assert kept.snapshot.index <= sequence, f"snapshot {kept.snapshot.index} beyond the state {sequence}"
        indexes = [e.index for e in kept.entries]
        first = kept.snapshot.index + 1
        assert indexes == list(range(first, first + len(indexes))), indexes
        assert self.refusals or not self.faults(), self.faults()
        for r in self.results:
            assert not isinstance(getattr(r, "value", None), Exception), r

    def restart(self):
        """What is on the disk after all that is the same history as well."""
        told_last = max((r.last_index for r in self.results if r.success), default=0)
        self.simulated_node.kill(power=True)
        self.simulated_node.start()
        kept = self.simulated_node.part.durable_log
        assert kept.last_index() >= told_last, f"{told_last} was answered, {kept.last_index()} is kept"
        state = self.simulated_node.part.consensus.cluster_state
        assert state.sequence == 0 or told(state) == self.history.states[state.sequence]


async def _state_after_the_disk(self, s):
    if self.is_needed(s):
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, s)
        await self._durable_log.use_snapshot(s)
        self._consensus.restore(s)


async def _state_always_taken(self, s):
    if self.is_needed(s):
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, s)
        synced = self._durable_log.use_snapshot(s)
        self._consensus.restore(s)
        await synced


async def _install_beside_a_compaction(self, s):
    await self._install_locked(s)


GUARDS = {
    "the state is taken in the same step as the snapshot": ("_install_locked", _state_after_the_disk),
    "a state that has gone further stays": ("_install_locked", _state_always_taken),
    "one snapshot at a time": ("install", _install_beside_a_compaction),
}


class SnapshotOrders(unittest.TestCase):
    def setUp(self):
        for name, value in (("COMPACTION_ENTRIES", 3), ("RETAINED_ENTRIES", 1)):
            patch = mock.patch.object(durable_log, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def explore(self, make, most=20_000, other_branch=False) -> int:
        def run(choices):
            follower = _Follower(self, choices, other_branch)
            try:
                follower.play(make(follower.history))
                assert not other_branch or follower.sequence >= SNAPSHOT_AT, "the snapshot was not taken"
                follower.restart()
            finally:
                follower.simulation.end()

        return Choices.explore(run, most)

    def all_messages(self, history):
        return [history.whole(), history.append(3, 8), history.append(8, 11), history.append(10, 13)]

    def test_the_same_state_whatever_the_order(self):
        self.assertGreater(self.explore(self.all_messages), 500)

    def snapshot_and_on(self, history):
        return [history.whole(), history.append(SNAPSHOT_AT, NEWEST)]

    def test_a_snapshot_replaces_another_branch_that_is_longer(self):
        self.assertGreater(self.explore(self.snapshot_and_on, other_branch=True), 1)

    def test_a_longer_branch_would_keep_the_snapshot_out(self):
        def shorter(self, s):
            return self._consensus.is_newcomer or s.index > self._durable_log.last_index()

        with mock.patch.object(SnapshotManager, "is_needed", shorter), self.assertRaises(AssertionError):
            self.explore(self.snapshot_and_on, other_branch=True)

    def test_a_disk_that_refuses_a_snapshot_is_tried_again_without_sending_it_again(self):
        follower = _Follower(self, Choices([]))
        follower.refusals = 2
        keep = follower.part.durable_log.save_snapshot
        tries = []

        def refusing(s):
            tries.append(s.index)
            if len(tries) <= follower.refusals:
                raise OSError(28, "No space left on device")
            keep(s)

        with mock.patch.object(follower.part.durable_log, "save_snapshot", refusing):
            for ask in (follower.history.whole(), follower.history.poll(), follower.history.poll()):
                follower.play([ask])
        self.assertEqual(len(follower.faults()), follower.refusals)
        self.assertEqual(tries, [SNAPSHOT_AT] * 3)
        self.assertEqual(follower.part.consensus.cluster_state.sequence, SNAPSHOT_AT)
        follower.restart()
        self.assertEqual(follower.part.durable_log.snapshot.index, SNAPSHOT_AT)

    def test_without_a_guard_some_order_breaks_it(self):
        for name, (part, instead) in GUARDS.items():
            with (
                self.subTest(name),
                mock.patch.object(SnapshotManager, part, instead),
                self.assertRaises(AssertionError),
            ):
                self.explore(self.all_messages)
