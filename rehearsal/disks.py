"""Disks that lose what was not synced, on a stage and under real processes."""

import os
from random import Random

from pipitlink.disk import Disk

__all__ = ["LosingDisk", "TellingDisk"]


class LosingDisk(Disk):
    """Knows what was synced; `lose_power` drops the rest, and may leave a torn part of it."""

    def __init__(self, chance: Random):
        self._chance = chance
        self._synced: dict[str, int] = {}
        self._held: dict[str, int] = {}
        self.full = False

    def _name(self, fd: int) -> str:
        return os.readlink(f"/proc/self/fd/{fd}")

    def append(self, fd, data):
        if self.full:
            raise OSError(28, "No space left on device")
        super().append(fd, data)
        name = self._name(fd)
        self._synced.setdefault(name, 0)

    def sync(self, fd):
        self._synced[self._name(fd)] = os.fstat(fd).st_size

    def cut(self, fd, length):
        super().cut(fd, length)
        name = self._name(fd)
        self._synced[name] = min(self._synced.get(name, 0), length)

    def sync_folder(self, folder):
        pass

    def lose_power(self):
        for name, synced in self._synced.items():
            if os.path.exists(name):
                size = os.path.getsize(name)
                if size > synced:
                    os.truncate(name, synced + self._chance.randrange(size - synced + 1))


class TellingDisk(Disk):
    def __init__(self, plug, data):
        self._plug = plug
        self._told = os.open(f"{data}.synced", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)

    def append(self, fd, data):
        if self._plug.is_full():
            raise OSError(28, "No space left on device")
        super().append(fd, data)

    def sync(self, fd):
        size = os.fstat(fd).st_size
        super().sync(fd)
        self._tell(fd, size)

    def cut(self, fd, length):
        super().cut(fd, length)
        self._tell(fd, length)

    def _tell(self, fd, size):
        os.write(self._told, f"{os.readlink(f'/proc/self/fd/{fd}')} {size}\n".encode())
