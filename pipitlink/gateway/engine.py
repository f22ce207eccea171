"""What a gateway knows about an engine."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

import attrs

from ..wire.membership_pb2 import EngineUpdate

__all__ = ["Engine", "EngineStatus", "PeerLoad"]


class EngineStatus(StrEnum):
    """Whether an engine may get new requests. The values are visible to operators."""

    READY = "ready"
    SUSPECT = "suspect"
    GONE = "gone"
    DRAINING = "leaving"


@attrs.frozen
class PeerLoad:
    """How many requests another gateway runs on an engine by its last report, and when the report arrived."""

    running: int
    reported_at: timedelta


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine. Times are on the timers' clock.

    `live_requests` and `batch_items` count what this gateway runs on it; `peer_loads` holds the last report of each
    other gateway.
    """

    update: EngineUpdate
    updated_at: timedelta
    ready_since: timedelta
    live_requests: int = 0
    batch_items: int = 0
    failed_at: timedelta | None = None
    peer_loads: dict[str, PeerLoad] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """The engine's name, which is the same in all its incarnations."""
        return self.update.engine

    @property
    def local_requests(self) -> int:
        """The number of requests that this gateway runs on it."""
        return self.live_requests + self.batch_items

    def change_local_requests(self, change: int, *, is_batch_item: bool) -> None:
        """Changes this gateway's count of live requests or of batch items, which never falls below zero."""
        if is_batch_item:
            self.batch_items = max(0, self.batch_items + change)
        else:
            self.live_requests = max(0, self.live_requests + change)
