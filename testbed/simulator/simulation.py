"""The real node code on injected timers: a simulated network that cuts and delays, disks that lose what is unsynced."""

import shutil
import tempfile
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from random import Random
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
from .virtual_time import NodeReactor, VirtualTime

__all__ = ["Simulation", "SimulatedNode"]


class _Sink:
    def __init__(self):
        self.lines: list[str] = []

    def log(self, level, shape, line):
        self.lines.append(f"{level} {line}")


class _Rpc:
    """The simulated side of `RPC endpoint`: the same calls, carried by the simulation."""

    def __init__(self, simulation, simulated_node):
        self._simulation = simulation
        self._simulated_node = simulated_node
        self.address = simulated_node.place
        self.node = simulated_node.node
        self.incarnation = 1
        self._handlers: dict = {}

    def register_handler(self, method, request_type, handler):
        self._handlers[method] = (request_type, handler)

    async def dispatch(self, node, method, body):
        if method not in self._handlers:
            raise UnknownMethod(f"no such call here: {method}")
        request_type, handler = self._handlers[method]
        response = await handler(node, request_type.FromString(body))
        return (Empty() if response is None else response).SerializeToString()

    def notify(self, addresses, method, message):
        body = message.SerializeToString()
        for address in addresses:
            self._simulation.carry(self._simulated_node, address, method, body).addErrback(lambda _: None)

    async def call(self, address, method, request, response_type, timeout, node=""):
        if self is not self._simulated_node.ctx.rpc or not self._simulated_node.alive:
            await defer.Deferred()  # what is left of an ended life says nothing more
        body = request.SerializeToString()
        try:
            carried = self._simulation.carry(self._simulated_node, address, method, body, node)
            return response_type.FromString(await self._simulated_node.ctx.timers.with_timeout(timeout, carried))
        except DeadlineExceeded as error:
            raise DeadlineExceeded(f"{method} to {address}: {error}") from error


class SimulatedNode:
    """One node in the simulation; it can be killed, frozen, woken and started again on the same disk."""

    def __init__(self, simulation, role, name, zone, port):
        self.simulation, self.role, self.name, self.zone = simulation, role, name, zone
        self.place = ("10.0.0.1", port)
        self.folder = simulation.folder / name
        self.disk = PowerLossDisk(simulation.rng)
        self.lives = 0
        self.alive = False
        self.frozen = False
        self.slow = 0.0
        self.ctx = None

    def start(self):
        simulation = self.simulation
        self.lives += 1
        self.alive = True
        self.folder.mkdir(exist_ok=True)
        keep = self.folder / "id"
        if self.role == "gateway" or not keep.exists():
            keep.write_text(f"{self.name}x{self.lives}x{simulation.fresh()}")
        self.node = keep.read_text()
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
        self.ctx = Context(
            self.role,
            self.node,
            settings,
            self.clock,
            timers,
            StructuredLogger(simulation.sink, node=self.node),
            None,
            Random(simulation.rng.random()),
        )
        ctx = self.ctx
        ctx.rpc = _Rpc(simulation, self)
        ctx.run_in_thread = partial(self._on_thread, self.clock)
        ctx.membership = Membership(ctx)
        if self.role != "gateway":
            ctx.membership.persist_peers_in(self.folder)
        ctx.cluster = ClusterFollower(ctx)
        ctx.replicated_log = ReplicatedLog(ctx)
        self.part = None
        if self.role == "storage":
            self.part = StorageNode(ctx, self.disk)
            self.part.open()
        elif self.role == "controller":
            self.part = ControllerNode(ctx, self.disk)
            self.part.open()
        else:
            ctx.cache = Cache(ctx)
            if simulation.engines is not None:
                self.part = type("InSimulation", (simulation.gateway_kind,), {"simulation": simulation})(ctx)
                self.part.open()
            ctx.replicated_log.open()
            ctx.cache.open()
        ctx.membership.open(
            Member(
                node=self.node,
                incarnation=1,
                role=self.role,
                zone=self.zone,
                host=self.place[0],
                port=self.place[1],
                name=self.name if simulation.named else "",
            )
        )
        if self.role != "controller":
            ctx.cluster.open()

    def _on_thread(self, clock, do, *args):
        """On the clock of the life that asks: what is left of an ended life must not reach the next one's disk."""
        d = defer.Deferred()
        span = self.slow + 0.001 + 0.004 * self.simulation.rng.random()

        def work():
            try:
                r = do(*args)
            except Exception as e:
                clock.callLater(span, d.errback, e)
                return
            clock.callLater(span, d.callback, r)

        clock.callLater(0, work)
        return d

    def kill(self, power: bool = False):
        self.alive = self.frozen = False
        self.ctx.timers.stopped = True
        self.clock.stop()
        if self.part is not None and self.role != "gateway":
            self.part.close()
        if power:
            self.disk.lose_power()

    def wipe(self):
        shutil.rmtree(self.folder, ignore_errors=True)
        self.disk = PowerLossDisk(self.simulation.rng)

    def freeze(self):
        self.frozen = True
        self.clock.hold()

    def thaw(self):
        self.frozen = False
        self.clock.release()


class Simulation:
    def __init__(
        self, seed: int, controllers=4, storage_nodes=4, gateways=3, placement_groups=4, settings=None, named=False
    ):
        self.seed = seed
        self.rng = Random(seed)
        self.clock = VirtualTime()
        self.folder = Path(tempfile.mkdtemp(prefix="simulation-"))
        self.sink = _Sink()
        self.placement_groups = placement_groups
        self.settings = settings or {}
        self.named = named
        self.cuts: set[tuple[str, str]] = set()
        self.engines = self.gateway_kind = None
        self.notes: list[dict] = []
        self.watch_calls = None
        self.bytes_per_s: float | None = None
        self._link_free_at: dict[tuple[str, str], float] = {}
        self._tokens = mock.patch(
            "pipitlink.context.secrets.token_hex", lambda n: f"{self.rng.getrandbits(8 * n):0{2 * n}x}"
        )
        self._tokens.start()
        self._fresh = 0
        self.simulated_nodes: dict[str, SimulatedNode] = {}
        self._timers: list[Timers] = []
        port = 1000
        for role, n in (("controller", controllers), ("storage", storage_nodes), ("gateway", gateways)):
            for i in range(n):
                self.add(role, f"{role}{i}", "zone-" + "abcd"[i % 4], port)
                port += 1
        firsts = [
            self.simulated_nodes[f"{r}0"]
            for r, n in (("controller", controllers), ("storage", storage_nodes), ("gateway", gateways))
            if n
        ]
        self.seeds = tuple(f"{a.place[0]}:{a.place[1]}" for a in firsts)
        self.founders = tuple(f"{a.place[0]}:{a.place[1]}" for a in self.role("controller")[:3])

    def add(self, role, name, zone, port) -> SimulatedNode:
        self.simulated_nodes[name] = SimulatedNode(self, role, name, zone, port)
        return self.simulated_nodes[name]

    def fresh(self) -> str:
        self._fresh += 1
        return f"{self._fresh:04d}"

    def role(self, role: str, alive: bool = False) -> list[SimulatedNode]:
        return [a for a in self.simulated_nodes.values() if a.role == role and (a.alive and not a.frozen or not alive)]

    def with_engines(self, gateway_kind, engine_kind, n=2):
        """Whole gateways instead of their logs and caches alone, and engines for them."""
        self.gateway_kind, self.engines = gateway_kind, {}
        for i in range(n):
            self.engines[f"engine{i}"] = engine_kind(self, f"engine{i}", "zone-" + "abcd"[i % 4])

    def start(self):
        for a in self.simulated_nodes.values():
            a.start()

    def cut(self, some, others, one_way: bool = False):
        for a in some:
            for b in others:
                self.cuts.add((a, b))
                if not one_way:
                    self.cuts.add((b, a))

    def heal(self):
        self.cuts.clear()

    def _delay(self) -> float:
        return 0.0005 + 0.003 * self.rng.random()

    def _transfer(self, sender: SimulatedNode, goal: SimulatedNode, body) -> float:
        """How long a message is on its way: each pair of nodes has a link of its own, where there is a rate."""
        if self.bytes_per_s is None or isinstance(body, Exception):
            return self._delay()
        now, link = self.clock.seconds(), (sender.name, goal.name)
        self._link_free_at[link] = max(now, self._link_free_at.get(link, now)) + len(body) / self.bytes_per_s
        return self._link_free_at[link] - now + self._delay()

    def carry(self, sender: SimulatedNode, place, method, body, node="") -> defer.Deferred:
        """Carries one call; one that names a node is refused by any other that answers at its place."""
        goal = next((a for a in self.simulated_nodes.values() if a.place == place and a.alive), None)
        d = defer.Deferred()
        mine = sender.ctx

        def back(result):
            if (goal.name, sender.name) not in self.cuts and goal.alive:
                self.clock.callLater(self._transfer(goal, sender, result), settle, result)

        def settle(result):
            if sender.alive and sender.ctx is mine and not d.called:
                sender.clock.callLater(0, d.errback if isinstance(result, Exception) else d.callback, result)

        def arrive():
            if not goal.alive:
                settle(ConnectionFailed("the peer ended", sent=True))
                return
            goal.clock.callLater(0, attend)

        def attend():
            try:
                require_peer(node, goal.node)
            except WrongPeer as e:
                back(e)
                return

            def turned(f):
                e = f.value
                back(RemoteError(e.code, str(e)) if isinstance(e, PipitlinkError) else RemoteError("fault", repr(e)))

            spawn(goal.ctx.rpc.dispatch(sender.node, method, body)).addCallbacks(back, turned)

        if goal is None:
            self.clock.callLater(self._delay(), settle, ConnectionFailed("nobody is there", sent=False))
        elif (sender.name, goal.name) not in self.cuts:
            if self.watch_calls is not None:
                self.watch_calls(sender, method)
            self.clock.callLater(self._transfer(sender, goal, body), arrive)
        return d

    def run(self, seconds: float, step: float = 0.005):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(step)

    def until(self, check, limit: float, what: str):
        end = self.clock.seconds() + limit
        while True:
            got = check()
            if got:
                return got
            if self.clock.seconds() > end:
                raise AssertionError(f"seed {self.seed}: not within {limit} s: {what}")
            self.clock.advance(0.005)

    def do(self, work, limit: float = 20, what: str = "the work"):
        """Runs a coroutine to its end in the simulation's clock; returns its result or raises its fault."""
        box = []
        spawn(work).addBoth(box.append)
        self.until(lambda: box, limit, what)
        if hasattr(box[0], "raiseException"):
            box[0].raiseException()
        return box[0]

    def timers(self, clock=None) -> Timers:
        """Timers in the simulation's time, for a node's life or for whoever stands outside the nodes."""
        out = Timers(clock or self.clock, seconds=self.clock.seconds)
        self._timers.append(out)
        out.utc_now = lambda: datetime.fromtimestamp(1_700_000_000 + self.clock.seconds(), UTC)
        return out

    def leader(self):
        now = [
            a
            for a in self.role("controller", alive=True)
            if a.part.consensus.role == "leader" and a.part.state_delivery.has_recent_quorum()
        ]
        return now[0] if len(now) == 1 else None

    def ready(self, limit: float = 30):
        self.until(
            lambda: self.leader() is not None and all(a.ctx.cluster.ready() for a in self.role("gateway", alive=True)),
            limit,
            "the fleet is ready",
        )

    def wait(self, span: timedelta):
        self.run(span.total_seconds())

    def end(self):
        for a in self.simulated_nodes.values():
            if a.alive:
                a.kill()
        for timers in self._timers:
            timers.stop()
        self._tokens.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
