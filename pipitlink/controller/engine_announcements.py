"""Receives announcements of engines and forwards them to all gateways."""

from __future__ import annotations

from ..context import Context
from ..engine_memory import EngineMemory
from ..errors import ServiceUnavailable
from ..http_refusals import NO_MEMORY
from ..timers import ms
from ..wire.membership_pb2 import EngineUpdate, Member
from .engine_registry import AnnouncedEngine, EngineRegistry, EngineState
from .gateway_notifier import GatewayNotifier
from .interfaces import LeaderLog
from .propagation import Propagation

__all__ = ["EngineAnnouncements"]

RENEWAL_INTERVAL = ms(800)
ACKNOWLEDGE_TIMEOUT = ms(700)
UNREACHED_CODE = "untold"


class EngineAnnouncements:
    """Engines announce themselves at any controller, which forwards that to every gateway; no leader is needed.

    If this controller cannot reach a majority of the gateways, it still records and forwards an announcement but does
    not acknowledge it, so that the engine tries another controller.
    """

    def __init__(self, ctx: Context, leader_log: LeaderLog) -> None:
        self._ctx = ctx
        self.registry = EngineRegistry(ctx.timers, EngineMemory(ctx.client_memory))
        self._notifier = GatewayNotifier(ctx, self.registry, leader_log)

    def open(self) -> None:
        """Starts to watch the membership for gateways, and the timer of renewals."""
        self._ctx.membership.add_listener(self._on_member_changed)
        self._ctx.timers.call_repeatedly(RENEWAL_INTERVAL, self._renew, self._ctx.error_reporter("engine_renewals"))

    async def announce(self, update: EngineUpdate) -> None:
        """Records an engine's announcement and returns once it may be acknowledged.

        The newest sequence wins, and draining cannot be undone. Raises ServiceUnavailable if too few gateways can be
        reached, or there is no memory.
        """
        engine = self._record(update)
        if EngineState.is_final(update.state) and EngineState.is_final(engine.update.state):
            await self._wait_acknowledged(engine)
        elif not self._notifier.reaches_majority():
            raise ServiceUnavailable(
                "a majority of the gateways cannot be reached to announce this engine", code=UNREACHED_CODE
            )

    def _record(self, update: EngineUpdate) -> AnnouncedEngine:
        """Records an announcement unless it is outdated, and has it sent; returns the engine's record.

        Raises ServiceUnavailable if there is no memory for it.
        """
        engine = self.registry.find(update.engine)
        if engine is not None and self._is_outdated(update, engine.update):
            return engine
        if not self.registry.try_keep(update):
            raise ServiceUnavailable("there is no memory for this announcement now", code=NO_MEMORY.code)
        announced_elsewhere = engine is None and self._is_renewal(update)
        if engine is None:
            engine = self.registry.add(update.engine)
        before, engine.update = engine.update, update
        engine.received_at = self._ctx.timers.now()
        if before.state == EngineState.DRAINING and update.state != EngineState.GONE:
            update.state = EngineState.DRAINING
        if self._is_change(before, update):
            self._log_state(before, update)
            self._send_change(engine, announced_elsewhere)
        else:
            self._notifier.add_renewal(update.engine)
        return engine

    def _is_outdated(self, update: EngineUpdate, known: EngineUpdate) -> bool:
        if known.state == EngineState.GONE:
            return True
        return update.state != EngineState.GONE and update.sequence <= known.sequence

    def _is_renewal(self, update: EngineUpdate) -> bool:
        """Returns whether an engine that is unknown here must have announced itself elsewhere before."""
        return update.sequence > 1 and update.state == EngineState.READY and not update.slow_start_ms

    def _is_change(self, before: EngineUpdate, update: EngineUpdate) -> bool:
        if (update.state, update.address) != (before.state, before.address):
            return True
        return bool(update.slow_start_ms and not before.slow_start_ms)

    def _log_state(self, before: EngineUpdate, update: EngineUpdate) -> None:
        if update.state != before.state:
            self._ctx.logger.info(
                "engine_status_changed", engine=update.engine, state=update.state, address=update.address
            )

    def _send_change(self, engine: AnnouncedEngine, announced_elsewhere: bool) -> None:
        """Sends a change to all gateways; as a renewal if they know the engine from its announcement elsewhere."""
        if announced_elsewhere:
            self._notifier.add_renewal(engine.update.engine)
        else:
            self._notifier.propagate(engine)

    async def _wait_acknowledged(self, engine: AnnouncedEngine) -> None:
        """Waits, up to a timeout, until all live gateways have acknowledged the change.

        Raises ServiceUnavailable if no majority of all gateways has: this controller may be partitioned from gateways
        that still send requests, and the engine has to try another one. The remaining gateways are still called until
        they acknowledge.
        """
        propagation = self._current_propagation(engine)
        deadline = self._ctx.timers.now() + ACKNOWLEDGE_TIMEOUT
        while self._notifier.reaches_majority():
            remaining = deadline - self._ctx.timers.now()
            if self._is_complete(propagation) or remaining <= ms(0):
                break
            await self._ctx.timers.wait_at_most(propagation.wait(), remaining)
        if not self._notifier.is_majority(propagation.acknowledged):
            raise ServiceUnavailable(
                "too few gateways have acknowledged that this engine is leaving", code=UNREACHED_CODE
            )

    def _current_propagation(self, engine: AnnouncedEngine) -> Propagation:
        """Returns the propagation of the engine's state, restarted if it ended without a majority."""
        propagation = engine.propagation
        if propagation is None:
            return self._notifier.propagate(engine)
        if not propagation.running and not self._notifier.is_majority(propagation.acknowledged):
            return self._notifier.propagate(engine)
        return propagation

    def _is_complete(self, propagation: Propagation) -> bool:
        live = self._notifier.live_gateways()
        return (live & propagation.gateways) <= propagation.acknowledged or not propagation.running

    def _renew(self) -> None:
        self.registry.remove_expired()
        self._notifier.send_renewals()

    def _on_member_changed(self, member: Member) -> None:
        """Sends all known announcements to a gateway that has joined or returned."""
        if member.role != "gateway" or not self.registry.engines:
            return
        if self._ctx.membership.status(member.node) == "alive":
            self._notifier.send_all(member.node)
