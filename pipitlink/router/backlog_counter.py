"""Ensures that the count of waiting tokens includes all open batches."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..errors import PipitlinkError
from ..timers import SingleFlight, ms, secs
from .batch_adopter import BatchAdopter
from .batch_followers import BatchFollowers
from .load_exchange import LoadExchange
from .waiting_tokens import WaitingTokens

__all__ = ["BacklogCounter"]

# A batch that could not be counted within this time no longer delays admission.
COUNT_TIMEOUT = secs(10)
COUNT_RETRY_DELAY = ms(200)
# Gateways that have been missing for longer than this no longer count as evidence of a network partition.
PARTITION_MEMORY = secs(60)


class BacklogCounter:
    """Counts batches that no owner reports, and determines whether the count of waiting tokens is reliable."""

    def __init__(
        self,
        ctx: Context,
        waiting: WaitingTokens,
        loads: LoadExchange,
        adopter: BatchAdopter,
        followers: BatchFollowers,
    ) -> None:
        self._ctx = ctx
        self._waiting = waiting
        self._loads = loads
        self._adopter = adopter
        self._followers = followers
        self._counting: set[str] = set()
        self._listing: SingleFlight[str, None] = SingleFlight()

    def is_reliable(self, counting_since: timedelta) -> bool:
        """Returns whether the count of waiting tokens includes all open batches; starts counting where it does not.

        `counting_since` is the time from which this gateway has issued all grants. The count is unreliable until
        grants that others issued before that time have been reported, on the minority side of a network partition,
        and until all open batches have been counted. Gateways that join or leave after that time do not make it
        unreliable: tokens that they were granted count until they, or the gateways that adopt their batches, report
        them.
        """
        propagation_time = self._loads.propagation_time()
        has_settled = self._ctx.timers.now() - counting_since >= propagation_time
        if not self._ctx.cluster.usable() or self._is_partitioned() or not has_settled:
            return False
        listed_at = self._waiting.listed_at
        if listed_at is None or listed_at < counting_since + propagation_time / 2:
            self._ctx.run_in_background(self._list(), "list_batches")
            return False
        return not self._begin_counting()

    def _is_partitioned(self) -> bool:
        """Returns whether more gateways went missing recently than are alive.

        Gateways that restarted at the same address do not count as missing.
        """
        membership = self._ctx.membership
        alive = membership.members("gateway", statuses=("alive",))
        addresses = {(member.host, member.port) for member in alive}
        missing = [
            member
            for member in membership.members("gateway", statuses=("suspect", "gone"), include_self=False)
            if (member.host, member.port) not in addresses and membership.time_in_status(member.node) < PARTITION_MEMORY
        ]
        return len(alive) < len(missing)

    async def _list(self) -> None:
        await self._listing.run("list", self._adopter.list_batches)

    def _begin_counting(self) -> list[str]:
        """Returns the batches that still have to be counted, and starts counting those not yet in progress."""
        now = self._ctx.timers.now()
        uncounted = [batch_id for batch_id, since in self._waiting.uncounted.items() if now - since < COUNT_TIMEOUT]
        for batch_id in uncounted:
            if batch_id not in self._counting:
                self._counting.add(batch_id)
                self._ctx.run_in_background(self.count(batch_id), "count_batch")
        return uncounted

    async def count(self, batch_id: str) -> None:
        """Reads the log of a batch and counts its unfinished tokens."""
        try:
            progress = await self._followers.get_progress(batch_id)
        except PipitlinkError as error:
            self._ctx.logger.debug("batch_not_counted", batch=batch_id, text=error)
            await self._ctx.timers.sleep(COUNT_RETRY_DELAY)
            return
        finally:
            self._counting.discard(batch_id)
        if batch_id in self._waiting.uncounted:
            self._waiting.count(batch_id, progress.durable_head.route, progress.unfinished_tokens())
