"""Chooses the engine of each call by expected wait."""

from datetime import timedelta

from twisted.internet import defer

from ..errors import ServiceUnavailable
from ..rendezvous import rank
from ..timers import ms, secs

__all__ = ["Choosing"]

READ_PER_MS = 150
RUN_COST_MS = 1.5
FAR_COST_MS = 5.0
OPEN_COST_MS = 5.0
FULL_COST_MS = 20.0
CROWDED_COST_MS = 6.0
LIVE_FILL = 1.5
BATCH_FILL = 1.0
BATCH_MOST_FILL = 1.3
MOST_AHEAD = 8
SHORT_WAIT = ms(60)
WAIT_SHARE = 0.2
STICKY_TOKENS = 256
LONG_PROMPT = 3000
LONG_SHARE = 0.67
LONG_AWAY_MS = 60.0
NEAR_LONG_MS = 20.0
ITEM_AWAY_MS = 8.0
LONG_SPAN = secs(10)
MAX_WAITING = 256


class Choosing:
    """Mixin: which engine a call goes to: by pool, status, zone, kept prompt parts, what is read and what runs there.

    Offers `choose`, `batch_room`, `ready_engines`, `most_links` and `_come_back`.
    Needs of the node: `_ctx`, `engines`, `links`; of Quota: `waiting_tokens`.
    Owns `_waiting` and `_long_at`.
    """

    def _open_choosing(self):
        self._waiting = 0
        self._long_at: dict[str, timedelta] = {}

    def _share_pool(self, call) -> str:
        """One pool of the route's shares, by rng, kept for the call."""
        shares = [s for s in call.route.shares if s.share > 0]
        if len(shares) == 1:
            return shares[0].pool
        at = self._ctx.rng.random() * sum(s.share for s in shares)
        for s in shares:
            at -= s.share
            if at < 0:
                return s.pool
        return shares[-1].pool

    def ready_engines(self, pool: str) -> list:
        empty = self._ctx.cluster.cluster_state.empty_zones
        return [e for e in self.engines.pool(pool) if e.news.zone not in empty and self.engines.status(e) == "ready"]

    def _usable(self, call) -> list:
        ready = self.ready_engines(call.pool)
        if not ready and not call.batch:
            empty = self._ctx.cluster.cluster_state.empty_zones
            ready = [
                e
                for e in self.engines.pool(call.pool)
                if e.news.zone not in empty and self.engines.status(e) in ("suspect",)
            ]
        if call.budget_spent:
            return [e for e in ready if e.name in call.engines_run]
        return [e for e in ready if e.name not in call.avoid] or ([] if call.engines_run else ready)

    def _fill(self, call) -> float:
        return BATCH_MOST_FILL if call.batch else LIVE_FILL

    def _choose(self, call):
        """The engine with the least expected wait among those with room, or none."""
        usable = self._usable(call)
        fill = self._fill(call)
        best, least = None, 0.0
        shared = call.shared
        home = ""
        long = self._long_set(call, usable)
        is_long = self._is_long(call)
        if sum(n for _, n in shared) >= STICKY_TOKENS and len(usable) > 1:
            key = "/".join(name for name, _ in shared)
            homes = [e for e in usable if e.name in long] if is_long and long else usable
            home = max(homes, key=lambda e: rank(key, e.name)).name
        now, most = self._ctx.timers.now(), self._most_links(call.pool)
        for e in usable:
            load, batch = self.engines.loads(e, now)
            if not call.batch:
                load -= batch
            if load >= fill * e.places or not self.engines.admit(e) or not self._reachable(e, most):
                continue
            missing = call.parts[-1][1] if call.parts else 0
            if e.name != home:
                missing += e.kept.missing(shared) if shared else 0
            cost = (missing + e.reading) / READ_PER_MS + RUN_COST_MS * load + self._ctx.rng.random()
            if load >= e.places:
                cost += FULL_COST_MS * (1 + load - e.places)
            elif not call.batch and load + batch >= e.places:
                cost += CROWDED_COST_MS
            if e.news.zone != self._ctx.settings.zone:
                cost += FAR_COST_MS
            if not self.links.idle(e.address):
                cost += OPEN_COST_MS
            if long:
                cost += self._apart(call, is_long, e.name in long)
            if best is None or cost < least:
                best, least = e, cost
        return best

    def _is_long(self, call) -> bool:
        return sum(n for _, n in call.parts) >= LONG_PROMPT

    def _long_set(self, call, usable) -> set[str]:
        """The engines that long prompts keep to, the same at every gateway; none where the pool is small or has none.

        A long prompt holds up the tokens of all that runs beside it, so short requests with a pace to keep stay apart.
        """
        if self._is_long(call):
            self._long_at[call.pool] = self._ctx.timers.now()
        at = self._long_at.get(call.pool)
        if at is None or self._ctx.timers.now() - at > LONG_SPAN or len(usable) < 4:
            return set()
        ranked = sorted(usable, key=lambda e: rank(f"long/{call.pool}", e.name))
        return {e.name for e in ranked[: round(LONG_SHARE * len(ranked))]}

    def _apart(self, call, is_long: bool, in_long: bool) -> float:
        if is_long:
            return 0.0 if in_long else LONG_AWAY_MS
        if call.batch:
            return 0.0 if in_long else ITEM_AWAY_MS
        return NEAR_LONG_MS if in_long else 0.0

    def _reachable(self, e, most: int) -> bool:
        return self.links.idle(e.address) > 0 or self.links.count(e.address) < most

    def most_links(self, e) -> int:
        """This gateway's part of the engine's connection bound, with some left for gateways that come."""
        return self._most_links(e.news.pool)

    def _most_links(self, pool_name: str) -> int:
        pool = self._ctx.cluster.cluster_state.routes.pools.get(pool_name)
        bound = pool.max_connections if pool is not None and pool.max_connections else 1000
        return max(1, int(0.9 * bound / max(1, self.engines.gateways())))

    async def choose(self, call):
        """Waits a short while for room; then the caller is told at once when to come back."""
        if not call.pool:
            call.pool = self._share_pool(call)
        now = self._ctx.timers.now()
        wait = (
            min(SHORT_WAIT, timedelta(milliseconds=call.route.latency_target_ms * WAIT_SHARE))
            if not call.batch
            else ms(0)
        )
        until = min(call.limit, now + wait)
        while True:
            e = self._choose(call)
            if e is not None:
                return e
            left = until - self._ctx.timers.now()
            if left <= ms(0) or self._waiting >= MAX_WAITING:
                raise ServiceUnavailable("no engine has room", code="no_room", retry_after=self._come_back())
            d = defer.Deferred()
            self.engines.wait_room(d)
            self._waiting += 1
            try:
                await self._ctx.timers.wait_at_most(d, min(left, ms(15)))
            finally:
                self._waiting -= 1

    def _come_back(self) -> float:
        """Seconds until a new try is worth while; spread, so that a crowd does not come back as one."""
        return round(0.05 + 0.15 * self._ctx.rng.random(), 3)

    def batch_room(self, route) -> int:
        """How many items of batches on this route may be started now from here.

        What is free, or what this gateway's share of the room still lacks: shares go by the tokens that wait at each
        gateway, so
        that in a crowd of batches none waits behind the room that others hold.
        """
        free = places = running = 0
        for s in route.shares:
            if s.share > 0:
                for e in self.ready_engines(s.pool):
                    if not self.engines.cold(e):
                        load, batch = self.engines.loads(e, self._ctx.timers.now())
                        free += max(0, int(BATCH_FILL * e.places) - load)
                        places += max(0, int(BATCH_FILL * e.places) - (load - batch))
                        running += e.batch
                    elif self.engines.admit(e):
                        free += 1
        mine, total = self.waiting_tokens(route.name)
        share = int(places * mine / total) if total else 0
        return max(free, min(share - running, MOST_AHEAD))
