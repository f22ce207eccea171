"""Append-only segment files for a node's logs: batched writes, syncs and recovery."""

from __future__ import annotations

import os
import threading
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from .disk import FRAME_HEADER_BYTES, Disk, decode_frames, encode_frame
from .errors import CorruptData

__all__ = ["Position", "Segments", "OptionalCompletion"]

MAX_SEGMENT_BYTES = 16 * 1024 * 1024
FIRST_SEGMENT = 1
NAME_PREFIX = "seg-"

# Fires once a writer's entry is durable; None for entries that no writer waits for.
OptionalCompletion = Deferred[None] | None


class Position(NamedTuple):
    """The start of an entry's frame: a segment's number and an offset in bytes."""

    segment: int
    offset: int


class _PendingWrite(NamedTuple):
    frame: bytes
    position: Position
    completion: OptionalCompletion


class Segments:
    """A sequence of append-only files of checksummed frames.

    Writers queue entries with `append`; `flush` writes and syncs all queued entries and runs on a separate thread.
    `read_bytes` may also be called on other threads. The other methods are called on the reactor's thread.
    """

    def __init__(
        self, folder: Path, disk: Disk, make_lock: Callable[[], AbstractContextManager[Any]] = threading.Lock
    ) -> None:
        self._folder = folder
        self._disk = disk
        self._lock = make_lock()
        self._flush_lock = make_lock()
        self._pending: list[_PendingWrite] = []
        self._in_flight: list[_PendingWrite] = []
        self._fds: dict[int, int] = {}
        self._sizes: dict[int, int] = {}
        self._next = Position(FIRST_SEGMENT, 0)
        folder.mkdir(parents=True, exist_ok=True)

    def recover(self) -> Iterator[tuple[Position, bytes]]:
        """Opens the files and yields position and payload of each entry; drops queued entries.

        Truncates the newest file after its last intact frame. Raises CorruptData if any other file is corrupt.
        """
        self.close()
        self._sizes = {}
        numbers = sorted(self._number_of(path) for path in self._folder.glob(f"{NAME_PREFIX}*.log"))
        newest = numbers[-1] if numbers else FIRST_SEGMENT
        for number in numbers:
            yield from self._recover_segment(number, is_newest=number == newest)
        if not numbers:
            self._open(newest)
            self._sizes[newest] = 0
            self._sync_folder_names()
        with self._lock:
            self._pending = []
            self._next = Position(newest, self._sizes[newest])

    def _recover_segment(self, number: int, is_newest: bool) -> Iterator[tuple[Position, bytes]]:
        data = self._path(number).read_bytes()
        end = 0
        for offset, payload, frame_end in decode_frames(data):
            yield Position(number, offset), payload
            end = frame_end
        self._open(number)
        self._sizes[number] = end
        if end < len(data):
            if not is_newest:
                raise CorruptData(f"{self._path(number).name} is corrupt at offset {end}")
            self._disk.truncate(self._fds[number], end)
        if is_newest:
            self._disk.sync(self._fds[number])

    def _path(self, number: int) -> Path:
        return self._folder / f"{NAME_PREFIX}{number:08d}.log"

    def _number_of(self, path: Path) -> int:
        return int(path.stem[len(NAME_PREFIX) :])

    def _sync_folder_names(self) -> None:
        """Syncs the folder and its parent: without a durable entry in the parent, all files could be lost."""
        self._disk.sync_folder(self._folder)
        self._disk.sync_folder(self._folder.parent)

    def _open(self, number: int) -> None:
        self._fds[number] = os.open(self._path(number), os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def used_bytes(self) -> int:
        """Returns the total size of all files and queued entries."""
        with self._lock:
            return sum(self._sizes.values()) + sum(len(write.frame) for write in self._pending)

    def append(self, payload: bytes, completion: OptionalCompletion) -> Position:
        """Queues an entry and returns the position that it will have. `flush` returns the completion."""
        frame = encode_frame(payload)
        with self._lock:
            position = self._next
            if position.offset and position.offset + len(frame) > MAX_SEGMENT_BYTES:
                position = Position(position.segment + 1, 0)
            self._next = Position(position.segment, position.offset + len(frame))
            self._pending.append(_PendingWrite(frame, position, completion))
            return position

    def flush(self) -> list[OptionalCompletion]:
        """Writes and syncs the queued entries; returns the completions of the entries that are now durable.

        Raises CorruptData if a sync fails, since the contents of the files are then unknown, and OSError if a write
        fails. In either case `discard_pending` returns the completions.
        """
        with self._flush_lock:
            writes = self._take_pending()
            unsynced: set[int] = set()
            for write in writes:
                self._write(write, unsynced)
            self._sync(unsynced)
            self._in_flight = []
            return [write.completion for write in writes]

    def _take_pending(self) -> list[_PendingWrite]:
        with self._lock:
            self._in_flight = self._pending
            self._pending = []
            return self._in_flight

    def _write(self, write: _PendingWrite, unsynced: set[int]) -> None:
        number, offset = write.position
        if number not in self._fds:
            self._sync_before_roll(unsynced)
            self._open(number)
            self._sizes[number] = 0
            self._disk.sync_folder(self._folder)
        self._disk.append(self._fds[number], write.frame)
        unsynced.add(number)
        with self._lock:
            self._sizes[number] = offset + len(write.frame)

    def _sync_before_roll(self, unsynced: set[int]) -> None:
        """Syncs before a new file is created, so that after a power loss only the newest file can be incomplete."""
        self._sync(unsynced)

    def _sync(self, unsynced: set[int]) -> None:
        try:
            for number in sorted(unsynced):
                self._disk.sync(self._fds[number])
        except OSError as error:
            raise CorruptData(f"sync failed: {error}") from error
        unsynced.clear()

    def has_pending(self) -> bool:
        """Returns whether entries are queued that no flush has started to write."""
        with self._lock:
            return bool(self._pending)

    def discard_pending(self) -> list[OptionalCompletion]:
        """Drops entries that are queued or were being written when a flush failed; returns their completions."""
        with self._lock:
            writes = self._in_flight + self._pending
            self._in_flight = []
            self._pending = []
        return [write.completion for write in writes]

    def read_bytes(self, position: Position, length: int) -> bytes:
        """Returns the first `length` bytes of the payload at a position; the payload must not be shorter than that.

        Does not check the checksum. Raises CorruptData if the file ends too early.
        """
        number, offset = position
        data = os.pread(self._fds[number], length, offset + FRAME_HEADER_BYTES)
        if len(data) != length:
            raise CorruptData(f"{self._path(number).name} is truncated: incomplete entry at offset {offset}")
        return data

    def roll(self) -> None:
        """Starts a new file: entries queued from now on are written to it."""
        with self._lock:
            if self._next.offset:
                self._next = Position(self._next.segment + 1, 0)

    def segment_numbers(self) -> list[int]:
        """Returns the numbers of all files, in order."""
        with self._lock:
            return sorted(self._sizes)

    def segment_size(self, number: int) -> int:
        """Returns how many bytes of a file are written, or 0 if it does not exist."""
        with self._lock:
            return self._sizes.get(number, 0)

    def newest_segment(self) -> int:
        """Returns the number of the file that the next entry is written to, unless it does not fit."""
        with self._lock:
            return self._next.segment

    def remove_segment(self, number: int) -> None:
        """Deletes a file and makes the deletion durable."""
        fd = self._fds.pop(number)
        with self._lock:
            self._sizes.pop(number, None)
        os.close(fd)
        self._path(number).unlink()
        self._disk.sync_folder(self._folder)

    def close(self) -> None:
        """Closes the files."""
        for fd in self._fds.values():
            os.close(fd)
        self._fds = {}
