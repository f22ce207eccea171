"""Sums the loads of many gateways at one controller and sends the totals to all of them."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..context import Context
from ..timers import ZERO, RepeatingCall, ms, secs
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Load, Loads, LoadTotals

__all__ = ["LoadAggregator"]

TOTALS_INTERVAL = ms(200)
MAX_TOTALS_INTERVAL = secs(1)
REPORT_EXPIRY = secs(2.5)


@attrs.frozen
class _LoadReport:
    loads: Loads
    received_at: timedelta


@attrs.define
class _EngineTotal:
    running: int = 0
    batch: int = 0


class LoadAggregator:
    """Sums the loads that gateways report to this controller, and sends the totals to all gateways.

    In a large cluster each gateway reports to one controller instead of to every other gateway. Neither a leader nor a
    majority is needed: the totals are estimates for the choice of engines, and a gateway that receives none uses its
    own load only.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._reports: dict[str, _LoadReport] = {}
        self._sent_totals: dict[str, _EngineTotal] = {}
        self._sent_at = ZERO
        self._changed_batches: dict[str, Loads] = {}
        self._timer: RepeatingCall | None = None

    def open(self) -> None:
        """Registers the RPC handler and starts the timer."""
        self._ctx.rpc.register_handler("engines.loads", Loads, self._receive)
        self._timer = self._ctx.timers.call_repeatedly(
            TOTALS_INTERVAL, self._send_totals, self._ctx.error_reporter("aggregate_loads"), idle_time=self._next_send
        )

    def _next_send(self) -> timedelta | None:
        return ZERO if self._reports or self._sent_totals else None

    async def _receive(self, _node: str, loads: Loads) -> Empty:
        before = self._reports.get(loads.gateway)
        self._reports[loads.gateway] = _LoadReport(loads, self._ctx.timers.now())
        if loads.lots or (before is not None and before.loads.lots):
            self._changed_batches[loads.gateway] = Loads(gateway=loads.gateway, lots=loads.lots)
        if self._timer is not None:
            self._timer.wake()
        return Empty()

    def _totals(self) -> dict[str, _EngineTotal]:
        """Returns the totals by engine, and removes expired reports."""
        now = self._ctx.timers.now()
        totals: dict[str, _EngineTotal] = {}
        for gateway, report in list(self._reports.items()):
            if now - report.received_at > REPORT_EXPIRY or self._ctx.membership.status(gateway) == "gone":
                del self._reports[gateway]
                continue
            for load in report.loads.loads:
                total = totals.get(load.engine)
                if total is None:
                    total = totals[load.engine] = _EngineTotal()
                total.running += load.running
                total.batch += load.batch
        return totals

    def _send_totals(self) -> None:
        """Sends the totals if they or the waiting batches have changed, or after MAX_TOTALS_INTERVAL."""
        now = self._ctx.timers.now()
        totals = self._totals()
        batches, self._changed_batches = self._changed_batches, {}
        unchanged = totals == self._sent_totals and not batches
        if unchanged and now - self._sent_at < MAX_TOTALS_INTERVAL:
            return
        self._sent_totals, self._sent_at = totals, now
        message = LoadTotals(
            controller=self._ctx.node,
            totals=[Load(engine=engine, running=total.running, batch=total.batch) for engine, total in totals.items()],
            lots=batches.values(),
        )
        gateways = self._ctx.membership.members("gateway", include_self=False)
        self._ctx.rpc.notify([(member.host, member.port) for member in gateways], "engines.totals", message)
