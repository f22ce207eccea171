"""Disks for power loss faults, which lose unsynced data, in simulations and in real processes."""

import os
import shutil
import tempfile
from pathlib import Path
from random import Random
from typing import Protocol

from pipitlink.disk import Disk

__all__ = ["PowerLossDisk", "ReportingDisk"]


class PowerLossDisk(Disk):
    """Tracks what was synced; `lose_power` truncates each file to its synced length plus a random part of the rest.

    With `names` set, each creation, rename or removal of a file since the last sync of its folder is also kept or
    lost at random, independently of the others.
    """

    def __init__(self, rng: Random, names: bool = False) -> None:
        self._rng = rng
        self._synced: dict[int, int] = {}
        self._known_folders: set[Path] = set()
        self._durable: dict[Path, Path] = {}
        self._shadows = tempfile.TemporaryDirectory(prefix="durable-") if names else None
        self.full = False

    def append(self, fd: int, data: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        if os.fstat(fd).st_size == 0:
            self._forget_removed_files()
            self._synced[os.fstat(fd).st_ino] = 0
        super().append(fd, data)
        self._remember_folder(fd)

    def _forget_removed_files(self) -> None:
        """Forgets removed files, since their inode numbers may be reused for files that this disk doesn't write."""
        known = list(self._synced)
        folders = [folder for folder in tuple(self._known_folders) if folder.exists()]
        present = {entry.inode() for folder in folders for entry in os.scandir(folder)}
        for number in known:
            if number not in present:
                self._synced.pop(number, None)

    def _remember_folder(self, fd: int) -> None:
        self._known_folders.add(Path(os.readlink(f"/proc/self/fd/{fd}")).parent)

    def sync(self, fd: int) -> None:
        self._remember_folder(fd)
        self._synced[os.fstat(fd).st_ino] = os.fstat(fd).st_size

    def truncate(self, fd: int, length: int) -> None:
        super().truncate(fd, length)
        number = os.fstat(fd).st_ino
        self._synced[number] = min(self._synced.get(number, 0), length)

    def sync_folder(self, folder: Path) -> None:
        self._forget_removed_files()
        self.save_names(folder)

    def save_names(self, folder: Path) -> None:
        """Keeps hard links to a folder's entries as its durable state, to which `lose_power` may roll them back.

        Does nothing unless the disk was made with `names=True`.
        """
        if self._shadows is None:
            return
        self._drop_shadow(Path(folder))
        shadow = self._durable[Path(folder)] = Path(tempfile.mkdtemp(dir=self._shadows.name))
        for path in Path(folder).iterdir():
            self._link(path, shadow / path.name)

    def _drop_shadow(self, folder: Path) -> None:
        old = self._durable.pop(folder, None)
        if old is not None:
            shutil.rmtree(old)

    def _link(self, path: Path, goal: Path) -> None:
        if path.is_dir():
            shutil.copytree(path, goal, copy_function=os.link)
        else:
            os.link(path, goal)

    def lose_power(self) -> None:
        """Drops a random part of each file's unsynced data; with `names`, also rolls back random unsynced names."""
        for folder, durable in sorted(self._durable.items()):
            self._restore_names(folder, durable)
        folders = [folder for folder in (*self._known_folders, *self._durable) if folder.exists()]
        for path in sorted({p for top in folders for p in top.rglob("*") if p.is_file()}):
            self._lose_unsynced_tail(path)
        for folder in list(self._durable):
            if folder.exists():
                self.save_names(folder)
            else:
                self._drop_shadow(folder)

    def _restore_names(self, folder: Path, durable: Path) -> None:
        if not folder.exists():
            return
        for name in sorted({p.name for p in (*folder.iterdir(), *durable.iterdir())}):
            now, before = folder / name, durable / name
            same = now.exists() and before.exists() and (now.is_dir() or now.samefile(before))
            if same or self._rng.random() < 0.5:
                continue
            if now.is_dir():
                shutil.rmtree(now)
            else:
                now.unlink(missing_ok=True)
            if before.exists():
                self._link(before, now)

    def _lose_unsynced_tail(self, path: Path) -> None:
        synced = self._synced.get(path.stat().st_ino)
        size = path.stat().st_size
        if synced is not None and size > synced:
            os.truncate(path, synced + self._rng.randrange(size - synced + 1))
            self._synced[path.stat().st_ino] = path.stat().st_size


class _FullDisks(Protocol):
    def is_full(self) -> bool: ...


class ReportingDisk(Disk):
    """Reports the synced length of each file, in a file beside the data folder.

    To simulate a power loss, the test harness kills the process and drops a random part of the unsynced data.
    """

    def __init__(self, plugin: "_FullDisks", data: str) -> None:
        self._plugin = plugin
        self._report_fd = os.open(f"{data}.synced", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)

    def append(self, fd: int, data: bytes) -> None:
        if self._plugin.is_full():
            raise OSError(28, "No space left on device")
        super().append(fd, data)

    def sync(self, fd: int) -> None:
        size = os.fstat(fd).st_size
        super().sync(fd)
        self._report(fd, size)

    def truncate(self, fd: int, length: int) -> None:
        super().truncate(fd, length)
        self._report(fd, length)

    def _report(self, fd: int, size: int) -> None:
        os.write(self._report_fd, f"{os.readlink(f'/proc/self/fd/{fd}')} {size}\n".encode())
