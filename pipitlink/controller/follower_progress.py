"""How far one follower's log is known to match the leader's, and what it is sent next."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..wire.controller_pb2 import AppendResponse, Snapshot
from .snapshot_transfer import OutgoingSnapshot

__all__ = ["FollowerProgress"]


@attrs.define(eq=False)
class FollowerProgress:
    """One follower in one term of a leader.

    `match_index` is None, and so is `last_response_at`, until the follower has answered in this term. The latter is
    when the newest call was sent that it has answered.
    """

    next_index: int
    match_index: int | None = None
    last_response_at: timedelta | None = None
    outgoing: OutgoingSnapshot | None = None

    @property
    def previous_index(self) -> int:
        """The index that the next entries follow."""
        return self.next_index - 1

    def restart(self, last_index: int) -> None:
        """Begins to send anew, from the end of the leader's log."""
        self.next_index = last_index + 1
        self.outgoing = None

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Sends this snapshot from now on, until it has arrived."""
        self.outgoing = OutgoingSnapshot.compress(snapshot)

    def accepted(self, last_index: int) -> None:
        """Notes that the follower's log matches the leader's up to an index."""
        self.outgoing = None
        self.match_index = last_index
        self.next_index = last_index + 1

    def rejected(self, last_index: int) -> None:
        """Goes back, at least by one entry, to where the follower's log may match."""
        self.next_index = min(last_index, max(0, self.previous_index - 1)) + 1

    def chunk_received(self, outgoing: OutgoingSnapshot, response: AppendResponse) -> bool:
        """Continues a snapshot where the follower is; returns whether more of it has arrived.

        A follower that has nothing of it gets whichever snapshot is the newest then.
        """
        advanced = response.received_bytes > outgoing.offset
        outgoing.offset = min(response.received_bytes, len(outgoing.data))
        if not response.received_bytes:
            self.outgoing = None
        return advanced
