"""Sends a request to its engine and reads the streamed answer."""

import json

import treq
from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from ..body_producer import BytesBodyProducer
from ..errors import ApiError, EngineError, ReplicatedLogError, ServiceUnavailable
from ..timers import secs, spawn

__all__ = ["Relaying"]

CONNECT = secs(1)
LOOK_INTERVAL = secs(1)
GONE_SPAN = secs(3)
MAX_TEXT = 256 * 1024


class _Point:
    """Where one request goes, the check that it may still go there, and the connection that it went on."""

    def __init__(self, reactor, check):
        self._reactor, self.check = reactor, check
        self._point = self.stream = None

    def endpointForURI(self, uri):
        kind = TCP6ClientEndpoint if b":" in uri.host else TCP4ClientEndpoint
        self._point = kind(self._reactor, uri.host.decode(), uri.port, CONNECT.total_seconds())
        return self

    def connect(self, factory):
        return self._point.connect(factory)

    def abort(self):
        """Ends the connection at once; what the body's reader is given as its transport cannot."""
        self.stream.transport.abortConnection()


class _Pool(HTTPConnectionPool):
    """Hands a connection over only if the request may still be sent, in the very step that writes its first byte.

    Each request has a connection of its own: back ends give no ids, and nothing else tells a late or second answer from
    the next one.
    """

    retryAutomatically = False

    def getConnection(self, key, endpoint):
        return super().getConnection(key, endpoint).addCallback(self._checked, endpoint)

    def _checked(self, stream, endpoint):
        try:
            endpoint.check()
        except Exception:
            stream.transport.abortConnection()
            raise
        endpoint.stream = stream
        return stream


class _Pieces(LineOnlyReceiver):
    """An engine's token stream: server-sent events, each with a chunk of one completion, closed by [DONE]."""

    delimiter = b"\n"
    MAX_LENGTH = 1024 * 1024

    def __init__(self, ask, abort, heard):
        self._ask, self._abort, self._heard = ask, abort, heard
        self._done = False
        self._id = None
        self._finished = False
        self.over = defer.Deferred(lambda _: abort())

    def connectionMade(self):
        self._ask.feed = self.transport
        self._heard()

    def lineReceived(self, line):
        self._heard()
        line = line.rstrip(b"\r")
        if not line.startswith(b"data:") or self.over.called:
            return
        body = line[5:].strip()
        if self._done:
            self._break("the answer went on after its end mark")
        elif body == b"[DONE]":
            self._done = True
        else:
            self._take(body)

    def _take(self, body: bytes):
        try:
            chunk = json.loads(body)
            if chunk.get("error"):
                raise ValueError(f"the engine told an error: {str(chunk['error'])[:200]}")
            choice = chunk["choices"][0]
            text = choice["text"]
            if not isinstance(text, str) or choice.get("index", 0) != 0:
                raise ValueError("it is not a piece of the one answer that was asked for")
        except (ValueError, LookupError, TypeError, AttributeError) as e:
            self._break(f"a piece could not be read: {e}")
            return
        if self._id is None:
            self._id = chunk.get("id")
        if chunk.get("id") != self._id:
            self._break("a piece of another answer came in between")
        elif text and self._finished:
            self._break("the answer went on after it had finished")
        elif self._ask.size + len(text) > MAX_TEXT:
            self._break(f"the answer is longer than {MAX_TEXT} characters")
        else:
            self._finished = self._finished or choice.get("finish_reason") is not None
            if text:
                self._ask.show(text)

    def lineLengthExceeded(self, line):
        self._break("a line of the engine's answer is too long")

    def _break(self, why: str):
        self._abort()
        if not self.over.called:
            self.over.errback(EngineError(why, code="bad_answer"))

    def connectionLost(self, reason=protocol.connectionDone):
        self._ask.feed = None
        if self.over.called:
            return
        if self._done and reason.check(ResponseDone):
            self.over.callback(None)
        else:
            self.over.errback(EngineError("the engine's token stream was cut short", code="cut_short"))


class _Silence:
    """Ends an exchange in which nothing is heard for too long, seen at two looks, so that a node that slept reads
    first.
    """

    def __init__(self, ctx, gone):
        self._ctx, self._gone = ctx, gone
        self._heard_at = ctx.timers.now()
        self._beat = self._work = None
        self._looks = 0
        self.fell = False

    def open(self, work):
        self._work = work
        self._beat = self._ctx.timers.call_later(LOOK_INTERVAL, self._look)

    def heard(self):
        self._heard_at = self._ctx.timers.now()

    def _look(self):
        quiet = self._ctx.timers.now() - self._heard_at
        silent = quiet > secs(self._ctx.settings.engine_silence_s) or quiet > GONE_SPAN and self._gone()
        self._looks = self._looks + 1 if silent else 0
        if self._looks > 1:
            self.fell = True
            self._work.cancel()
        else:
            self._beat = self._ctx.timers.call_later(LOOK_INTERVAL, self._look)

    def close(self):
        if self._beat is not None and self._beat.active():
            self._beat.cancel()


class Relaying:
    """Mixin: the pass that sends a request to its back end and takes in the answer.

    Offers `_pass_relay`, `hold_back`, and for Fetching `_send`, `_client` and `_discard`.
    Needs of the node: `_ctx`, `engines`, `_retry_budget`; of Picking: `candidates`, `_may_go_again`.
    Owns `_pool`.
    """

    def _open_relaying(self):
        self._pool = _Pool(self._ctx.reactor, persistent=False)

    def _client(self, ask, e):
        """A client for one request, which is marked as sent in the step that writes it or is not sent; and its
        point.
        """

        def check():
            self._check_still(ask, e)
            ask.trigger("send")

        point = _Point(self._ctx.reactor, check)
        return treq.client.HTTPClient(Agent.usingEndpointFactory(self._ctx.reactor, point, self._pool)), point

    def _check_still(self, ask, e):
        """What held when the request was admitted and its back end picked must hold as its first byte leaves."""
        if ask.settled or ask.engine is not e:
            raise ApiError("the request was ended", code="ended", outcome="not_run")
        if ask.limit <= self._ctx.timers.now():
            raise ApiError("the limit has passed", code="limit_passed", status=504, outcome="not_run")
        if not self._ctx.cluster.ready():
            raise ServiceUnavailable("this gateway cannot prove its cluster state now", code="not_current")
        if self.engines.status(e) != "ready" or all(k is not e for k, _ in self.candidates(ask.model, ask.pool)):
            raise ServiceUnavailable(f"{e.name} may not get new work any more", code="engine_moved_on")
        if ask.still is not None:
            ask.still()

    async def _pass_relay(self, ask) -> bool:
        return await self._send(ask, self._relay)

    async def _send(self, ask, do) -> bool:
        e = ask.engine
        self._retry_budget.earn()
        try:
            left = ask.limit - self._ctx.timers.now()
            await self._ctx.timers.with_timeout(left, do(ask, e))
            ask.trigger("finish")
            ask.move()
            return False
        except defer.CancelledError:
            raise
        except Exception as f:
            fault = self._unsent(ask, e, f) if ask.state == "engine_chosen" else self._sent_badly(ask, e, f)
        finally:
            ask.give()
        if self._may_go_again(ask):
            ask.refusal = fault
            return True
        raise fault

    def _unsent(self, ask, e, f) -> Exception:
        """No byte left this gateway."""
        ask.trigger("connect_failed")
        if isinstance(f, ConnectError):
            self.engines.failed(e)
            return ServiceUnavailable(f"engine {e.name} could not be reached: {f}", code="unreached")
        if isinstance(f, ServiceUnavailable) and f.code == "not_current":
            ask.avoid.discard(e.name)
        if isinstance(f, ReplicatedLogError) or isinstance(f, ApiError) and f.outcome == "not_run":
            return f
        if self._ctx.timers.now() >= ask.limit:
            return ApiError("the limit has passed", code="limit_passed", status=504, outcome="not_run")
        return ServiceUnavailable(f"engine {e.name} could not be asked: {f}", code="unreached")

    def _sent_badly(self, ask, e, f) -> Exception:
        if isinstance(f, ServiceUnavailable):
            ask.trigger("reject")
            self.engines.refused(e)
            return f
        ask.trigger("lose")
        if isinstance(f, ApiError):
            f.outcome = "failed" if f.code == "engine_refused" else ask.outcome
            return f
        late = self._ctx.timers.now() >= ask.limit
        if not late:
            self.engines.failed(e)
        return EngineError(
            str(f) or type(f).__name__,
            code="limit_passed" if late else "lost",
            status=504 if late else 502,
            outcome=ask.outcome,
        )

    async def _relay(self, ask, e):
        """One exchange with an engine, given up where that falls silent, sooner where it is not heard from either."""
        watch = _Silence(self._ctx, lambda: self.engines.status(e) == "gone")
        work = spawn(self._exchange(ask, e, watch))
        watch.open(work)
        try:
            await work
        except Exception:
            work.cancel()
            if watch.fell:
                raise EngineError(f"engine {e.name} fell silent", code="silent") from None
            raise
        finally:
            watch.close()

    async def _exchange(self, ask, e, watch):
        body = {"model": ask.model, "prompt": ask.prompt, "max_tokens": ask.max_tokens, "stream": True}
        client, point = self._client(ask, e)
        r = await client.post(
            f"http://{e.news.address}/v1/completions",
            data=BytesBodyProducer(json.dumps(body).encode()),
            unbuffered=True,
            headers={"Content-Type": "application/json", "X-Request-Id": ask.id, "X-Prefix-Key": ask.prefix},
            allow_redirects=False,
        )
        if r.code in (429, 503):
            await self._discard(r)
            raise ServiceUnavailable(f"engine {e.name} refused with {r.code}", code="engine_crowded")
        if r.code != 200:
            text = await self._discard(r)
            raise EngineError(
                f"engine {e.name} answered {r.code}: {text[:200]}", code="engine_refused", outcome="failed"
            )
        pieces = _Pieces(ask, point.abort, watch.heard)
        r.deliverBody(pieces)
        await pieces.over

    async def _discard(self, r) -> str:
        try:
            return (await self._ctx.timers.with_timeout(secs(1), treq.content(r)))[:4096].decode("utf-8", "replace")
        except Exception:
            return ""

    def hold_back(self, ask, full: bool):
        """Backpressure: a reader whose stream is full pauses the engine's stream."""
        if ask.feed is not None:
            (ask.feed.pauseProducing if full else ask.feed.resumeProducing)()
