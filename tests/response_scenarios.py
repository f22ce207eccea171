"""Events of clients, connections and engines around the real frontend, relay and connections, with invariants."""

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
NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_EXECUTED_HEADERS = ("X-Not-Executed: 1",)


@attrs.define(eq=False)
class Exchange:
    """One request that an engine received, and what the engine has sent back."""

    n: int
    engine: str
    connection: object
    call_id: str
    first_event: int
    sent_length: int = 0
    finished: bool = False
    refused: bool = False
    status: int = 0
    sent: bytes = b""

    @property
    def open(self) -> bool:
        return not self.finished and not self.connection.transport.closed


@attrs.define(eq=False)
class Client:
    channel: object
    call_id: str
    disconnected: bool = False
    exchanges_at_disconnect: int = 0


class ResponseScenario:
    """One or two clients of a route. Each event is a single action of the network, an engine, a client or the clock.

    With `short_waits`, the short waits before a retry are events as well; otherwise they elapse after each event.
    """

    def __init__(
        self, kind: str, engines: int = 3, clients: int = 1, slow_connects: bool = False, short_waits: bool = False
    ):
        self.kind, self.route = kind, ROUTES[kind]
        pool = Pool(name="models", max_connections=100, slots=4, cache_tokens=100_000)
        self.harness = RouterHarness(list(ROUTES.values()), [pool])
        self.names = [f"e{n}" for n in range(1, engines + 1)]
        self._announce_engines()
        self.exchanges: list[Exchange] = []
        self.clients: list[Client] = []
        self._pending_connects: list = []
        self._used_events: set[str] = set()
        self._pending_clients = clients
        self._short_waits = short_waits
        if slow_connects:
            self.harness.node.connections._connect = self._connect_later
        self.harness.advance_ms(10)
        self._send_request()

    def _announce_engines(self):
        for name in self.names:
            if self.harness.node.engines.get(name) or not self.harness.node.engines.is_gone(name):
                self.harness.announce_engine(name)

    def _connect_later(self, connection):
        connected = defer.Deferred()
        self._pending_connects.append((connection, connected))
        return connected

    def _collect(self):
        for engine, connection, data in self.harness.take_engine_requests():
            assert len(re.findall(rb"HTTP/1\.1\r\n", data)) == 1, f"not one request: {data}"
            call_id = re.search(rb"(?i)x-request-id: (\S+)", data).group(1).decode()
            last = re.search(rb"(?i)last-event-id: (\d+)", data)
            first = int(last.group(1)) + 1 if last else 1
            self.exchanges.append(Exchange(len(self.exchanges), engine, connection, call_id, first))

    def _send_request(self):
        self._pending_clients -= 1
        call_id = f"c{len(self.clients) + 1}"
        path = self.route.prefix + "x"
        self.clients.append(Client(self.harness.send_request(path, call_id), call_id))

    # Possible next events

    def events(self) -> list:
        self._collect()
        out = []
        if self._pending_clients:
            out.append(("ask", self._send_request))
        for n, (connection, _) in enumerate(self._pending_connects):
            out.append((f"connect {connection.address}", lambda n=n: self._succeed_connect(n)))
            out.append((f"connect {connection.address} fails", lambda n=n: self._fail_connect(n)))
        for x in self.exchanges:
            if x.open:
                out += self._engine_events(x)
        out += self._idle_events()
        out += self._client_events()
        if self._short_waits:
            out.append(("50 ms pass", lambda: self.harness.advance_ms(50)))
        for n in range(2):
            if f"second {n}" not in self._used_events:
                out.append(("1 s passes", lambda n=n: self._advance_second(n)))
                break
        return [(name, self._with_collect(action)) for name, action in out]

    def _with_collect(self, action):
        def event():
            action()
            if not self._short_waits:
                self.harness.advance_ms(50)
            self._collect()

        return event

    def _succeed_connect(self, n):
        connection, connected = self._pending_connects.pop(n)
        if not connected.called:
            self.harness.connect(connection)
            connected.callback(connection)

    def _fail_connect(self, n):
        _, connected = self._pending_connects.pop(n)
        if not connected.called:
            connected.errback(ConnectionRefusedError())

    def _advance_second(self, n):
        self._used_events.add(f"second {n}")
        self.harness.advance_ms(1000)
        self._announce_engines()

    def _engine_events(self, x: Exchange) -> list:
        out = [(f"{x.n} reset", lambda: self._reset_connection(x))]
        if x.sent_length:
            return [*out, (f"{x.n} rest", lambda: self._send_rest(x))]
        out += [
            (f"{x.n} begin", lambda: self._send_first_half(x)),
            (f"{x.n} whole", lambda: (self._send_first_half(x), self._send_rest(x))),
            (f"{x.n} refuse", lambda: self._send_empty_response(x, "503 Busy", refused=True)),
            (f"{x.n} unsure", lambda: self._send_empty_response(x, "503 Busy")),
            (f"{x.n} broken", lambda: self._send_empty_response(x, "500 Broken")),
        ]
        if self._previous_exchange(x.connection, x) and f"stray {x.n}" not in self._used_events:
            out.append((f"{x.n} stray response", lambda: self._send_stray_response(x)))
            out.append((f"{x.n} stray refusal", lambda: self._send_stray_refusal(x)))
        return out

    def _previous_exchange(self, connection, other_than=None):
        """The previous exchange on the connection."""
        return next((x for x in reversed(self.exchanges) if x.connection is connection and x is not other_than), None)

    def _idle_events(self) -> list:
        out = []
        for connection in self.harness.node.connections.idle_connections():
            x = self._previous_exchange(connection)
            if x is not None and "idle" not in self._used_events:
                out.append((f"{x.n} extra", lambda x=x: self._send_extra_bytes(x)))
                out.append(
                    (f"{x.n} closes idle", lambda x=x: (self._used_events.add("idle"), x.connection.transport.close()))
                )
        return out

    def _client_events(self) -> list:
        return [
            (f"{client.call_id} leaves", lambda client=client: self._disconnect(client))
            for client in self.clients
            if not client.disconnected and not client.channel.transport.closed and self._is_in_progress(client)
        ]

    def _is_in_progress(self, client) -> bool:
        return any(call.id == client.call_id.encode() for call in self.harness.node.relay.calls)

    def _disconnect(self, client):
        client.disconnected = True
        client.exchanges_at_disconnect = self._exchanges_of(client)
        client.channel.transport.close()

    def _exchanges_of(self, client) -> int:
        self._collect()
        return sum(x.call_id == client.call_id for x in self.exchanges)

    # Data sent by engines

    def _body(self, call_id: str, n: int) -> bytes:
        return f"<{call_id} at {n:02}>".encode()

    def _response(self, x: Exchange) -> bytes:
        """The complete response of an exchange."""
        if self.kind in STREAMS:
            events = [chunk(event(n, f"<{x.call_id}.{n}>")) for n in range(x.first_event, EVENTS + 1)]
            return head(x.call_id) + b"".join(events) + END
        body = self._body(x.call_id, x.n)
        return head(x.call_id, length=len(body)) + body

    def _send(self, x: Exchange, data: bytes):
        x.sent += data
        x.connection.dataReceived(data)

    def _send_first_half(self, x: Exchange):
        response = self._response(x)
        x.status = 200
        x.sent_length = response.index(b"\r\n\r\n") + 4 + (len(response) - response.index(b"\r\n\r\n") - 4) // 2
        self._send(x, response[: x.sent_length])

    def _send_rest(self, x: Exchange):
        x.finished = True
        if not x.connection.transport.closed:
            self._send(x, self._response(x)[x.sent_length :])

    def _send_empty_response(self, x: Exchange, status: str, refused: bool = False):
        x.finished, x.refused, x.status = True, refused, int(status[:3])
        self._send(x, head(x.call_id, status, seal=not refused, more=NOT_EXECUTED_HEADERS if refused else (), length=0))

    def _reset_connection(self, x: Exchange):
        x.finished = True
        x.connection.transport.close()

    def _send_stray_response(self, x: Exchange):
        self._used_events.add(f"stray {x.n}")
        x.connection.dataReceived(self._previous_exchange(x.connection, x).sent)

    def _send_stray_refusal(self, x: Exchange):
        self._used_events.add(f"stray {x.n}")
        x.connection.dataReceived(head(None, "503 Busy", seal=False, more=NOT_EXECUTED_HEADERS, length=0))

    def _send_extra_bytes(self, x: Exchange):
        self._used_events.add("idle")
        x.connection.dataReceived(x.sent)

    def finish(self):
        """Completes all open exchanges and advances the time until every client has its response."""
        for _ in range(20):
            while self._pending_connects:
                self._succeed_connect(0)
            self._collect()
            for x in [x for x in self.exchanges if x.open]:
                if not x.sent_length:
                    self._send_first_half(x)
                self._send_rest(x)
            self.harness.advance_ms(100)
            self._announce_engines()
        for client in self.clients:
            assert (
                client.disconnected or self.harness.client_output(client.channel) or client.channel.transport.closed
            ), f"{client.call_id} received no response"

    # Invariants

    def check(self):
        self._collect()
        for client in self.clients:
            self._check_exchanges(client)
            self._check_client_output(client)

    def _check_exchanges(self, client):
        exchanges = [x for x in self.exchanges if x.call_id == client.call_id]
        possibly_run = [x for x in exchanges if not x.refused]
        if self.kind in ("mutating", "stream"):
            assert len(possibly_run) <= 1, f"TWICE: {client.call_id} may have run {len(possibly_run)} times"
        engines = {x.engine for x in possibly_run}
        assert len(engines) <= self.route.max_attempts, f"BUDGET: {client.call_id} may have run on {sorted(engines)}"
        assert not client.disconnected or len(exchanges) <= client.exchanges_at_disconnect, (
            f"UNASKED: {client.call_id} was sent after its client had disconnected"
        )

    def _check_client_output(self, client):
        out = self.harness.client_output(client.channel)
        if not out:
            return
        assert out.count(b"HTTP/1.1 ") == 1, f"MIXED: {out}"
        head_bytes, _, rest = out.partition(b"\r\n\r\n")
        status = int(head_bytes.split(b" ")[1])
        exchanges = [x for x in self.exchanges if x.call_id == client.call_id]
        if status in NOT_RUN_STATUSES:
            assert all(x.refused for x in exchanges), f"REFUSED: {client.call_id} got status {status} but may have run"
        sealed = b"x-engine-seal" in head_bytes.lower()
        engine_statuses = {x.status for x in exchanges}
        assert not sealed or status in engine_statuses, (
            f"MIXED: status {status} has a seal, the engines sent {engine_statuses}"
        )
        if 200 <= status < 300:
            assert sealed, "MIXED: a success without a seal"
            self._check_success(client, head_bytes, rest, exchanges)

    def _check_success(self, client, head_bytes, rest, exchanges):
        texts = re.findall(rb"<(c\d)", rest)
        assert set(texts) <= {client.call_id.encode()}, f"MIXED: {client.call_id} got {rest}"
        length = re.search(rb"(?i)content-length: (\d+)", head_bytes)
        if length is not None:
            if len(rest) < int(length.group(1)):
                return self._check_incomplete(client, exchanges)
            assert rest in [self._body(client.call_id, x.n) for x in exchanges], f"MIXED: {client.call_id} got {rest}"
            return
        numbers = [int(n) for n in re.findall(rb"id: (\d+)", rest)]
        assert numbers == list(range(1, len(numbers) + 1)), f"ORDER: {client.call_id} got events {numbers}"
        if rest.endswith(END):
            assert numbers == list(range(1, EVENTS + 1)), f"ORDER: complete after {numbers}"
            return
        self._check_incomplete(client, exchanges)

    def _check_incomplete(self, client, exchanges):
        """An incomplete response is either still in progress or its connection is closed."""
        assert self._is_in_progress(client) or client.channel.transport.closed, (
            f"MIXED: {client.call_id} waits for the rest of a response that has ended"
        )


class ItemScenario(ResponseScenario):
    """A batch item, attempted up to 4 times until it is complete; it may run more than once."""

    def __init__(self, engines: int = 2):
        self.item = ItemCall(id="c1", route=ROUTES["resumable"], path="/a/x", headers=[], body=b"b", token_count=1)
        self.responses: list = []
        self.attempts = 0
        self._not_run: list[Exchange] = []
        self._attempt_start = 0
        super().__init__("resumable", engines)

    def _send_request(self):
        self._pending_clients = 0
        self.attempts += 1
        self._collect()
        self._attempt_start = len(self.exchanges)
        spawn(self.harness.node.items.run(self.item)).addCallback(self._record_response)

    def _record_response(self, response):
        self.responses.append(response)
        self._collect()
        if response.not_run:
            self._not_run += self.exchanges[self._attempt_start :]
        if not response.is_complete and response.status != 500 and self.attempts < 4:
            self.harness.clock.callLater(0.01, self._send_request)

    def check(self):
        self._collect()
        texts = [f"<c1.{n}>".encode() for n in range(1, EVENTS + 1)]
        assert self.item.texts == texts[: len(self.item.texts)], f"ORDER: {self.item.texts}"
        for response in self.responses:
            assert not response.is_complete or self.item.texts == texts, f"MIXED: complete after {self.item.texts}"
            assert response.status in (0, 200, 500), f"MIXED: {response}"
        assert all(x.refused for x in self._not_run), "REFUSED: an attempt that may have run was reported as not run"
