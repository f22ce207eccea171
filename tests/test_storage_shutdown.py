"""A write in progress while its storage node shuts down."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from twisted.internet import defer

from pipitlink.disk import Disk
from pipitlink.group_commit import GroupCommit
from pipitlink.storage.log_store import LogStore
from pipitlink.storage.node import StorageNode
from pipitlink.timers import spawn

BUDGET_BYTES = 1 << 20


class _Disk(Disk):
    """A disk that calls `before_sync`, if set, before each sync of a file."""

    before_sync = None

    def sync(self, fd):
        if self.before_sync is not None:
            self.before_sync()
        super().sync(fd)


async def _leave():
    return None


class StorageShutdown(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.disk = _Disk()
        self.failures = []
        self.ctx = SimpleNamespace(
            run_in_thread=defer.maybeDeferred,
            logger=SimpleNamespace(failure=lambda event, error: self.failures.append((event, str(error)))),
            membership=SimpleNamespace(leave=_leave),
            reactor=SimpleNamespace(stop=lambda: self.failures.append("the reactor was stopped")),
        )
        self.store = LogStore(Path(folder.name), self.disk, BUDGET_BYTES, 0)
        self.store.recover()
        self.addCleanup(self.store.close)

    def test_a_write_that_a_thread_has_begun_becomes_durable(self):
        """Guards against files that are closed under the thread that writes them, which may then write elsewhere."""
        node = StorageNode.__new__(StorageNode)
        node._ctx, node.log_store = self.ctx, self.store
        left = []
        self.disk.before_sync = lambda: left or spawn(node.shut_down()).addBoth(left.append)
        written = GroupCommit(self.ctx, self.store.segments, self.store.recover).submit(self.store.write_no_op)
        written.addErrback(self.failures.append)
        self.assertEqual(left, [None])
        self.assertEqual(self.failures, [])
        self.assertTrue(written.called)


if __name__ == "__main__":
    unittest.main()
