"""The append-only segment files under a node's logs: group writes, syncs, recovery."""

import os
import threading
from collections.abc import Iterator
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from .disk import FRAME_HEADER_BYTES, Disk, decode_frames, encode_frame
from .errors import CorruptData

__all__ = ["Segments", "Position"]

SEGMENT = 16 * 1024 * 1024
Position = tuple[int, int]
Ticket = Deferred[None] | None


class Segments:
    """Plain append files of checksummed frames. Writers queue entries; `flush`, on a thread, syncs a group."""

    def __init__(self, folder: Path, disk: Disk, lock: AbstractContextManager[Any] | None = None) -> None:
        self._folder = folder
        self._disk = disk
        self._lock: AbstractContextManager[Any] = lock or threading.Lock()
        self._flushing: AbstractContextManager[Any] = (
            lock.twin() if lock is not None and hasattr(lock, "twin") else threading.Lock()
        )
        self._pending: list[tuple[bytes, tuple[Position, Ticket]]] = []
        self._taken: list[tuple[bytes, tuple[Position, Ticket]]] = []
        self._fds: dict[int, int] = {}
        self._sizes: dict[int, int] = {}
        self._next: Position = (1, 0)
        folder.mkdir(parents=True, exist_ok=True)

    def _path(self, n: int) -> Path:
        return self._folder / f"seg-{n:08d}.log"

    def recover(self) -> Iterator[tuple[Position, bytes]]:
        """Yields every good entry; a torn end of the newest file is cut off, damage elsewhere is told."""
        for fd in self._fds.values():
            os.close(fd)
        self._fds, self._sizes = {}, {}
        numbers = sorted(int(p.stem[4:]) for p in self._folder.glob("seg-*.log"))
        for n in numbers:
            data = self._path(n).read_bytes()
            end = 0
            for at, body, end in decode_frames(data):
                yield (n, at), body
            self._open(n)
            self._sizes[n] = end
            if end < len(data):
                if n != numbers[-1]:
                    raise CorruptData(f"{self._path(n).name} is damaged at {end}")
                self._disk.truncate(self._fds[n], end)
            if n == numbers[-1]:
                self._disk.sync(self._fds[n])
        last = numbers[-1] if numbers else 1
        if not numbers:
            self._open(last)
            self._sizes[last] = 0
            self._sync_names()
        with self._lock:
            self._pending = []
            self._next = (last, self._sizes[last])

    def _sync_names(self) -> None:
        """The folder's own name must last as well, or all files in it go with it."""
        self._disk.sync_folder(self._folder)
        self._disk.sync_folder(self._folder.parent)

    def _open(self, n: int) -> None:
        self._fds[n] = os.open(self._path(n), os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def used(self) -> int:
        with self._lock:
            return sum(self._sizes.values()) + sum(len(d) for d, _ in self._pending)

    def put(self, body: bytes, ticket: Ticket) -> Position:
        """Queues an entry and says where it will stand."""
        data = encode_frame(body)
        with self._lock:
            n, at = self._next
            if at and at + len(data) > SEGMENT:
                n, at = n + 1, 0
            self._next = (n, at + len(data))
            self._pending.append((data, ((n, at), ticket)))
            return n, at

    def flush(self) -> list[Ticket]:
        """Writes and syncs what is queued; returns the tickets that are now durable."""
        with self._flushing:
            with self._lock:
                batch = self._taken = self._pending
                self._pending = []
            touched: set[int] = set()
            for data, ((n, at), _) in batch:
                if n not in self._fds:
                    self._finish(touched)
                    self._open(n)
                    self._sizes[n] = 0
                    self._disk.sync_folder(self._folder)
                self._disk.append(self._fds[n], data)
                touched.add(n)
                with self._lock:
                    self._sizes[n] = at + len(data)
            self._sync(touched)
            self._taken = []
            return [ticket for _, (_, ticket) in batch]

    def _finish(self, touched: set[int]) -> None:
        """Goes before a new file is made: only the newest one may have a torn end after a loss of power."""
        self._sync(touched)

    def _sync(self, touched: set[int]) -> None:
        try:
            for n in sorted(touched):
                self._disk.sync(self._fds[n])
        except OSError as e:
            raise CorruptData(f"sync failed: {e}") from e
        touched.clear()

    def waiting(self) -> bool:
        with self._lock:
            return bool(self._pending)

    def abandon(self) -> list[Ticket]:
        """Forgets what is queued after a failed flush."""
        with self._lock:
            batch = self._taken + self._pending
            self._taken, self._pending = [], []
        return [ticket for _, (_, ticket) in batch]

    def read_bytes(self, spot: Position, length: int) -> bytes:
        n, at = spot
        data = os.pread(self._fds[n], length, at + FRAME_HEADER_BYTES)
        if len(data) != length:
            raise CorruptData(f"{self._path(n).name} ends early at {at}")
        return data

    def numbers(self) -> list[int]:
        with self._lock:
            return sorted(self._sizes)

    def roll(self) -> None:
        """What is queued from now on goes to a new file."""
        with self._lock:
            if self._next[1]:
                self._next = (self._next[0] + 1, 0)

    def size(self, n: int) -> int:
        with self._lock:
            return self._sizes.get(n, 0)

    def newest(self) -> int:
        with self._lock:
            return self._next[0]

    def drop(self, n: int) -> None:
        fd = self._fds.pop(n)
        with self._lock:
            self._sizes.pop(n, None)
        os.close(fd)
        self._path(n).unlink()
        self._disk.sync_folder(self._folder)

    def close(self) -> None:
        for fd in self._fds.values():
            os.close(fd)
        self._fds = {}
