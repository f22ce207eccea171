"""Durable file operations, and the checksummed frames that log files consist of."""

from __future__ import annotations

import os
import shutil
import zlib
from collections.abc import Iterator
from pathlib import Path

__all__ = ["FRAME_HEADER_BYTES", "Disk", "decode_frames", "encode_frame", "quarantine_data", "replace_file"]

FRAME_HEADER_BYTES = 8
QUARANTINE_FOLDER = "damaged"


class Disk:
    """The file operations on which durability depends, in one class so that tests can inject faults.

    All of them block and raise OSError on failure.
    """

    def append(self, fd: int, data: bytes) -> None:
        """Writes all of `data` at the end of a file opened for appending; it is not durable yet."""
        while data:
            data = data[os.write(fd, data) :]

    def sync(self, fd: int) -> None:
        """Makes the contents of a file durable."""
        os.fdatasync(fd)

    def truncate(self, fd: int, length: int) -> None:
        """Shortens a file to `length` bytes."""
        os.ftruncate(fd, length)

    def sync_folder(self, folder: Path) -> None:
        """Makes the directory entries of a folder durable."""
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def replace_file(path: Path, data: bytes, disk: Disk | None = None) -> None:
    """Replaces a file atomically: writes `data` beside it, syncs, renames it over `path` and syncs the folder.

    Blocks until the new file is durable. On OSError, `path` still holds a complete file, either the old or the new one.
    """
    disk = disk or Disk()
    new_path = path.with_name(path.name + ".new")
    fd = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        disk.append(fd, data)
        disk.sync(fd)
    finally:
        os.close(fd)
    os.replace(new_path, path)
    disk.sync_folder(path.parent)


def quarantine_data(folder: Path) -> None:
    """Moves the contents of a data folder into its `damaged` subfolder, whose previous contents are deleted."""
    quarantine = folder / QUARANTINE_FOLDER
    shutil.rmtree(quarantine, ignore_errors=True)
    quarantine.mkdir()
    for path in list(folder.iterdir()):
        if path != quarantine:
            os.replace(path, quarantine / path.name)


def encode_frame(payload: bytes) -> bytes:
    """Returns a frame: payload size, CRC-32 of size and payload, payload. Both numbers are 4 bytes, big-endian."""
    size = len(payload).to_bytes(4, "big")
    return size + zlib.crc32(payload, zlib.crc32(size)).to_bytes(4, "big") + payload


def decode_frames(data: bytes, start: int = 0) -> Iterator[tuple[int, bytes, int]]:
    """Yields (offset, payload, end) of each frame from `start` on, up to the first incomplete or corrupt one."""
    offset = start
    while offset + FRAME_HEADER_BYTES <= len(data):
        size = int.from_bytes(data[offset : offset + 4], "big")
        end = offset + FRAME_HEADER_BYTES + size
        if end > len(data):
            return
        payload = data[offset + FRAME_HEADER_BYTES : end]
        checksum = int.from_bytes(data[offset + 4 : offset + 8], "big")
        if zlib.crc32(payload, zlib.crc32(data[offset : offset + 4])) != checksum:
            return
        yield offset, bytes(payload), end
        offset = end
