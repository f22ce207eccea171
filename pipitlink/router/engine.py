"""One incarnation of an engine, as this gateway knows it."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import attrs

from ..timers import ZERO, secs
from ..wire.membership_pb2 import EngineUpdate
from .prefix_cache import PrefixCache

__all__ = ["ROOM_FRACTION", "Engine", "EngineLoad", "EngineStatus", "PeerLoad"]

PEER_LOAD_VALIDITY = secs(3)
# Engines have room while fewer than this fraction of their slots is in use.
ROOM_FRACTION = 0.5


class EngineStatus(StrEnum):
    """The status of an engine as seen by this gateway; other states that the control plane announces are used as is."""

    READY = "ready"
    SUSPECT = "suspect"
    SILENT = "silent"
    DRAINING = "leaving"
    GONE = "gone"


class EngineLoad(NamedTuple):
    """The number of requests that run on an engine, and how many of them are batch items.

    A plain tuple for speed, since one is created per candidate engine for each call.
    """

    running: int
    batch_items: int


class PeerLoad(NamedTuple):
    """The load on an engine that another gateway, or the controller for all of them, reported last."""

    running: int
    batch_items: int
    reported_at: timedelta


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine as this gateway knows it; times are in the time of the node's timers."""

    update: EngineUpdate
    updated_at: timedelta
    slow_start_until: timedelta
    prefix_cache: PrefixCache
    running: int = 0
    batch_items: int = 0
    prefill_tokens: int = 0
    last_bytes_at: timedelta = ZERO
    suspect_until: timedelta = ZERO
    failures: int = 0
    slow_start_tokens: float = 0.0
    slow_start_refilled_at: timedelta = ZERO
    peer_loads: dict[str, PeerLoad] = attrs.field(factory=dict)
    slow_start_candidates: tuple[str, ...] = ()
    slow_start_gateways: frozenset[str] = frozenset()

    @property
    def name(self) -> str:
        """The id of the engine, which is different for each incarnation."""
        return self.update.engine

    @property
    def address(self) -> str:
        """Host and port of its HTTP server."""
        return self.update.address

    @property
    def slots(self) -> int:
        """The number of requests that it runs concurrently; at least 1."""
        return max(1, self.update.capacity)

    def load(self, now: timedelta) -> EngineLoad:
        """Returns its load: the requests of this gateway plus those that its peers reported last."""
        running, batch_items = self.running, self.batch_items
        for peer_running, peer_batch_items, reported_at in self.peer_loads.values():
            if now - reported_at < PEER_LOAD_VALIDITY:
                running += peer_running
                batch_items += peer_batch_items
        return EngineLoad(running, batch_items)

    def has_room(self, now: timedelta) -> bool:
        """Returns whether fewer than ROOM_FRACTION of its slots are in use."""
        return self.load(now).running < ROOM_FRACTION * self.slots
