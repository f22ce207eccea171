"""Callers, connections and engines as events around a gateway's real front, relay and links, with what must hold."""

import re

import attrs
from twisted.internet import defer

from pipitlink.router.item_runner import ItemCall
from pipitlink.timers import spawn
from pipitlink.wire.cluster_pb2 import Pool

from .router_builders import END, RouterHarness, chunk, event, head, route

__all__ = ["ResponseScenario", "ItemScenario", "ROUTES"]

ROUTES = {
    "mutating": route("o", "/once/", kind="mutating", max_attempts=2),
    "idempotent": route("f", "/f/", kind="idempotent", max_attempts=2),
    "resumable": route("s", "/a/", resumable=True, max_attempts=2),
    "stream": route("n", "/n/", resumable=False, max_attempts=1),
}
STREAMS = ("resumable", "stream")
EVENTS = 2
PROMISES = (408, 421, 429, 503)
REFUSAL = ("X-Not-Executed: 1",)


@attrs.define(eq=False)
class Exchange:
    """One request as an engine got it, and what the engine has sent back."""

    n: int
    engine: str
    link: object
    call_id: str
    first_event: int
    shown: int = 0
    over: bool = False
    refused: bool = False
    status: int = 0
    sent: bytes = b""

    @property
    def open(self) -> bool:
        return not self.over and not self.link.transport.gone


@attrs.define(eq=False)
class Client:
    channel: object
    call_id: str
    left: bool = False
    exchanges_then: int = 0


class ResponseScenario:
    """One or two callers of a route. Each event is one thing that a network, an engine, a caller or time may do.

    With `moments`, the short waits before another try are events too; else they pass after each event.
    """

    def __init__(
        self, kind: str, engines: int = 3, clients: int = 1, slow_connects: bool = False, moments: bool = False
    ):
        self.kind, self.route = kind, ROUTES[kind]
        pool = Pool(name="models", max_connections=100, slots=4, cache_tokens=100_000)
        self.harness = RouterHarness(list(ROUTES.values()), [pool])
        self.names = [f"e{n}" for n in range(1, engines + 1)]
        self._announce()
        self.exchanges: list[Exchange] = []
        self.clients: list[Client] = []
        self._connects: list = []
        self._once: set[str] = set()
        self._to_come = clients
        self._moments = moments
        if slow_connects:
            self.harness.node.connections._connect = self._connect_later
        self.harness.advance_ms(10)
        self._ask()

    def _announce(self):
        for name in self.names:
            if self.harness.node.engines.get(name) or not self.harness.node.engines.is_gone(name):
                self.harness.announce_engine(name)

    def _connect_later(self, link):
        up = defer.Deferred()
        self._connects.append((link, up))
        return up

    def _collect(self):
        for engine, link, data in self.harness.take_engine_requests():
            assert len(re.findall(rb"HTTP/1\.1\r\n", data)) == 1, f"not one request: {data}"
            call_id = re.search(rb"(?i)x-request-id: (\S+)", data).group(1).decode()
            last = re.search(rb"(?i)last-event-id: (\d+)", data)
            first = int(last.group(1)) + 1 if last else 1
            self.exchanges.append(Exchange(len(self.exchanges), engine, link, call_id, first))

    def _ask(self):
        self._to_come -= 1
        call_id = f"c{len(self.clients) + 1}"
        path = self.route.prefix + "x"
        self.clients.append(Client(self.harness.send_request(path, call_id), call_id))

    # What may come next

    def events(self) -> list:
        self._collect()
        out = []
        if self._to_come:
            out.append(("ask", self._ask))
        for n, (link, _) in enumerate(self._connects):
            out.append((f"up {link.address}", lambda n=n: self._come_up(n)))
            out.append((f"not up {link.address}", lambda n=n: self._stay_down(n)))
        for x in self.exchanges:
            if x.open:
                out += self._engine_events(x)
        out += self._idle_events()
        out += self._client_events()
        if self._moments:
            out.append(("a moment passes", lambda: self.harness.advance_ms(50)))
        for n in range(2):
            if f"second {n}" not in self._once:
                out.append(("a second passes", lambda n=n: self._pass_second(n)))
                break
        return [(name, self._then_collect(do)) for name, do in out]

    def _then_collect(self, do):
        def event():
            do()
            if not self._moments:
                self.harness.advance_ms(50)
            self._collect()

        return event

    def _come_up(self, n):
        link, up = self._connects.pop(n)
        if not up.called:
            self.harness.connect(link)
            up.callback(link)

    def _stay_down(self, n):
        _, up = self._connects.pop(n)
        if not up.called:
            up.errback(ConnectionRefusedError())

    def _pass_second(self, n):
        self._once.add(f"second {n}")
        self.harness.advance_ms(1000)
        self._announce()

    def _engine_events(self, x: Exchange) -> list:
        out = [(f"{x.n} reset", lambda: self._reset(x))]
        if x.shown:
            return [*out, (f"{x.n} rest", lambda: self._rest(x))]
        out += [
            (f"{x.n} begin", lambda: self._begin(x)),
            (f"{x.n} whole", lambda: (self._begin(x), self._rest(x))),
            (f"{x.n} refuse", lambda: self._end(x, "503 Busy", refused=True)),
            (f"{x.n} unsure", lambda: self._end(x, "503 Busy")),
            (f"{x.n} broken", lambda: self._end(x, "500 Broken")),
        ]
        if self._earlier(x.link, x) and f"stray {x.n}" not in self._once:
            out.append((f"{x.n} stray answer", lambda: self._stray(x)))
            out.append((f"{x.n} stray refusal", lambda: self._stray_refusal(x)))
        return out

    def _earlier(self, link, than=None):
        """The exchange that the connection carried before."""
        return next((x for x in reversed(self.exchanges) if x.link is link and x is not than), None)

    def _idle_events(self) -> list:
        out = []
        for link in self.harness.node.connections.idle_connections():
            x = self._earlier(link)
            if x is not None and "idle" not in self._once:
                out.append((f"{x.n} extra", lambda x=x: self._extra(x)))
                out.append((f"{x.n} closes idle", lambda x=x: (self._once.add("idle"), x.link.transport.close())))
        return out

    def _client_events(self) -> list:
        return [
            (f"{c.call_id} leaves", lambda c=c: self._leave(c))
            for c in self.clients
            if not c.left and not c.channel.transport.gone and self._served(c)
        ]

    def _served(self, c) -> bool:
        return any(call.id == c.call_id.encode() for call in self.harness.node.relay.calls)

    def _leave(self, c):
        c.left = True
        c.exchanges_then = self._exchanges_of(c)
        c.channel.transport.close()

    def _exchanges_of(self, c) -> int:
        self._collect()
        return sum(x.call_id == c.call_id for x in self.exchanges)

    # What engines send

    def _body(self, call_id: str, n: int) -> bytes:
        return f"<{call_id} at {n:02}>".encode()

    def _response(self, x: Exchange) -> bytes:
        """A whole answer of an exchange, as its engine would give it."""
        if self.kind in STREAMS:
            events = [chunk(event(n, f"<{x.call_id}.{n}>")) for n in range(x.first_event, EVENTS + 1)]
            return head(x.call_id) + b"".join(events) + END
        body = self._body(x.call_id, x.n)
        return head(x.call_id, length=len(body)) + body

    def _send(self, x: Exchange, data: bytes):
        x.sent += data
        x.link.dataReceived(data)

    def _begin(self, x: Exchange):
        response = self._response(x)
        x.status = 200
        x.shown = response.index(b"\r\n\r\n") + 4 + (len(response) - response.index(b"\r\n\r\n") - 4) // 2
        self._send(x, response[: x.shown])

    def _rest(self, x: Exchange):
        x.over = True
        if not x.link.transport.gone:
            self._send(x, self._response(x)[x.shown :])

    def _end(self, x: Exchange, status: str, refused: bool = False):
        x.over, x.refused, x.status = True, refused, int(status[:3])
        self._send(x, head(x.call_id, status, seal=not refused, more=REFUSAL if refused else (), length=0))

    def _reset(self, x: Exchange):
        x.over = True
        x.link.transport.close()

    def _stray(self, x: Exchange):
        self._once.add(f"stray {x.n}")
        x.link.dataReceived(self._earlier(x.link, x).sent)

    def _stray_refusal(self, x: Exchange):
        self._once.add(f"stray {x.n}")
        x.link.dataReceived(head(None, "503 Busy", seal=False, more=REFUSAL, length=0))

    def _extra(self, x: Exchange):
        self._once.add("idle")
        x.link.dataReceived(x.sent)

    def finish(self):
        """Engines answer what is open, and time passes until all is told."""
        for _ in range(20):
            while self._connects:
                self._come_up(0)
            self._collect()
            for x in [x for x in self.exchanges if x.open]:
                if not x.shown:
                    self._begin(x)
                self._rest(x)
            self.harness.advance_ms(100)
            self._announce()
        for c in self.clients:
            assert c.left or self.harness.client_output(c.channel) or c.channel.transport.gone, (
                f"{c.call_id} was told nothing"
            )

    # What must hold

    def check(self):
        self._collect()
        for c in self.clients:
            self._check_exchanges(c)
            self._check_told(c)

    def _check_exchanges(self, c):
        mine = [x for x in self.exchanges if x.call_id == c.call_id]
        may_have_run = [x for x in mine if not x.refused]
        if self.kind in ("mutating", "stream"):
            assert len(may_have_run) <= 1, f"TWICE: {c.call_id} may have run {len(may_have_run)} times"
        engines = {x.engine for x in may_have_run}
        assert len(engines) <= self.route.max_attempts, f"BUDGET: {c.call_id} may have run on {sorted(engines)}"
        assert not c.left or len(mine) <= c.exchanges_then, f"UNASKED: {c.call_id} was sent after its caller had left"

    def _check_told(self, c):
        out = self.harness.client_output(c.channel)
        if not out:
            return
        assert out.count(b"HTTP/1.1 ") == 1, f"MIXED: {out}"
        top, _, rest = out.partition(b"\r\n\r\n")
        status = int(top.split(b" ")[1])
        mine = [x for x in self.exchanges if x.call_id == c.call_id]
        if status in PROMISES:
            assert all(x.refused for x in mine), f"REFUSED: {c.call_id} was told {status} and may have run"
        sealed = b"x-engine-seal" in top.lower()
        given = {x.status for x in mine}
        assert not sealed or status in given, f"MIXED: {status} bears a seal, the engines gave {given}"
        if 200 <= status < 300:
            assert sealed, "MIXED: a success without a seal"
            self._check_success(c, top, rest, mine)

    def _check_success(self, c, top, rest, mine):
        texts = re.findall(rb"<(c\d)", rest)
        assert set(texts) <= {c.call_id.encode()}, f"MIXED: {c.call_id} got {rest}"
        length = re.search(rb"(?i)content-length: (\d+)", top)
        if length is not None:
            if len(rest) < int(length.group(1)):
                return self._check_cut_or_open(c, mine)
            assert rest in [self._body(c.call_id, x.n) for x in mine], f"MIXED: {c.call_id} got {rest}"
            return
        numbers = [int(n) for n in re.findall(rb"id: (\d+)", rest)]
        assert numbers == list(range(1, len(numbers) + 1)), f"ORDER: {c.call_id} got events {numbers}"
        if rest.endswith(END):
            assert numbers == list(range(1, EVENTS + 1)), f"ORDER: whole after {numbers}"
            return
        self._check_cut_or_open(c, mine)

    def _check_cut_or_open(self, c, mine):
        """An answer that is not whole is still being served, or its connection has ended."""
        assert self._served(c) or c.channel.transport.gone, (
            f"MIXED: {c.call_id} waits for the rest of an answer that ended"
        )


class ItemScenario(ResponseScenario):
    """An item of a batch, tried until it is whole or a few tries were made; it may run more than once."""

    def __init__(self, engines: int = 2):
        self.item = ItemCall(id="c1", route=ROUTES["resumable"], path="/a/x", headers=[], body=b"b", token_count=1)
        self.responses: list = []
        self.tries = 0
        self._not_run: list[Exchange] = []
        self._tried_from = 0
        super().__init__("resumable", engines)

    def _ask(self):
        self._to_come = 0
        self.tries += 1
        self._collect()
        self._tried_from = len(self.exchanges)
        spawn(self.harness.node.items.run(self.item)).addCallback(self._record_response)

    def _record_response(self, response):
        self.responses.append(response)
        self._collect()
        if response.not_run:
            self._not_run += self.exchanges[self._tried_from :]
        if not response.is_complete and response.status != 500 and self.tries < 4:
            self.harness.clock.callLater(0.01, self._ask)

    def check(self):
        self._collect()
        texts = [f"<c1.{n}>".encode() for n in range(1, EVENTS + 1)]
        assert self.item.texts == texts[: len(self.item.texts)], f"ORDER: {self.item.texts}"
        for response in self.responses:
            assert not response.is_complete or self.item.texts == texts, f"MIXED: whole after {self.item.texts}"
            assert response.status in (0, 200, 500), f"MIXED: {response}"
        assert all(x.refused for x in self._not_run), "REFUSED: a try that may have run was told as not run"
