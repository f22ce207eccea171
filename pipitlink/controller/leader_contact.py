"""Times of the last contact with a leader; shared by elections and the log receiver."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..timers import ZERO

__all__ = ["LeaderContact"]


class LeaderContact:
    """Times, on the timers' clock, of a leader's messages and of resets of the election timeout."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.started_at = ZERO
        self.leader_message_at = ZERO
        self.election_timer_reset_at = ZERO
        self.round_trip_at = ZERO

    def open(self) -> None:
        """Sets all times to now, at the start of the controller."""
        now = self._ctx.timers.now()
        self.started_at = self.leader_message_at = self.election_timer_reset_at = self.round_trip_at = now

    def record_leader_message(self, response_age: timedelta) -> None:
        """Records a leader's message, which states how long ago it sent the last call that this node responded to."""
        now = self._ctx.timers.now()
        self.election_timer_reset_at = self.leader_message_at = now
        self.round_trip_at = max(self.round_trip_at, now - response_age)

    def reset_election_timer(self) -> None:
        """Restarts the election timeout, for example after a vote."""
        self.election_timer_reset_at = self._ctx.timers.now()

    def had_leader_since_start(self) -> bool:
        """Returns whether a leader's message has arrived since this controller started."""
        return self.leader_message_at != self.started_at
