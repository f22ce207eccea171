"""Lightweight nodes: the real components of nodes without client traffic, several per process, on a slowed clock."""

import json
from collections import Counter
from pathlib import Path
from random import Random
from unittest import mock

from twisted.internet import reactor, stdio
from twisted.protocols.basic import LineOnlyReceiver

from pipitlink.cache import Cache
from pipitlink.cluster import ClusterFollower
from pipitlink.context import Context, random_id
from pipitlink.controller import ControllerNode
from pipitlink.disk import Disk
from pipitlink.gateway import GatewayNode
from pipitlink.membership import Membership
from pipitlink.process import Process
from pipitlink.replicated_log import ReplicatedLog
from pipitlink.settings import Settings
from pipitlink.storage import StorageNode
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, secs, spawn
from pipitlink.wire.membership_pb2 import Gossip, Member
from pipitlink.wire.rpc import RpcEndpoint

from .synthetic_load import SyntheticLoad

__all__ = ["LightweightGateway", "CountedRpcEndpoint", "open_parts", "run_host"]

MEMBERS_PER_MESSAGE = 100
TICK_SECONDS = 0.1
CALL_FRAME_BYTES, RESPONSE_FRAME_BYTES = 14, 11


class LightweightGateway(GatewayNode):
    """A gateway without its HTTP servers: all heartbeats, calls and responses between peers are those of a real one."""


class _PeerOnly:
    """A node with only membership and cluster state, and none of the functions of a gateway."""

    def __init__(self, ctx):
        self._ctx = ctx

    def open(self):
        pass


class CountedRpcEndpoint(RpcEndpoint):
    """Counts calls and responses by method, with the sizes of their frames."""

    def __init__(self, *args):
        super().__init__(*args)
        self.counts: Counter = Counter()

    def _count(self, direction: str, method: str, size: int):
        self.counts[f"{direction} {method}"] += 1
        self.counts[f"{direction}_bytes {method}"] += size

    async def dispatch(self, peer, method, body):
        is_remote = peer.node != self.node
        if is_remote:
            self._count("in", method, len(body) + len(method) + CALL_FRAME_BYTES)
        response = await super().dispatch(peer, method, body)
        if is_remote:
            self._count("out", f"{method}:response", response.ByteSize() + RESPONSE_FRAME_BYTES)
        return response

    async def handle_notification(self, peer, method, body):
        self._count("in", method, len(body) + len(method) + CALL_FRAME_BYTES)
        await RpcEndpoint.dispatch(self, peer, method, body)

    def notify(self, addresses, method, message):
        for _ in addresses:
            self._count("out", method, message.ByteSize() + len(method) + CALL_FRAME_BYTES)
        super().notify(addresses, method, message)

    async def _call(self, address, method, request, response_type, node=""):
        is_remote = address != self.address
        if is_remote:
            self._count("out", method, request.ByteSize() + len(method) + CALL_FRAME_BYTES)
        response = await super()._call(address, method, request, response_type, node)
        if is_remote:
            self._count("in", f"{method}:response", response.ByteSize() + RESPONSE_FRAME_BYTES)
        return response


class _CountedDisk(Disk):
    def __init__(self, counts: Counter):
        self._counts = counts

    def append(self, fd, data):
        super().append(fd, data)
        self._counts["disk_writes"] += 1
        self._counts["disk_bytes"] += len(data)

    def sync(self, fd):
        super().sync(fd)
        self._counts["disk_syncs"] += 1


class _SlowedReactor:
    """The reactor with all delays and connect timeouts multiplied by `pace`."""

    def __init__(self, host):
        self._host = host

    def __getattr__(self, name):
        return getattr(reactor, name)

    def callLater(self, delay, callback, *args, **kwargs):
        return reactor.callLater(delay * self._host.pace, callback, *args, **kwargs)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        return reactor.connectTCP(host, port, factory, timeout * self._host.pace, bindAddress)


def open_parts(ctx, kind: str, me: Member, disk: Disk):
    """Opens the components of a lightweight node as its process would, without HTTP; returns that of its role."""
    ctx.membership, ctx.cluster, ctx.replicated_log = Membership(ctx), ClusterFollower(ctx), ReplicatedLog(ctx)
    if ctx.role == "gateway":
        ctx.cache = Cache(ctx)
        part = (_PeerOnly if kind == "member" else LightweightGateway)(ctx)
    else:
        part = {"storage": StorageNode, "controller": ControllerNode}[ctx.role](ctx, disk)
    part.open()
    if ctx.role == "gateway":
        ctx.replicated_log.open()
        if kind != "member":
            ctx.cache.open()
    ctx.membership.open(me)
    return part


class _WarningCounter:
    def __init__(self):
        self.counts: Counter = Counter()

    def log(self, level, shape, line):
        if level == "WARNING":
            self.counts["warned " + line.split(" ", 1)[0]] += 1


class _LightweightNode:
    """A lightweight node in a host process."""

    def __init__(self, host, role: str, n: int, spec: dict):
        self.role, self.kind = role, spec["kind"]
        node = random_id()
        settings = Settings(
            zone=f"zone-{n % spec['zones']}",
            data=str(Path(spec["folder"]) / f"{role}{n}"),
            founders=spec["founders"] if role == "controller" else (),
            seeds=spec["seeds"],
            budget_mb=256,
        )
        Path(settings.data).mkdir(parents=True, exist_ok=True)
        logger = StructuredLogger(host.sink, node=node)
        slowed = _SlowedReactor(host)
        timers = Timers(slowed, seconds=host.now)
        self.rpc = CountedRpcEndpoint(slowed, timers, logger, settings.fleet, node)
        self.ctx = Context(role, node, settings, slowed, timers, logger, self.rpc, Random())
        self._port = spec["ports"][n] if spec["ports"] else 0
        self.part = None

    async def listen(self) -> Member:
        ctx = self.ctx
        ctx.rpc.address = await self.rpc.listen("127.0.0.1", self._port)
        self.me = Member(
            node=ctx.node,
            incarnation=1,
            role=self.role,
            zone=ctx.settings.zone,
            host="127.0.0.1",
            port=ctx.rpc.address[1],
            http_port=1,
            operator_port=1,
            status="alive",
        )
        return self.me

    def open(self):
        self.part = open_parts(self.ctx, self.kind, self.me, _CountedDisk(self.rpc.counts))

    def follow(self):
        if self.role != "controller":
            self.ctx.cluster.open()

    def ready(self) -> bool:
        return self.part.readiness()[0] if self.role == "controller" else self.ctx.cluster.ready()


class _CompleteNode:
    """A complete node in a process of its own, as `pipitlink gateway` starts it, with its calls counted."""

    def __init__(self, host, role: str, n: int, spec: dict):
        self.role = role
        settings = Settings(zone=f"zone-{n % spec['zones']}", seeds=spec["seeds"])
        with (
            mock.patch("pipitlink.process.RpcEndpoint", CountedRpcEndpoint),
            mock.patch("pipitlink.process.open_logger", lambda level, **always: StructuredLogger(host.sink, **always)),
        ):
            self._process = Process(role, settings)
        self.ctx, self.rpc = self._process.ctx, self._process.ctx.rpc

    async def listen(self) -> Member:
        await self._process.start()
        self.part = self._process.node
        return self.ctx.membership.local_member

    def open(self):
        pass

    def follow(self):
        pass

    def ready(self) -> bool:
        return self.ctx.cluster.ready()


class _Host(LineOnlyReceiver):
    """A process of lightweight nodes that executes commands from its input, one JSON object per line.

    It ends when its input is closed.
    """

    delimiter = b"\n"
    MAX_LENGTH = 16 * 1024 * 1024

    def __init__(self):
        self.nodes: list = []
        self.pace = 1.0
        self._boot = Timers(reactor)._seconds
        self._paced_at = (self._boot(), self._boot())
        self.sink = _WarningCounter()
        self.load = SyntheticLoad(self)
        self._ticks = 0

    def now(self) -> float:
        real, nodes = self._paced_at
        return nodes + (self._boot() - real) / self.pace

    def _tick(self):
        """Counts timer ticks: if there are fewer than expected, the machine is overloaded and rates are too low."""
        self._ticks += 1

    def lineReceived(self, line):
        what = json.loads(line)
        spawn(self._execute(what)).addCallbacks(
            self._send_response, lambda f: self._send_response({"fault": repr(f.value)})
        )

    def _send_response(self, out):
        self.sendLine(json.dumps(out or {}).encode())

    async def _execute(self, what: dict):
        return await getattr(self, "do_" + what.pop("do"))(**what)

    async def do_listen(self, spec: dict):
        kind = _CompleteNode if spec["kind"] == "whole" else _LightweightNode
        self.nodes = [kind(self, spec["role"], n, spec) for n in spec["numbers"]]
        Timers(_SlowedReactor(self)).call_repeatedly(secs(TICK_SECONDS), self._tick, self.sink.log)
        return {"members": [(await n.listen()).SerializeToString().hex() for n in self.nodes]}

    async def do_pace(self, pace: float):
        self._paced_at = self._boot(), self.now()
        self.pace = pace

    async def do_open(self, members: list[str]):
        for n in self.nodes:
            n.open()
        await self.do_meet(members)
        for n in self.nodes:
            n.follow()

    async def do_meet(self, members: list[str]):
        """Sends the list of all members to each node, by the usual membership call."""
        everyone = [Member.FromString(bytes.fromhex(m)) for m in members]
        for n in self.nodes:
            for at in range(0, len(everyone), MEMBERS_PER_MESSAGE):
                gossip = Gossip(sender=everyone[0].node, members=everyone[at : at + MEMBERS_PER_MESSAGE])
                await n.rpc.dispatch(n.rpc.hello(), "membership.tell", gossip.SerializeToString())

    async def do_look(self):
        return {
            "ready": all(n.ready() for n in self.nodes),
            "rows": min(
                len((n.part.consensus if n.role == "controller" else n.ctx.cluster).cluster_state.rows)
                for n in self.nodes
            ),
            "known": min(len(n.ctx.membership.members()) for n in self.nodes),
        }

    async def do_count(self):
        counts = sum((n.rpc.counts for n in self.nodes), Counter())
        leads = any(
            n.role == "controller" and n.part is not None and n.part.consensus.role == "leader" for n in self.nodes
        )
        return {
            "at": self.now(),
            "counts": counts,
            "warned": self.sink.counts,
            "leads": leads,
            "ticks": self._ticks * TICK_SECONDS,
            **self.load.counters(),
        }

    async def do_load(self, **what):
        await self.load.start(**what)

    def connectionLost(self, reason):
        if reactor.running:
            reactor.stop()


def run_host() -> int:
    host = _Host()
    reactor.callWhenRunning(lambda: stdio.StandardIO(host))
    reactor.run()
    return 0
