"""Sends calls to engines and relays the answers, with retries that double nothing."""

from twisted.internet import defer, protocol
from twisted.web._newclient import ResponseDone

from ..errors import ApiError, EngineError, ServiceUnavailable
from ..timers import ms
from .call import HOP_HEADERS
from .events import EventStream

__all__ = ["Relay"]

WATCH_INTERVAL = ms(200)
MUTE_SPAN = ms(900)
OVERRUN = ms(30)
MAX_TRIES = 6
FRESH_LINK = ms(3000)
RETRY_PAUSE = ms(15)
AIM_STEP_MS = 250
BATCH_URGENCY = 7
PROMISES = (408, 429, 503)


def live_urgency(route) -> int:
    """0 to 5, 0 first: the shorter a route's aim, the sooner its requests are let in."""
    return max(0, min(5, route.latency_target_ms // AIM_STEP_MS + route.priority))


class _Flow(protocol.Protocol):
    """The body of one engine's answer on its way to the call's sink, as it comes."""

    def __init__(self, call, link, response, read):
        self._call, self._link = call, link
        self._response, self._read = response, read
        self._failing = False
        self._events = EventStream(call.last_event) if call.resumable and response.code == 200 else None
        self.over = defer.Deferred()

    def dataReceived(self, data):
        if self.over.called or self._failing:
            return
        try:
            self._read()
            if self._events is not None:
                for event in self._events.take(data):
                    self._show(event)
                    self._call.last_event = self._events.last
            else:
                self._show(data)
        except Exception as e:
            self._fail(e)

    def _show(self, data):
        call = self._call
        if not call.headed:
            call.headed = True
            call.sink.head(self._response)
        if call.state != "responding":
            call.trigger("receive")
        call.sink.data(data)

    def _fail(self, e):
        self._failing = True
        self._link.discard()
        self.over.errback(e)

    def connectionLost(self, reason=protocol.connectionDone):
        if self.over.called or self._failing:
            return
        if not reason.check(ResponseDone):
            self.over.errback(EngineError("the engine's answer was cut short", code="cut_short"))
        elif self._events is not None and not self._events.whole:
            self.over.errback(EngineError("the engine's answer ended inside an event", code="cut_short"))
        else:
            if not self._call.headed:
                self._call.headed = True
                self._call.sink.head(self._response)
            self.over.callback(None)


class Relay:
    """Mixin: sends a call to its engine, takes in the answer, and goes on elsewhere only where nothing is doubled.

    Offers `relay`, `calls` under way, and `counts` of tries and their ends.
    Needs of the node: `_ctx`, `engines`, `links`; of Choosing: `choose`, `most_links`, `_come_back`.
    Owns `calls` and `counts`.
    """

    def _open_relay(self):
        self.calls: set = set()
        self.counts = {"tries": 0, "resumed": 0, "spoilt": 0, "refused": 0}
        self.engines.watch_gone(lambda e: self.links.drop(e.address))
        self._ctx.timers.call_repeatedly(WATCH_INTERVAL, self._watch_calls, self._ctx.error_reporter("watch_calls"))

    def _watch_calls(self):
        """Ends exchanges past their deadline, and those with engines that are gone or mute, where the call can go on
        or begin again elsewhere.
        """
        self.links.sweep()
        now = self._ctx.timers.now()
        for call in list(self.calls):
            e = call.engine
            if e is None or call.sent_at is None:
                continue
            if now >= call.limit + OVERRUN:
                call.link and call.link.discard()
                continue
            if not (call.repeatable or call.resumable):
                continue
            lost = self.engines.status(e) in ("silent", "gone") and now - e.bytes_at > MUTE_SPAN
            mute = not call.budget_spent and e.bytes_at < call.sent_at and now - call.sent_at > MUTE_SPAN
            if lost or mute:
                if mute:
                    self.engines.unreached(e)
                call.link and call.link.discard()

    async def relay(self, call):
        """Runs a call until its answer is whole at the sink; an error says what is known of it."""
        self.calls.add(call)
        try:
            while True:
                e = await self.choose(call)
                call.engine = e
                call.tries += 1
                self.counts["tries"] += 1
                call.trigger("choose_engine")
                try:
                    await self._try(call, e)
                    call.trigger("finish")
                    self._ctx.logger.debug(
                        "call_completed", id=call.id.decode("latin-1"), route=call.route.name, tries=call.tries
                    )
                    return
                except ApiError as f:
                    if not self._may_go_on(call, f):
                        raise
                if call.state == "lost":
                    call.reached = True
                    call.trigger("retry")
                if call.tries > 2:
                    await self._ctx.timers.sleep(RETRY_PAUSE * call.tries)
        except defer.CancelledError:
            call.trigger("lose")
            raise
        except ApiError as f:
            if call.reached and f.outcome == "not_run":
                f.outcome = "unknown"
            raise
        finally:
            self.calls.discard(call)

    def _may_go_on(self, call, fault) -> bool:
        """Another try is allowed where nothing ran, or where running again, or from the last event on, is no harm."""
        if call.ended or call.tries >= MAX_TRIES or self._ctx.timers.now() >= call.limit:
            return False
        if call.batch:
            return False
        if call.state == "waiting":
            return fault.code != "no_room"
        if call.state != "lost" or call.runs.total() > max(2, call.route.max_attempts):
            return False
        return call.resumable or call.repeatable and not call.headed

    def _check_still(self, call, e):
        """What held when the engine was chosen must hold as the first byte leaves."""
        if call.ended:
            raise call.fault("the request was ended", code="ended")
        if call.limit <= self._ctx.timers.now():
            raise call.fault("the deadline has passed", code="limit_passed", status=504)
        if (
            self.engines.status(e) not in ("ready", "suspect")
            or e.news.zone in self._ctx.cluster.cluster_state.empty_zones
        ):
            raise ServiceUnavailable(f"{e.name} may not get new work any more", code="engine_moved_on")
        route = self._ctx.cluster.cluster_state.routes.routes.get(call.route.name)
        if route is not call.route:
            if route is None or all(s.pool != call.pool or not s.share > 0 for s in route.shares):
                call.pool = ""
                raise ServiceUnavailable("the route has moved", code="route_moved")
        if call.still is not None:
            call.still()

    async def _link(self, call, e):
        link = self.links.take(e.address, call.id, None if call.repeatable or call.resumable else FRESH_LINK)
        if link is None:
            link = await self.links.open(e.address, self.most_links(e))
        return link

    async def _try(self, call, e):
        missing = (call.parts[-1][1] if call.parts else 0) + e.kept.missing(call.shared)
        read, give = self.engines.take(e, missing, call.batch)
        try:
            try:
                link = await self._link(call, e)
            except ApiError as f:
                if f.code == "unreached":
                    self.engines.unreached(e)
                raise
            try:
                self._check_still(call, e)
            except Exception:
                self._release(link)
                raise
            call.link = link
            call.trigger("send")
            call.sent_at = self._ctx.timers.now()
            e.kept.add(call.parts)
            await self._exchange(call, e, link, read)
            self.engines.served(e)
        except ApiError as f:
            if call.state == "engine_chosen":
                call.trigger("connect_failed")
                f.outcome = call.outcome
            elif call.state in ("sent", "responding"):
                call.trigger("lose")
            raise
        finally:
            call.sent_at = None
            call.link = None
            give()

    def _release(self, link):
        if not link.spoilt and link.state == "QUIESCENT":
            self.links.give_back(link)

    def _head(self, call, e) -> list[tuple[bytes, bytes]]:
        words = self._ctx.dialect
        ours = {words.deadline_ms, words.target, words.urgency}
        if call.last_event:
            ours.add(words.event_id)
        out = [(n, v) for n, v in call.headers if n not in ours]
        left = max(1, int((call.limit - self._ctx.timers.now()) / ms(1)))
        out.append((words.deadline_ms, b"%d" % left))
        out.append((words.target, e.name.encode()))
        out.append((words.urgency, b"%d" % (BATCH_URGENCY if call.batch else live_urgency(call.route))))
        if call.last_event:
            out.append((words.event_id, b"%d" % call.last_event))
        return out

    async def _exchange(self, call, e, link, read):
        def heard():
            e.bytes_at = self._ctx.timers.now()

        link.on_bytes = heard
        try:
            call.runs[e.name] += 1
            response = await link.send(call.id, call.method, call.target, self._head(call, e), call.body)
        except defer.CancelledError:
            link.discard()
            raise
        except Exception as f:
            link.discard()
            self._lost_with(call, e)
            if self._ctx.timers.now() >= call.limit:
                raise EngineError(f"{e.name} did not answer in time", code="limit_passed", status=504) from f
            raise EngineError(f"{e.name} did not answer: {f}", code="lost") from f
        try:
            await self._take_answer(call, e, link, response, read)
        except BaseException:
            if not link.spoilt and link.state != "QUIESCENT":
                link.discard()
            raise

    def _lost_with(self, call, e):
        if not call.ended and self._ctx.timers.now() < call.limit:
            self.engines.failed(e)

    async def _take_answer(self, call, e, link, response, read):
        words, heads = self._ctx.dialect, response.headers
        code = response.code
        if not self._belongs(call, link, response):
            self.counts["spoilt"] += 1
            link.discard()
            raise EngineError(f"{e.name} sent another request's answer", code="spoilt", outcome="unknown")
        if code == 421 or heads.hasHeader(words.not_executed):
            await self._refused(call, e, link, response)
        if code in PROMISES:
            await self._drain(link, response)
            raise EngineError(
                f"{e.name} answered {code} without saying that nothing ran", code="engine_failed", outcome="unknown"
            )
        if 200 <= code < 300 and not heads.hasHeader(words.seal):
            link.discard()
            raise EngineError(f"{e.name} answered without its seal", code="spoilt", outcome="unknown")
        if (
            code >= 500
            and not call.headed
            and not call.batch
            and (call.repeatable or call.resumable)
            and not call.budget_spent
        ):
            await self._drain(link, response)
            raise EngineError(f"{e.name} answered {code}", code="engine_failed", outcome="unknown")
        if call.headed and code != 200:
            await self._drain(link, response)
            raise EngineError(f"{e.name} answered {code} to a resumed stream", code="engine_failed", outcome="unknown")
        if not call.resumable:
            call.forget_body()
        flow = _Flow(call, link, response, read)
        response.deliverBody(flow)
        try:
            await flow.over
        except ApiError:
            self._lost_with(call, e)
            raise
        if code == 200 or not call.batch:
            link.unserved.discard(call.id)

    def _belongs(self, call, link, response) -> bool:
        """Whether an answer is this call's. One without an id is, where its connection never carried another request;
        as a success it counts for nobody.
        """
        said = response.headers.getRawHeaders(self._ctx.dialect.request_id, (None,))[0]
        if said is None:
            return link.used == 1 and not 200 <= response.code < 300
        return said == call.id

    async def _refused(self, call, e, link, response):
        """The engine says that nothing ran."""
        self.counts["refused"] += 1
        call.runs[e.name] -= 1
        call.trigger("reject")
        code = response.code
        await self._drain(link, response)
        if code == 421:
            self.engines.replaced(e)
        else:
            self.engines.failed(e)
        raise ServiceUnavailable(f"{e.name} refused with {code}", code="engine_crowded", retry_after=self._come_back())

    async def _drain(self, link, response):
        """Reads the rest of an answer that nobody is shown, so that its connection can be used again."""
        done = defer.Deferred()

        class _Drop(protocol.Protocol):
            def connectionLost(self, reason=protocol.connectionDone):
                done.called or done.callback(None)

        response.deliverBody(_Drop())
        await self._ctx.timers.wait_at_most(done, ms(100))
        if not link.spoilt and link.state not in ("QUIESCENT", "CONNECTION_LOST"):
            link.discard()


def passed_headers(response):
    """The engine's headers that a caller is shown: all but those that concern one connection."""
    for name, values in response.headers.getAllRawHeaders():
        if name.lower() not in HOP_HEADERS:
            for value in values:
                yield name, value
