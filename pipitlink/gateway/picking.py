"""The passes that admit a request and pick its engine."""

import math

from twisted.internet import defer

from ..errors import ApiError, NotFound, ServiceUnavailable
from ..rendezvous import rank
from ..timers import ms, secs

__all__ = ["Admitting", "Picking", "RetryBudget"]

MAX_TRIES = 3
PICK_WAIT = ms(500)
CURRENT_WAIT = ms(600)
MAX_WAITING = 128
YOUNG_SPAN = secs(4)


def _score(key: str, name: str, weight: float) -> float:
    h = int.from_bytes(rank(key, name), "big")
    return -weight / math.log((h + 1) / (2**64 + 1))


class Admitting:
    """Mixin: the pass that lets a request in or sheds it early.

    Offers `_pass_admit`.
    Needs of the node: `_ctx`, `current`, `come_back`; of Limits: `_keep_rate`; of RequestTable: `asks`.
    Owns no attributes.
    """

    async def _pass_admit(self, ask):
        await self._await_current()
        now = self._ctx.timers.now()
        if ask.limit <= now:
            raise ApiError("the limit has passed", code="limit_passed", status=504, outcome="not_run")
        if ask.tries:
            return False
        if (
            not ask.lot
            and sum(not a.settled and not a.lot for a in self.asks.values()) > self._ctx.settings.max_running
        ):
            raise ServiceUnavailable("too many requests are running here", retry_after=self.come_back.seconds())
        await self._keep_rate(ask)
        return False

    async def _await_current(self):
        """A node that just woke gets a short while to prove its cluster state again."""
        until = self._ctx.timers.now() + CURRENT_WAIT
        while not self.current():
            if self._ctx.timers.now() >= until:
                raise ServiceUnavailable("this gateway cannot prove its cluster state now", code="not_current")
            await self._ctx.timers.sleep(ms(20))


class Picking:
    """Mixin: the pass that picks a back end: weights, status, zone, warm prefix, bounded load.

    Offers `_pass_pick`, `candidates`, `lot_reserve`, and `_may_go_again` for a second try.
    Needs of the node: `_ctx`, `engines`, `come_back`, `_retry_budget`, `_opened_at`; of Limits: `_keep_concurrency`.
    Owns `_waiting`, which the node sets to 0 first.
    """

    def candidates(self, model: str, pool: str = ""):
        out = []
        for e in self.engines.all():
            if model in e.news.models if not pool else e.news.pool == pool:
                row = self._ctx.cluster.row(model, e.news.pool)
                weight = row.weight if row is not None else 1.0
                if weight > 0 and not self._ctx.cluster.zone_empty(e.news.zone):
                    out.append((e, weight))
        return out

    def _has_room(self, ask, e) -> bool:
        reserve = self.lot_reserve(ask.model, e) if ask.lot else 0.0
        return self.engines.room(e, reserve) > 0

    def lot_reserve(self, model: str, e) -> float:
        """The share of a back end that lots leave to live requests."""
        row = self._ctx.cluster.row(model, e.news.pool)
        return 1 - row.lot_share if row is not None and row.lot_share > 0 else self._ctx.settings.lot_reserve

    def _pick(self, ask):
        ready = [
            (e, w)
            for e, w in self.candidates(ask.model, ask.pool)
            if self.engines.status(e) == "ready" and e.name not in ask.avoid
        ]
        free = [(e, w) for e, w in ready if self._has_room(ask, e)]
        if not free:
            return None
        loads = {e.name: self.engines.running(e) / max(1, self.engines.capacity(e)) for e, _ in ready}
        if not ask.prefix:
            return min(free, key=lambda p: (loads[p[0].name] / p[1], self._ctx.rng.random()))[0]
        bound = 1.25 * sum(loads.values()) / len(loads)
        free.sort(key=lambda p: -_score(ask.prefix, p[0].name, p[1]))
        for e, _ in free:
            if loads[e.name] <= bound + 1 / max(1, self.engines.capacity(e)):
                return e
        return free[0][0]

    async def _pass_pick(self, ask):
        await self._keep_concurrency(ask)
        until = min(ask.limit, self._ctx.timers.now() + PICK_WAIT)
        while True:
            e = self._pick(ask)
            if e is not None:
                break
            known = self.candidates(ask.model, ask.pool)
            if not known and self._may_yet_come(ask):
                raise ServiceUnavailable(
                    f"nothing that serves {ask.pool or ask.model!r} is heard now", code="none_heard", retry_after=2
                )
            if not known:
                raise NotFound(f"nothing serves {ask.pool or ask.model!r}", field="pool" if ask.pool else "model")
            if all(k.name in ask.avoid for k, _ in known):
                raise ask.refusal or ServiceUnavailable("no other back end is left to try")
            left = until - self._ctx.timers.now()
            if left <= ms(0) or self._waiting >= MAX_WAITING:
                raise ServiceUnavailable("no back end has room", retry_after=self.come_back.seconds())
            await self._wait_room(left)
        ask.engine = e
        place = self.engines.take(e, ask.lot)
        ask.give_back = lambda: (place(), self.come_back.freed())
        ask.tries += 1
        ask.trigger("choose_engine")
        return False

    def _may_yet_come(self, ask) -> bool:
        """A gateway that just started has not heard all back ends yet, and what the table names is only away."""
        young = self._ctx.timers.now() - self._opened_at < YOUNG_SPAN
        return young or self._ctx.cluster.row(ask.model, ask.pool) is not None

    async def _wait_room(self, left):
        d = defer.Deferred()
        self.engines.wait_room(d)
        self._waiting += 1
        try:
            await self._ctx.timers.wait_at_most(d, min(left, ms(100)))
        finally:
            self._waiting -= 1

    def _may_go_again(self, ask) -> bool:
        """A second back end is allowed after a sure `not_run`, or for a repeatable request with nothing shown."""
        if ask.tries >= MAX_TRIES or ask.pieces or ask.size or self._ctx.timers.now() >= ask.limit:
            return False
        if not self._retry_budget.take():
            return False
        if ask.state == "waiting":
            return True
        if ask.state == "lost" and ask.repeatable:
            ask.reached = True
            ask.trigger("retry")
            return True
        return False


class RetryBudget:
    """Second tries are a share of first ones, so that trouble is not doubled."""

    def __init__(self, share: float = 0.2, most: float = 20.0):
        self._share = share
        self._most = most
        self._left = most

    def earn(self):
        self._left = min(self._most, self._left + self._share)

    def take(self) -> bool:
        if self._left < 1:
            return False
        self._left -= 1
        return True
