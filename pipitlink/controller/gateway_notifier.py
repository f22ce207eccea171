"""Sends engine announcements to all gateways, and tracks which gateways are reachable."""

from __future__ import annotations

from collections.abc import Iterable

from ..context import Context
from ..errors import WireError
from ..timers import ms, secs
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Member
from .engine_registry import AnnouncedEngine, EngineRegistry
from .interfaces import LeaderLog
from .propagation import Propagation

__all__ = ["GatewayNotifier"]

CALL_TIMEOUT = ms(400)
RETRY_INTERVAL = ms(200)
RETRY_TIMEOUT = secs(3)
LOST_GATEWAY_RETENTION = secs(60)
"""Gateways that were lost within this time still count towards the total of which a majority is needed."""
REACHABLE = ("alive", "suspect")
KNOWN = ("alive", "suspect", "gone")
UPDATE_METHOD = "engines.tell"


class GatewayNotifier:
    """Sends announcements to the gateways: changes by calls with retries, renewals mostly as one-way notifications.

    It tracks which gateways did not respond to their last call, which still lack a change, and which renewals are due.
    """

    def __init__(self, ctx: Context, registry: EngineRegistry, leader_log: LeaderLog) -> None:
        self._ctx = ctx
        self._registry = registry
        self._leader_log = leader_log
        self._renewed: set[str] = set()
        self._pending: dict[str, set[str]] = {}
        self._unreachable: set[str] = set()
        self._call_rotation = 0

    def live_gateways(self) -> set[str]:
        """Returns the gateways that the membership considers alive."""
        return {member.node for member in self._gateways(("alive",))}

    def is_majority(self, nodes: Iterable[str]) -> bool:
        """Returns whether these are a majority of the gateways, including those that were lost recently.

        Gateways are counted by address, so that a restarted one counts once.
        """
        membership = self._ctx.membership
        addresses = {
            (member.host, member.port)
            for member in self._gateways(KNOWN)
            if membership.status(member.node) != "gone"
            or membership.time_in_status(member.node) < LOST_GATEWAY_RETENTION
        }
        found = [member for node in nodes if (member := membership.find(node)) is not None]
        return 2 * len({(member.host, member.port) for member in found} & addresses) > len(addresses)

    def reaches_majority(self) -> bool:
        """Returns whether the last calls reached a majority of the gateways; True if no gateway is known."""
        if not self._gateways(KNOWN):
            return True
        return self.is_majority(member.node for member in self._gateways() if member.node not in self._unreachable)

    def add_renewal(self, engine: str) -> None:
        """Queues an engine's unchanged announcement for the next batch of renewals."""
        self._renewed.add(engine)

    def propagate(self, engine: AnnouncedEngine) -> Propagation:
        """Starts to send a change to all gateways with retries; returns its propagation, also stored in the engine."""
        engine.propagation = propagation = Propagation(member.node for member in self._gateways())
        for gateway in propagation.gateways:
            self._start_push(gateway, [engine.update.engine], propagation)
        return propagation

    def send_all(self, gateway: str) -> None:
        """Starts to send all known announcements to one gateway, with retries."""
        self._start_push(gateway, sorted(self._registry.engines), Propagation([gateway]))

    def _gateways(self, status: tuple[str, ...] = REACHABLE) -> list[Member]:
        members: list[Member] = self._ctx.membership.members("gateway", statuses=status, include_self=False)
        return members

    def _start_push(self, gateway: str, engines: list[str], propagation: Propagation) -> None:
        self._ctx.run_in_background(self._push_with_retries(gateway, engines, propagation), "push_engines")

    async def _push_with_retries(self, gateway: str, engines: list[str], propagation: Propagation) -> None:
        """Calls a gateway until it acknowledges; after a timeout the change is left to the batches of renewals."""
        deadline = self._ctx.timers.now() + RETRY_TIMEOUT
        try:
            while self._ctx.membership.status(gateway) in REACHABLE:
                if await self._push(gateway, engines):
                    propagation.acknowledge(gateway)
                    return
                if self._ctx.timers.now() + RETRY_INTERVAL > deadline:
                    self._add_pending(gateway, engines)
                    return
                await self._ctx.timers.sleep(RETRY_INTERVAL)
        finally:
            propagation.finish_gateway()

    async def _push(self, gateway: str, engines: Iterable[str]) -> bool:
        """Calls a gateway once; returns whether it has acknowledged."""
        member = self._ctx.membership.find(gateway)
        if member is None:
            return False
        address = (member.host, member.port)
        message = self._registry.engine_list(engines)
        try:
            await self._ctx.rpc.call(address, UPDATE_METHOD, message, Empty, CALL_TIMEOUT, node=gateway)
        except WireError as error:
            self._ctx.logger.debug("engine_push_failed", gateway=gateway, text=error)
            self._unreachable.add(gateway)
            return False
        self._unreachable.discard(gateway)
        return True

    def _add_pending(self, gateway: str, engines: Iterable[str]) -> None:
        self._pending.setdefault(gateway, set()).update(engines)

    def send_renewals(self) -> None:
        """Sends the due batch of renewals, and the changes that gateways have not acknowledged in time.

        Renewals are one-way notifications: if one is lost, the engine's next renewal arrives before the engine counts
        as silent. Gateways that have not acknowledged a change, and those in `_gateways_to_call`, are called instead.
        """
        self._remove_unknown_gateways()
        renewed, self._renewed = self._renewed, set()
        pending, self._pending = self._pending, {}
        gateways = self._gateways()
        if renewed:
            pending |= {member.node: pending.get(member.node, set()) for member in self._gateways_to_call(gateways)}
        addresses = [(member.host, member.port) for member in gateways if member.node not in pending]
        if renewed and addresses:
            self._ctx.rpc.notify(addresses, UPDATE_METHOD, self._registry.engine_list(sorted(renewed)))
        for member in gateways:
            if member.node in pending:
                work = self._push_pending(member.node, renewed | pending[member.node])
                self._ctx.run_in_background(work, "push_engines")

    def _gateways_to_call(self, gateways: list[Member]) -> list[Member]:
        """Returns the gateways that get renewals by a call, since only a response proves that they are reachable.

        Normally one gateway in rotation; all of them if one is unreachable or this controller lost contact with the
        leader.
        """
        if not self._leader_log.has_contact():
            return gateways
        if any(member.node in self._unreachable for member in gateways):
            return gateways
        self._call_rotation += 1
        return [gateways[self._call_rotation % len(gateways)]] if gateways else []

    async def _push_pending(self, gateway: str, engines: set[str]) -> None:
        if not await self._push(gateway, sorted(engines)):
            self._add_pending(gateway, engines)

    def _remove_unknown_gateways(self) -> None:
        membership = self._ctx.membership
        self._unreachable = {node for node in self._unreachable if membership.find(node) is not None}
