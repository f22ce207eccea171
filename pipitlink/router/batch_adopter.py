"""Takes over batches whose owner is gone."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from twisted.internet import defer

from ..context import Context
from ..errors import PipitlinkError
from ..rendezvous import rank
from ..timers import ZERO, RepeatingCall, secs, to_ms
from ..wire.replicated_log_pb2 import LogState
from .batch_progress import LOG_PREFIX, batch_log
from .batch_table import BatchTable
from .gateway_watch import GatewayWatch
from .waiting_tokens import WaitingTokens

__all__ = ["BatchAdopter"]

LIST_INTERVAL = secs(1)
MAX_LIST_INTERVAL = secs(4)
MAX_LIST_INTERVAL_UNSETTLED = secs(2)
# With up to this many gateways each of them lists once per LIST_INTERVAL. With more, each lists less often, since all
# of them look for the same orphans.
GATEWAYS_PER_INTERVAL = 16
# The set of gateways counts as settled once it has not changed for this long.
SETTLING_TIME = secs(10)
# The delay between the attempts of successive gateways, by rank, to adopt the same batch.
ADOPTION_STAGGER = secs(1.5)
MAX_CONCURRENT_ADOPTIONS = 16
# A batch that has had no owner for this long is logged and counted.
UNOWNED_TIMEOUT = secs(5)


class BatchAdopter:
    """Lists the open batches periodically, and acquires the leases of those without an owner.

    It does not wait for the old owner's lease to expire. A suspended owner may therefore run an item at the same time
    as the new one, which is allowed: items may run more than once, and the old owner's outputs are rejected because
    they carry a lower epoch.

    `adopting` has the batches whose leases are being acquired, `unowned_since` the time at which each batch without an
    owner was first listed.
    """

    def __init__(self, ctx: Context, table: BatchTable, waiting: WaitingTokens, gateway_watch: GatewayWatch) -> None:
        self._ctx = ctx
        self._table = table
        self._waiting = waiting
        self._gateway_watch = gateway_watch
        self._adoption_semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_ADOPTIONS)
        self._orphaned_at: dict[str, timedelta] = {}
        self.adopting: set[str] = set()
        self.unowned_since: dict[str, timedelta] = {}
        self._logged_unowned: set[str] = set()
        self.unowned_count = 0
        self._list_timer: RepeatingCall | None = None

    def open(self) -> None:
        """Starts listing, immediately and then periodically."""
        self._gateway_watch.add_listener(self._list_soon)
        self._list_timer = self._ctx.timers.call_repeatedly(
            LIST_INTERVAL, self.list_batches, self._ctx.error_reporter("list_batches"), idle_time=self._list_delay
        )

    def _list_soon(self) -> None:
        if self._list_timer is not None:
            self._list_timer.wake()

    def _list_delay(self) -> timedelta:
        """Returns the delay until the next listing.

        It is longest while no batches are open and the set of gateways has not changed recently.
        """
        has_batches = bool(self._table.batches or self._waiting.reported or self._waiting.uncounted)
        is_quiet = not (has_batches or self._orphaned_at)
        is_settled = self._ctx.timers.now() - self._gateway_watch.changed_at > SETTLING_TIME
        if is_quiet and is_settled:
            return MAX_LIST_INTERVAL
        intervals = len(self._gateway_watch.gateways) / GATEWAYS_PER_INTERVAL
        maximum = MAX_LIST_INTERVAL if is_settled else MAX_LIST_INTERVAL_UNSETTLED
        return max(ZERO, min(maximum, LIST_INTERVAL * intervals))

    async def list_batches(self) -> None:
        """Lists the open batches, and starts adopting the orphans that this gateway is due to try."""
        started_at = self._ctx.timers.now()
        states, is_complete = await self._ctx.replicated_log.list_open(LOG_PREFIX)
        self._waiting.apply_listing({log.removeprefix(LOG_PREFIX) for log in states}, started_at, is_complete)
        now = self._ctx.timers.now()
        orphans = self._orphans(states)
        self._orphaned_at = {batch_id: self._orphaned_at.get(batch_id, now) for batch_id in orphans}
        self._log_unowned(states, now)
        if self._table.is_closing or not self._ctx.cluster.usable():
            return
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        gateways = [member.node for member in alive]
        for batch_id in sorted(orphans):
            is_own = states[batch_log(batch_id)].leaseholder == self._ctx.node
            adoption_rank = 0 if is_own else self._adoption_rank(batch_id, gateways)
            if now - self._orphaned_at[batch_id] >= adoption_rank * ADOPTION_STAGGER:
                self._orphaned_at[batch_id] = now
                self._ctx.run_in_background(self._adopt(batch_id), "adopt_batch")

    def _log_unowned(self, states: Mapping[str, LogState], now: timedelta) -> None:
        """Logs and counts each batch that has had no owner for UNOWNED_TIMEOUT, once."""
        by_batch = {log.removeprefix(LOG_PREFIX): state for log, state in states.items()}
        unowned = {batch_id for batch_id, state in by_batch.items() if self._is_unowned(batch_id, state)}
        self.unowned_since = {batch_id: self.unowned_since.get(batch_id, now) for batch_id in unowned}
        overdue = {batch_id for batch_id, since in self.unowned_since.items() if now - since >= UNOWNED_TIMEOUT}
        for batch_id in sorted(overdue - self._logged_unowned):
            self.unowned_count += 1
            state = by_batch[batch_id]
            self._ctx.logger.warning(
                "batch_unowned",
                batch=batch_id,
                epoch=state.epoch,
                leaseholder=state.leaseholder,
                unowned_ms=to_ms(now - self.unowned_since[batch_id]),
                adopting=batch_id in self.adopting,
            )
        self._logged_unowned = overdue

    def _is_unowned(self, batch_id: str, state: LogState) -> bool:
        return not (state.final or self._table.holds_lease(batch_id) or self._has_owner(state))

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and value of each metric about batches without an owner, by name."""
        return {
            "batches_unowned": ("Open batches without an owner as of the last listing", len(self.unowned_since)),
            "batches_unowned_long": ("Batches that had no owner for long, since the start", self.unowned_count),
        }

    def _orphans(self, states: Mapping[str, LogState]) -> set[str]:
        orphans = {log.removeprefix(LOG_PREFIX) for log, state in states.items() if not self._has_owner(state)}
        return {batch_id for batch_id in orphans - self.adopting if not self._table.holds_lease(batch_id)}

    def _has_owner(self, state: LogState) -> bool:
        """Returns whether the lease of a log is held by another gateway that the membership does not report as gone."""
        if state.leaseholder in ("", self._ctx.node):
            return False
        return bool(self._ctx.membership.status(state.leaseholder) != "gone")

    def _adoption_rank(self, batch_id: str, gateways: list[str]) -> int:
        """Returns this gateway's position in the order in which gateways try to adopt a batch.

        It does not apply to a batch whose lease the storage nodes still count as this gateway's: no other one tries.
        """
        ranked = sorted(gateways, key=lambda gateway: rank(batch_id, gateway), reverse=True)
        return ranked.index(self._ctx.node)

    async def _adopt(self, batch_id: str) -> None:
        self.adopting.add(batch_id)
        try:
            async with self._adoption_semaphore:
                await self._table.run_exclusively(batch_id, lambda: self._acquire(batch_id))
        finally:
            self.adopting.discard(batch_id)

    async def _acquire(self, batch_id: str) -> None:
        log = batch_log(batch_id)
        state = (await self._ctx.replicated_log.states([log])).get(log)
        if state is not None and (state.final or self._has_owner(state)):
            return
        lost_leaseholder = state.leaseholder if state is not None else None
        try:
            batch = await self._table.acquire(batch_id, lost_leaseholder)
        except PipitlinkError as error:
            self._ctx.logger.debug("batch_not_adopted", batch=batch_id, text=error)
            return
        if batch.batch is None:
            await self._ctx.replicated_log.release([batch.leaseholder])
