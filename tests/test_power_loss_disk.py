"""The disk of the testbed loses unsynced data and nothing else."""

import os
import tempfile
import unittest
from pathlib import Path
from random import Random

from testbed.faults.disks import PowerLossDisk


class PowerLossDisks(unittest.TestCase):
    def setUp(self):
        box = tempfile.TemporaryDirectory()
        self.addCleanup(box.cleanup)
        self.folder, self.other = Path(box.name) / "data", Path(box.name) / "other"
        self.folder.mkdir()
        self.other.mkdir()
        self.disk = PowerLossDisk(Random(1))

    def write_unsynced(self, path: Path):
        fd = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
        self.addCleanup(os.close, fd)
        self.disk.append(fd, b"x" * 1000)

    def test_unsynced_data_is_lost(self):
        self.write_unsynced(self.folder / "log")
        self.disk.lose_power()
        self.assertLess((self.folder / "log").stat().st_size, 1000)

    def test_file_that_reuses_the_inode_number_of_a_removed_file_is_kept(self):
        for remember in (lambda: self.disk.sync_folder(self.folder), lambda: self.write_unsynced(self.folder / "next")):
            with self.subTest(remember):
                self.write_unsynced(self.folder / "log")
                os.replace(self.folder / "log", self.other / "log")
                remember()
                os.replace(self.other / "log", self.folder / "members")
                self.disk.lose_power()
                self.assertEqual((self.folder / "members").stat().st_size, 1000)
