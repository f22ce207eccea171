"""Simulated clusters: real node code on virtual time, a simulated network, and disks that lose unsynced data."""

import shutil
import tempfile
from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from twisted.internet import defer

from pipitlink.cache import Cache
from pipitlink.cluster import ClusterFollower
from pipitlink.context import Context
from pipitlink.controller import ControllerNode
from pipitlink.errors import ConnectionFailed, DeadlineExceeded, PipitlinkError, RemoteError, UnknownMethod, WrongPeer
from pipitlink.membership import Membership
from pipitlink.replicated_log import ReplicatedLog
from pipitlink.settings import Settings
from pipitlink.storage import StorageNode
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, spawn
from pipitlink.wire.frame_pb2 import Empty
from pipitlink.wire.membership_pb2 import Member
from pipitlink.wire.rpc import require_peer

from ..faults.disks import PowerLossDisk
from .uplink import Uplink
from .virtual_time import NodeReactor, VirtualTime

__all__ = ["SimulatedNode", "SimulatedRpcEndpoint", "Simulation"]

Address = tuple[str, int]

FIRST_PORT = 1000
FOUNDERS = 3
STEP_SECONDS = 0.005
START_UTC = 1_700_000_000  # seconds since the epoch


class _LogSink:
    """Keeps the log lines of all nodes in memory."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def log(self, level: str, shape: str, line: str) -> None:  # noqa: ARG002 - the interface of a sink
        """Appends a line with its level."""
        self.lines.append(f"{level} {line}")


class SimulatedRpcEndpoint:
    """RPC endpoint of a simulated node, with the interface of the real one; the simulation delivers its calls."""

    def __init__(self, simulation: "Simulation", node: "SimulatedNode") -> None:
        self._simulation = simulation
        self._node = node
        self.address = node.address
        self.node = node.node
        self.incarnation = 1
        self.sent_bytes = 0
        self._handlers: dict[str, tuple[Any, Any]] = {}

    def register_handler(self, method: str, request_type: Any, handler: Any) -> None:
        """Registers a coroutine function that takes the id of the calling node and the request."""
        self._handlers[method] = (request_type, handler)

    async def dispatch(self, node: str, method: str, body: bytes) -> bytes:
        """Handles one call and returns the serialized response; raises UnknownMethod if there is no handler."""
        if method not in self._handlers:
            raise UnknownMethod(f"unknown method: {method}")
        request_type, handler = self._handlers[method]
        response = await handler(node, request_type.FromString(body))
        return (Empty() if response is None else response).SerializeToString()

    def notify(self, addresses: Iterable[Address], method: str, message: Any) -> None:
        """Sends a message to each address without waiting for responses."""
        body = message.SerializeToString()
        for address in addresses:
            self._simulation.deliver_call(self._node, address, method, body).addErrback(lambda _: None)

    async def call(
        self, address: Address, method: str, request: Any, response_type: Any, timeout: timedelta, node: str = ""
    ) -> Any:
        """Calls a peer and returns its response; raises DeadlineExceeded after the timeout."""
        if self is not self._node.ctx.rpc or not self._node.alive:
            await defer.Deferred()  # never fires: code of an incarnation that has ended must not send
        body = request.SerializeToString()
        try:
            carried = self._simulation.deliver_call(self._node, address, method, body, node)
            return response_type.FromString(await self._node.ctx.timers.with_timeout(timeout, carried))
        except DeadlineExceeded as error:
            raise DeadlineExceeded(f"{method} to {address}: {error}") from error


class SimulatedNode:
    """A simulated node, which can be killed, frozen, resumed, and restarted on the same disk."""

    ctx: Any
    part: Any
    clock: NodeReactor
    node: str

    def __init__(self, simulation: "Simulation", role: str, name: str, zone: str, port: int) -> None:
        self.simulation, self.role, self.name, self.zone = simulation, role, name, zone
        self.address: Address = ("10.0.0.1", port)
        self.folder = simulation.folder / name
        self.disk = PowerLossDisk(simulation.rng)
        self.start_count = 0
        self.alive = False
        self.frozen = False
        self.uplink: Uplink | None = None  # limits the rate of all that the node sends; None: unlimited
        self.slow = 0.0  # seconds added to each function that runs in a thread
        self.ctx = None

    def start(self) -> None:
        """Starts a new incarnation of the node on its disk."""
        self.start_count += 1
        self.alive = True
        self.folder.mkdir(exist_ok=True)
        self.node = self._read_node_id()
        self._open_context()
        self._open_role()
        self.ctx.membership.open(
            Member(
                node=self.node,
                incarnation=1,
                role=self.role,
                zone=self.zone,
                host=self.address[0],
                port=self.address[1],
                name=self.name if self.simulation.named else "",
            )
        )
        if self.role != "controller":
            self.ctx.cluster.open()

    def _read_node_id(self) -> str:
        """Returns the node's id: gateways get a new one at each start, other roles persist theirs on disk."""
        path = self.folder / "id"
        if self.role == "gateway" or not path.exists():
            path.write_text(f"{self.name}x{self.start_count}x{self.simulation.next_number()}")
        return path.read_text()

    def _open_context(self) -> None:
        simulation = self.simulation
        settings = Settings(
            zone=self.zone,
            seeds=simulation.seeds,
            founders=simulation.founders if self.role == "controller" else (),
            data=str(self.folder),
            placement_groups=simulation.placement_groups,
            **simulation.settings,
        )
        self.clock = NodeReactor(simulation.clock)
        timers = simulation.timers(self.clock)
        reactor: Any = self.clock
        endpoint: Any = SimulatedRpcEndpoint(simulation, self)
        self.ctx = ctx = Context(
            self.role,
            self.node,
            settings,
            reactor,
            timers,
            StructuredLogger(simulation.sink, node=self.node),
            endpoint,
            Random(simulation.rng.random()),
        )
        ctx.run_in_thread = partial(self._run_in_thread, self.clock)
        ctx.membership = Membership(ctx)
        if self.role != "gateway":
            ctx.membership.persist_peers_in(self.folder)
        ctx.cluster = ClusterFollower(ctx)
        ctx.replicated_log = ReplicatedLog(ctx)

    def _open_role(self) -> None:
        ctx = self.ctx
        self.part = None
        if self.role == "storage":
            self.part = StorageNode(ctx, self.disk)
            self.part.open()
        elif self.role == "controller":
            self.part = ControllerNode(ctx, self.disk)
            self.part.open()
        else:
            self._open_gateway()

    def _open_gateway(self) -> None:
        ctx, simulation = self.ctx, self.simulation
        ctx.cache = Cache(ctx)
        if simulation.engines is not None:
            gateway_type = type("InSimulation", (simulation.gateway_class,), {"simulation": simulation})
            self.part = gateway_type(ctx)
            self.part.open()
        ctx.replicated_log.open()
        ctx.cache.open()

    def _run_in_thread(self, clock: NodeReactor, function: Callable[..., Any], *args: Any) -> "defer.Deferred[Any]":
        """Runs a function after a delay on the incarnation's reactor.

        The reactor drops the call once the incarnation has ended, so that it cannot write to the disk of the next one.
        """
        finished: defer.Deferred[Any] = defer.Deferred()
        duration = self.slow + 0.001 + 0.004 * self.simulation.rng.random()

        def work() -> None:
            try:
                result = function(*args)
            except Exception as error:
                clock.callLater(duration, finished.errback, error)
                return
            clock.callLater(duration, finished.callback, result)

        clock.callLater(0, work)
        return finished

    def kill(self, power: bool = False) -> None:
        """Ends the incarnation at once; with `power` set, the disk also loses its unsynced data."""
        self.alive = self.frozen = False
        self.ctx.timers.stopped = True
        self.clock.stop()
        if self.part is not None and self.role != "gateway":
            self.part.close()
        if power:
            self.disk.lose_power()

    def wipe(self) -> None:
        """Replaces the disk of a stopped node by an empty one."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.disk = PowerLossDisk(self.simulation.rng)

    def freeze(self) -> None:
        """Suspends the node; `thaw` resumes it with its state intact."""
        self.frozen = True
        self.clock.freeze()

    def thaw(self) -> None:
        """Resumes a frozen node."""
        self.frozen = False
        self.clock.thaw()


class Simulation:
    """A cluster of simulated nodes on virtual time; runs with the same seed are identical."""

    def __init__(
        self,
        seed: int,
        controllers: int = 4,
        storage_nodes: int = 4,
        gateways: int = 3,
        placement_groups: int = 4,
        settings: dict[str, Any] | None = None,
        named: bool = False,
    ) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.clock = VirtualTime()
        self.folder = Path(tempfile.mkdtemp(prefix="simulation-"))
        self.sink = _LogSink()
        self.placement_groups = placement_groups
        self.settings = settings or {}
        self.named = named
        self.blocked_links: set[tuple[str, str]] = set()
        self.engines: Any = None
        self.gateway_class: Any = None
        self.notes: list[dict[str, Any]] = []
        self.watch_calls: Callable[[SimulatedNode, str], Any] | None = None
        self.bytes_per_s: float | None = None
        self._link_free_at: dict[tuple[str, str], float] = {}
        self._token_patch = mock.patch(
            "pipitlink.context.secrets.token_hex", lambda n: f"{self.rng.getrandbits(8 * n):0{2 * n}x}"
        )
        self._token_patch.start()
        self._last_number = 0
        self.simulated_nodes: dict[str, SimulatedNode] = {}
        self._timers: list[Timers] = []
        self._add_all({"controller": controllers, "storage": storage_nodes, "gateway": gateways})

    def _add_all(self, counts: dict[str, int]) -> None:
        port = FIRST_PORT
        for role, count in counts.items():
            for i in range(count):
                self.add(role, f"{role}{i}", _zone_of(i), port)
                port += 1
        first_nodes = [self.simulated_nodes[f"{role}0"] for role, count in counts.items() if count]
        self.seeds = tuple("{}:{}".format(*node.address) for node in first_nodes)
        self.founders = tuple("{}:{}".format(*node.address) for node in self.role("controller")[:FOUNDERS])

    def add(self, role: str, name: str, zone: str, port: int) -> SimulatedNode:
        """Adds a node without starting it."""
        self.simulated_nodes[name] = SimulatedNode(self, role, name, zone, port)
        return self.simulated_nodes[name]

    def next_number(self) -> str:
        """Returns the next number of a counter, as four digits."""
        self._last_number += 1
        return f"{self._last_number:04d}"

    def role(self, role: str, alive: bool = False) -> list[SimulatedNode]:
        """Returns the nodes of a role; with `alive` set, only those that are running and not frozen."""
        return [
            node
            for node in self.simulated_nodes.values()
            if node.role == role and (node.alive and not node.frozen or not alive)
        ]

    def add_engines(self, gateway_class: Any, engine_class: Any, n: int = 2) -> None:
        """Adds `n` engines, and makes gateways complete, which otherwise have only their logs and caches."""
        self.gateway_class, self.engines = gateway_class, {}
        for i in range(n):
            self.engines[f"engine{i}"] = engine_class(self, f"engine{i}", _zone_of(i))

    def start(self) -> None:
        """Starts all nodes."""
        for node in self.simulated_nodes.values():
            node.start()

    def cut(self, some: Iterable[str], others: Iterable[str], one_way: bool = False) -> None:
        """Drops messages from some nodes to others, and in the reverse direction too unless `one_way` is set."""
        for sender in some:
            for receiver in others:
                self.blocked_links.add((sender, receiver))
                if not one_way:
                    self.blocked_links.add((receiver, sender))

    def heal(self) -> None:
        """Ends all partitions."""
        self.blocked_links.clear()

    def _delay(self) -> float:
        return 0.0005 + 0.003 * self.rng.random()

    def _transfer(self, sender: SimulatedNode, receiver: SimulatedNode, body: bytes | Exception) -> float:
        """Returns the transfer time of a message; with a rate limit, each ordered pair of nodes has its own link."""
        if self.bytes_per_s is None or isinstance(body, Exception):
            return self._delay()
        now, link = self.clock.seconds(), (sender.name, receiver.name)
        self._link_free_at[link] = max(now, self._link_free_at.get(link, now)) + len(body) / self.bytes_per_s
        return self._link_free_at[link] - now + self._delay()

    def _send(
        self,
        sender: SimulatedNode,
        receiver: SimulatedNode,
        body: bytes | Exception,
        arrive: Callable[[], object],
    ) -> None:
        """Calls `arrive` after the message has passed the sender's uplink, if any, and the network."""
        if sender.uplink is None or not body or isinstance(body, Exception):
            self.clock.callLater(self._transfer(sender, receiver, body), arrive)
            return
        sender.uplink.send(receiver.name, len(body), lambda: self.clock.callLater(self._delay(), arrive))

    def deliver_call(
        self, sender: SimulatedNode, address: Address, method: str, body: bytes, node: str = ""
    ) -> "defer.Deferred[Any]":
        """Delivers one call; if it names a node, any other node at that address rejects it."""
        nodes = self.simulated_nodes.values()
        receiver = next((other for other in nodes if other.address == address and other.alive), None)
        response: defer.Deferred[Any] = defer.Deferred()
        if receiver is None:
            call = _CallInFlight(self, sender, sender, response)
            unreachable = ConnectionFailed("no node is running at this address", sent=False)
            self.clock.callLater(self._delay(), call.finish, unreachable)
        elif (sender.name, receiver.name) not in self.blocked_links:
            call = _CallInFlight(self, sender, receiver, response)
            if self.watch_calls is not None:
                self.watch_calls(sender, method)
            self._send(sender, receiver, body, partial(call.arrive, method, body, node))
        return response

    def run(self, seconds: float, step: float = STEP_SECONDS) -> None:
        """Advances virtual time by a number of seconds."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(step)

    def until(self, check: Callable[[], Any], limit: float, what: str) -> Any:
        """Advances time until the check returns a true value, and returns it; fails after `limit` seconds."""
        end = self.clock.seconds() + limit
        while True:
            found = check()
            if found:
                return found
            if self.clock.seconds() > end:
                raise AssertionError(f"seed {self.seed}: not within {limit} s: {what}")
            self.clock.advance(STEP_SECONDS)

    def do(self, work: Any, limit: float = 20, what: str = "the work") -> Any:
        """Runs a coroutine to completion in virtual time; returns its result or raises its error."""
        results: list[Any] = []
        spawn(work).addBoth(results.append)
        self.until(lambda: results, limit, what)
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def timers(self, clock: Any = None) -> Timers:
        """Returns timers on virtual time, for one incarnation of a node or for code outside the nodes."""
        reactor: Any = clock or self.clock
        timers = Timers(reactor, seconds=self.clock.seconds)
        self._timers.append(timers)
        setattr(timers, "utc_now", self._utc_now)  # noqa: B010 - in place of the method
        return timers

    def _utc_now(self) -> datetime:
        return datetime.fromtimestamp(START_UTC + self.clock.seconds(), UTC)

    def leader(self) -> SimulatedNode | None:
        """Returns the only leader that has a quorum; None if there is none or more than one."""
        leaders = [
            node
            for node in self.role("controller", alive=True)
            if node.part.consensus.role == "leader" and node.part.state_delivery.has_recent_quorum()
        ]
        return leaders[0] if len(leaders) == 1 else None

    def ready(self, limit: float = 30) -> None:
        """Advances time until there is a leader and each gateway knows the cluster state."""
        self.until(self._is_ready, limit, "the cluster is ready")

    def _is_ready(self) -> bool:
        gateways_ready = (node.ctx.cluster.ready() for node in self.role("gateway", alive=True))
        return self.leader() is not None and all(gateways_ready)

    def wait(self, duration: timedelta) -> None:
        """Advances virtual time by a duration."""
        self.run(duration.total_seconds())

    def end(self) -> None:
        """Kills all nodes and removes their disks."""
        for node in self.simulated_nodes.values():
            if node.alive:
                node.kill()
        for timers in self._timers:
            timers.stop()
        self._token_patch.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class _CallInFlight:
    """One call in flight through the simulated network, and its response."""

    def __init__(
        self, simulation: Simulation, sender: SimulatedNode, receiver: SimulatedNode, response: "defer.Deferred[Any]"
    ) -> None:
        self._simulation = simulation
        self._sender = sender
        self._receiver = receiver
        self._response = response
        self._sender_ctx = sender.ctx

    def arrive(self, method: str, body: bytes, node: str) -> None:
        """Delivers the request to its receiver, or fails the call if the receiver has stopped meanwhile."""
        if not self._receiver.alive:
            self.finish(ConnectionFailed("the peer stopped", sent=True))
            return
        self._receiver.clock.callLater(0, self._serve, method, body, node)

    def _serve(self, method: str, body: bytes, node: str) -> None:
        try:
            require_peer(node, self._receiver.node)
        except WrongPeer as error:
            self._respond(error)
            return
        served = spawn(self._receiver.ctx.rpc.dispatch(self._sender.node, method, body))
        served.addCallbacks(self._respond, self._respond_error)

    def _respond_error(self, failure: Any) -> None:
        error = failure.value
        code, text = (error.code, str(error)) if isinstance(error, PipitlinkError) else ("fault", repr(error))
        self._respond(RemoteError(code, text))

    def _respond(self, result: bytes | Exception) -> None:
        simulation = self._simulation
        if (self._receiver.name, self._sender.name) not in simulation.blocked_links and self._receiver.alive:
            simulation._send(self._receiver, self._sender, result, partial(self.finish, result))

    def finish(self, result: bytes | Exception) -> None:
        """Delivers the result to the sender, unless the sender was restarted or the call has timed out."""
        sender = self._sender
        if sender.alive and sender.ctx is self._sender_ctx and not self._response.called:
            deliver = self._response.errback if isinstance(result, Exception) else self._response.callback
            sender.clock.callLater(0, deliver, result)


def _zone_of(number: int) -> str:
    return "zone-" + "abcd"[number % 4]
