"""Checks whether a writer knows the current placement of a log."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..errors import StalePlacement
from ..replicated_log.placement_group import placement_group_of
from ..timers import ms

__all__ = ["PlacementCheck"]

FOLLOW_TIMEOUT: timedelta = ms(500)


class PlacementCheck:
    """Refuses requests based on an older placement than the one known to this storage node."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    async def require_current(self, log: str, sequence: int) -> None:
        """Raises StalePlacement if the log's placement group has a higher sequence, or may have one.

        The placement is not stored on disk. A storage node that has just started does not know it until it has caught
        up with a leader, and could otherwise accept a writer with an older placement.
        """
        if not await self._ctx.cluster.wait_until_caught_up(FOLLOW_TIMEOUT):
            raise StalePlacement("this storage node has not received the current placement since it started")
        cluster = self._ctx.cluster
        placement_group = cluster.placement_group(placement_group_of(log, cluster.placement_groups))
        if sequence < placement_group.sequence:
            raise StalePlacement(
                f"placement group {placement_group.number} is at sequence {placement_group.sequence}, not {sequence}"
            )
