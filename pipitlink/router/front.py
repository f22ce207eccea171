"""The callers' HTTP server: matches routes and passes requests on."""

from io import BytesIO
from urllib.parse import parse_qsl

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web import http
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from ..errors import ApiError, BadRequest, NotFound, ServiceUnavailable
from ..timers import ms, secs
from .call import HOP_HEADERS, Call, prompt_parts
from .relay import passed_headers

__all__ = ["Front"]

IDLE_TIMEOUT = secs(15)
MAX_BODY = 4 * 1024 * 1024
START_SPAN = ms(600)


class _Pace:
    """A caller that does not read holds up its engine's connection."""

    def __init__(self, call):
        self._call = call

    def _transport(self):
        link = self._call.link
        return link.transport if link is not None and not link.spoilt else None

    def pauseProducing(self):
        t = self._transport()
        t and t.pauseProducing()

    def resumeProducing(self):
        t = self._transport()
        t and t.resumeProducing()

    def stopProducing(self):
        self._call.stop("caller left")


class Inbound(http.Request):
    """One request of a caller; as a call's sink it takes the engine's answer and writes it out as it comes."""

    call = None
    too_long = False

    def gotLength(self, length):
        self.content = BytesIO()
        if length is not None and length > self.channel.front.max_body():
            self._refuse_long()

    def handleContentChunk(self, data):
        if not self.too_long:
            if self.content.tell() + len(data) > self.channel.front.max_body():
                self._refuse_long()
            else:
                self.content.write(data)

    def _refuse_long(self):
        self.too_long = True

    def requestReceived(self, command, path, version):
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, self.query = path.partition(b"?")
        front = self.channel.front
        self.notifyFinish().addErrback(self._left)
        front.ctx.run_in_background(front.serve(self), "serve")

    def _left(self, _):
        if self.call is not None:
            self.call.stop("caller left")

    def take_body(self) -> bytes:
        """The body that was read; it is not kept here any longer."""
        body, self.content = self.content.getvalue(), BytesIO()
        return body

    def header(self, name: bytes) -> bytes | None:
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    @property
    def gone(self) -> bool:
        return self._disconnected or bool(self.finished)

    def head(self, response):
        if self.gone:
            return
        self.setResponseCode(response.code, response.phrase)
        for name, value in passed_headers(response):
            self.responseHeaders.addRawHeader(name, value)
        if response.length is not UNKNOWN_LENGTH and not self.call.resumable:
            self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % response.length])
        self._close_if_ending()
        self.registerProducer(_Pace(self.call), True)

    def data(self, data: bytes):
        if not self.gone:
            self.write(data)

    def _close_if_ending(self):
        if self.channel.front.ending:
            self.channel.persistent = 0
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def done(self):
        if self.gone:
            return
        if self.producer is not None:
            self.unregisterProducer()
        if not self.startedWriting:
            self.write(b"")
        self.finish()

    def cut(self):
        """An answer that has begun and cannot be completed must not look whole."""
        if not self.gone:
            if self.producer is not None:
                self.unregisterProducer()
            self.channel.forceAbortClient()

    def answer(self, status: int, headers: dict, body: bytes):
        """An answer of this tier's own, which bears nothing of an engine's answer that was to be shown."""
        if self.gone:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.responseHeaders = Headers()
        self.setResponseCode(status)
        for name, value in headers.items():
            self.responseHeaders.setRawHeaders(name.encode(), [str(value).encode()])
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self._close_if_ending()
        self.write(body)
        self.finish()


class _Channel(http.HTTPChannel):
    requestFactory = Inbound
    totalHeadersSize = 32768
    front = None

    def connectionMade(self):
        self.front.channels.add(self)
        self.transport.setTcpNoDelay(True)
        super().connectionMade()

    def connectionLost(self, reason):
        self.front.channels.discard(self)
        super().connectionLost(reason)

    def idle(self) -> bool:
        return not self.requests and not self._handlingRequest


class _Factory(http.HTTPFactory):
    protocol = _Channel
    noisy = False

    def __init__(self, front, reactor):
        super().__init__(timeout=IDLE_TIMEOUT.total_seconds(), reactor=reactor)
        self._front = front

    def buildProtocol(self, addr):
        p = super().buildProtocol(addr)
        p.front = self._front
        return p

    def log(self, request):
        pass

    def startFactory(self):
        pass

    def stopFactory(self):
        pass


class Front:
    """Mixin: callers' HTTP. Heads and bodies pass through; what is this tier's own is answered in the dialect's words.

    Offers `listen_callers`, `serve`, `end_front`, and `refused`, counts of refusals by code.
    Needs of the node: `_ctx`, `current`; of Relay: `relay`; of BatchIntake: `take_batch`; of BatchRead: the calls that
    the dialect's `parse_batch_request` names. `listening_socket` is set before `listen_callers` where a socket listens already.
    Owns `channels`, `refused`, `ending`, `_ports` and `_opened_at`.
    """

    listening_socket = None

    def _open_front(self):
        self.channels: set = set()
        self._opened_at = self._ctx.timers.now()
        self.ending = False
        self._ports: list = []
        self.refused = {}

    @property
    def ctx(self):
        return self._ctx

    def max_body(self) -> int:
        return self._ctx.cluster.cluster_state.routes.bounds.max_body_bytes or MAX_BODY

    async def listen_callers(self, host: str, port: int) -> int:
        if self.listening_socket is not None:
            factory = _Factory(self, self._ctx.reactor)
            opened = self._ctx.reactor.adoptStreamPort(
                self.listening_socket.fileno(), self.listening_socket.family, factory
            )
            self.listening_socket.close()
            self._ports.append(opened)
            return opened.getHost().port
        point = TCP4ServerEndpoint(self._ctx.reactor, port, backlog=1024, interface=host)
        opened = await point.listen(_Factory(self, self._ctx.reactor))
        self._ports.append(opened)
        return opened.getHost().port

    def _until_ready(self) -> float:
        """Seconds until a new try is worth while: a gateway that just started has its cluster state in about a
        second.
        """
        left = (START_SPAN - (self._ctx.timers.now() - self._opened_at)).total_seconds()
        return round(max(0.2, left) + 0.2 * self._ctx.rng.random(), 3)

    async def serve(self, request: Inbound):
        """One request, from its last byte read to the last byte of its answer."""
        try:
            if request.too_long:
                raise BadRequest("the body is too long", code="body_too_long", status=413)
            await self._serve(request)
        except ApiError as f:
            self._answer_fault(request, f)
        except Exception as e:
            self._ctx.logger.failure("request_failed", e, path=request.path.decode("utf-8", "replace"))
            request.cut() if request.startedWriting else request.answer(500, {}, b"")

    def _answer_fault(self, request, f: ApiError):
        self.refused[f.code] = self.refused.get(f.code, 0) + 1
        if request.startedWriting:
            request.cut()
            return
        status, headers = f.status, {}
        if f.outcome == "not_run" and status >= 500:
            status = 503
        elif f.outcome == "unknown" and status in (408, 421, 429, 503):
            status = 502
        if status in (429, 503):
            headers["Retry-After"] = f.retry_after or 0.2
        request.answer(status, headers, f.code.encode())

    async def _serve(self, request):
        ctx, words = self._ctx, self._ctx.dialect
        began = ctx.timers.now()
        path = request.path.decode("latin-1")
        query = dict(parse_qsl(request.query.decode("latin-1")))

        def header(name):
            value = request.header(name.encode())
            return value.decode("latin-1") if value is not None else None

        meant = words.parse_batch_request(request.method, path, query, header)
        if not self.current():
            raise ServiceUnavailable(
                "this gateway cannot prove its cluster state now", code="not_current", retry_after=self._until_ready()
            )
        if meant is not None:
            name, kwargs = meant
            request.answer(*await getattr(self, name)(**kwargs))
            return
        host = (request.header(b"host") or b"").decode("latin-1").partition(":")[0]
        table = ctx.cluster.cluster_state.routes
        route = table.match(host, path)
        if route is None:
            if not table.version:
                raise ServiceUnavailable(
                    "no configuration has come yet", code="no_config", retry_after=self._until_ready()
                )
            raise NotFound(f"no route for {host}{path[:80]}", code="no_route")
        limit = began + ms(route.deadline_ms)
        asked = request.header(words.deadline_ms)
        if asked is not None and asked.strip().isdigit():
            limit = min(limit, began + ms(int(asked))) if route.kind != "bulk" else began + ms(int(asked))
        call_id = request.header(words.request_id) or b""
        body = request.take_body()
        if route.kind == "bulk":
            request.answer(
                *await self.take_batch(
                    route=route, host=host, path=path, lot_id=call_id.decode("latin-1"), raw=body, deadline=limit
                )
            )
            return
        call = request.call = self._call_for(request, route, call_id, body, limit, began)
        await self.relay(call)
        request.done()

    def _call_for(self, request, route, call_id, body, limit, began) -> Call:
        words = self._ctx.dialect
        headers = [
            (n.lower(), v)
            for n, vs in request.requestHeaders.getAllRawHeaders()
            for v in vs
            if n.lower() not in HOP_HEADERS
        ]
        streaming = route.kind == "streaming"
        event = request.header(words.event_id)
        last = int(event) if event is not None and event.strip().isdigit() else 0
        counts = (request.header(words.token_counts) or b"").split(b",")
        return Call(
            id=call_id,
            method=request.method,
            target=request.uri,
            headers=headers,
            body=body,
            route=route,
            limit=limit,
            sink=request,
            began=began,
            repeatable=route.kind == "idempotent",
            resumable=streaming and route.resumable,
            parts=prompt_parts(request.header(words.prompt_parts)),
            tokens=sum(int(n) for n in counts if n.strip().isdigit()),
            last_event=last,
        )

    async def end_front(self, accept_for, until):
        """Says no at readiness, goes on serving for a while, then lets what is under way end."""
        self.ending = True
        await self._ctx.timers.sleep(accept_for)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        for channel in list(self.channels):
            if channel.idle():
                channel.loseConnection()
        while any(not c.idle() for c in self.channels) and self._ctx.timers.now() < until:
            await self._ctx.timers.sleep(ms(50))
