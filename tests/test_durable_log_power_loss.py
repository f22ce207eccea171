"""Power loss at every disk call of the controller's durable log; unsynced names and file ends are lost at random."""

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
SEGMENT_BYTES = 400


class _PowerLost(BaseException):
    """A BaseException, so that the code under test does not handle it."""


class _StoppingDisk(PowerLossDisk):
    """Loses power at the disk call with number `stop_at`, counted from 1."""

    def __init__(self, rng, stop_at=None):
        super().__init__(rng, names=True)
        self.calls = 0
        self.stop_at = stop_at

    def _is_stopped(self) -> bool:
        self.calls += 1
        return self.stop_at is not None and self.calls >= self.stop_at

    def _count_call(self):
        if self._is_stopped():
            raise _PowerLost

    def append(self, fd, data):
        if self._is_stopped():
            if self.calls == self.stop_at and data:
                super().append(fd, data[: self._rng.randrange(len(data))])
            raise _PowerLost
        super().append(fd, data)

    def sync(self, fd):
        self._count_call()
        super().sync(fd)

    def sync_folder(self, folder):
        self._count_call()
        super().sync_folder(folder)


class _RecordingLogger:
    def __init__(self):
        self.faults = []

    def failure(self, event, error, **fields):
        self.faults.append((event, error))

    def info(self, event, **fields):
        pass


class _Context:
    """Holds calls for the thread pool until `run_held_calls`, so that further writes queue up behind them."""

    def __init__(self):
        self.logger = _RecordingLogger()
        self._held = []
        self.reactor = mock.Mock()

    def run_in_thread(self, do, *args):
        d = defer.Deferred()
        self._held.append((d, do, args))
        return d

    def run_held_calls(self):
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


class _Controller:
    """Drives a durable log as a controller does, and records what was acknowledged: synced entries and terms."""

    def __init__(self, folder: Path, disk):
        self.ctx, self.folder = _Context(), folder
        self.durable_log = DurableLog(self.ctx, folder, disk)
        self.acknowledged: dict[int, int] = {}
        self.term = 0

    def start(self) -> "_Controller":
        self.durable_log.recover()
        return self

    def append(self, e: ControllerEntry):
        for n in [n for n in self.acknowledged if n >= e.index]:
            del self.acknowledged[n]
        d = self.durable_log.append(e)
        d.addCallback(lambda _: self._acknowledge(e))
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))

    def _acknowledge(self, e):
        if self.durable_log.term_at(e.index) == e.term:
            self.acknowledged[e.index] = e.term

    def vote(self, term):
        d = self.durable_log.save_hard_state(term, "a")
        d.addCallback(lambda _: setattr(self, "term", term))
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))

    def install(self, s: Snapshot):
        if self.acknowledged.get(s.index, s.term) != s.term:
            self.acknowledged = {n: t for n, t in self.acknowledged.items() if n < s.index}
        self.durable_log.save_snapshot(s)
        d = self.durable_log.use_snapshot(s)
        d.addErrback(lambda f: f.trap(StorageFull, _PowerLost))
        self.acknowledged = {n: t for n, t in self.acknowledged.items() if self.durable_log.term_at(n) == t}

        def acknowledge(_):
            self.acknowledged[s.index] = s.term

        d.addCallback(acknowledge)

    def run_history(self):
        """Runs a bootstrap, a new segment, a compaction amid writes, a conflicting branch and a snapshot over it."""
        self.install(snapshot(0, 0))
        self.ctx.run_held_calls()
        self.vote(1)
        for n in range(1, 9):
            self.append(entry(n, 1))
            if n % 3 == 0:
                self.ctx.run_held_calls()
        self.ctx.run_held_calls()
        self.append(entry(9, 1))
        self.install(snapshot(5, 1))
        self.append(entry(10, 1))
        self.ctx.run_held_calls()
        self.vote(2)
        for n in range(8, 13):
            self.append(entry(n, 2))
        self.ctx.run_held_calls()
        self.install(snapshot(10, 3))
        self.ctx.run_held_calls()
        self.vote(4)
        for n in range(11, 16):
            self.append(entry(n, 4))
        self.ctx.run_held_calls()
        self.install(snapshot(30, 5))
        self.append(entry(31, 5))
        self.ctx.run_held_calls()


def _always_truncate(replay, e):
    replay._truncate_after(e.index - 1)
    replay._entries[e.index] = e
    replay._last_index = e.index


GUARDS = {
    "a segment is synced before the next one is created": (Segments, "_sync_before_roll", lambda self, touched: None),
    "the parent folder of the log is synced": (
        Segments,
        "_sync_folder_names",
        lambda self: self._disk.sync_folder(self._folder),
    ),
    "a rewritten entry truncates nothing": (LogReplay, "_add_entry", _always_truncate),
    "entries follow a snapshot only after its marker": (LogReplay, "has_marker_of", lambda self, snapshot: True),
    "a conflicting branch ends at a snapshot": (LogReplay, "_conflicts", lambda self, snapshot: False),
}


class PowerLoss(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        patch = mock.patch.object(segments, "MAX_SEGMENT_BYTES", SEGMENT_BYTES)
        patch.start()
        self.addCleanup(patch.stop)

    def run_until(self, stop_at, seed):
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        disk = _StoppingDisk(Random(f"{seed}.{stop_at}"), stop_at)
        disk.save_names(folder)
        controller = _Controller(folder, disk)
        try:
            controller.start()
            controller.run_history()
        except _PowerLost:
            pass
        disk.lose_power()
        disk.stop_at = None
        return controller, disk, folder

    def check(self, controller, restarted):
        self.assertEqual(controller.ctx.logger.faults, [])
        self.assertGreaterEqual(restarted.hard_state.term, controller.term)
        for index, term in controller.acknowledged.items():
            if index >= restarted.snapshot.index:
                self.assertEqual(restarted.term_at(index), term, f"{index} was acknowledged: {controller.acknowledged}")
        misplaced = {n: e for n, e in enumerate(restarted.entries, restarted.snapshot.index + 1) if e.index != n}
        self.assertEqual(misplaced, {})
        terms = [restarted.snapshot.term, *(e.term for e in restarted.entries)]
        self.assertEqual(terms, sorted(terms), "entries of a conflicting branch follow a snapshot")

    def lose_power_twice(self, stop_at, seed):
        """Loses power at a call, restarts, writes one entry, and loses power again."""
        controller, disk, folder = self.run_until(stop_at, seed)
        restarted = _Controller(folder, disk).start()
        self.check(controller, restarted.durable_log)
        last = restarted.durable_log.last_index()
        restarted.append(entry(last + 1, 6))
        restarted.ctx.run_held_calls()
        restarted.durable_log.close()
        disk.lose_power()
        restarted_twice = _Controller(folder, disk).start().durable_log
        self.assertEqual(restarted_twice.term_at(last + 1), 6)
        self.check(controller, restarted_twice)
        restarted_twice.close()

    def test_acknowledged_writes_survive_a_power_loss_at_any_disk_call(self):
        for seed in SEEDS:
            complete, disk, _ = self.run_until(None, seed)
            self.assertEqual(complete.acknowledged[31], 5)
            for stop_at in range(1, disk.calls + 1):
                with self.subTest(seed=seed, stop_at=stop_at):
                    self.lose_power_twice(stop_at, seed)

    def loses_acknowledged_data(self) -> bool:
        """Whether some power loss loses acknowledged data; uses the same seeds each time."""
        for seed in range(1, 13):
            _, disk, _ = self.run_until(None, seed)
            for stop_at in range(1, disk.calls + 1):
                try:
                    self.lose_power_twice(stop_at, seed)
                except (AssertionError, CorruptData):
                    return True
        return False

    def test_without_any_one_guard_acknowledged_data_is_lost(self):
        for name, (owner, method, replacement) in GUARDS.items():
            with self.subTest(name), mock.patch.object(owner, method, replacement):
                self.assertTrue(self.loses_acknowledged_data())


class RejectedWrites(unittest.TestCase):
    def test_a_write_queued_in_the_callback_of_a_rejected_write_is_synced(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        disk = PowerLossDisk(Random(1))
        controller = _Controller(Path(folder.name), disk).start()
        disk.full = True
        synced = []

        def write_again(f):
            f.trap(StorageFull)
            disk.full = False
            controller.durable_log.save_hard_state(3, "b").addCallback(lambda _: synced.append("hard state"))

        controller.durable_log.append(entry(1, 1)).addErrback(write_again)
        controller.ctx.run_held_calls()
        self.assertEqual(synced, ["hard state"])
        controller.durable_log.close()
