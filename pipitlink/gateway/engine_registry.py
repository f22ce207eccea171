"""The engines that are known to a gateway, and whether they may get requests."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..context import Context
from ..engine_memory import EngineMemory
from ..errors import ServiceUnavailable
from ..http_refusals import NO_MEMORY
from ..timers import ZERO, ms, secs, spawn, to_ms
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import EngineList, EngineUpdate, Gossip
from ..wire.rpc import Address
from .engine import Engine, EngineStatus

__all__ = ["EngineRegistry"]

SILENCE_TIMEOUT = secs(3)
ENGINE_RETENTION = secs(60)
FAILURE_BACKOFF = secs(1)
SUSPENSION_THRESHOLD = secs(1.5)
RESUME_GRACE = ms(500)
PUSH_TIMEOUT = ms(500)
MAX_GOSSIPED_ENGINES = 1024


class EngineRegistry:
    """The state of the engines as known at this gateway, spread among gateways by pushes and gossip.

    An engine announces itself at any gateway about once a second. After a suspension (a stopped process or a sleeping
    machine), a gateway treats each engine as suspect until it receives a new announcement of it.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._engines: dict[str, Engine] = {}
        self._memory = EngineMemory(ctx.client_memory)
        self._new_engine_listeners: list[Callable[[], None]] = []
        self._checked_at = ctx.timers.now()
        self._resumed_at = ZERO

    def open(self) -> None:
        """Registers the handler of pushes, and adds the engines to the gossip of the membership."""
        self._ctx.rpc.register_handler("engines.tell", EngineList, self._handle_updates)
        self._ctx.membership.add_gossip_extension(self)

    def add_new_engine_listener(self, listener: Callable[[], None]) -> None:
        """Adds a function to call for each new incarnation of an engine."""
        self._new_engine_listeners.append(listener)

    def all(self) -> list[Engine]:
        """Returns the known engines, sorted by name."""
        return sorted(self._engines.values(), key=lambda engine: engine.name)

    def unordered(self) -> list[Engine]:
        """Returns the known engines, in the order in which they became known."""
        return list(self._engines.values())

    def get(self, name: str) -> Engine | None:
        """Returns an engine by its name, or None if it is unknown."""
        return self._engines.get(name)

    def announce(self, update: EngineUpdate) -> None:
        """Merges an engine's own announcement, and pushes it to the other gateways.

        Raises ServiceUnavailable if there is no memory for it.
        """
        update.age_ms = 0
        self.merge(update)
        if update.engine not in self._engines:
            raise ServiceUnavailable("there is no memory for this announcement now", code=NO_MEMORY.code)
        self._push(EngineList(engines=[self._engines[update.engine].update]))

    def merge(self, update: EngineUpdate) -> None:
        """Merges an announcement that an engine made `update.age_ms` ago, if it is newer than what is known."""
        now = self._ctx.timers.now()
        updated_at = now - ms(update.age_ms)
        if now - updated_at > ENGINE_RETENTION or not update.engine:
            return
        engine = self._engines.get(update.engine)
        if engine is None or update.incarnation > engine.update.incarnation:
            self._add_incarnation(update, updated_at, engine)
        elif update.incarnation == engine.update.incarnation:
            self._renew(engine, update, updated_at)

    def status(self, engine: Engine) -> EngineStatus:
        """Returns the engine's status as known at this gateway."""
        now = self.check_for_suspension()
        if engine.update.state == EngineStatus.DRAINING:
            return EngineStatus.DRAINING
        if now - engine.updated_at > SILENCE_TIMEOUT:
            return EngineStatus.GONE
        if engine.updated_at < self._resumed_at or self._failed_recently(engine, now):
            return EngineStatus.SUSPECT
        return EngineStatus.READY

    def record_failure(self, engine: Engine) -> None:
        """Makes the engine suspect for a short time, because it failed or could not be reached."""
        engine.failed_at = self._ctx.timers.now()

    def check_for_suspension(self) -> timedelta:
        """Checks whether this process was suspended since the last call; returns the current time.

        After a suspension, each engine is suspect until a new announcement of it arrives.
        """
        now = self._ctx.timers.now()
        if now - self._checked_at > SUSPENSION_THRESHOLD:
            self._resumed_at = now
        self._checked_at = now
        return now

    def remove_silent_engines(self, now: timedelta) -> None:
        """Removes engines without a recent announcement that run no requests of this gateway."""
        for name, engine in list(self._engines.items()):
            if now - engine.updated_at > ENGINE_RETENTION and not engine.local_requests:
                del self._engines[name]
                self._memory.forget(name)

    def _push(self, engines: EngineList) -> None:
        for member in self._ctx.membership.members("gateway", include_self=False):
            address: Address = (member.host, member.port)
            call = spawn(self._ctx.rpc.call(address, "engines.tell", engines, Empty, PUSH_TIMEOUT))
            call.addErrback(lambda _: None)

    async def _handle_updates(self, _: str, engines: EngineList) -> None:
        if not self._has_just_resumed():
            for update in engines.engines:
                self.merge(update)

    def extend_gossip(self, gossip: Gossip) -> None:
        """Adds all known engines to outgoing gossip."""
        now = self._ctx.timers.now()
        for engine in self._engines.values():
            update = gossip.engines.add()
            update.CopyFrom(engine.update)
            update.age_ms = to_ms(now - engine.updated_at)

    def merge_gossip(self, gossip: Gossip) -> None:
        """Merges the engines of received gossip."""
        if not self._has_just_resumed():
            for update in gossip.engines[:MAX_GOSSIPED_ENGINES]:
                self.merge(update)

    def _has_just_resumed(self) -> bool:
        """Returns whether a message may have been queued during a suspension, so that the ages in it are too low."""
        now = self.check_for_suspension()
        return self._resumed_at > ZERO and now - self._resumed_at < RESUME_GRACE

    def _add_incarnation(self, update: EngineUpdate, updated_at: timedelta, previous: Engine | None) -> None:
        if not self._memory.try_keep(update):
            self._ctx.logger.debug("engine_ignored", engine=update.engine, text="no memory for its announcement")
            return
        stored = EngineUpdate()
        stored.CopyFrom(update)
        engine = Engine(stored, updated_at, self._ctx.timers.now())
        if previous is not None:
            engine.live_requests = previous.live_requests
            engine.batch_items = previous.batch_items
            engine.peer_loads = previous.peer_loads
        self._engines[update.engine] = engine
        self._ctx.logger.info(
            "engine_status_changed",
            engine=update.engine,
            state=update.state,
            incarnation=update.incarnation,
            address=update.address,
        )
        for listener in self._new_engine_listeners:
            listener()

    def _renew(self, engine: Engine, update: EngineUpdate, updated_at: timedelta) -> None:
        now = self._ctx.timers.now()
        if now - engine.updated_at > SILENCE_TIMEOUT and now - updated_at < SILENCE_TIMEOUT:
            engine.ready_since = now
        engine.updated_at = max(engine.updated_at, updated_at)
        if update.state == EngineStatus.DRAINING and engine.update.state != EngineStatus.DRAINING:
            engine.update.state = update.state
            self._ctx.logger.info(
                "engine_status_changed", engine=update.engine, state=update.state, incarnation=update.incarnation
            )

    def _failed_recently(self, engine: Engine, now: timedelta) -> bool:
        return engine.failed_at is not None and now - engine.failed_at < FAILURE_BACKOFF
