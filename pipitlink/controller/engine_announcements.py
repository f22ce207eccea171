"""Takes announcements of engines and passes them on to all gateways."""

from __future__ import annotations

from ..context import Context
from ..errors import ServiceUnavailable
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
    """Engines announce themselves at any controller, which passes it on to every gateway; no leader is needed.

    An announcement that most gateways cannot get is kept and sent on all the same, but not acknowledged, so that the
    engine turns to another controller.
    """

    def __init__(self, ctx: Context, leader_log: LeaderLog) -> None:
        self._ctx = ctx
        self.registry = EngineRegistry(ctx.timers)
        self._notifier = GatewayNotifier(ctx, self.registry, leader_log)

    def open(self) -> None:
        """Watches the membership for gateways, and starts the timer of renewals."""
        self._ctx.membership.add_listener(self._member_changed)
        self._ctx.timers.call_repeatedly(RENEWAL_INTERVAL, self._renew, self._ctx.error_reporter("engine_renewals"))

    async def announce(self, update: EngineUpdate) -> None:
        """Takes an engine's announcement; returns once it may be acknowledged.

        The newest sequence wins, and draining is for good. Raises ServiceUnavailable where too few gateways can be
        reached.
        """
        engine = self._record(update)
        if EngineState.is_final(update.state) and EngineState.is_final(engine.update.state):
            await self._wait_acknowledged(engine)
        elif not self._notifier.reaches_majority():
            raise ServiceUnavailable("most gateways cannot be told of this engine", code=UNREACHED_CODE)

    def _record(self, update: EngineUpdate) -> AnnouncedEngine:
        """Keeps an announcement unless it is outdated, and has it sent; returns the engine's record."""
        engine = self.registry.find(update.engine)
        if engine is not None and self._is_outdated(update, engine.update):
            return engine
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
        """Returns whether an engine that is new here must have announced itself before."""
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
        """Sends a change; a renewal is enough for an engine that gateways know from another controller."""
        if announced_elsewhere:
            self._notifier.add_renewal(engine.update.engine)
        else:
            self._notifier.propagate(engine)

    async def _wait_acknowledged(self, engine: AnnouncedEngine) -> None:
        """Waits a short while until all live gateways have acknowledged the change; more than half of all must have.

        A controller that reaches fewer may be cut off from those who still send, so the engine has to ask another.
        The other gateways are called until they acknowledge.
        """
        propagation = self._current_propagation(engine)
        end = self._ctx.timers.now() + ACKNOWLEDGE_TIMEOUT
        while self._notifier.reaches_majority():
            left = end - self._ctx.timers.now()
            if self._is_complete(propagation) or left <= ms(0):
                break
            await self._ctx.timers.wait_at_most(propagation.wait(), left)
        if not self._notifier.is_majority(propagation.acknowledged):
            raise ServiceUnavailable("too few gateways have confirmed that this engine leaves", code=UNREACHED_CODE)

    def _current_propagation(self, engine: AnnouncedEngine) -> Propagation:
        """Returns the propagation of the engine's state, started anew where an earlier one ended too early."""
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

    def _member_changed(self, member: Member) -> None:
        """Sends all that is known here to a gateway that is new, or back."""
        if member.role != "gateway" or not self.registry.engines:
            return
        if self._ctx.membership.status(member.node) == "alive":
            self._notifier.send_all(member.node)
