"""Rebuilds a controller's log from its records on disk: entries, hard states and snapshot markers, in order."""

from __future__ import annotations

from ..errors import CorruptData
from ..wire.controller_pb2 import ControllerEntry, ControllerRecord, HardState, Snapshot

__all__ = ["LogReplay"]


class LogReplay:
    """Replays records in order. An entry replaces all entries at its index and after it, unless it is already known.

    A snapshot marker records that the log continues from a snapshot. If the entry at the snapshot's index has another
    term, it is on a conflicting branch of the log, and it and all entries after it are dropped.
    """

    def __init__(self) -> None:
        self.hard_state: HardState | None = None
        self.newest_marker = Snapshot()
        self._entries: dict[int, ControllerEntry] = {}
        self._last_index = 0

    def add(self, record: ControllerRecord) -> None:
        """Adds the next record."""
        kind = record.WhichOneof("of")
        if kind == "hard_state":
            self.hard_state = record.hard_state
        elif kind == "entry":
            self._add_entry(record.entry)
        elif kind == "snapshot":
            self._add_marker(record.snapshot)

    def _add_entry(self, entry: ControllerEntry) -> None:
        """Adds an entry, unless it is already known.

        The entries that are retained when a snapshot is used are written again after its marker. Such a copy must not
        remove the entries after it.
        """
        known = self._entries.get(entry.index)
        if known is not None and known.term == entry.term:
            return
        self._truncate_after(entry.index - 1)
        self._entries[entry.index] = entry
        self._last_index = entry.index

    def _add_marker(self, marker: Snapshot) -> None:
        self.newest_marker = marker
        if self._conflicts(marker):
            self._truncate_after(marker.index)
        self._entries.pop(marker.index, None)
        self._last_index = max(self._last_index, marker.index)

    def _truncate_after(self, index: int) -> None:
        while self._last_index > index:
            self._entries.pop(self._last_index, None)
            self._last_index -= 1

    def _conflicts(self, snapshot: Snapshot) -> bool:
        entry = self._entries.get(snapshot.index)
        return entry is not None and entry.term != snapshot.term

    def has_marker_of(self, snapshot: Snapshot) -> bool:
        """Returns whether the newest marker belongs to this snapshot, so that entries may follow it on disk."""
        return (self.newest_marker.index, self.newest_marker.term) == (snapshot.index, snapshot.term)

    def entries_after(self, snapshot: Snapshot) -> list[ControllerEntry]:
        """Returns the entries after a snapshot, or none if the log conflicts with the snapshot.

        Raises CorruptData if an entry is missing in between.
        """
        if self._conflicts(snapshot):
            return []
        indexes = range(snapshot.index + 1, self._last_index + 1)
        if any(index not in self._entries for index in indexes):
            raise CorruptData(f"the log has a gap after {snapshot.index}")
        return [self._entries[index] for index in indexes]
