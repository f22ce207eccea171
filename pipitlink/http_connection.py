"""One connection of a client of an HTTP server: what is read from it, parsed, held and sent."""

from __future__ import annotations

from collections.abc import Iterable
from io import BytesIO
from typing import Any, cast

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http_headers import Headers

from .client_memory import CONNECTION_BYTES, Reservation
from .http_connections import HttpConnections, ServerPhase
from .http_input import HEAD_END, ReadControl, RequestInput
from .http_refusals import (
    HEADERS_TOO_LONG,
    NO_MEMORY,
    REQUEST_TIMEOUT,
    TOO_MANY_VALUES,
    Refusal,
    refusal_response,
)
from .timers import YIELD_DELAY

__all__ = ["HttpConnection"]

# The limits on heads are checked before Twisted gets them.
NO_LIMIT = 2**30
# With more input than this behind a request in progress, reading is paused.
MAX_QUEUED_BYTES = 16_384
CHUNKED_PIECE_BYTES = 1024
MAX_CHUNKS_PER_TURN = 256
MAX_REQUESTS_PER_TURN = 8
BODY_STEP_BYTES = 65_536
# What a parsed header takes beside its bytes.
HEADER_LINE_BYTES = 256
LARGE_WRITE_BYTES = 16_384
# Less than this of earlier writes that a client has not taken is part of CONNECTION_BYTES.
UNCOUNTED_BYTES = 4096
REFUSAL_LINGER_S = 1.0
PROGRESS_INTERVAL_S = 1.0
MIN_BYTES_PER_S = 32_768


def blocked_bytes(transport: Any) -> int:
    """Returns how many bytes a transport of Twisted could not give to the kernel, since the client takes too few."""
    buffer: bytes = getattr(transport, "dataBuffer", b"")
    return len(buffer) - int(getattr(transport, "offset", 0))


def unsent_bytes(transport: Any) -> int:
    """Returns how many bytes written to a transport of Twisted have not been given to the kernel; 0 for others.

    Among them are those that were written in this turn of the reactor, and may be given to it in the next.
    """
    return blocked_bytes(transport) + int(getattr(transport, "_tempDataLen", 0))


class HttpConnection(http.HTTPChannel):
    """One connection of a client; its factory sets `connections`.

    It parses what a client sends only while it handles no request and has sent its responses, and at most a part at a
    time, so that no input keeps the reactor from other clients. What it holds for the client is counted in the memory
    of its server; a request for which there is no room is refused before its body is read.
    """

    MAX_LENGTH = NO_LIMIT
    totalHeadersSize = NO_LIMIT  # noqa: N815 - Twisted's interface
    connections: HttpConnections
    last_contact: object = None
    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self._input = RequestInput()
        self._body_left: int | None = 0
        self._chunk_count = 0
        self._request_count = 0
        self._is_parse_scheduled = False
        self._is_parsing = False
        self._is_refused = False
        self._read_control: ReadControl | None = None
        self._head_timer: Any = None
        self._received_bytes = 0
        self._progress_at_s = 0.0
        self._progress_bytes = 0
        self._last_unsent_bytes = 0
        self._request_cost_factor = 1

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's interface
        """Starts to read requests."""
        memory = self.connections.memory
        self._held = Reservation(memory)
        self._held_request = Reservation(memory)
        if self.timeOut is not None:
            self.timeOut = self.connections.limits().idle_timeout_s  # type: ignore[assignment]  # declared as whole seconds
        super().connectionMade()
        self._read_control = ReadControl(self._networkProducer)
        self._networkProducer = cast(IPushProducer, self._read_control)
        self._progress_at_s = self.now_s()
        self._held.resize(CONNECTION_BYTES)
        self.connections.add(self)
        self._note_contact()

    def now_s(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.connections.memory.now_s()

    def _note_contact(self) -> None:
        if self.connections.observe_contact is not None:
            self.last_contact = self.connections.observe_contact()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802 - Twisted's interface
        """Notifies the requests in progress that the client has disconnected."""
        self._input.clear()
        self._stop_head_timer()
        self._held.release()
        self._held_request.release()
        self.connections.remove(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's interface
        """Receives bytes of requests."""
        self._received_bytes += len(data)
        if self._is_refused:
            return
        self.resetTimeout()
        if not self.requests and not self._input:
            self._progress_at_s = self.now_s()
            self._progress_bytes = self._received_bytes
        if not self._input and self._is_inside_plain_body(len(data)) and self._may_parse():
            self._feed(data)
            return
        self._input.append(data)
        self._parse()
        if self._input or self._held.size > CONNECTION_BYTES:
            self._count_held()

    def _is_inside_plain_body(self, size: int) -> bool:
        return self._is_receiving_body() and self._body_left is not None and size <= self._body_left

    def _is_receiving_body(self) -> bool:
        return not self.line_mode and not self._handlingRequest

    def _may_parse(self) -> bool:
        is_busy = self._handlingRequest or self._waitingForTransport or self._is_parse_scheduled
        return not (is_busy or self._is_refused or self.transport.disconnecting)

    def _parse(self) -> None:
        """Parses input until a request is to be handled, the input is used up, or other clients are to have a turn."""
        if self._is_parsing:
            return
        self._is_parsing = True
        self._chunk_count = self._request_count = 0
        try:
            while self._input and self._may_parse():
                piece = self._next_piece()
                if not piece:
                    break
                self._feed(piece)
                if self._chunk_count >= MAX_CHUNKS_PER_TURN or self._request_count >= MAX_REQUESTS_PER_TURN:
                    self._parse_later()
        finally:
            self._is_parsing = False
        if self._read_control is not None:
            self._read_control.set_queue_full(self._is_parse_scheduled or len(self._input) > MAX_QUEUED_BYTES)

    def _parse_later(self) -> None:
        if not self._is_parse_scheduled:
            self._is_parse_scheduled = True
            self.callLater(0, self._continue_parsing)

    def _continue_parsing(self) -> None:
        self._is_parse_scheduled = False
        if self in self.connections.open:
            self._parse()
            self._count_held()

    def _next_piece(self) -> bytes:
        """Returns the next input to parse; nothing if the head of a request is not complete or is refused."""
        if self._is_receiving_body():
            return self._input.take(CHUNKED_PIECE_BYTES if self._body_left is None else self._body_left)
        size = self._input.head_size()
        if (size or len(self._input)) > self.connections.limits().max_header_bytes + len(HEAD_END):
            self.refuse(HEADERS_TOO_LONG)
            return b""
        if size is None:
            self._start_head_timer()
            return b""
        self._stop_head_timer()
        if not self._held_request.try_resize(size + HEADER_LINE_BYTES * self._input.line_count(size)):
            self.refuse(NO_MEMORY)
            return b""
        return self._input.take(size)

    def _feed(self, piece: bytes) -> None:
        was_receiving_body = self._is_receiving_body()
        if was_receiving_body and self._body_left is not None:
            self._body_left -= len(piece)
        LineReceiver.dataReceived(self, piece)
        if was_receiving_body and self._body_left is None and self._transferDecoder is not None:
            self._transferDecoder._trailerHeaders.clear()  # they are not used, and may be many
        elif not was_receiving_body and self._is_receiving_body():
            self._body_left = self.length

    def _start_head_timer(self) -> None:
        if self._head_timer is None and self.timeOut is not None:
            self._head_timer = self.callLater(self.connections.limits().header_timeout_s, self._head_timed_out)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            timer, self._head_timer = self._head_timer, None
            timer.cancel()

    def _head_timed_out(self) -> None:
        self._head_timer = None
        self.refuse(REQUEST_TIMEOUT)

    def timeoutConnection(self) -> None:  # noqa: N802 - Twisted's interface
        """Closes a connection on which nothing has arrived for a time; refuses a request that is not complete."""
        if self.is_idle() or self._handlingRequest:
            super().timeoutConnection()
        else:
            self.refuse(REQUEST_TIMEOUT)

    def reserve_body(self, length: int | None, cost_factor: int) -> bool:
        """Reserves memory for a body before it is read, in steps if its length is unknown; may refuse the request.

        Each byte costs `cost_factor` bytes, with the copies that are made of it. Returns whether it may be read.
        """
        self._request_cost_factor = cost_factor
        return self._reserve(self._held_request.size, BODY_STEP_BYTES if length is None else length)

    def receive_chunk(self, received: int) -> bool:
        """Notes a part of a body, `received` bytes being its length so far.

        Reserves memory for the next step if its length is unknown; may refuse the request. Returns whether the part may
        be kept.
        """
        if self._body_left is not None:
            return True
        self._chunk_count += 1
        next_step = BODY_STEP_BYTES * (received // BODY_STEP_BYTES + 1)
        cost = min(next_step * self._request_cost_factor, self.connections.memory.max_request_bytes)
        if cost <= self._held_request.size:
            return True
        return self._reserve(0, next_step)

    def _reserve(self, head_cost: int, length: int) -> bool:
        cost = min(head_cost + length * self._request_cost_factor, self.connections.memory.max_request_bytes)
        if self._held_request.try_resize(max(cost, self._held_request.size)):
            return True
        self.refuse(NO_MEMORY)
        return False

    def reserve_parsed(self, size: int) -> bool:
        """Reserves `size` more bytes for what is parsed from a body; refuses the request, also if it is too large."""
        if size > self.connections.memory.max_request_bytes:
            self.refuse(TOO_MANY_VALUES)
        elif not self._held_request.try_resize(self._held_request.size + size):
            self.refuse(NO_MEMORY)
        return not self._is_refused

    @property
    def request_target(self) -> bytes:
        """The target of the request that is being received."""
        target: Any = self._path
        return bytes(target)

    def has_room_for_response(self, size: int) -> bool:
        """Returns whether a response of `size` bytes may be written, which the client may not read at once."""
        return size < LARGE_WRITE_BYTES or self.connections.memory.make_room(size, size)

    def take_reservation(self) -> Reservation:
        """Returns the reservation of the request that was received last; its owner releases it."""
        reservation, self._held_request = self._held_request, Reservation(self.connections.memory)
        return reservation

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request that is being received; the client has a short time to read the response."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_head_timer()
        self.setTimeout(None)
        self._input.clear()
        for request in self.requests:
            request.content = BytesIO()
        self._held_request.release()
        self._count_unsent()
        self.connections.refused[refusal.code] += 1
        self.transport.write(refusal_response(refusal, self.connections.refusal_format(refusal)))
        if self._read_control is not None:
            self._read_control.set_queue_full(False)
        self.callLater(REFUSAL_LINGER_S, self._end_refused)

    def _end_refused(self) -> None:
        if self in self.connections.open:
            self.loseConnection()
            self.callLater(REFUSAL_LINGER_S, self._abort_if_open)

    def _abort_if_open(self) -> None:
        if self in self.connections.open:
            self.abort()

    def _send100Continue(self) -> None:  # noqa: N802 - Twisted's interface
        if not self._is_refused:
            super()._send100Continue()

    def allContentReceived(self) -> None:  # noqa: N802 - Twisted's interface
        """Handles a request that was received completely."""
        if not self._is_refused:
            self._request_count += 1
            super().allContentReceived()

    def _finishRequestBody(self, data: bytes) -> None:  # noqa: N802 - Twisted's interface
        """Ends the body of a request; `data` follows it, and is parsed after the response."""
        self._input.prepend(data)
        self.allContentReceived()

    def _count_held(self) -> None:
        """Counts input and responses; closes the connection if there is no room for its input."""
        size = CONNECTION_BYTES + len(self._input) + unsent_bytes(self.transport)
        if self._is_refused or self._held.try_resize(size):
            return
        if self._handlingRequest:
            self.abort()
        else:
            self.refuse(NO_MEMORY)

    def is_slow(self, now_s: float) -> bool:
        """Returns whether little has been exchanged since the last call, with a client that is to send or to read."""
        self._count_unsent()
        elapsed_s = now_s - self._progress_at_s
        if elapsed_s < PROGRESS_INTERVAL_S:
            return False
        unsent = unsent_bytes(self.transport)
        received = self._received_bytes - self._progress_bytes
        sent = abs(self._last_unsent_bytes - unsent)
        self._progress_at_s, self._progress_bytes = now_s, self._received_bytes
        self._last_unsent_bytes = unsent
        is_waiting_for_client = not self._handlingRequest or blocked_bytes(self.transport) > 0
        return is_waiting_for_client and received + sent < MIN_BYTES_PER_S * elapsed_s

    def evict(self) -> None:
        """Ends the connection: refuses a request that is being received, and cuts off a response that is not read."""
        if self.is_idle():
            self.loseConnection()
        elif self._handlingRequest or self._is_refused or unsent_bytes(self.transport):
            self.abort()
        else:
            self.refuse(NO_MEMORY)

    def may_give_way(self, now_s: float) -> bool:
        """Returns whether a new connection may take the place of this one."""
        return self._is_refused or self.is_idle() or self.is_slow(now_s)

    def drop(self) -> None:
        """Ends the connection in favour of another one, without a response."""
        if self.is_idle():
            self.loseConnection()
        else:
            self.abort()

    def _count_unsent(self) -> None:
        self._held.resize(CONNECTION_BYTES + len(self._input) + unsent_bytes(self.transport))

    def write(self, data: bytes) -> None:
        """Writes a part of a response."""
        self._count_earlier_writes()
        super().write(data)

    def writeSequence(self, iovec: Iterable[bytes]) -> None:  # noqa: N802 - Twisted's interface
        """Writes a part of a response in several pieces."""
        self._count_earlier_writes()
        super().writeSequence(iovec)

    def _count_earlier_writes(self) -> None:
        if unsent_bytes(self.transport) > UNCOUNTED_BYTES:
            self._count_unsent()

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Pauses what writes responses, since the client does not read them."""
        self._count_unsent()
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Goes on once all that was written has been sent."""
        super().resumeProducing()
        self._count_unsent()
        if self._input:
            self._parse_later()

    def writeHeaders(  # noqa: N802 - Twisted's interface
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Writes the head of a response; it may announce that the connection closes after the response.

        It does not do so while a further request has arrived, which a client would take for one that was not handled.
        """
        if self.connections.phase >= ServerPhase.ANNOUNCING and not self._has_further_input():
            self.persistent = 0
            headers.setRawHeaders(b"Connection", [b"close"])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request: http.Request) -> None:  # noqa: N802 - Twisted's interface
        """Ends a request whose response is complete, and goes on with the next one, if it has arrived."""
        self._note_contact()
        self._held_request.release()
        super().requestDone(request)
        if unsent_bytes(self.transport) > UNCOUNTED_BYTES:
            self._count_unsent()
        if self._input:
            self._parse()
        if self.connections.phase >= ServerPhase.CLOSING:
            self.close_when_idle()

    def is_idle(self) -> bool:
        """Returns whether no part of a request without a complete response has been received."""
        return not self.requests and not self._handlingRequest and not self._has_further_input()

    def _has_further_input(self) -> bool:
        return bool(self._input) or bool(self._buffer) or any(self._dataBuffer)

    def close_when_idle(self) -> None:
        """Closes the connection if it still has no request after the reactor has read what had arrived by now."""
        self.callLater(YIELD_DELAY.total_seconds(), self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self in self.connections.open and self.is_idle():
            self.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once; what was written and not yet sent is lost."""
        self.transport.abortConnection()
