"""Simulated engines that speak HTTP, and their connections to simulated gateways, on which packets can be lost.

A connection behaves as in TCP: bytes that meet a cut path arrive once it is healed, unless their sender resets the
connection; a reset that meets a cut path is lost, so that the other side keeps a half-open connection. It learns of the
reset by its next packet, which may be a keepalive probe. The end of a connection that is closed, and not reset, is sent
again after intervals that double; until it has arrived, probes are answered.
"""

import socket
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet.error import ConnectionDone, ConnectionLost, TimeoutError
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from zope.interface import implementer

from pipitlink.router.batch_capacity import BatchCapacity
from pipitlink.router.batch_service import BatchService
from pipitlink.router.call_relay import CallRelay
from pipitlink.router.connection_pool import ConnectionPool
from pipitlink.router.engine_registry import EngineRegistry
from pipitlink.router.engine_selector import EngineSelector
from pipitlink.router.item_runner import ItemRunner
from pipitlink.router.load_exchange import LoadExchange
from pipitlink.router.slow_start import SlowStart
from pipitlink.wire.membership_pb2 import EngineUpdate

from .batch_builders import EVENTS, BatchServiceHolder
from .router_builders import END, chunk, event, head

__all__ = ["EngineNetwork", "HttpEngine", "NetworkedBatchGateway", "Run"]

POOL = "models"
PACKET_SECONDS = 0.001
TICK_SECONDS = 0.25
ANNOUNCEMENT_SECONDS = 1.0
FIRST_RETRANSMISSION_SECONDS = 1.0


class NetworkedBatchGateway(BatchServiceHolder):
    """The batch service of a gateway, with the real path of items to engines; connections lead to an EngineNetwork."""

    def __init__(self, ctx):
        super().__init__(ctx)
        self.engines = EngineRegistry(ctx)
        self.slow_start = SlowStart(ctx)
        self.loads = LoadExchange(ctx, self.engines)
        self.connections = ConnectionPool(ctx, lambda connection: self.simulation.network.connect(ctx, connection))
        self.selector = EngineSelector(ctx, self.engines, self.slow_start, self.connections)
        self.relay = CallRelay(ctx, self.engines, self.selector, self.connections)
        capacity = BatchCapacity(ctx, self.engines, self.selector, self.slow_start)
        items = ItemRunner(ctx, self.relay)
        self.service = BatchService(
            ctx, self.engines, self.loads, capacity, items, lambda: ctx.cluster.cluster_state.routes.routes
        )

    def open(self):
        self.engines.open()
        self.slow_start.open()
        self.loads.open()
        self.relay.open()
        self.service.open()


@attrs.define(eq=False)
class Run:
    """A request at an engine; `ended_at` is None while the engine works on it or has it in its queue."""

    item: str
    engine: str
    after: int
    started_at: float
    ended_at: float | None = None


class _Link:
    """One connection: the bytes in each direction, and whether the engine still has it."""

    def __init__(self, network: "EngineNetwork", gateway: str, engine: "HttpEngine", transport: "_GatewayTransport"):
        self.network, self.gateway, self.engine, self.transport = network, gateway, engine, transport
        self.engine_has_it = True
        self.held_for_engine: list[bytes] = []
        self.held_for_gateway: list[bytes] = []
        self.last_packet_at = network.now()
        self.unanswered_since: float | None = None
        self.received = b""
        self.run: Run | None = None

    def is_cut(self) -> bool:
        return self.network.is_cut(self.gateway, self.engine)

    def send_to_engine(self, data: bytes) -> None:
        self.held_for_engine.append(data)
        self.network.later(PACKET_SECONDS, self.deliver)

    def send_to_gateway(self, data: bytes) -> None:
        self.held_for_gateway.append(data)
        self.network.later(PACKET_SECONDS, self.deliver)

    def deliver(self) -> None:
        """Delivers what is held, unless the path is cut; bytes for an engine that has no connection cause a reset."""
        if self.is_cut() or self.transport.closed:
            return
        to_gateway, self.held_for_gateway = self.held_for_gateway, []
        to_engine, self.held_for_engine = self.held_for_engine, []
        if to_gateway or to_engine:
            self.last_packet_at = self.network.now()
        for data in to_gateway:
            self.transport.receive(data)
        if to_engine and not self.engine_has_it:
            self.transport.lose(ConnectionLost("reset"))
        elif to_engine:
            self.received += b"".join(to_engine)
            self.engine.serve(self)

    def reset_by_engine(self) -> None:
        """Ends the engine's side; the reset is lost if the path is cut now."""
        self.forget_at_engine()
        if not self.is_cut():
            self.network.later(PACKET_SECONDS, self.transport.lose, ConnectionLost("reset"))

    def close_by_engine(self, retry_seconds: float = FIRST_RETRANSMISSION_SECONDS) -> None:
        """Ends the run and closes the connection; the end is sent again until it meets no cut path."""
        self.end_run()
        if self.is_cut():
            self.network.later(retry_seconds, self.close_by_engine, 2 * retry_seconds)
        else:
            self.engine_has_it = False
            self.network.later(PACKET_SECONDS, self.transport.lose, ConnectionDone("closed by the engine"))

    def forget_at_engine(self) -> None:
        """Ends the engine's side without a packet, as a loss of power does."""
        self.engine_has_it = False
        self.held_for_gateway.clear()
        self.end_run()

    def end_run(self) -> None:
        if self.run is not None and self.run.ended_at is None:
            self.run.ended_at = self.network.now()

    def probe(self) -> None:
        """Sends a keepalive probe if one is due."""
        options = self.transport.handle.options
        now = self.network.now()
        is_waiting = bool(self.held_for_engine)
        if self.transport.closed or not self.transport.keepalive or is_waiting:
            return
        if now - self.last_packet_at < options.get(socket.TCP_KEEPIDLE, 7200):
            return
        if self.is_cut() or not self.engine.is_up:
            self.unanswered_since = self.unanswered_since or now
            limit = options.get(socket.TCP_KEEPINTVL, 75) * options.get(socket.TCP_KEEPCNT, 9)
            if now - self.unanswered_since >= limit:
                self.transport.lose(TimeoutError("keepalive"))
            return
        self.unanswered_since = None
        if not self.engine_has_it:
            self.transport.lose(ConnectionLost("reset"))


class _Handle:
    """Stands for a socket; stores its TCP options."""

    def __init__(self):
        self.options: dict[int, int] = {}

    def setsockopt(self, _level, option, value):
        self.options[option] = value


@implementer(ITCPTransport)
class _GatewayTransport(StringTransport):
    """The gateway's side of a connection."""

    def __init__(self):
        super().__init__()
        self.closed = self.keepalive = False
        self.handle = _Handle()
        self.protocol: Any = None
        self.link: Any = None

    def write(self, data):
        self.link.send_to_engine(data)

    def writeSequence(self, data):  # noqa: N802 - twisted's interface
        self.write(b"".join(data))

    def setTcpNoDelay(self, enabled):  # noqa: N802 - twisted's interface
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802 - twisted's interface
        self.keepalive = bool(enabled)

    def getHandle(self):  # noqa: N802 - twisted's interface
        return self.handle

    def receive(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.dataReceived(data)

    def lose(self, error: Exception) -> None:
        if not self.closed:
            self.closed = True
            self.disconnecting = True
            self.protocol.connectionLost(Failure(error))

    def abortConnection(self):  # noqa: N802 - twisted's interface
        self.loseConnection()

    def loseConnection(self):  # noqa: N802 - twisted's interface
        if not self.closed:
            self.link.network.later(PACKET_SECONDS, self.link.forget_at_engine)
            self.lose(ConnectionLost("closed here"))


class HttpEngine:
    """An engine that sends the events of each item; `next_fault` may break an answer off or stop it.

    It announces itself while `is_up`, as ready or with the state that `state` has.
    """

    def __init__(self, network: "EngineNetwork", name: str, address: str, capacity: int):
        self.network, self.name, self.address, self.capacity = network, name, address, capacity
        self.is_up = True
        self.state = "ready"
        self.links: list[_Link] = []

    def running(self) -> int:
        return sum(link.run is not None and link.run.ended_at is None for link in self.links)

    def serve(self, link: _Link) -> None:
        """Starts a run once the request has arrived as a whole."""
        request_head, separator, body = link.received.partition(b"\r\n\r\n")
        if not separator or not self.is_up:
            return
        lines = request_head.decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        if len(body) < int(headers["content-length"]):
            return
        link.received = b""
        after = int(headers.get("last-event-id", "0"))
        link.run = Run(headers["x-request-id"], self.name, after, self.network.now())
        self.network.runs.append(link.run)
        first_event_s = self.network.rng.choice((0.005, 0.04, 0.3))
        self.network.later(first_event_s, self._send_next, link, link.run, after)

    def _send_next(self, link: _Link, run: Run, sent: int) -> None:
        if not self.is_up or link.run is not run or run.ended_at is not None:
            return
        if sent == run.after:
            link.send_to_gateway(head(run.item))
        if sent == EVENTS:
            link.send_to_gateway(END)
            run.ended_at = self.network.now()
            return
        if self.network.rng.random() < self.network.break_probability:
            link.reset_by_engine()
            return
        link.send_to_gateway(chunk(event(sent + 1, f"{run.item} event {sent + 1}")))
        self.network.later(self.network.event_seconds, self._send_next, link, run, sent + 1)

    def hang(self) -> None:
        """Forgets all its requests, but keeps their connections and says nothing on them."""
        for link in self.links:
            link.end_run()

    def lose_power(self) -> None:
        """Ends the engine at once: its connections say nothing, and it is announced no more."""
        self.is_up = False
        for link in self.links:
            link.forget_at_engine()


class EngineNetwork:
    """The engines of a simulation, their announcements, and the paths between gateways and engines.

    `runs` has each request that an engine has received; `break_probability` is the probability that an engine breaks an
    answer off before its next event.
    """

    def __init__(self, simulation, engines: int = 3, capacity: int = 8):
        self.simulation, self.rng = simulation, simulation.rng
        self.capacity = capacity
        self.engines: dict[str, HttpEngine] = {}
        self.runs: list[Run] = []
        self.cut_paths: set[tuple[str, str]] = set()
        self.break_probability = 0.0
        self.event_seconds = 0.04
        self._links: list[_Link] = []
        self._sequence = 0
        for _ in range(engines):
            self.add_engine()

    def open(self) -> None:
        self._tick()
        self._announce()

    def now(self) -> float:
        return self.simulation.clock.seconds()

    def later(self, seconds: float, function: Callable[..., object], *args: Any) -> None:
        self.simulation.clock.callLater(seconds, function, *args)

    def add_engine(self) -> HttpEngine:
        """Adds an engine with a new name and a new address."""
        number = len(self.engines) + 1
        engine = HttpEngine(self, f"e{number}", f"10.1.0.{number}:80", self.capacity)
        self.engines[engine.name] = engine
        return engine

    def is_cut(self, gateway: str, engine: HttpEngine) -> bool:
        return (gateway, engine.name) in self.cut_paths

    def connect(self, ctx, connection) -> defer.Deferred:
        engine = next((engine for engine in self.engines.values() if engine.address == connection.address), None)
        gateway = self._gateway_name(ctx)
        if engine is None or not engine.is_up or self.is_cut(gateway, engine):
            return defer.fail(TimeoutError(connection.address))
        transport = _GatewayTransport()
        transport.protocol = connection
        transport.link = link = _Link(self, gateway, engine, transport)
        engine.links.append(link)
        self._links.append(link)
        connection.makeConnection(transport)
        return defer.succeed(connection)

    def _gateway_name(self, ctx) -> str:
        return next(node.name for node in self.simulation.role("gateway") if node.ctx is ctx)

    def heal(self) -> None:
        """Ends all cuts; what they held arrives."""
        self.cut_paths.clear()
        for link in self._links:
            link.deliver()

    def has_room(self) -> bool:
        """Returns whether the engines are less than half full."""
        engines = [engine for engine in self.engines.values() if engine.is_up and engine.state == "ready"]
        return 2 * sum(engine.running() for engine in engines) < sum(engine.capacity for engine in engines)

    def _tick(self) -> None:
        self._links = [link for link in self._links if not link.transport.closed]
        for engine in self.engines.values():
            engine.links = [link for link in engine.links if link.engine_has_it or not link.transport.closed]
        for link in list(self._links):
            link.deliver()
            link.probe()
        self.later(TICK_SECONDS, self._tick)

    def _announce(self) -> None:
        self.announce()
        self.later(ANNOUNCEMENT_SECONDS, self._announce)

    def announce(self) -> None:
        """Announces all engines that are up to all gateways."""
        self._sequence += 1
        for engine in self.engines.values():
            if engine.is_up:
                self._announce_engine(engine)

    def _announce_engine(self, engine: HttpEngine) -> None:
        update = EngineUpdate(
            engine=engine.name,
            incarnation=1,
            address=engine.address,
            pool=POOL,
            zone="zone-a",
            state=engine.state,
            capacity=engine.capacity,
            sequence=self._sequence,
        )
        for node in self.simulation.role("gateway", alive=True):
            node.part.engines.merge(update)
