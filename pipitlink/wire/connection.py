"""A TCP connection between two nodes: handshake, frames, calls and responses."""

from __future__ import annotations

from datetime import timedelta
from functools import cached_property
from typing import TYPE_CHECKING, cast

from twisted.internet import defer, protocol
from twisted.protocols.basic import Int32StringReceiver

from ..client_memory import SMALL_BYTES, Reservation
from ..errors import ConnectionFailed, PipitlinkError, WireError
from ..timers import ms, secs, spawn
from .compression import compress_body, decompress_body
from .frame_assembler import FrameAssembler
from .frame_pb2 import Frame, Hello

if TYPE_CHECKING:
    from google.protobuf.message import Message
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

    from ..reactor_types import TcpTransport
    from .rpc import RpcEndpoint

__all__ = ["MAX_FRAME_BYTES", "PROTOCOL_VERSION", "Notification", "RpcConnection", "RpcConnectionFactory"]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 96 * 1024 * 1024
# Frames of this size are accepted whatever the memory; larger ones where it holds several copies of them.
SUPPORTED_FRAME_BYTES = 8 * 1024 * 1024
DECOMPRESSED_COPIES = 4
# The limit before the peer's Hello is accepted.
MAX_HELLO_BYTES = 4096
# With this many queued frames and running calls, reading from the peer is paused.
MAX_INBOUND_FRAMES = 512
# The maximum number of concurrent calls of one connection; further calls are rejected.
MAX_CONCURRENT_CALLS = 256
OVERLOADED_CODE = "crowded"
# The method under which the traffic counter counts the first frame of each side.
HELLO_TRAFFIC_LABEL = "hello"
STALL_TIMEOUT = secs(1)
# How often a connection that waits for memory looks for it, and how often before its frame is given up.
MEMORY_RETRY_INTERVAL = ms(50)
MAX_MEMORY_RETRIES = 40
MIN_LINK_BYTES_PER_S = 512 * 1024


def _compress(frame: Frame) -> None:
    """Compresses the body of a frame if that saves enough."""
    body = compress_body(frame.body)
    if body is not None:
        frame.body, frame.compressed = body, True


def _parse_frame(data: bytes, max_body_bytes: int) -> Frame:
    """Parses a frame and decompresses its body, up to a size. Raises WireError or DecodeError."""
    frame = Frame.FromString(data)
    if frame.compressed:
        frame.body, frame.compressed = decompress_body(frame.body, max_body_bytes), False
    return frame


def _frame_limit(available_bytes: int) -> int:
    return min(MAX_FRAME_BYTES, max(SUPPORTED_FRAME_BYTES, available_bytes))


class Notification:
    """A notification to any number of peers; its frame is serialized at most once per form, plain and compressed."""

    def __init__(self, method: str, message: Message) -> None:
        self.method = method
        self._frame = Frame(method=method, body=message.SerializeToString())

    @cached_property
    def plain_frame(self) -> bytes:
        """The serialized frame."""
        return self._frame.SerializeToString()

    @cached_property
    def compressed_frame(self) -> bytes:
        """The serialized frame, with a compressed body if that saves enough."""
        frame = Frame()
        frame.CopyFrom(self._frame)
        _compress(frame)
        return frame.SerializeToString()


class RpcConnection(Int32StringReceiver):
    """A connection to one peer, with one task that processes its frames in order.

    The first frame of each side is its Hello. `ready` fires with the connection once the peer's Hello is accepted, and
    fails with WireError if the Hello is rejected or the connection is lost first. `is_identified` tells whether the
    Hello is accepted, `is_used` whether the peer has sent another frame since.
    """

    def __init__(self, rpc: RpcEndpoint) -> None:
        self._rpc = rpc
        self._assembler = FrameAssembler(MAX_HELLO_BYTES)
        self._held = Reservation(rpc.client_memory)
        self.peer = Hello()
        self.is_identified = False
        self.is_used = False
        self.last_received_at = rpc.now()
        self.closed = False
        self.ready: defer.Deferred[RpcConnection] = defer.Deferred(lambda _: None)
        self._inbound_frames: list[bytes] = []
        self._inbound_bytes = 0
        self._reader_wakeup: defer.Deferred[None] | None = None
        self._is_queue_full = False
        self._is_waiting_for_memory = False
        self._reading_paused = False
        self._running_calls = 0
        self._pending_calls: dict[int, defer.Deferred[Frame]] = {}
        self._last_call_id = 0
        # The time of the first call sent since bytes last arrived from the peer, and the total size of these calls.
        self._unacknowledged_since: timedelta | None = None
        self._unanswered_bytes = 0

    @property
    def tcp(self) -> TcpTransport:
        """The transport of the connection, set by Twisted when the connection is made."""
        return cast("TcpTransport", self.transport)

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """Sends this side's Hello and starts to process frames."""
        self.tcp.setTcpNoDelay(True)
        self._write(HELLO_TRAFFIC_LABEL, self._rpc.hello().SerializeToString())
        self._reader = spawn(self._read_frames())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Receives bytes from the peer; any bytes show that the connection is not stalled."""
        self._unacknowledged_since = None
        self._unanswered_bytes = 0
        self.last_received_at = self._rpc.now()
        try:
            for frame in self._assembler.feed(data):
                self.stringReceived(frame)
        except WireError as error:
            self._rpc.logger.warning("frame_too_long", text=error, peer=self.peer.node)
            self.tcp.abortConnection()
        self._count_held()

    def stringReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Queues a frame, and pauses reading if too many frames are queued or being handled."""
        self._inbound_frames.append(data)
        self._inbound_bytes += len(data)
        if self._inbound_count() >= MAX_INBOUND_FRAMES:
            self._is_queue_full = True
            self._update_reading()
        self._wake_reader()

    def _update_reading(self) -> None:
        is_paused = self._is_queue_full or self._is_waiting_for_memory
        if is_paused == self._reading_paused or self.closed:
            return
        self._reading_paused = is_paused
        if is_paused:
            self.tcp.pauseProducing()
        else:
            self.tcp.resumeProducing()

    def _count_held(self) -> None:
        """Counts frames that are not complete or not handled; without memory for more of them, pauses reading."""
        if self.closed:
            return
        self._held.resize(len(self._assembler) + self._inbound_bytes)
        if self._held.size > SMALL_BYTES and not self._is_waiting_for_memory and self._rpc.client_memory.is_full():
            self._is_waiting_for_memory = True
            self._update_reading()
            self._rpc.call_later(MEMORY_RETRY_INTERVAL, self._retry_reading, MAX_MEMORY_RETRIES)

    def _retry_reading(self, retries: int) -> None:
        """Reads on once there is memory; gives up a frame that is not complete if there is none for too long."""
        if self.closed:
            return
        if self._rpc.client_memory.is_full() and len(self._assembler):
            if retries:
                self._rpc.call_later(MEMORY_RETRY_INTERVAL, self._retry_reading, retries - 1)
                return
            self._rpc.logger.warning("frame_given_up", peer=self.peer.node, bytes=len(self._assembler))
            self.tcp.abortConnection()
            return
        self._is_waiting_for_memory = False
        self._update_reading()

    def connectionLost(  # noqa: N802 - twisted's interface
        self,
        reason: Failure = protocol.connectionDone,  # noqa: ARG002 - twisted's interface
    ) -> None:
        """Fails all pending calls."""
        self.closed = True
        self._held.release()
        self._rpc.connection_closed(self)
        self._wake_reader()
        pending_calls, self._pending_calls = self._pending_calls, {}
        for pending_call in pending_calls.values():
            if not pending_call.called:
                pending_call.errback(ConnectionFailed("connection closed before the response"))
        if not self.ready.called:
            self.ready.errback(ConnectionFailed("connection closed before the peer's Hello", sent=False))

    def is_stalled(self) -> bool:
        """Returns whether nothing has arrived since a call was sent, for longer than the timeout.

        The timeout includes the time that the bytes of unanswered calls take on a slow link.
        """
        if self._unacknowledged_since is None or self.closed:
            return False
        timeout = STALL_TIMEOUT + secs(self._unanswered_bytes / MIN_LINK_BYTES_PER_S)
        return self._rpc.now() - self._unacknowledged_since > timeout

    def call(self, method: str, body: bytes) -> defer.Deferred[Frame]:
        """Sends a call and returns a Deferred of its response frame; fails with ConnectionFailed on connection loss."""
        if self.closed:
            return defer.fail(ConnectionFailed("connection is closed", sent=False))
        self._last_call_id += 1
        call_id = self._last_call_id
        pending_call: defer.Deferred[Frame] = defer.Deferred(lambda _: self._forget_call(call_id))
        self._pending_calls[call_id] = pending_call
        if self._unacknowledged_since is None:
            self._unacknowledged_since = self._rpc.now()
        self._unanswered_bytes += len(body)
        self._send(method, Frame(call_id=call_id, method=method, body=body))
        return pending_call

    def notify(self, notification: Notification) -> None:
        """Writes the frame of a notification, or drops it if the connection is closed."""
        if not self.closed:
            frame = notification.compressed_frame if self._should_compress() else notification.plain_frame
            self._write(notification.method, frame)

    async def _read_frames(self) -> None:
        try:
            hello = await self._next_frame()
            if hello is None:
                return
            self._accept_hello(hello)
            self._frame_handled(len(hello))
            while (data := await self._next_frame()) is not None:
                frame = _parse_frame(data, _frame_limit(self._rpc.client_memory.max_large_bytes // DECOMPRESSED_COPIES))
                decompressed_bytes = max(0, len(frame.body) - len(data))
                self._inbound_bytes += decompressed_bytes
                self._handle_frame(frame, len(data) + decompressed_bytes)
        except Exception as error:
            self._rpc.logger.failure("connection_rejected", error, peer=self.peer.node)
            if not self.ready.called:
                self.ready.errback(WireError(str(error)))
            self.tcp.abortConnection()

    async def _next_frame(self) -> bytes | None:
        """Returns the next queued frame, or None once the connection is closed and the queue is empty."""
        while not self._inbound_frames:
            if self.closed:
                return None
            self._reader_wakeup = defer.Deferred()
            await self._reader_wakeup
        data = self._inbound_frames.pop(0)
        if self._is_queue_full and self._inbound_count() < MAX_INBOUND_FRAMES // 2:
            self._is_queue_full = False
            self._update_reading()
        return data

    def _inbound_count(self) -> int:
        return len(self._inbound_frames) + self._running_calls

    def _wake_reader(self) -> None:
        if self._reader_wakeup is not None:
            wakeup, self._reader_wakeup = self._reader_wakeup, None
            wakeup.callback(None)

    def _accept_hello(self, data: bytes) -> None:
        self.peer.ParseFromString(data)
        self._rpc.validate_hello(self.peer)
        self._assembler.max_frame_bytes = _frame_limit(self._rpc.client_memory.max_large_bytes)
        self.is_identified = True
        self._rpc.handshake_done(self)
        self.ready.callback(self)

    def _handle_frame(self, frame: Frame, size: int) -> None:
        self.is_used = True
        if frame.call_id and not frame.response and self._running_calls < MAX_CONCURRENT_CALLS:
            spawn(self._handle_call(frame, size))
            return
        if frame.response:
            self._resolve_call(frame)
        elif not frame.call_id:
            self._handle_notification(frame)
        else:
            self._reject_call(frame)
        self._frame_handled(size)

    def _frame_handled(self, size: int) -> None:
        self._inbound_bytes -= size
        if self._held.size > SMALL_BYTES:
            self._count_held()

    def _resolve_call(self, frame: Frame) -> None:
        pending_call = self._pending_calls.pop(frame.call_id, None)
        if pending_call is not None and not pending_call.called:
            pending_call.callback(frame)

    def _handle_notification(self, frame: Frame) -> None:
        """Runs the handler of a frame without a call id, which gets no response."""
        handling = self._rpc.handle_notification(self.peer, frame.method, frame.body)
        self._rpc.run_in_background(handling, frame.method)

    def _reject_call(self, frame: Frame) -> None:
        response = Frame(
            call_id=frame.call_id, response=True, error_code=OVERLOADED_CODE, error_message="too many concurrent calls"
        )
        self._send(frame.method, response)

    async def _handle_call(self, frame: Frame, size: int) -> None:
        self._running_calls += 1
        response = Frame(call_id=frame.call_id, response=True)
        try:
            result = await self._rpc.dispatch(self.peer, frame.method, frame.body)
            response.body = result.SerializeToString()
        except Exception as error:
            response.error_code = getattr(error, "code", PipitlinkError.code)
            response.error_message = str(error)
            if response.error_code == PipitlinkError.code:
                self._rpc.logger.failure("call_failed", error, method=frame.method)
        finally:
            self._running_calls -= 1
            self._frame_handled(size)
        self._send(frame.method, response)

    def _forget_call(self, call_id: int) -> None:
        self._pending_calls.pop(call_id, None)

    def _send(self, method: str, frame: Frame) -> None:
        if self.closed:
            return
        if self._should_compress():
            _compress(frame)
        self._write(method, frame.SerializeToString())

    def _should_compress(self) -> bool:
        """Returns whether to compress frames: only for peers in other zones that accept it."""
        return self.peer.accepts_compressed and self._rpc.is_in_other_zone(self.peer.node)

    def _write(self, method: str, data: bytes) -> None:
        self._rpc.count_sent(method, self.peer.node, len(data))
        self.sendString(data)  # type: ignore[no-untyped-call] # twisted has no types here


class RpcConnectionFactory(protocol.Factory):
    """Creates an RpcConnection for each peer that connects, and registers it with the endpoint."""

    noisy = False

    def __init__(self, rpc: RpcEndpoint) -> None:
        self._rpc = rpc

    def buildProtocol(self, addr: IAddress | None) -> RpcConnection | None:  # noqa: N802, ARG002 - twisted's interface
        """Returns the connection of a peer that has connected; None, which closes it at once, if there are too many."""
        if not self._rpc.may_accept():
            return None
        connection = RpcConnection(self._rpc)
        connection.ready.addErrback(lambda _: None)
        self._rpc.connection_opened(connection)
        return connection
