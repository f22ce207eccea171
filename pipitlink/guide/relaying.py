import json

import treq
from twisted.internet import defer, protocol
from twisted.internet.error import ConnectError
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from ..beats import secs
from ..faults import BackEndFault, Crowded, GuideFault

__all__ = ["Relaying"]

CONNECT = secs(1)
MAX_TEXT = 256 * 1024


class _Pieces(LineOnlyReceiver):
    """An engine's token stream: server-sent events, each with a completion chunk, closed by [DONE]."""

    delimiter = b"\n"
    MAX_LENGTH = 1024 * 1024

    def __init__(self, ask):
        self._ask = ask
        self._done = False
        self.over = defer.Deferred(lambda _: self.transport.abortConnection() if self.transport else None)

    def connectionMade(self):
        self._ask.feed = self.transport

    def lineReceived(self, line):
        line = line.rstrip(b"\r")
        if not line.startswith(b"data:") or self._done or self.over.called:
            return
        body = line[5:].strip()
        if body == b"[DONE]":
            self._done = True
            return
        try:
            text = json.loads(body)["choices"][0]["text"]
        except (ValueError, LookupError, TypeError) as e:
            self._break(f"a piece could not be read: {e}")
            return
        if self._ask.size + len(text) > MAX_TEXT:
            self._break(f"the answer is longer than {MAX_TEXT} characters")
            return
        if text:
            self._ask.show(text)

    def lineLengthExceeded(self, line):
        self._break("a line of the engine's answer is too long")

    def _break(self, why: str):
        self.transport.abortConnection()
        if not self.over.called:
            self.over.errback(BackEndFault(why, code="bad_answer"))

    def connectionLost(self, reason=protocol.connectionDone):
        self._ask.feed = None
        if self.over.called:
            return
        if self._done and reason.check(ResponseDone):
            self.over.callback(None)
        else:
            self.over.errback(BackEndFault("the engine's token stream was cut short", code="cut_short"))


class Relaying:
    """Mixin: the pass that sends a request to its back end and takes in the answer."""

    def _open_relaying(self):
        timeout = CONNECT.total_seconds()
        once = Agent(self._ctx.reactor, connectTimeout=timeout)
        self._to_engines = treq.client.HTTPClient(once)
        pool = HTTPConnectionPool(self._ctx.reactor)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 8
        self._to_pools = treq.client.HTTPClient(Agent(self._ctx.reactor, pool=pool, connectTimeout=timeout))

    async def _pass_relay(self, ask) -> bool:
        return await self._send(ask, self._relay)

    async def _send(self, ask, do) -> bool:
        e = ask.engine
        self._retry_budget.earn()
        try:
            left = ask.limit - self._ctx.beats.now()
            await self._ctx.beats.within(left, do(ask, e))
            ask.put("finish")
            ask.move()
            return False
        except ConnectError as f:
            self.engines.failed(e)
            ask.put("unreached")
            fault = Crowded(f"engine {e.name} could not be reached: {f}", code="unreached")
        except Crowded as f:
            ask.put("refuse")
            fault = f
        except defer.CancelledError:
            raise
        except GuideFault as f:
            ask.put("lose")
            f.outcome = "failed" if f.code == "engine_refused" else ask.outcome
            fault = f
        except Exception as f:
            ask.put("lose")
            late = self._ctx.beats.now() >= ask.limit
            if not late:
                self.engines.failed(e)
            fault = BackEndFault(str(f) or type(f).__name__, code="limit_passed" if late else "lost",
                                 status=504 if late else 502, outcome=ask.outcome)
        finally:
            ask.give()
        if self._may_go_again(ask):
            ask.refusal = fault
            return True
        raise fault

    async def _relay(self, ask, e):
        body = {"model": ask.model, "prompt": ask.prompt, "max_tokens": ask.max_tokens, "stream": True}
        ask.put("send")
        r = await self._to_engines.post(f"http://{e.news.address}/v1/completions", json=body,
                                        headers={"X-Request-Id": ask.id, "X-Prefix-Key": ask.prefix},
                                        unbuffered=True)
        if r.code in (429, 503):
            await self._discard(r)
            raise Crowded(f"engine {e.name} refused with {r.code}", code="engine_crowded")
        if r.code != 200:
            text = await self._discard(r)
            raise BackEndFault(f"engine {e.name} answered {r.code}: {text[:200]}", code="engine_refused",
                               outcome="failed")
        pieces = _Pieces(ask)
        r.deliverBody(pieces)
        await pieces.over

    async def _discard(self, r) -> str:
        try:
            return (await self._ctx.beats.within(secs(1), treq.content(r)))[:4096].decode("utf-8", "replace")
        except Exception:
            return ""

    def hold_back(self, ask, full: bool):
        """Backpressure: a reader whose stream is full pauses the engine's stream."""
        if ask.feed is not None:
            (ask.feed.pauseProducing if full else ask.feed.resumeProducing)()
