"""Whether a gateway takes new work."""

from __future__ import annotations

from ..context import Context

__all__ = ["ServingState"]


class ServingState:
    """Whether this gateway is draining, and since when it runs."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.draining = False
        self.started_at = ctx.timers.now()

    def is_current(self) -> bool:
        """Returns whether new work may be admitted: not while draining, nor with a cluster state that may be stale."""
        return not self.draining and bool(self._ctx.cluster.ready())
