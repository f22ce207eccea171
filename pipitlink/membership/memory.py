"""Remembers peers' addresses on disk across restarts."""

import json
from pathlib import Path

from ..disk import swap_in
from ..timers import spawn

__all__ = ["Memory"]


class Memory:
    """Mixin: peers remembered on disk, where the node has one, so that seeds are not needed again.

    Offers `remember_in`, `_recall` and `_keep`.
    Needs of Membership: `_ctx`, `_entries`, `_probe`.
    Owns `_file`, which Membership sets to None first.
    """

    def remember_in(self, folder: Path):
        self._file = folder / "colleagues.json"

    def _recall(self):
        if self._file is None or not self._file.exists():
            return
        try:
            places = [(str(h), int(p)) for h, p in json.loads(self._file.read_text())]
        except (ValueError, TypeError, OSError) as e:
            self._ctx.journal.fault("peers_forgotten", e)
            return
        for place in places[:64]:
            spawn(self._probe(place))

    def _keep(self):
        if self._file is None:
            return
        places = sorted({e.place for e in self._entries.values() if e.state == "alive"})
        try:
            swap_in(self._file, json.dumps(places).encode())
        except OSError as e:
            self._ctx.journal.fault("peers_not_kept", e)
