"""The agreed log as its records on disk make it: entries, ballots and the marks of snapshots, in order."""

from ..errors import CorruptData
from ..wire.controller_pb2 import Ballot, ControllerEntry, ControllerRecord, Snapshot

__all__ = ["LogReplay"]


class LogReplay:
    """Replays records in their order. An entry takes the place of all that stood at its index and after it.

    A mark says that the log goes on from a snapshot from there on: what stood there on another branch is dropped.
    """

    def __init__(self):
        self.ballot: Ballot | None = None
        self.mark = Snapshot()
        self._entries: dict[int, ControllerEntry] = {}
        self._last = 0

    def add(self, record: ControllerRecord):
        what = record.WhichOneof("of")
        if what == "ballot":
            self.ballot = record.ballot
        elif what == "entry":
            self._add_entry(record.entry)
        elif what == "snapshot":
            self._add_mark(record.snapshot)

    def _add_entry(self, e: ControllerEntry):
        """One that stands there already was written again behind a mark: what follows it stays."""
        known = self._entries.get(e.index)
        if known is not None and known.term == e.term:
            return
        self._cut_after(e.index - 1)
        self._entries[e.index] = e
        self._last = e.index

    def _add_mark(self, mark: Snapshot):
        self.mark = mark
        if self._conflicts(mark):
            self._cut_after(mark.index)
        self._entries.pop(mark.index, None)
        self._last = max(self._last, mark.index)

    def _cut_after(self, index: int):
        while self._last > index:
            self._entries.pop(self._last, None)
            self._last -= 1

    def _conflicts(self, snapshot: Snapshot) -> bool:
        at = self._entries.get(snapshot.index)
        return at is not None and at.term != snapshot.term

    def marks(self, snapshot: Snapshot) -> bool:
        """Whether the newest mark is this snapshot's, so that entries may follow it on disk."""
        return (self.mark.index, self.mark.term) == (snapshot.index, snapshot.term)

    def entries_after(self, snapshot: Snapshot) -> list[ControllerEntry]:
        """What follows a snapshot; nothing where the log is on another branch there."""
        if self._conflicts(snapshot):
            return []
        numbers = range(snapshot.index + 1, self._last + 1)
        if any(n not in self._entries for n in numbers):
            raise CorruptData(f"the log has a gap after {snapshot.index}")
        return [self._entries[n] for n in numbers]
