"""Loads of many gateways, summed up at one controller and told to all of them."""

from datetime import timedelta

from ..timers import ZERO, ms, secs
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Load, Loads, LoadTotals

__all__ = ["LoadHub"]

TOTALS_INTERVAL = ms(200)
TOTALS_AT_LEAST = secs(1)
TOLD_SPAN = secs(2.5)


class LoadHub:
    """Mixin: sums the loads that gateways tell this controller, and tells all gateways the totals.

    In a large cluster each gateway tells one controller and not every other gateway. Neither a leader nor a majority is
    needed: the totals are estimates that engines are chosen by, and a gateway that hears none goes by what it runs.
    """

    def _open_load_hub(self):
        self._loads: dict[str, tuple[Loads, timedelta]] = {}
        self._told_totals: dict[str, tuple[int, int]] = {}
        self._totals_at = ZERO
        self._fresh_lots: dict[str, Loads] = {}
        self._ctx.rpc.register_handler("engines.loads", Loads, self._take_loads)
        self._totals_timer = self._ctx.timers.call_repeatedly(
            TOTALS_INTERVAL, self._tell_totals, self._ctx.error_reporter("totals"), idle_time=self._totals_due
        )

    def _totals_due(self) -> timedelta | None:
        return ZERO if self._loads or self._told_totals else None

    async def _take_loads(self, node, what: Loads):
        before = self._loads.get(what.gateway)
        self._loads[what.gateway] = what, self._ctx.timers.now()
        if what.lots or before is not None and before[0].lots:
            self._fresh_lots[what.gateway] = Loads(gateway=what.gateway, lots=what.lots)
        self._totals_timer.wake()
        return Empty()

    def _totals(self) -> dict[str, tuple[int, int]]:
        now = self._ctx.timers.now()
        out: dict[str, tuple[int, int]] = {}
        for gateway, (what, at) in list(self._loads.items()):
            if now - at > TOLD_SPAN or self._ctx.membership.status(gateway) == "gone":
                del self._loads[gateway]
                continue
            for one in what.loads:
                running, batch = out.get(one.engine, (0, 0))
                out[one.engine] = running + one.running, batch + one.batch
        return out

    def _tell_totals(self):
        now = self._ctx.timers.now()
        totals = self._totals()
        lots, self._fresh_lots = self._fresh_lots, {}
        if totals == self._told_totals and not lots and now - self._totals_at < TOTALS_AT_LEAST:
            return
        self._told_totals, self._totals_at = totals, now
        what = LoadTotals(
            controller=self._ctx.node,
            totals=[Load(engine=e, running=r, batch=b) for e, (r, b) in totals.items()],
            lots=lots.values(),
        )
        gateways = self._ctx.membership.members("gateway", include_self=False)
        self._ctx.rpc.notify([(m.host, m.port) for m in gateways], "engines.totals", what)
