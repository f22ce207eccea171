"""Explores all interleavings of snapshots, appends, commits, compactions and disk calls at a follower."""

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
OLD_TERM_LAST_INDEX = 3
NEWEST_INDEX = 13
SNAPSHOT_INDEX = 10
STEP_S = 0.003
MAX_STEPS = 60


def term_of(index: int) -> int:
    """The first entries of the committed log are of an earlier leader's term."""
    if index == 0:
        return 0
    return OLD_TERM if index <= OLD_TERM_LAST_INDEX else TERM


class _History:
    """The committed entries, and the state after each of them."""

    def __init__(self, voters):
        self._voters = voters
        self.entries: dict[int, ControllerEntry] = {}
        self.states: dict[int, bytes] = {}
        state = self.first()
        for n in range(1, NEWEST_INDEX + 1):
            edit = TableEdit(base=state.table_sequence, upserts=[Row(name=f"row{n}", model=f"m{n}")])
            self.entries[n] = ControllerEntry(index=n, term=term_of(n), command=Command(edit=f"e{n}", table=edit))
            state.apply(n, self.entries[n].command)
            self.states[n] = serialized(state)
            if n == SNAPSHOT_INDEX:
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
        """Entries that the earlier leader appended but never committed."""
        entries = [
            ControllerEntry(index=n, term=OLD_TERM, command=Command(edit=f"lost{n}", no_op=True))
            for n in range(OLD_TERM_LAST_INDEX + 1, last + 1)
        ]
        return AppendRequest(
            term=OLD_TERM,
            leader=LEADER,
            prev_index=OLD_TERM_LAST_INDEX,
            prev_term=OLD_TERM,
            entries=entries,
            commit_index=OLD_TERM_LAST_INDEX,
        )

    def poll(self) -> AppendRequest:
        """The leader's request after all chunks have arrived, until the snapshot is installed."""
        request = self.whole()
        request.chunk.offset, request.chunk.data = request.chunk.total, b""
        return request

    def whole(self) -> AppendRequest:
        data = zlib.compress(self.snapshot.SerializeToString())
        chunk = SnapshotChunk(index=SNAPSHOT_INDEX, term=TERM, total=len(data), data=data)
        request = self.append(SNAPSHOT_INDEX, SNAPSHOT_INDEX)
        request.chunk.CopyFrom(chunk)
        return request


def serialized(state: ClusterState) -> bytes:
    data = state.data()
    data.rows.sort(key=lambda r: r.name)
    return data.SerializeToString(deterministic=True)


class _Follower:
    """A controller whose disk calls complete and whose messages arrive in the order given by the choices."""

    def __init__(self, test, choices, other_branch=False):
        self.simulation = Simulation(3, controllers=1, storage_nodes=0, gateways=0)
        test.addCleanup(self.simulation.end)
        self.simulated_node = self.simulation.role("controller")[0]
        self.simulation.start()
        self.part = self.simulated_node.part
        self.simulation.until(lambda: self.part.consensus.role != "newcomer", 5, "it is bootstrapped")
        self.history = _History((self.simulated_node.node, LEADER, "third"))
        self._begin()
        self.choices = choices
        if other_branch:
            self.simulation.do(self.part.log_receiver.append(LEADER, self.history.other_branch(NEWEST_INDEX)))
        self._disk_calls: list = []
        self.simulated_node.ctx.run_in_thread = self._hold_disk_call
        self.results: list = []
        self.sequence = 0
        self.rejected_writes = 0

    def _begin(self):
        """Resets the log to three voters, of whom the other two are unreachable, and the first three entries."""
        part = self.part
        s = Snapshot(index=0, term=0, cluster_state=self.history.first().data())
        part.durable_log.hard_state.CopyFrom(HardState())
        part.consensus.step_down()
        part.durable_log.entries.clear()
        part.durable_log.entry_bytes = 0
        part.consensus.commit_index = 0
        part.durable_log.snapshot = s
        part.consensus.restore(s)
        first = self.history.append(0, OLD_TERM_LAST_INDEX)
        first.term = OLD_TERM
        self.simulation.do(part.log_receiver.append(LEADER, first))

    def _hold_disk_call(self, do, *args):
        d = defer.Deferred()
        self._disk_calls.append((d, do, args))
        return d

    def deliver(self, messages):
        messages = list(messages)
        for _ in range(MAX_STEPS):
            options = [*messages, *self._disk_calls]
            if not options:
                break
            chosen = options[self.choices.pick(len(options)) if len(options) > 1 else 0]
            if chosen in messages:
                messages.remove(chosen)
                spawn(self.part.log_receiver.append(LEADER, chosen)).addBoth(self.results.append)
            else:
                self._disk_calls.remove(chosen)
                self._run_disk_call(*chosen)
            self.simulation.clock.advance(STEP_S)
            self.check()
        assert not messages and not self._disk_calls, "messages or disk calls are left after the last step"

    def _run_disk_call(self, d, do, args):
        try:
            d.callback(do(*args))
        except Exception as e:
            d.errback(e)

    def logged_failures(self) -> list[str]:
        """Returns the logged failures of snapshots and compactions."""
        return [
            line
            for line in self.simulation.sink.lines
            if "event=install_snapshot " in line or "event=compact_log " in line
        ]

    def check(self):
        part, log = self.part, self.part.durable_log
        sequence = part.consensus.cluster_state.sequence
        assert sequence >= self.sequence, f"went back from {self.sequence} to {sequence}"
        self.sequence = sequence
        assert serialized(part.consensus.cluster_state) == self.history.states[sequence], (
            f"different state at {sequence}"
        )
        assert part.consensus.commit_index <= log.last_index(), (
            f"commit {part.consensus.commit_index} beyond {log.last_index()}"
        )
        assert log.snapshot.index <= sequence, f"snapshot {log.snapshot.index} beyond the state {sequence}"
        indexes = [e.index for e in log.entries]
        first = log.snapshot.index + 1
        assert indexes == list(range(first, first + len(indexes))), indexes
        assert self.rejected_writes or not self.logged_failures(), self.logged_failures()
        for r in self.results:
            assert not isinstance(getattr(r, "value", None), Exception), r

    def restart(self):
        """Loses power and restarts; checks that the state on disk matches the history."""
        acknowledged_index = max((r.last_index for r in self.results if r.success), default=0)
        self.simulated_node.kill(power=True)
        self.simulated_node.start()
        log = self.simulated_node.part.durable_log
        assert log.last_index() >= acknowledged_index, (
            f"{acknowledged_index} was acknowledged, {log.last_index()} is on disk"
        )
        state = self.simulated_node.part.consensus.cluster_state
        assert state.sequence == 0 or serialized(state) == self.history.states[state.sequence]


async def _restore_after_disk_write(self, s):
    if self.is_needed(s):
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, s)
        await self._durable_log.use_snapshot(s)
        self._consensus.restore(s)


async def _restore_always(self, s):
    if self.is_needed(s):
        await self._ctx.run_in_thread(self._durable_log.save_snapshot, s)
        synced = self._durable_log.use_snapshot(s)
        self._consensus.restore(s)
        await synced


async def _install_without_lock(self, s):
    await self._install_locked(s)


GUARDS = {
    "the state is replaced in the same step as the snapshot": ("_install_locked", _restore_after_disk_write),
    "a newer state is not replaced": ("_install_locked", _restore_always),
    "one snapshot at a time": ("install", _install_without_lock),
}


class SnapshotInterleavings(unittest.TestCase):
    def setUp(self):
        for name, value in (("COMPACTION_ENTRIES", 3), ("RETAINED_ENTRIES", 1)):
            patch = mock.patch.object(durable_log, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def explore(self, make_messages, max_runs=20_000, other_branch=False) -> int:
        def run(choices):
            follower = _Follower(self, choices, other_branch)
            try:
                follower.deliver(make_messages(follower.history))
                assert not other_branch or follower.sequence >= SNAPSHOT_INDEX, "the snapshot was not installed"
                follower.restart()
            finally:
                follower.simulation.end()

        return Choices.explore(run, max_runs)

    def all_messages(self, history):
        return [history.whole(), history.append(3, 8), history.append(8, 11), history.append(10, 13)]

    def test_every_interleaving_leads_to_the_same_state(self):
        self.assertGreater(self.explore(self.all_messages), 500)

    def snapshot_and_later_entries(self, history):
        return [history.whole(), history.append(SNAPSHOT_INDEX, NEWEST_INDEX)]

    def test_a_snapshot_replaces_a_longer_conflicting_branch(self):
        self.assertGreater(self.explore(self.snapshot_and_later_entries, other_branch=True), 1)

    def test_comparing_only_the_length_of_the_logs_would_reject_the_snapshot(self):
        def shorter(self, s):
            return self._consensus.is_newcomer or s.index > self._durable_log.last_index()

        with mock.patch.object(SnapshotManager, "is_needed", shorter), self.assertRaises(AssertionError):
            self.explore(self.snapshot_and_later_entries, other_branch=True)

    def test_a_snapshot_rejected_by_the_disk_is_written_again_without_being_resent(self):
        follower = _Follower(self, Choices([]))
        follower.rejected_writes = 2
        save = follower.part.durable_log.save_snapshot
        attempts = []

        def rejecting(s):
            attempts.append(s.index)
            if len(attempts) <= follower.rejected_writes:
                raise OSError(28, "No space left on device")
            save(s)

        with mock.patch.object(follower.part.durable_log, "save_snapshot", rejecting):
            for request in (follower.history.whole(), follower.history.poll(), follower.history.poll()):
                follower.deliver([request])
        self.assertEqual(len(follower.logged_failures()), follower.rejected_writes)
        self.assertEqual(attempts, [SNAPSHOT_INDEX] * 3)
        self.assertEqual(follower.part.consensus.cluster_state.sequence, SNAPSHOT_INDEX)
        follower.restart()
        self.assertEqual(follower.part.durable_log.snapshot.index, SNAPSHOT_INDEX)

    def test_without_any_one_guard_some_interleaving_fails(self):
        for name, (part, replacement) in GUARDS.items():
            with (
                self.subTest(name),
                mock.patch.object(SnapshotManager, part, replacement),
                self.assertRaises(AssertionError),
            ):
                self.explore(self.all_messages)
