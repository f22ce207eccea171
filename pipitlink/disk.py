"""Durable file calls and the checksummed frames that logs are made of."""

import os
import shutil
import zlib
from collections.abc import Iterator
from pathlib import Path

__all__ = ["Disk", "replace_file", "set_aside", "frame", "frames", "HEAD"]

HEAD = 8


class Disk:
    """The file calls that must last, in one place so that tests can put a failing layer under them."""

    def append(self, fd: int, data: bytes) -> None:
        while data:
            data = data[os.write(fd, data) :]

    def sync(self, fd: int) -> None:
        os.fdatasync(fd)

    def truncate(self, fd: int, length: int) -> None:
        os.ftruncate(fd, length)

    def sync_folder(self, folder: Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def replace_file(path: Path, data: bytes, disk: Disk | None = None) -> None:
    """Replaces a file atomically: writes `data` beside it, syncs, renames it over `path` and syncs the folder.

    Blocks until it is durable. Raises OSError; either the old file or the new one then stands whole.
    """
    disk = disk or Disk()
    new = path.with_name(path.name + ".new")
    fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        disk.append(fd, data)
        disk.sync(fd)
    finally:
        os.close(fd)
    os.replace(new, path)
    disk.sync_folder(path.parent)


def quarantine_data(folder: Path) -> None:
    """Moves all that a data folder holds into its `damaged` folder, in place of what was there before."""
    aside = folder / "damaged"
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir()
    for p in list(folder.iterdir()):
        if p != aside:
            os.replace(p, aside / p.name)


def encode_frame(data: bytes) -> bytes:
    """Returns one frame: the size and a CRC-32 over size and data, 4 bytes each and big-endian, then the data."""
    size = len(data).to_bytes(4, "big")
    return size + zlib.crc32(data, zlib.crc32(size)).to_bytes(4, "big") + data


def decode_frames(data: bytes, start: int = 0) -> Iterator[tuple[int, bytes, int]]:
    """Yields (position, payload, end) for each whole good frame, and stops at the first that is not."""
    at = start
    while at + FRAME_HEADER_BYTES <= len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        end = at + FRAME_HEADER_BYTES + size
        if end > len(data):
            return
        body = data[at + FRAME_HEADER_BYTES : end]
        if zlib.crc32(body, zlib.crc32(data[at : at + 4])) != int.from_bytes(data[at + 4 : at + 8], "big"):
            return
        yield at, bytes(body), end
        at = end
