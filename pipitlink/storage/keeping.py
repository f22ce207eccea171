"""Retention of ended logs and compaction of segment files."""

from collections import Counter

from ..timers import secs, wall_ms
from ..wire.replicated_log_pb2 import Entry

__all__ = ["Keeping"]

ELECTION_INTERVAL = secs(5)
FULL_SHARE = 0.5
STONE_MS = 40 * 86_400_000


class Keeping:
    """Mixin: drops the bytes of logs that ended long ago, and gives back the room of old files.

    Offers nothing to the node but its timer's work.
    Needs of the node: `_ctx`, `log_store`, `_group_commit`, `_gather`.
    Owns no attributes.
    """

    def _open_keeping(self):
        self._ctx.timers.call_repeatedly(ELECTION_INTERVAL, self._keep, self._ctx.error_reporter("keeping"))

    async def _keep(self):
        now = wall_ms(self._ctx.timers.utc_now())
        span = self._ctx.settings.retention_s * 1000
        for k in list(self.log_store.logs.values()):
            if not (k.final and k.closed_ms):
                continue
            if now - k.closed_ms > span + STONE_MS:
                await self._group_commit.submit(lambda t, k=k: self.log_store.forget(k.log, t))
            elif k.length and now - k.closed_ms > span:
                await self._group_commit.submit(lambda t, k=k: self.log_store.wither(k.log, t))
                self._ctx.logger.info("log_withered", log=k.log)
        await self._give_back()

    def _emptiest(self) -> int | None:
        """The older file with the smallest share that counts, if that is small enough."""
        live: Counter = Counter()
        for k in self.log_store.logs.values():
            for _, length, spot in k.extents:
                live[spot[0]] += length
        segments = self.log_store.segments
        numbers = segments.segment_numbers()[:-1]
        shares = {
            n: live[n] / max(1, segments.segment_size(n))
            for n in numbers
            if n == numbers[0] or n not in self.log_store.forgets
        }
        n = min(shares, key=shares.get, default=None)
        return n if n is not None and shares[n] <= FULL_SHARE else None

    async def _give_back(self):
        """Writes what still counts in one file to the newest, and drops the file."""
        n = self._emptiest()
        if n is None:
            return
        for k in [k for k in self.log_store.logs.values() if k.stands_in(n)]:
            before = (k.epoch, k.tail_epoch, k.length, k.final)
            data = await self._ctx.run_in_thread(self._gather, self.log_store.extents(k.log, 0, k.length))
            if (
                before != (k.epoch, k.tail_epoch, k.length, k.final)
                or len(data) != k.length
                or k.synced != (k.tail_epoch, k.length, k.final)
            ):
                return
            await self._group_commit.submit(lambda t, k=k, data=data: self.log_store.rewrite(k, data, t))
        if not any(k.stands_in(n) for k in self.log_store.logs.values()):
            await self._group_commit.submit(
                lambda t: self.log_store.segments.append(Entry(kind=Entry.NOTHING).SerializeToString(), t)
            )
            self.log_store.segments.remove_segment(n)
            self._ctx.logger.info("room_given_back", file=n, used=self.log_store.used_bytes())
