"""Tracks how far a follower's log matches the leader's, and what to send it next."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..wire.controller_pb2 import AppendResponse, Snapshot
from .snapshot_transfer import OutgoingSnapshot

__all__ = ["FollowerProgress"]


@attrs.define(eq=False)
class FollowerProgress:
    """The replication progress of one follower in one term.

    `match_index` and `last_response_at` are None until the follower has responded in this term. `last_response_at` is
    the time at which the newest call with a response was sent.
    """

    next_index: int
    match_index: int | None = None
    last_response_at: timedelta | None = None
    outgoing: OutgoingSnapshot | None = None

    @property
    def previous_index(self) -> int:
        """The index before the next entries to send."""
        return self.next_index - 1

    def restart(self, last_index: int) -> None:
        """Restarts sending from the end of the leader's log."""
        self.next_index = last_index + 1
        self.outgoing = None

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Starts to send this snapshot until the follower has received it."""
        self.outgoing = OutgoingSnapshot.compress(snapshot)

    def accepted(self, last_index: int) -> None:
        """Records that the follower's log matches the leader's up to an index."""
        self.outgoing = None
        self.match_index = last_index
        self.next_index = last_index + 1

    def rejected(self, last_index: int) -> None:
        """Moves back by at least one entry, to where the follower's log may match."""
        self.next_index = min(last_index, max(0, self.previous_index - 1)) + 1

    def chunk_received(self, outgoing: OutgoingSnapshot, response: AppendResponse) -> bool:
        """Continues a snapshot at the follower's offset; returns whether the offset has advanced.

        If the follower has received none of it, the next transfer starts over with the newest snapshot.
        """
        advanced = response.received_bytes > outgoing.offset
        outgoing.offset = min(response.received_bytes, len(outgoing.data))
        if not response.received_bytes:
            self.outgoing = None
        return advanced
