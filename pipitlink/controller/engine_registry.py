"""Registry of the engines that have announced themselves at this controller."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from enum import StrEnum

import attrs

from ..engine_memory import EngineMemory
from ..timers import Timers, secs, to_ms
from ..wire.membership_pb2 import EngineList, EngineUpdate
from .propagation import Propagation

__all__ = ["AnnouncedEngine", "EngineRegistry", "EngineState"]

EXPIRY = secs(30)
GONE_EXPIRY = secs(60)
"""An engine that is gone is kept longer, so that a delayed announcement does not revive it."""


class EngineState(StrEnum):
    """The state that an engine announces."""

    READY = "ready"
    DRAINING = "leaving"
    GONE = "gone"

    @classmethod
    def is_final(cls, state: str) -> bool:
        """Returns whether an engine in this state no longer accepts new requests."""
        return state in (cls.DRAINING, cls.GONE)


@attrs.define(eq=False)
class AnnouncedEngine:
    """An engine's newest announcement, and the propagation of its last state change, if any."""

    update: EngineUpdate
    received_at: timedelta
    propagation: Propagation | None = None


class EngineRegistry:
    """The newest announcement of each engine, removed after it has not been renewed for some time."""

    def __init__(self, timers: Timers, memory: EngineMemory) -> None:
        self._timers = timers
        self._memory = memory
        self.engines: dict[str, AnnouncedEngine] = {}

    def find(self, name: str) -> AnnouncedEngine | None:
        """Returns the record of an engine, or None."""
        return self.engines.get(name)

    def try_keep(self, update: EngineUpdate) -> bool:
        """Reserves memory to keep an announcement; returns whether there is any."""
        return self._memory.try_keep(update)

    def add(self, name: str) -> AnnouncedEngine:
        """Adds a record with an empty announcement and returns it."""
        engine = AnnouncedEngine(EngineUpdate(), self._timers.now())
        self.engines[name] = engine
        return engine

    def engine_list(self, names: Iterable[str]) -> EngineList:
        """Returns the announcements of these engines with their ages; unknown names are skipped."""
        now = self._timers.now()
        message = EngineList()
        for name in names:
            engine = self.engines.get(name)
            if engine is not None:
                update = message.engines.add()
                update.CopyFrom(engine.update)
                update.age_ms = to_ms(now - engine.received_at)
        return message

    def remove_expired(self) -> None:
        """Removes the engines whose announcements have expired."""
        now = self._timers.now()
        for name, engine in list(self.engines.items()):
            expiry = GONE_EXPIRY if engine.update.state == EngineState.GONE else EXPIRY
            if now - engine.received_at > expiry:
                del self.engines[name]
                self._memory.forget(name)
