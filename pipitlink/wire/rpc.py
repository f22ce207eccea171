"""The RPC endpoint of a node, which handles and sends calls and notifications."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Iterable
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol, TypeVar, cast

import attrs
from google.protobuf.message import DecodeError, Message
from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint, TCP6ClientEndpoint, connectProtocol

from ..client_memory import MAX_CLOSING_CONNECTIONS, ClientMemory
from ..errors import (
    ConnectionFailed,
    DeadlineExceeded,
    PipitlinkError,
    RemoteError,
    UnknownMethod,
    WireError,
    WrongPeer,
)
from ..timers import SingleFlight, Timers, ms, secs, spawn
from ..traffic import TrafficCounter
from .accepted_connections import AcceptedConnections
from .connection import PROTOCOL_VERSION, Notification, RpcConnection, RpcConnectionFactory
from .frame_pb2 import Empty, Hello

if TYPE_CHECKING:
    from ..disk import Disk
    from ..reactor_types import ListeningPort, Reactor
    from ..structured_log import StructuredLogger

__all__ = ["Address", "FaultInjection", "RpcEndpoint", "require_peer"]

RequestT = TypeVar("RequestT", bound=Message)
ResponseT = TypeVar("ResponseT", bound=Message)

# The host and port of an RPC endpoint.
Address = tuple[str, int]

CONNECT_TIMEOUT = ms(600)
# How long a node that has connected may take to send its Hello.
HELLO_TIMEOUT = secs(3)
# How long to keep a stalled connection, so that data buffered by the kernel can still be read.
STALLED_DROP_DELAY = ms(50)


def require_peer(expected: str, actual: str) -> None:
    """Raises WrongPeer if a call is for another node than the one at the address; "" stands for any node."""
    if expected and expected != actual:
        raise WrongPeer(expected, actual)


def _unknown_zone(_: str) -> str:
    return ""


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class FaultInjection(Protocol):
    """Faults that a test injects into the transport and the disk of a node."""

    async def outbound(self, address: Address, method: str) -> None:
        """Is awaited before a call or notification is sent, and may delay it."""

    def disk(self) -> Disk | None:
        """Returns the file operations to use instead of the real ones, or None."""


@attrs.frozen
class _Handler:
    request_type: type[Message]
    # Called with the peer's node id and the request; a result of None stands for an empty response.
    function: Callable[[str, Any], Awaitable[Message | None]]


class RpcEndpoint:
    """Handles calls and notifications from peers, and sends calls and notifications to them.

    It keeps one connection per address, which serves both directions if the peer also listens.
    """

    def __init__(
        self,
        reactor: Reactor,
        timers: Timers,
        logger: StructuredLogger,
        cluster_name: str,
        node: str,
        traffic: TrafficCounter | None = None,
        client_memory: ClientMemory | None = None,
    ) -> None:
        self.client_memory = client_memory or ClientMemory()
        self._reactor = reactor
        self._timers = timers
        self.logger = logger
        self._cluster_name = cluster_name
        self.node = node
        self.incarnation = 1
        # The address at which peers reach this node; set once it listens.
        self.address: Address = ("", 0)
        self.fault_injector: FaultInjection | None = None
        # The number of bytes written to all connections since the start, without TCP headers.
        self.sent_bytes = 0
        # Counts the same bytes by method and zone; zones are known once the process has a membership.
        self._traffic = traffic or TrafficCounter()
        self.zone_of: Callable[[str], str] = _unknown_zone
        self._handlers: dict[str, _Handler] = {}
        self._connections: dict[Address, RpcConnection] = {}
        self._accepted = AcceptedConnections(self.client_memory.max_peer_connections, MAX_CLOSING_CONNECTIONS)
        self._connecting: SingleFlight[Address, RpcConnection] = SingleFlight()
        self._listening_port: ListeningPort | None = None

    async def listen(self, host: str, port: int) -> Address:
        """Starts to accept connections; returns the address, with the port that was bound if `port` is 0."""
        endpoint = TCP4ServerEndpoint(self._reactor, port, interface=host)
        self._listening_port = listening_port = cast("ListeningPort", await endpoint.listen(RpcConnectionFactory(self)))
        return host, listening_port.getHost().port

    async def close(self) -> None:
        """Stops accepting connections and closes the open ones."""
        if self._listening_port is not None:
            await self._listening_port.stopListening()
        for connection in [*self._accepted, *self._connections.values()]:
            connection.tcp.loseConnection()

    def now(self) -> timedelta:
        """Returns the monotonic time of this node's timers."""
        return self._timers.now()

    def call_later(self, delay: timedelta, function: Callable[..., object], *arguments: object) -> None:
        """Calls a function after a delay, on this node's timers."""
        self._timers.call_later(delay, function, *arguments)

    def is_in_other_zone(self, node: str) -> bool:
        """Returns whether a peer is known to be in a different zone than this node."""
        zones = {self.zone_of(node), self.zone_of(self.node)}
        return len(zones) > 1 and "" not in zones

    def count_sent(self, method: str, node: str, size: int) -> None:
        """Counts bytes written to a connection for a method."""
        self.sent_bytes += size
        self._traffic.add(method, self.zone_of(node), size)

    def register_handler(
        self,
        method: str,
        request_type: type[RequestT],
        handler: Callable[[str, RequestT], Awaitable[Message | None]],
    ) -> None:
        """Registers the handler of a method, called with the peer's node id and the request."""
        self._handlers[method] = _Handler(request_type, handler)

    async def dispatch(self, peer: Hello, method: str, body: bytes) -> Message:
        """Runs a method's handler and returns its response.

        Raises UnknownMethod, WireError if the request cannot be parsed, and the errors of the handler.
        """
        handler = self._handlers.get(method)
        if handler is None:
            raise UnknownMethod(f"this node does not handle the method {method}")
        try:
            request = handler.request_type.FromString(body)
        except DecodeError as error:
            raise WireError(f"{method}: {error}") from error
        response = await handler.function(peer.node, request)
        return Empty() if response is None else response

    async def handle_notification(self, peer: Hello, method: str, body: bytes) -> None:
        """Runs a method's handler for a notification, without a response. Raises the same errors as `dispatch`."""
        await self.dispatch(peer, method, body)

    async def call(
        self,
        address: Address,
        method: str,
        request: Message,
        response_type: type[ResponseT],
        timeout: timedelta,
        node: str = "",
    ) -> ResponseT:
        """Calls a method of the node at an address and returns the response.

        If `node` is given and another node is at the address, raises WrongPeer and the call is not executed. Raises
        ConnectionFailed, DeadlineExceeded, and RemoteError with the error of the handler.
        """
        call = self._call(address, method, request, response_type, node)
        try:
            return await self._timers.with_timeout(timeout, call)
        except DeadlineExceeded as error:
            connection = self._connections.get(address)
            if connection is not None and connection.is_stalled():
                self._timers.call_later(STALLED_DROP_DELAY, self._drop_if_stalled, connection)
            raise DeadlineExceeded(f"{method} to {_format_address(address)}: {error}") from error

    async def _call(
        self, address: Address, method: str, request: Message, response_type: type[ResponseT], node: str = ""
    ) -> ResponseT:
        if address == self.address:
            return cast(ResponseT, await self._call_locally(method, request, node))
        if self.fault_injector is not None:
            await self.fault_injector.outbound(address, method)
        connection = await self._connection_to(address)
        require_peer(node, connection.peer.node)
        frame = await connection.call(method, request.SerializeToString())
        if frame.error_code:
            raise RemoteError(frame.error_code, frame.error_message)
        return response_type.FromString(frame.body)

    async def _call_locally(self, method: str, request: Message, node: str) -> Message:
        require_peer(node, self.node)
        try:
            return await self.dispatch(self.hello(), method, request.SerializeToString())
        except PipitlinkError as error:
            raise RemoteError(error.code, str(error)) from error

    def notify(self, addresses: Iterable[Address], method: str, message: Message) -> None:
        """Sends a notification to each address, without response or retry.

        Meant for updates that are sent periodically. The frame is serialized once, and no timer is needed.
        """
        notification = Notification(method, message)
        for address in addresses:
            connection = self._connections.get(address)
            if connection is not None and self.fault_injector is None:
                connection.notify(notification)
            else:
                self.run_in_background(self._connect_and_notify(address, notification), method)

    async def _connect_and_notify(self, address: Address, notification: Notification) -> None:
        method = notification.method
        try:
            if self.fault_injector is not None:
                await self.fault_injector.outbound(address, method)
            connection = await self._timers.with_timeout(CONNECT_TIMEOUT, self._connection_to(address))
            connection.notify(notification)
        except WireError as error:
            self.logger.debug("notification_not_sent", address=_format_address(address), method=method, text=error)

    def run_in_background(self, work: Coroutine[Any, Any, object], method: str) -> defer.Deferred[Any]:
        """Starts work on a notification without waiting for it, and logs its failure."""
        return spawn(work).addErrback(
            lambda failure: self.logger.failure("notification_failed", failure.value, method=method)
        )

    def hello(self) -> Hello:
        """Returns the handshake message of this node."""
        host, port = self.address
        return Hello(
            fleet=self._cluster_name,
            protocol_version=PROTOCOL_VERSION,
            node=self.node,
            incarnation=self.incarnation,
            host=host,
            port=port,
            accepts_compressed=True,
        )

    def validate_hello(self, hello: Hello) -> None:
        """Raises WireError if a peer belongs to another cluster or uses another protocol version."""
        if hello.fleet != self._cluster_name:
            raise WireError(f"peer belongs to cluster {hello.fleet!r}, this node to {self._cluster_name!r}")
        if hello.protocol_version != PROTOCOL_VERSION:
            raise WireError(f"peer uses protocol version {hello.protocol_version}, this node {PROTOCOL_VERSION}")

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and the value of each metric, by name."""
        return {
            "rpc_sent_bytes": ("Bytes sent to other nodes", self.sent_bytes),
            "peer_connections": ("Connections that other nodes have opened", len(self._accepted)),
            "peer_connections_limit": ("Limit of these connections", self.client_memory.max_peer_connections),
        }

    def may_accept(self) -> bool:
        """Returns whether a further peer may connect before the connections that were dropped are closed."""
        return self._accepted.may_add()

    def connection_opened(self, connection: RpcConnection) -> None:
        """Is called for each connection opened by a peer, whose Hello must come soon."""
        self._accepted.add(connection)
        self._timers.call_later(HELLO_TIMEOUT, self._accepted.drop_unidentified, connection)

    def handshake_done(self, connection: RpcConnection) -> None:
        """Is called once the peer's Hello is accepted; makes calls use a connection that a listening peer opened.

        A pair of nodes therefore needs only one connection. If another node is now at the same address, its connection
        replaces the earlier one.
        """
        peer = connection.peer
        address = peer.host, peer.port
        current = self._connections.get(address)
        opened_by_listening_peer = connection in self._accepted and peer.port
        if opened_by_listening_peer and (current is None or current.peer.node != peer.node):
            self._connections[address] = connection

    def connection_closed(self, connection: RpcConnection) -> None:
        """Is called when a connection is lost or dropped; no further call uses it."""
        self._accepted.remove(connection)
        for address, current in list(self._connections.items()):
            if current is connection:
                del self._connections[address]

    def _connection_to(self, address: Address) -> defer.Deferred[RpcConnection]:
        if address in self._connections:
            return defer.succeed(self._connections[address])
        return self._connecting.run(address, lambda: self._connect(address))

    async def _connect(self, address: Address) -> RpcConnection:
        host, port = address
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        connection = RpcConnection(self)
        try:
            endpoint = endpoint_type(self._reactor, host, port, CONNECT_TIMEOUT.total_seconds())
            await connectProtocol(endpoint, connection)
            await self._timers.with_timeout(CONNECT_TIMEOUT, connection.ready)
        except (WireError, defer.CancelledError):
            if connection.transport is not None:
                connection.tcp.abortConnection()
            raise
        except Exception as error:
            raise ConnectionFailed(f"{_format_address(address)}: {error}", sent=False) from error
        self._connections[address] = connection
        return connection

    def _drop_if_stalled(self, connection: RpcConnection) -> None:
        """Closes a connection on which nothing arrives any more, so that the next call opens a new one.

        Runs STALLED_DROP_DELAY after the timeout of a call, because a process that was suspended sees timeouts before
        the responses that the kernel has buffered.
        """
        if connection in self._connections.values() and connection.is_stalled():
            self.logger.info("connection_dropped", peer=connection.peer.node)
            self.connection_closed(connection)
            connection.tcp.abortConnection()
