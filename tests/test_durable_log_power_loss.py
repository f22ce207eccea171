"""The controller's durable log under a loss of power at every single disk call, with names and ends lost at random."""

import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from twisted.internet import defer

from pipitlink import segments
from pipitlink.controller.durable_log import DurableLog
from pipitlink.controller.log_replay import LogReplay
from pipitlink.errors import CorruptData, StorageFull
from pipitlink.segments import Segments
from pipitlink.wire.cluster_pb2 import ClusterStateData, Command
from pipitlink.wire.controller_pb2 import ControllerEntry, Snapshot
from testbed.faults.disks import PowerLossDisk
from testbed.simulator.random_faults import seeds

SEEDS = seeds(2)
ROLL_BYTES = 400


class _PowerLost(BaseException):
    """Not an error that the code under test may handle."""


class _StoppingDisk(PowerLossDisk):
    """Loses power before the given disk call, counted from the first."""

    def __init__(self, rng, stop_at=None):
        super().__init__(rng, names=True)
        self.calls = 0
        self.stop_at = stop_at

    def _ends(self) -> bool:
        self.calls += 1
        return self.stop_at is not None and self.calls >= self.stop_at

    def _step(self):
        if self._ends():
            raise _PowerLost

    def append(self, fd, data):
        if self._ends():
            if self.calls == self.stop_at and data:
                super().append(fd, data[: self._rng.randrange(len(data))])
            raise _PowerLost
        super().append(fd, data)

    def sync(self, fd):
        self._step()
        super().sync(fd)

    def sync_folder(self, folder):
        self._step()
        super().sync_folder(folder)


class _RecordingLogger:
    def __init__(self):
        self.faults = []

    def failure(self, event, error, **fields):
        self.faults.append((event, error))

    def info(self, event, **fields):
        pass


class _Context:
    """Calls that belong on a thread are held until `step` runs them, so that much is queued behind them."""

    def __init__(self):
        self.logger = _RecordingLogger()
        self._held = []
        self.reactor = mock.Mock()

    def run_in_thread(self, do, *args):
        d = defer.Deferred()
        self._held.append((d, do, args))
        return d

    def step(self):
        while self._held:
            d, do, args = self._held.pop(0)
            try:
                r = do(*args)
            except Exception as e:
                d.errback(e)
                continue
            d.callback(r)


def entry(index, term, size=40):
    return ControllerEntry(index=index, term=term, command=Command(edit=f"{index}.{term}." + "x" * size, no_op=True))


def snapshot(index, term):
    state = ClusterStateData(sequence=index, voters=["a", "b", "c"], table_sequence=term)
    return Snapshot(index=index, term=term, cluster_state=state)


class _Member:
    """Plays a member's calls and remembers what it has promised: synced entries and terms."""

    def __init__(self, folder: Path, disk):
        self.ctx, self.folder = _Context(), folder
        self.durable_log = DurableLog(self.ctx, folder, disk)
        self.promised: dict[int, int] = {}
        self.term = 0

    def start(self) -> "_Member":
        self.durable_log.recover()
        return self

    def put(self, e: ControllerEntry):
        for n in [n for n in self.promised if n >= e.index]:
            del self.promised[n]
        d = self.durable_log.append(e)
        d.addCallback(lambda _: self._promise(e))
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))

    def _promise(self, e):
        if self.durable_log.term_at(e.index) == e.term:
            self.promised[e.index] = e.term

    def vote(self, term):
        d = self.durable_log.save_hard_state(term, "a")
        d.addCallback(lambda _: setattr(self, "term", term))
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))

    def take(self, s: Snapshot):
        if self.promised.get(s.index, s.term) != s.term:
            self.promised = {n: t for n, t in self.promised.items() if n < s.index}
        self.durable_log.save_snapshot(s)
        d = self.durable_log.use_snapshot(s)
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))
        self.promised = {n: t for n, t in self.promised.items() if self.durable_log.term_at(n) == t}

        def promise(_):
            self.promised[s.index] = s.term

        d.addCallback(promise)

    def play(self):
        """Founding, a roll, a trim with writes around it, another branch, and a snapshot from a leader over it."""
        self.take(snapshot(0, 0))
        self.ctx.step()
        self.vote(1)
        for n in range(1, 9):
            self.put(entry(n, 1))
            if n % 3 == 0:
                self.ctx.step()
        self.ctx.step()
        self.put(entry(9, 1))
        self.take(snapshot(5, 1))
        self.put(entry(10, 1))
        self.ctx.step()
        self.vote(2)
        for n in range(8, 13):
            self.put(entry(n, 2))
        self.ctx.step()
        self.take(snapshot(10, 3))
        self.ctx.step()
        self.vote(4)
        for n in range(11, 16):
            self.put(entry(n, 4))
        self.ctx.step()
        self.take(snapshot(30, 5))
        self.put(entry(31, 5))
        self.ctx.step()


def _always_cut(replay, e):
    replay._truncate_after(e.index - 1)
    replay._entries[e.index] = e
    replay._last_index = e.index


GUARDS = {
    "a segment is synced before the next one is made": (Segments, "_sync_before_roll", lambda self, touched: None),
    "the folder of the log is synced in its parent": (
        Segments,
        "_sync_folder_names",
        lambda self: self._disk.sync_folder(self._folder),
    ),
    "an entry written again cuts nothing off": (LogReplay, "_add_entry", _always_cut),
    "entries follow a snapshot only behind its marker": (LogReplay, "has_marker_of", lambda self, snapshot: True),
    "another branch ends at a snapshot": (LogReplay, "_conflicts", lambda self, snapshot: False),
}


class PowerLost(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        patch = mock.patch.object(segments, "MAX_SEGMENT_BYTES", ROLL_BYTES)
        patch.start()
        self.addCleanup(patch.stop)

    def run_to(self, stop_at, seed):
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        disk = _StoppingDisk(Random(f"{seed}.{stop_at}"), stop_at)
        disk.save_names(folder)
        member = _Member(folder, disk)
        try:
            member.start()
            member.play()
        except _PowerLost:
            pass
        disk.lose_power()
        disk.stop_at = None
        return member, disk, folder

    def check(self, member, again):
        self.assertEqual(member.ctx.logger.faults, [])
        self.assertGreaterEqual(again.hard_state.term, member.term)
        for index, term in member.promised.items():
            if index >= again.snapshot.index:
                self.assertEqual(again.term_at(index), term, f"{index} was promised: {member.promised}")
        wrong = {n: e for n, e in enumerate(again.entries, again.snapshot.index + 1) if e.index != n}
        self.assertEqual(wrong, {})
        terms = [again.snapshot.term, *(e.term for e in again.entries)]
        self.assertEqual(terms, sorted(terms), "entries of another branch behind a snapshot")

    def lose_twice(self, stop_at, seed):
        """Loses power at a call, starts again, writes one entry, and loses power once more."""
        member, disk, folder = self.run_to(stop_at, seed)
        again = _Member(folder, disk).start()
        self.check(member, again.durable_log)
        last = again.durable_log.last_index()
        again.put(entry(last + 1, 6))
        again.ctx.step()
        again.durable_log.close()
        disk.lose_power()
        third = _Member(folder, disk).start().durable_log
        self.assertEqual(third.term_at(last + 1), 6)
        self.check(member, third)
        third.close()

    def test_whatever_was_promised_is_there_after_a_loss_of_power_at_any_call(self):
        for seed in SEEDS:
            whole, disk, _ = self.run_to(None, seed)
            self.assertEqual(whole.promised[31], 5)
            for stop_at in range(1, disk.calls + 1):
                with self.subTest(seed=seed, stop_at=stop_at):
                    self.lose_twice(stop_at, seed)

    def lost(self) -> bool:
        """Whether some loss of power breaks a promise, over the same few seeds each time."""
        for seed in range(1, 13):
            _, disk, _ = self.run_to(None, seed)
            for stop_at in range(1, disk.calls + 1):
                try:
                    self.lose_twice(stop_at, seed)
                except (AssertionError, CorruptData):
                    return True
        return False

    def test_without_a_guard_something_promised_is_lost(self):
        for name, (owner, part, instead) in GUARDS.items():
            with self.subTest(name), mock.patch.object(owner, part, instead):
                self.assertTrue(self.lost())


class RejectedCalls(unittest.TestCase):
    def test_what_is_queued_while_a_refusal_is_told_goes_to_the_disk(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        disk = PowerLossDisk(Random(1))
        member = _Member(Path(folder.name), disk).start()
        disk.full = True
        notified = []

        def again(f):
            f.trap(StorageFull)
            disk.full = False
            member.durable_log.save_hard_state(3, "b").addCallback(lambda _: notified.append("hard state"))

        member.durable_log.append(entry(1, 1)).addErrback(again)
        member.ctx.step()
        self.assertEqual(notified, ["hard state"])
        member.durable_log.close()
