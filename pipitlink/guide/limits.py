import math
from datetime import timedelta

import attrs

from ..faults import Crowded

__all__ = ["Limits"]


@attrs.define(eq=False)
class _Bucket:
    rate: float
    left: float
    at: timedelta

    def take(self, rate: float, now: timedelta) -> float:
        """0 where one may pass now, else the seconds until one may."""
        self.rate = rate
        self.left = min(max(1.0, rate), self.left + rate * (now - self.at).total_seconds())
        self.at = now
        if self.left >= 1:
            self.left -= 1
            return 0.0
        return (1 - self.left) / rate


class Limits:
    """Mixin: this guide's share of the rates and concurrencies that the table's rows set."""

    def _open_limits(self):
        self._buckets: dict[str, _Bucket] = {}

    def _guides(self) -> int:
        return max(1, len(self._ctx.roster.members("guide", standing=("alive",))))

    def _keep_rate(self, ask):
        row = next((r for e, _ in self.candidates(ask.model, ask.pool)
                    if (r := self._ctx.setup.row(ask.model, e.news.pool)) is not None), None)
        if row is None or not row.rate:
            return
        now = self._ctx.beats.now()
        rate = row.rate / self._guides()
        bucket = self._buckets.setdefault(row.name, _Bucket(rate, max(1.0, rate), now))
        wait = bucket.take(rate, now)
        if wait:
            raise Crowded(f"row {row.name} allows {row.rate:g} a second", code="rate_limited", status=429,
                          retry_after=math.ceil(wait))

    def _within_concurrency(self, model: str, pool: str) -> bool:
        row = self._ctx.setup.row(model, pool)
        if row is None or not row.concurrency:
            return True
        share = max(1, row.concurrency // self._guides())
        running = sum(a.engine is not None and a.give_back is not None
                      and self._ctx.setup.row(a.model, a.engine.news.pool) is row for a in self.asks.values())
        return running < share
