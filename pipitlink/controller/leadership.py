"""When a new leader may begin to change placements."""

from __future__ import annotations

from ..context import Context
from ..timers import secs
from .interfaces import ConsensusView, LeaderLog

__all__ = ["may_change_placement"]

SETTLING_TIME = secs(1)
"""A new leader waits this long, until it knows who is alive."""


def may_change_placement(ctx: Context, consensus: ConsensusView, leader_log: LeaderLog) -> bool:
    """Returns whether this controller leads with a committed entry of its term, and was elected a while ago."""
    if not consensus.is_leader or not consensus.term_is_committed():
        return False
    return ctx.timers.now() - leader_log.elected_at >= SETTLING_TIME
