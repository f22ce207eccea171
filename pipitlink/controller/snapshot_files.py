"""The file format of a controller's snapshot: a folder that is written under a temporary name, synced and renamed."""

from __future__ import annotations

import dbm.dumb
import os
import shutil
import zlib
from pathlib import Path

from ..disk import Disk, replace_file
from ..errors import CorruptData
from ..wire.cluster_pb2 import Row
from ..wire.controller_pb2 import Snapshot

__all__ = ["SnapshotFiles"]

CHECKSUM_SIZE = 4


class SnapshotFiles:
    """Reads and writes the snapshot in a controller's data folder.

    A snapshot is a dbm file with one record per row of the weight table, and a `head` record with everything else and a
    CRC-32 of rows and head. The empty file `founded` marks that a snapshot has been saved.
    """

    def __init__(self, folder: Path, disk: Disk) -> None:
        self._folder = folder
        self._disk = disk
        self._bootstrapped_file = folder / "founded"

    def was_bootstrapped(self) -> bool:
        """Returns whether a snapshot has ever been saved in this folder."""
        return self._bootstrapped_file.exists()

    def save(self, snapshot: Snapshot) -> None:
        """Durably replaces the previous snapshot. Blocks; raises OSError."""
        target = self._folder / f"setup-{snapshot.index:012d}"
        temporary = self._folder / "setup.new"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir(parents=True)
        self._write_records(temporary, snapshot)
        self._sync_files(temporary)
        shutil.rmtree(target, ignore_errors=True)
        os.replace(temporary, target)
        self._disk.sync_folder(self._folder)
        if not self.was_bootstrapped():
            replace_file(self._bootstrapped_file, b"", self._disk)
        for older in self._folder.glob("setup-*"):
            if older != target:
                shutil.rmtree(older, ignore_errors=True)

    def _write_records(self, folder: Path, snapshot: Snapshot) -> None:
        rows = sorted(snapshot.cluster_state.rows, key=lambda row: row.name)
        checksum = 0
        with dbm.dumb.open(str(folder / "setup"), "n") as database:
            for row in rows:
                body = row.SerializeToString()
                checksum = zlib.crc32(body, checksum)
                database[b"row/" + row.name.encode()] = body
            head = Snapshot()
            head.CopyFrom(snapshot)
            del head.cluster_state.rows[:]
            body = head.SerializeToString()
            database[b"head"] = zlib.crc32(body, checksum).to_bytes(CHECKSUM_SIZE, "big") + body

    def _sync_files(self, folder: Path) -> None:
        for path in folder.iterdir():
            descriptor = os.open(path, os.O_RDONLY)
            try:
                self._disk.sync(descriptor)
            finally:
                os.close(descriptor)
        self._disk.sync_folder(folder)

    def load(self) -> Snapshot:
        """Returns the newest snapshot, or an empty one if there is none. Raises CorruptData."""
        folders = sorted(self._folder.glob("setup-*"), reverse=True)
        if not folders:
            return Snapshot()
        newest = folders[0]
        try:
            rows, head = self._read_records(newest)
        except Exception as error:
            raise CorruptData(f"the snapshot {newest.name} cannot be read: {error}") from error
        checksum = 0
        for row in rows:
            checksum = zlib.crc32(row.SerializeToString(), checksum)
        if zlib.crc32(head[CHECKSUM_SIZE:], checksum) != int.from_bytes(head[:CHECKSUM_SIZE], "big"):
            raise CorruptData(f"the snapshot {newest.name} is damaged")
        snapshot = Snapshot.FromString(head[CHECKSUM_SIZE:])
        snapshot.cluster_state.rows.extend(rows)
        return snapshot

    def _read_records(self, folder: Path) -> tuple[list[Row], bytes]:
        with dbm.dumb.open(str(folder / "setup"), "r") as database:
            keys = sorted(key for key in database if isinstance(key, bytes))
            rows = [Row.FromString(database[key]) for key in keys if key.startswith(b"row/")]
            rows.sort(key=lambda row: row.name)
            return rows, database[b"head"]
