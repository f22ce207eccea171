"""Decides when a new leader may start to change placements."""

from __future__ import annotations

from ..context import Context
from ..timers import secs
from .interfaces import ConsensusView, LeaderLog

__all__ = ["may_change_placement"]

SETTLING_TIME = secs(1)
"""A new leader learns within this time which nodes are alive, and changes no placement before."""


def may_change_placement(ctx: Context, consensus: ConsensusView, leader_log: LeaderLog) -> bool:
    """Returns whether this controller leads, has committed an entry in its term, and was elected SETTLING_TIME ago."""
    if not consensus.is_leader or not consensus.term_is_committed():
        return False
    return ctx.timers.now() - leader_log.elected_at >= SETTLING_TIME
