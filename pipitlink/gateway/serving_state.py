"""Whether a gateway admits new requests."""

from __future__ import annotations

from ..context import Context

__all__ = ["ServingState"]


class ServingState:
    """Whether this gateway is draining, and when it started."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.draining = False
        self.started_at = ctx.timers.now()

    def is_current(self) -> bool:
        """Returns whether new requests may be admitted: not while draining or while the cluster state may be stale."""
        return not self.draining and bool(self._ctx.cluster.ready())
