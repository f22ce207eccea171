"""The live request path of a router gateway on a simulated clock: the real frontend, relay and connections over
in-memory transports, and scripted engines.
"""

from datetime import UTC, datetime
from random import Random
from types import SimpleNamespace

from twisted.internet import defer
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pipitlink.client_memory import ClientMemory
from pipitlink.cluster.routes import RouteTable
from pipitlink.dialect import Dialect
from pipitlink.router.call_relay import CallRelay
from pipitlink.router.connection_pool import ConnectionPool
from pipitlink.router.engine_registry import EngineRegistry
from pipitlink.router.engine_selector import EngineSelector
from pipitlink.router.http_frontend import HttpFrontend
from pipitlink.router.inbound_request import ClientChannelFactory
from pipitlink.router.item_runner import ItemRunner
from pipitlink.router.load_exchange import LoadExchange
from pipitlink.router.slow_start import SlowStart
from pipitlink.settings import Settings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, ms
from pipitlink.traffic import TrafficCounter
from pipitlink.wire.cluster_pb2 import Bounds, Config, Pool, PoolShare, Route
from pipitlink.wire.membership_pb2 import EngineUpdate, Member

__all__ = ["ClientTransport", "RouterHarness", "route", "head", "chunk", "END"]

END = b"0\r\n\r\n"


def head(call_id, status="200 OK", seal=True, more=(), length=None) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    if call_id is not None:
        lines.append(f"X-Request-Id: {call_id}")
    if seal:
        lines.append("X-Engine-Seal: s1")
    lines += list(more)
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(n, text) -> bytes:
    return f"id: {n}\ndata: {text}\n\n".encode()


def route(name, prefix, kind="streaming", pools=(("models", 1),), **args) -> Route:
    args = {"deadline_ms": 5000, "latency_target_ms": 250, "max_attempts": 2, **args}
    return Route(
        name=name,
        host="h.example",
        prefix=prefix,
        kind=kind,
        shares=[PoolShare(pool=p, share=s) for p, s in pools],
        **args,
    )


class ClientTransport(StringTransport):
    """Stores what one side writes, and notifies the protocol of its close as a network connection does.

    While `holds_unsent`, the peer does not read, so that a close waits for `send_rest`.
    """

    protocol = None

    def __init__(self):
        super().__init__()
        self.closed = False
        self.holds_unsent = False

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.close()

    forceAbortClient = abortConnection

    def loseConnection(self):
        self.disconnecting = True
        if not self.holds_unsent:
            self.close()

    def send_rest(self):
        self.holds_unsent = False
        if self.disconnecting:
            self.close()

    def close(self):
        if not self.closed:
            self.closed = True
            self.disconnecting = True
            from twisted.internet.error import ConnectionDone
            from twisted.python.failure import Failure

            self.protocol.connectionLost(Failure(ConnectionDone()))


class _GatewayNode:
    """The live request path of a gateway, without batches."""

    def __init__(self, ctx, harness):
        self.engines = EngineRegistry(ctx)
        self.slow_start = SlowStart(ctx)
        self.loads = LoadExchange(ctx, self.engines)
        self.connections = ConnectionPool(ctx, harness.connect)
        self.selector = EngineSelector(ctx, self.engines, self.slow_start, self.connections)
        self.relay = CallRelay(ctx, self.engines, self.selector, self.connections)
        self.items = ItemRunner(ctx, self.relay)
        self.frontend = HttpFrontend(ctx, self.relay, None)
        self.engines.open()
        self.slow_start.open()
        self.loads.open()
        self.relay.open()


class RouterHarness:
    """Runs the live request path of a gateway with simulated peers, clients and engines.

    `send_request` sends a request of a client; `connections_to(name)` returns the connections to an engine, oldest
    first.
    """

    def __init__(self, routes, pools=None, seed=1, gateways=1):
        self.clock = Clock()
        self.clock.advance(1000)
        self.log_lines = []
        timers = Timers(self.clock, seconds=self.clock.seconds)
        timers.utc_now = lambda: datetime.fromtimestamp(1_700_000_000 + self.clock.seconds(), UTC)
        pools = pools or [Pool(name="models", max_connections=100, slots=4, cache_tokens=100_000)]
        self.cluster_state = SimpleNamespace(
            empty_zones=set(),
            routes=RouteTable(Config(version=1, routes=routes, pools=pools, bounds=Bounds(max_body_bytes=100_000))),
        )
        self.cluster = SimpleNamespace(
            cluster_state=self.cluster_state, add_listener=lambda listener: None, usable=lambda: True
        )
        self.gone_gateways: set[str] = set()
        self._member_listeners = []
        membership = SimpleNamespace(
            add_listener=self._member_listeners.append,
            status=lambda node: "gone" if node in self.gone_gateways else "alive",
            members=lambda role=None, statuses=(), include_self=True: [
                Member(node=f"g{i}") for i in range(gateways) if i or include_self
            ],
        )
        rpc = SimpleNamespace(
            register_handler=lambda *w: None, call=lambda *w: defer.Deferred(), notify=lambda *w: None
        )
        self.ctx = SimpleNamespace(
            client_memory=ClientMemory(now_s=self.clock.seconds),
            node="g0",
            timers=timers,
            cluster=self.cluster,
            membership=membership,
            rpc=rpc,
            dialect=Dialect(),
            rng=Random(seed),
            reactor=self.clock,
            settings=Settings(zone="zone-a"),
            logger=StructuredLogger(SimpleNamespace(log=lambda level, shape, line: self.log_lines.append(line))),
            traffic=TrafficCounter("a"),
            error_reporter=lambda what: lambda e: self.log_lines.append(f"{what} {e!r}"),
        )

        def run_in_background(work, what):
            return defer.ensureDeferred(work).addErrback(lambda f: self.log_lines.append(f"{what} {f.value!r}"))

        self.ctx.run_in_background = run_in_background
        self.ctx.dialect.parse_batch_request = lambda method, path, query, headers: None
        self.connections: dict[str, list] = {}
        self.refused_addresses: set[str] = set()
        self.node = _GatewayNode(self.ctx, self)
        self.sequence = 0

    def remove_gateway(self, node):
        self.gone_gateways.add(node)
        for listener in self._member_listeners:
            listener(Member(node=node, role="gateway"))

    def announce_engine(
        self, name, zone="zone-a", state="ready", pool="models", capacity=4, slow_start_ms=0, address=None
    ):
        self.sequence += 1
        self.node.engines.merge(
            EngineUpdate(
                engine=name,
                incarnation=1,
                address=address or f"10.0.0.{name[1:]}:80",
                pool=pool,
                zone=zone,
                state=state,
                capacity=capacity,
                sequence=self.sequence,
                slow_start_ms=slow_start_ms,
            )
        )
        return self.node.engines.get(name)

    def connect(self, connection):
        if connection.address in self.refused_addresses:
            return defer.fail(ConnectionRefusedError(connection.address))
        transport = ClientTransport()
        transport.protocol = connection
        self.connections.setdefault(connection.address, []).append(connection)
        connection.makeConnection(transport)
        return defer.succeed(connection)

    def connections_to(self, name):
        return self.connections.get(f"10.0.0.{name[1:]}:80", [])

    def take_engine_requests(self) -> list[tuple[str, object, bytes]]:
        """Returns the requests sent to engines since the last call: (engine, connection, bytes)."""
        out = []
        for address, connections in self.connections.items():
            for connection in connections:
                data = connection.transport.value()
                if data:
                    connection.transport.clear()
                    out.append(("e" + address.split(":")[0].rsplit(".", 1)[1], connection, data))
        return out

    def take_engine_request(self):
        requests = self.take_engine_requests()
        if len(requests) != 1:
            raise AssertionError(
                f"{len(requests)} requests at engines, expected 1: {[g[2][:80] for g in requests]} {self.log_lines}"
            )
        return requests[0]

    def connect_client(self):
        channel = ClientChannelFactory(self.node.frontend, self.clock).buildProtocol(None)
        transport = ClientTransport()
        transport.protocol = channel
        channel.makeConnection(transport)
        return channel

    def send_request(self, path="/a/x", call_id="c1", body=b"hello", headers=(), channel=None, method="POST"):
        channel = channel or self.connect_client()
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"X-Request-Id: {call_id}",
            *headers,
            f"Content-Length: {len(body)}",
        ]
        channel.dataReceived("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return channel

    def advance_ms(self, span_ms):
        for _ in range(max(1, int(span_ms // 5))):
            self.clock.advance(ms(5).total_seconds())

    def client_output(self, channel) -> bytes:
        return channel.transport.value()
