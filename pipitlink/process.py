"""Builds one node from its settings and runs it until it is stopped."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import reactor as installed_reactor

from .changes import ChangePublisher
from .client_memory import ClientMemory
from .cluster import ClusterFollower
from .context import Context, random_id
from .dialect import Dialect
from .disk import quarantine_data
from .errors import CorruptData, SettingsError
from .membership import Membership
from .node_factory import load_gateway_factory, load_stateful_node_factory
from .operator import OperatorServer
from .replicated_log import ReplicatedLog
from .settings import Settings
from .structured_log import open_logger
from .timers import Timers, ms, secs, spawn
from .traffic import TrafficCounter, TrafficLog
from .wire.membership_pb2 import Member
from .wire.rpc import RpcEndpoint

if TYPE_CHECKING:
    import socket

    from twisted.python.failure import Failure

    from .controller import ControlServer
    from .node_interfaces import Node

__all__ = ["Process", "run"]

reactor: Any = installed_reactor
"""The process's reactor; Twisted does not declare its type."""

SettingsReader = Callable[[], Settings]
"""Reads the settings. Raises SettingsError."""

CLOSE_TIMEOUT = secs(2)
"""How long a shutdown may take in addition to the setting `drain_ms`."""

RELOAD_INTERVAL = secs(2)
GC_THRESHOLDS = (20_000, 20, 20)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def _node_id(role: str, settings: Settings) -> str:
    """Returns the node's id: a new one at each start of a gateway, the one in the data folder for other roles."""
    if role == "gateway":
        return random_id()
    from .storage import node_id

    return node_id(Path(settings.data), settings.fleet)


class Process:
    """One gateway, storage node or controller process, from start-up to shutdown.

    `reload_settings` reads the settings again; `listening_socket` is the socket for clients if it is already listening.
    """

    def __init__(
        self,
        role: str,
        settings: Settings,
        dialect: Dialect | None = None,
        reload_settings: SettingsReader | None = None,
        listening_socket: socket.socket | None = None,
    ) -> None:
        if role == "gateway":
            self._gateway_factory = load_gateway_factory(settings.interface)
        else:
            self._node_factory = load_stateful_node_factory(role)
        node_id = _node_id(role, settings)
        logger = open_logger(settings.log_level, role=role, node=node_id)
        timers = Timers(reactor)
        traffic = TrafficCounter(settings.zone)
        cache_mb = settings.cache_mb if role == "gateway" else 0
        client_memory = ClientMemory(settings.memory_mb, cache_mb, settings.max_descriptors)
        rpc = RpcEndpoint(reactor, timers, logger, settings.fleet, node_id, traffic, client_memory)
        self.ctx = Context(
            role,
            node_id,
            settings,
            reactor,
            timers,
            logger,
            rpc,
            Random(),
            dialect=dialect or Dialect(),
            traffic=traffic,
            client_memory=client_memory,
        )
        if settings.plug:
            from .fault_injection import FaultInjector

            rpc.fault_injector = FaultInjector(settings.plug, self.ctx)
        self._read_settings = reload_settings
        self._listening_socket = listening_socket
        self.exit_code = EXIT_OK
        self.node: Node | None = None
        self._stopping = False
        self._operator_server: OperatorServer | None = None
        self._control_server: ControlServer | None = None

    async def start(self) -> None:
        """Opens the node, its servers and its services, and joins the cluster.

        Raises SettingsError, CannotListenError or an error of the node's `open`.
        """
        ctx, settings = self.ctx, self.ctx.settings
        self._create_services()
        if ctx.role != "gateway":
            self.node = self._open_stateful_node()
        _, port = await ctx.rpc.listen(settings.bind, settings.port)
        ctx.rpc.address = (settings.host, port)
        local_member = self._local_member(port)
        if ctx.role == "gateway":
            local_member.http_port = await self._open_gateway()
        local_member.operator_port = await self._open_operator_server()
        await self._open_control_server()
        ctx.changes = ChangePublisher(ctx)
        ctx.changes.open()
        ctx.membership.open(local_member)
        if ctx.role != "controller":
            ctx.cluster.open()
        TrafficLog(ctx.traffic, ctx.timers, ctx.logger).open(ctx.error_reporter("log_traffic"))
        ctx.logger.info("started", zone=settings.zone, address=f"{settings.host}:{port}", http=local_member.http_port)

    def _create_services(self) -> None:
        ctx = self.ctx
        ctx.membership = Membership(ctx)
        ctx.rpc.zone_of = ctx.membership.zone_of
        if ctx.role != "gateway":
            ctx.membership.persist_peers_in(Path(ctx.settings.data))
        ctx.cluster = ClusterFollower(ctx)
        ctx.replicated_log = ReplicatedLog(ctx)

    def _local_member(self, port: int) -> Member:
        settings = self.ctx.settings
        return Member(
            node=self.ctx.node,
            incarnation=1,
            role=self.ctx.role,
            zone=settings.zone,
            host=settings.host,
            port=port,
            name=settings.name,
        )

    def _open_stateful_node(self) -> Node:
        """Opens the node on its data folder.

        Corrupt data that can be repaired from the replicas is moved to quarantine, and the node starts empty with a new
        id.
        """
        ctx = self.ctx
        disk = ctx.rpc.fault_injector.disk() if ctx.rpc.fault_injector is not None else None
        self.node = node = self._node_factory(ctx, disk)
        try:
            node.open()
            return node
        except CorruptData as error:
            ctx.logger.failure("data_quarantined", error)
        quarantine_data(Path(ctx.settings.data))
        ctx.node = ctx.rpc.node = _node_id(ctx.role, ctx.settings)
        ctx.logger = ctx.rpc.logger = ctx.logger.bind(node=ctx.node)
        self.node = node = self._node_factory(ctx, disk)
        node.open()
        return node

    async def _open_gateway(self) -> int:
        """Opens the gateway and the services that only gateways have; returns the port for clients."""
        from .cache import Cache

        ctx, settings = self.ctx, self.ctx.settings
        ctx.cache = Cache(ctx)
        self.node = gateway = self._gateway_factory(ctx)
        gateway.open()
        if self._listening_socket is not None:
            gateway.listening_socket = self._listening_socket
        port = await gateway.listen(settings.bind, settings.http_port)
        ctx.replicated_log.open()
        ctx.cache.open()
        return port

    async def _open_operator_server(self) -> int:
        settings = self.ctx.settings
        assert self.node is not None  # opened earlier in `start`, for each role
        self._operator_server = OperatorServer(self.ctx, self.node)
        return await self._operator_server.listen(settings.bind, settings.operator_port)

    async def _open_control_server(self) -> None:
        settings = self.ctx.settings
        if self.ctx.role != "controller" or not settings.control_port:
            return
        from .controller import ControllerNode, ControlServer

        assert isinstance(self.node, ControllerNode)  # the node of this role
        self._control_server = ControlServer(self.ctx, self.node)
        await self._control_server.listen(settings.bind, settings.control_port)

    async def stop(self) -> None:
        """Shuts the node down gracefully within `drain_ms` plus CLOSE_TIMEOUT, then stops the reactor."""
        if self._stopping:
            return
        self._stopping = True
        self.ctx.logger.info("stopping")
        try:
            await self.ctx.timers.with_timeout(ms(self.ctx.settings.drain_ms) + CLOSE_TIMEOUT, self._close())
        except Exception as error:
            self.ctx.logger.failure("shutdown_incomplete", error)
        reactor.stop()

    async def _close(self) -> None:
        if self._control_server is not None:
            await self._control_server.close()
        if self.node is not None:
            await self.node.shut_down()
        if self._operator_server is None:
            raise RuntimeError("shutdown was requested before start-up was complete")
        await self._operator_server.close()
        self.ctx.timers.stop()
        await self.ctx.rpc.close()

    def reload_settings(self) -> None:
        """Reads the settings again and applies changed seeds. Other changes take effect at the next start only."""
        assert self._read_settings is not None  # only called if a reader was given
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self.ctx.logger.failure("settings_reload_failed", error)
            return
        if settings.seeds != self.ctx.settings.seeds:
            self.ctx.settings = attrs.evolve(self.ctx.settings, seeds=settings.seeds)
            self.ctx.logger.info("settings_reloaded", seeds=",".join(settings.seeds))

    def handle_start_failure(self, failure: Failure) -> None:
        """Sets the exit code after a failed start, reports the error and stops the reactor."""
        if isinstance(failure.value, SettingsError):
            self.exit_code = EXIT_BAD_SETTINGS
            for line in failure.value.lines:
                print(line, file=sys.stderr)
        else:
            self.exit_code = EXIT_FAILED
            self.ctx.logger.failure("start_failed", failure.value)
        reactor.callWhenRunning(reactor.stop)


def _tune_garbage_collector() -> None:
    """Excludes all objects loaded so far from later collections, and collects less often than by default."""
    gc.collect()
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)


def _reload_settings_regularly(process: Process) -> None:
    """Reloads the settings at an interval and on SIGHUP, including a SIGHUP that is already pending."""
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(process.reload_settings))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    report_error = process.ctx.error_reporter("settings_reload_failed")
    process.ctx.timers.call_repeatedly(RELOAD_INTERVAL, process.reload_settings, report_error)


def _stop_on_signals(process: Process) -> None:
    def stop() -> None:
        spawn(process.stop())

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(stop))


def run(
    role: str,
    settings: Settings,
    dialect: Dialect | None = None,
    reload_settings: SettingsReader | None = None,
    listening_socket: socket.socket | None = None,
) -> int:
    """Runs one node until it is stopped, and returns the exit code.

    `reload_settings`, if given, is called on SIGHUP and at an interval to read the settings again. If SIGHUP was
    blocked while the program was loading, it is unblocked here, so that a pending one is handled. `listening_socket` is
    the socket for clients if it is already listening. Raises SettingsError.
    """
    process = Process(role, settings, dialect, reload_settings, listening_socket)

    def begin() -> None:
        _tune_garbage_collector()
        if reload_settings is not None:
            _reload_settings_regularly(process)
        _stop_on_signals(process)
        spawn(process.start()).addErrback(process.handle_start_failure)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return process.exit_code
