"""Passes engine announcements on to all gateways."""

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..errors import ServiceUnavailable, WireError
from ..timers import ms, secs, to_ms
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import EngineList, EngineUpdate

__all__ = ["Announcing"]

BATCH_INTERVAL = ms(800)
PUSH_LIMIT = ms(400)
PUSH_PAUSE = ms(200)
PUSH_SPAN = secs(3)
CONFIRM_SPAN = ms(700)
FORGET_SPAN = secs(30)
GONE_SPAN = secs(60)
LOST_SPAN = secs(60)
FINAL = ("leaving", "gone")


class _Telling:
    """One change on its way to all gateways, and which of them have confirmed it."""

    def __init__(self, gateways):
        self.gateways = set(gateways)
        self.confirmed: set[str] = set()
        self.running = len(self.gateways)
        self._waiting: list[defer.Deferred] = []

    def wait(self) -> defer.Deferred:
        self._waiting.append(defer.Deferred())
        return self._waiting[-1]

    def wake(self):
        waiting, self._waiting = self._waiting, []
        for d in waiting:
            if not d.called:
                d.callback(None)


@attrs.define(eq=False)
class _Announced:
    news: EngineUpdate
    heard_at: timedelta
    telling: _Telling | None = None


class Announcing:
    """Mixin: engines announce themselves here, and every gateway is told; no leader is needed.

    What most gateways cannot be told is kept and told on, but not acknowledged, so that the engine asks another
    controller.

    Offers `announce`.
    Needs of the node: `_ctx`; of Leading: `in_touch`.
    Owns `_announced`, `_renewed`, `_owed`, `_unreached` and `_turn`.
    """

    def _open_announcing(self):
        self._announced: dict[str, _Announced] = {}
        self._renewed: set[str] = set()
        self._owed: dict[str, set[str]] = {}
        self._unreached: set[str] = set()
        self._turn = 0
        self._ctx.membership.add_listener(self._gateway_changed)
        self._ctx.timers.call_repeatedly(
            BATCH_INTERVAL, self._tell_renewed, self._ctx.error_reporter("renewed_engines")
        )

    async def announce(self, n: EngineUpdate):
        """Takes an engine's news; returns once it may be acknowledged. The newest sequence wins, leaving is for
        good.
        """
        have = self._keep_news(n)
        if n.state in FINAL and have.news.state in FINAL:
            await self._confirmed(have)
        elif not self._reaches_most():
            raise ServiceUnavailable("most gateways cannot be told of this engine", code="untold")

    def _keep_news(self, n: EngineUpdate) -> _Announced:
        have = self._announced.get(n.engine)
        late = have is not None and n.state != "gone" and n.sequence <= have.news.sequence
        if have is not None and have.news.state == "gone" or late:
            return have
        elsewhere = have is None and n.sequence > 1 and n.state == "ready" and not n.slow_start_ms
        if have is None:
            have = self._announced[n.engine] = _Announced(EngineUpdate(), self._ctx.timers.now())
        before, have.news = have.news, n
        have.heard_at = self._ctx.timers.now()
        if before.state == "leaving" and n.state != "gone":
            n.state = "leaving"
        if (n.state, n.address) != (before.state, before.address) or n.slow_start_ms and not before.slow_start_ms:
            if n.state != before.state:
                self._ctx.logger.info("engine", engine=n.engine, state=n.state, address=n.address)
            self._tell_change(have, elsewhere)
        else:
            self._renewed.add(n.engine)
        return have

    def _tell_change(self, have: _Announced, elsewhere: bool):
        """One that has announced itself elsewhere before is told with the renewals: gateways know it from there."""
        if elsewhere:
            self._renewed.add(have.news.engine)
        else:
            self._tell(have)

    def _gateways(self, status=("alive", "suspect")):
        return self._ctx.membership.members("gateway", statuses=status, include_self=False)

    def _most(self, nodes) -> bool:
        """Whether these are more than half of the gateways, those among them that were lost in the last minute."""
        membership = self._ctx.membership
        places = {
            (m.host, m.port)
            for m in self._gateways(("alive", "suspect", "gone"))
            if membership.status(m.node) != "gone" or membership.time_in_status(m.node) < LOST_SPAN
        }
        found = [m for n in nodes if (m := membership.find(n)) is not None]
        return 2 * len({(m.host, m.port) for m in found} & places) > len(places)

    def _reaches_most(self) -> bool:
        """Whether the last lists came through to more than half of the gateways, as far as any are known."""
        known = self._gateways(("alive", "suspect", "gone"))
        return not known or self._most(m.node for m in self._gateways() if m.node not in self._unreached)

    def _tell(self, have: _Announced):
        have.telling = t = _Telling(m.node for m in self._gateways())
        for node in t.gateways:
            self._ctx.run_in_background(self._tell_gateway(node, [have.news.engine], t), "tell_engines")

    async def _tell_gateway(self, node: str, engines, t: _Telling):
        until = self._ctx.timers.now() + PUSH_SPAN
        try:
            while self._ctx.membership.status(node) in ("alive", "suspect"):
                if await self._push(node, engines):
                    t.confirmed.add(node)
                    return
                if self._ctx.timers.now() + PUSH_PAUSE > until:
                    self._owed.setdefault(node, set()).update(engines)
                    return
                await self._ctx.timers.sleep(PUSH_PAUSE)
        finally:
            t.running -= 1
            t.wake()

    async def _push(self, node: str, engines) -> bool:
        m = self._ctx.membership.find(node)
        if m is None:
            return False
        try:
            await self._ctx.rpc.call(
                (m.host, m.port), "engines.tell", self._list(engines), Empty, PUSH_LIMIT, node=node
            )
        except WireError as e:
            self._ctx.logger.debug("engines_untold", gateway=node, text=e)
            self._unreached.add(node)
            return False
        self._unreached.discard(node)
        return True

    def _list(self, engines) -> EngineList:
        now = self._ctx.timers.now()
        out = EngineList()
        for name in engines:
            have = self._announced.get(name)
            if have is not None:
                n = out.engines.add()
                n.CopyFrom(have.news)
                n.age_ms = to_ms(now - have.heard_at)
        return out

    async def _confirmed(self, have: _Announced):
        """Waits until all live gateways have confirmed the change, for a short while; more than half of all must have.

        A controller that reaches fewer may be cut off from those who still send, so the engine has to ask another.
        The others are told until they confirm.
        """
        if have.telling is None or not have.telling.running and not self._most(have.telling.confirmed):
            self._tell(have)
        t = have.telling
        end = self._ctx.timers.now() + CONFIRM_SPAN
        while self._reaches_most():
            live = {m.node for m in self._gateways(("alive",))}
            left = end - self._ctx.timers.now()
            if (live & t.gateways) <= t.confirmed or not t.running or left <= ms(0):
                break
            await self._ctx.timers.wait_at_most(t.wait(), left)
        if not self._most(t.confirmed):
            raise ServiceUnavailable("too few gateways have confirmed that this engine leaves", code="untold")

    def _tell_renewed(self):
        """As notes: what is lost of a batch is made good by the engines' next renewals, before they count as silent.

        A gateway that did not confirm a change in time is called until it does, and so are those of `_to_call`.
        """
        self._forget_engines()
        renewed, self._renewed = self._renewed, set()
        owed, self._owed = self._owed, {}
        gateways = self._gateways()
        if renewed:
            owed |= {m.node: owed.get(m.node, set()) for m in self._to_call(gateways)}
        places = [(m.host, m.port) for m in gateways if m.node not in owed]
        if renewed and places:
            self._ctx.rpc.notify(places, "engines.tell", self._list(sorted(renewed)))
        for m in gateways:
            if m.node in owed:
                self._ctx.run_in_background(self._tell_owed(m.node, renewed | owed[m.node]), "tell_engines")

    def _to_call(self, gateways: list) -> list:
        """Those that are told renewals by a call, since only an answer shows that they are reached.

        One of them by turns; all where one did not answer, or where this controller is out of touch with the leader.
        """
        if not self.in_touch() or any(m.node in self._unreached for m in gateways):
            return gateways
        self._turn += 1
        return [gateways[self._turn % len(gateways)]] if gateways else []

    async def _tell_owed(self, node: str, engines: set[str]):
        if not await self._push(node, sorted(engines)):
            self._owed.setdefault(node, set()).update(engines)

    def _forget_engines(self):
        now = self._ctx.timers.now()
        self._unreached = {n for n in self._unreached if self._ctx.membership.find(n) is not None}
        for name, have in list(self._announced.items()):
            if now - have.heard_at > (GONE_SPAN if have.news.state == "gone" else FORGET_SPAN):
                del self._announced[name]

    def _gateway_changed(self, m):
        """A gateway that is met, or is back, is told all that is known here."""
        if m.role == "gateway" and self._announced and self._ctx.membership.status(m.node) == "alive":
            t = _Telling([m.node])
            self._ctx.run_in_background(self._tell_gateway(m.node, sorted(self._announced), t), "tell_engines")
