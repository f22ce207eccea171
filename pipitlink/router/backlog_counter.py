"""Makes sure that the count of waiting tokens has all open batches."""

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

# A batch that cannot be counted for so long holds up admission no more.
COUNT_TIMEOUT = secs(10)
COUNT_RETRY_DELAY = ms(200)
# A gateway that is missing for longer than this is not taken for one behind a network partition.
PARTITION_MEMORY = secs(60)


class BacklogCounter:
    """Counts the batches that no owner reports, and says whether the count is reliable."""

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
        """Returns whether the count of waiting tokens has all open batches; otherwise begins to count.

        `counting_since` is since when this gateway has granted all of them. The count is not reliable before what
        others granted until then was reported, nor on the smaller side of a network partition, nor before all open
        batches are counted. Gateways that come and go since then make no difference: what they were granted counts
        until they, or those that adopt their batches, report it.
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
        """Returns whether more gateways have gone of late than are alive; restarted ones do not count as gone."""
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
        """Returns the batches that are to be counted first, and begins with those that are not being counted."""
        now = self._ctx.timers.now()
        uncounted = [batch_id for batch_id, since in self._waiting.uncounted.items() if now - since < COUNT_TIMEOUT]
        for batch_id in uncounted:
            if batch_id not in self._counting:
                self._counting.add(batch_id)
                self._ctx.run_in_background(self.count(batch_id), "count_batch")
        return uncounted

    async def count(self, batch_id: str) -> None:
        """Counts the unfinished tokens of a batch from its log."""
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
