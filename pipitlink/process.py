"""Builds one node from its settings and runs it until it is told to end."""

import gc
import signal
import sys
from pathlib import Path
from random import Random

import attrs
from twisted.internet import reactor

from .changes import ChangePublisher
from .cluster import ClusterFollower
from .context import Context, random_id
from .dialect import Dialect
from .disk import quarantine_data
from .errors import CorruptData, SettingsError
from .membership import Membership
from .operator import OperatorServer
from .replicated_log import ReplicatedLog
from .settings import Settings
from .structured_log import open_logger
from .timers import Timers, ms, secs, spawn
from .wire.membership_pb2 import Member
from .wire.rpc import RpcEndpoint

__all__ = ["run"]

ENDING = secs(2)
RELOAD_INTERVAL = secs(2)


def _node_id(role: str, settings: Settings) -> str:
    """A gateway's is new at each start; the others keep theirs in the data folder."""
    if role == "gateway":
        return random_id()
    from .storage import node_id

    return node_id(Path(settings.data), settings.fleet)


def _node_kind(role: str, interface: str):
    """Loads a role's own part and no other role's, since a start's processor time is mostly the loading."""
    if role == "controller":
        from .controller import ControllerNode as Kind
    elif role == "storage":
        from .storage import StorageNode as Kind
    elif interface == "routes":
        from .router import RouterNode as Kind
    else:
        from .gateway import GatewayNode as Kind
    return Kind


class Process:
    """One gateway, storage node or controller, from its settings to its end."""

    def __init__(self, role: str, settings: Settings, dialect: Dialect | None = None, reread=None, early=None):
        self._kind = _node_kind(role, settings.interface)
        node = _node_id(role, settings)
        logger = open_logger(settings.log_level, role=role, node=node)
        timers = Timers(reactor)
        rpc = RpcEndpoint(reactor, timers, logger, settings.fleet, node)
        self.ctx = Context(role, node, settings, reactor, timers, logger, rpc, Random(), dialect=dialect or Dialect())
        if settings.plug:
            from .plugs import Gate

            rpc.fault_injector = Gate(settings.plug, self.ctx)
        self._reread = reread
        self._early = early
        self.exit = 0
        self._ending = False
        self.node = None
        self._face = self._control = None

    async def open(self):
        ctx, p = self.ctx, self.ctx.settings
        ctx.membership = Membership(ctx)
        if ctx.role != "gateway":
            ctx.membership.persist_peers_in(Path(p.data))
        ctx.cluster = ClusterFollower(ctx)
        ctx.replicated_log = ReplicatedLog(ctx)
        self._open_kept()
        _, port = await ctx.rpc.listen(p.bind, p.port)
        ctx.rpc.address = (p.host, port)
        me = Member(node=ctx.node, incarnation=1, role=ctx.role, zone=p.zone, host=p.host, port=port, name=p.name)
        if ctx.role == "gateway":
            self._open_gateway()
            if self._early is not None:
                self.node.early = self._early
            me.http_port = await self.node.listen(p.bind, p.http_port)
            ctx.replicated_log.open()
            ctx.cache.open()
        self._face = OperatorServer(ctx, self.node)
        me.operator_port = await self._face.listen(p.bind, p.operator_port)
        if ctx.role == "controller" and p.control_port:
            from .controller import ControlServer

            self._control = ControlServer(ctx, self.node)
            await self._control.listen(p.bind, p.control_port)
        ctx.changes = Changes(ctx)
        ctx.changes.open()
        ctx.membership.open(me)
        if ctx.role != "controller":
            ctx.cluster.open()
        ctx.logger.info("started", zone=p.zone, place=f"{p.host}:{port}", http=me.http_port)

    def _open_gateway(self):
        from .cache import Cache

        self.ctx.cache = Cache(self.ctx)
        self.node = self._kind(self.ctx)
        self.node.open()

    def _open_kept(self):
        """Opens what is on disk. Damage that replicas can mend is set aside, and the node begins anew and empty."""
        ctx = self.ctx
        if ctx.role == "gateway":
            return
        disk = ctx.rpc.fault_injector.disk() if ctx.rpc.fault_injector is not None else None
        self.node = self._kind(ctx, disk)
        try:
            self.node.open()
        except CorruptData as e:
            ctx.logger.failure("set_aside", e)
            folder = Path(ctx.settings.data)
            quarantine_data(folder)
            ctx.node = ctx.rpc.node = _node_id(ctx.role, ctx.settings)
            ctx.logger = ctx.rpc.logger = ctx.logger.bind(node=ctx.node)
            self.node = self._kind(ctx, disk)
            self.node.open()

    async def end(self):
        if self._ending:
            return
        self._ending = True
        self.ctx.logger.info("ending")
        try:
            await self.ctx.timers.with_timeout(ms(self.ctx.settings.drain_ms) + ENDING, self._close())
        except Exception as e:
            self.ctx.logger.failure("ended_roughly", e)
        reactor.stop()

    async def _close(self):
        if hasattr(self.node, "end"):
            await self.node.end()
        await self._face.end()
        if self._control is not None:
            await self._control.end()
        self.ctx.timers.stop()
        await self.ctx.rpc.close()

    def reread(self):
        """Takes new seeds from the settings, where they moved; all else is as it was at the start."""
        try:
            settings = self._reread()
        except SettingsError as e:
            self.ctx.logger.failure("settings_unread", e)
            return
        if settings.seeds != self.ctx.settings.seeds:
            self.ctx.settings = attrs.evolve(self.ctx.settings, seeds=settings.seeds)
            self.ctx.logger.info("settings", seeds=",".join(settings.seeds))

    def fail(self, f):
        self.exit = 1
        if f.check(SettingsError):
            for line in f.value.lines:
                print(line, file=sys.stderr)
            self.exit = 2
        else:
            self.ctx.logger.failure("not_started", f.value)
        reactor.callWhenRunning(reactor.stop)


def run(role: str, settings: Settings, dialect: Dialect | None = None, reread=None, early=None) -> int:
    """Runs one node until it is told to end.

    `reread`, if given, reads its settings again: on SIGHUP and now and then. `early` is the callers' socket, if it
    listens
    already.
    """
    process = Process(role, settings, dialect, reread, early)

    def begin():
        gc.collect()
        gc.freeze()
        gc.enable()
        gc.set_threshold(20_000, 20, 20)
        if reread is not None:
            signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(process.reread))
            process.ctx.timers.call_repeatedly(RELOAD_INTERVAL, process.reread, process.ctx.error_reporter("reread"))
        for s in (signal.SIGTERM, signal.SIGINT):
            signal.signal(s, lambda *_: reactor.callFromThread(lambda: spawn(process.end())))
        spawn(process.open()).addErrback(process.fail)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return process.exit
