"""Remembers peers' addresses on disk across restarts."""

import json
from pathlib import Path

from ..disk import replace_file
from ..timers import ZERO, spawn

__all__ = ["Memory"]


class Memory:
    """Mixin: peers remembered on disk, where the node has one, so that seeds are not needed again.

    Offers `remember_in`, `_recall` and `_keep`.
    Needs of Membership: `_ctx`, `_entries`, `_probe`.
    Owns `_file`, which Membership sets to None first, `_kept`, `_unkept` and `_keeping`.
    """

    _kept: list | None = None
    _unkept = False
    _keeping = False

    def remember_in(self, folder: Path):
        self._file = folder / "colleagues.json"

    def _recall(self):
        if self._file is None or not self._file.exists():
            return
        try:
            places = [(str(h), int(p)) for h, p in json.loads(self._file.read_text())]
        except (ValueError, TypeError, OSError) as e:
            self._ctx.logger.failure("peers_forgotten", e)
            return
        for place in places[:64]:
            spawn(self._probe(place))

    def _keep(self):
        if self._file is None:
            return
        self._unkept = True
        if not self._keeping:
            self._keeping = True
            self._ctx.timers.call_later(ZERO, self._begin_write)

    def _begin_write(self):
        """On the next turn of the event loop, so that all that changes in this one is a single write."""
        self._ctx.run_in_background(self._write(), "keep_peers")

    async def _write(self):
        """Writes the places of the live peers beside the event loop, one write at a time and only where they changed.

        A cut changes the status of every member, and each write waits twice for the disk.
        """
        try:
            while self._unkept:
                self._unkept = False
                places = sorted({e.place for e in self._entries.values() if e.state == "alive"})
                if places != self._kept:
                    await self._ctx.run_in_thread(replace_file, self._file, json.dumps(places).encode())
                    self._kept = places
        except OSError as e:
            self._ctx.logger.failure("peers_not_kept", e)
        finally:
            self._keeping = False
