"""Exchange of engine loads between gateways."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from ..context import Context
from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from ..wire.membership_pb2 import Load, Loads, LoadTotals, Member
from .engine import EngineLoad, PeerLoad
from .engine_registry import EngineRegistry

__all__ = ["LoadExchange", "LoadReportContributor"]

REPORT_INTERVAL = ms(200)
MAX_REPORT_AGE = secs(1)
# With more peers than this, loads go through a controller, so that the number of messages is not quadratic in the
# number of gateways.
MAX_DIRECT_PEERS = 15
DIRECT_PROPAGATION_TIME = ms(350)
RELAYED_PROPAGATION_TIME = ms(600)


class LoadReportContributor(Protocol):
    """A component whose data is sent to all gateways together with the loads."""

    def add_to_report(self, report: Loads) -> bool:
        """Adds its data to a report; returns whether any of it is new to the receivers."""

    def apply_report(self, report: Loads) -> None:
        """Applies the data that another gateway has added to its report."""


class LoadExchange:
    """Reports the load of this gateway on the engines to the other gateways, and applies their reports.

    A small number of gateways report to each other directly; a larger number report to one controller, which sends the
    totals to all of them.
    """

    def __init__(self, ctx: Context, engines: EngineRegistry) -> None:
        self._ctx = ctx
        self._engines = engines
        self._contributors: list[LoadReportContributor] = []
        self._reported: dict[str, EngineLoad] = {}
        self._reported_at = ZERO

    def open(self) -> None:
        """Starts to send and receive reports."""
        self._ctx.rpc.register_handler("engines.loads", Loads, self.handle_loads)
        self._ctx.rpc.register_handler("engines.totals", LoadTotals, self._handle_totals)
        self._ctx.membership.add_listener(self._on_member_changed)
        self._ctx.timers.call_repeatedly(REPORT_INTERVAL, self._report, self._ctx.error_reporter("report_loads"))

    def add_contributor(self, contributor: LoadReportContributor) -> None:
        """Registers a component that adds data to each report and applies the data that other gateways add."""
        self._contributors.append(contributor)

    def propagation_time(self) -> timedelta:
        """Returns the time within which a report of one gateway has reached all others."""
        if self._engines.gateway_count() <= MAX_DIRECT_PEERS + 1:
            return DIRECT_PROPAGATION_TIME
        return RELAYED_PROPAGATION_TIME

    def _on_member_changed(self, member: Member) -> None:
        if self._ctx.membership.status(member.node) == "gone":
            for engine in self._engines.unordered():
                engine.peer_loads.pop(member.node, None)

    def _report(self) -> None:
        now = self._engines.check_for_suspension()
        self._engines.remove_silent_engines(now)
        own = {
            engine.name: EngineLoad(engine.running, engine.batch_items)
            for engine in self._engines.unordered()
            if engine.running
        }
        loads = [Load(engine=name, running=load.running, batch=load.batch_items) for name, load in own.items()]
        report = Loads(gateway=self._ctx.node, loads=loads)
        has_changes = [contributor.add_to_report(report) for contributor in self._contributors]
        if own == self._reported and not any(has_changes) and now - self._reported_at < MAX_REPORT_AGE:
            return
        self._reported, self._reported_at = own, now
        self._ctx.rpc.notify(self._receivers(), "engines.loads", report)

    def _receivers(self) -> list[tuple[str, int]]:
        """Returns the addresses of all other gateways or, if there are many, of the controller that sums up."""
        receivers = self._ctx.membership.members("gateway", include_self=False)
        if len(receivers) > MAX_DIRECT_PEERS:
            controllers = self._ctx.membership.members("controller", statuses=("alive",))
            if controllers:
                receivers = [max(controllers, key=lambda member: rank("loads", member.node))]
        return [(member.host, member.port) for member in receivers]

    async def handle_loads(self, _node: str, report: Loads) -> None:
        """Applies the report of another gateway."""
        for contributor in self._contributors:
            contributor.apply_report(report)
        self._set_peer_loads(
            report.gateway, {load.engine: EngineLoad(load.running, load.batch) for load in report.loads}
        )

    async def _handle_totals(self, _node: str, totals: LoadTotals) -> None:
        """Applies the totals of a controller, less the last report of this gateway, which they include."""
        for report in totals.lots:
            if report.gateway != self._ctx.node:
                for contributor in self._contributors:
                    contributor.apply_report(report)
        loads = {}
        for total in totals.totals:
            own = self._reported.get(total.engine, EngineLoad(0, 0))
            loads[total.engine] = EngineLoad(max(0, total.running - own.running), max(0, total.batch - own.batch_items))
        self._set_peer_loads(totals.controller, loads)

    def _set_peer_loads(self, peer: str, loads: Mapping[str, EngineLoad]) -> None:
        now = self._ctx.timers.now()
        for engine in self._engines.unordered():
            load = loads.get(engine.name)
            if load is not None:
                engine.peer_loads[peer] = PeerLoad(load.running, load.batch_items, now)
            else:
                engine.peer_loads.pop(peer, None)
