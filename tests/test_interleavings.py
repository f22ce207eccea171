"""Explores every order of concurrent appends and a group sync."""

import os
import tempfile
import unittest
from functools import partial
from pathlib import Path

from pipitlink.disk import Disk, decode_frames
from pipitlink.segments import Segments
from testbed.simulator.interleavings import Interleaver, StepLock


class _StepDisk(Disk):
    def __init__(self, run):
        self._run = run
        self.synced = 0

    def append(self, fd, data):
        self._run.switch_point()
        super().append(fd, data)

    def sync(self, fd):
        size = os.fstat(fd).st_size
        self._run.switch_point()
        self.synced = size

    def sync_folder(self, folder):
        pass


class GroupSync(unittest.TestCase):
    def explore(self, segments_kind=Segments):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        count = [0]

        def make(run):
            count[0] += 1
            disk = _StepDisk(run)
            s = segments_kind(Path(folder.name) / str(count[0]), disk, partial(StepLock, run))
            list(s.recover())
            positions, acknowledged = {}, []

            def put(name):
                positions[name] = s.append(name.encode(), name)

            def flush():
                for name in s.flush():
                    end = positions[name].offset + len(name) + 8 if name in positions else None
                    acknowledged.append(name)
                    assert end is None or end <= disk.synced, f"{name} was acknowledged before it was synced"

            def check():
                acknowledged.extend(s.flush())
                assert sorted(acknowledged) == ["one", "two"], f"acknowledged {acknowledged}"
                data = (Path(folder.name) / str(count[0]) / "seg-00000001.log").read_bytes()
                found = {body.decode(): (1, at) for at, body, _ in decode_frames(data)}
                assert found == positions, f"{found} is not {positions}"
                s.close()

            return [lambda: (put("one"), put("two")), flush], check

        return Interleaver.explore(make)

    def test_appends_are_acknowledged_after_their_sync_and_stored_at_the_returned_positions(self):
        self.assertGreater(self.explore(), 500)

    def test_explorer_finds_a_flush_that_acknowledges_later_appends(self):
        class EarlyFlush(Segments):
            def flush(self):
                completions = super().flush()
                with self._lock:
                    late = [write.completion for write in self._pending]
                return completions + late

        with self.assertRaises(AssertionError):
            self.explore(EarlyFlush)
