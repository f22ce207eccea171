"""A client's connection to a gateway, on which exchanges are recorded."""

from __future__ import annotations

import asyncio
import itertools
import socket

import attrs

from .http_messages import Headers, MalformedHeadError, MessageHead, encode_head, read_chunk, read_head
from .record import Exchange, RouteKind, now

__all__ = ["ClientConnection", "exchange_once", "fetch_once"]

CONNECT_TIMEOUT_S = 1.0
# How long after its deadline a client still waits for the rest of a response.
DEADLINE_GRACE_S = 0.5
READ_BYTES = 65_536
SLOW_READ_BYTES = 65_536
SLOW_READ_PAUSE_S = 0.05
SLOW_RECEIVE_BUFFER_BYTES = 16_384

_numbers = itertools.count(1)


@attrs.define(eq=False)
class ClientConnection:
    """One connection of a client.

    `is_reusable` tells whether it may carry another request. With `reads_slowly`, bodies are read in parts with pauses.
    The last byte of a request is sent `pause_in_request_s` after the others.
    """

    address: str
    reads_slowly: bool = False
    pause_in_request_s: float = 0.0
    number: int = attrs.field(factory=lambda: next(_numbers))
    is_reusable: bool = False
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects. Raises OSError or TimeoutError."""
        host, _, port = self.address.rpartition(":")
        connecting = socket.socket()
        connecting.setblocking(False)
        if self.reads_slowly:
            connecting.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.sock_connect(connecting, (host, int(port))), CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            connecting.close()
            raise
        limit = SLOW_READ_BYTES if self.reads_slowly else READ_BYTES
        self._reader, self._writer = await asyncio.open_connection(sock=connecting, limit=limit)
        self.is_reusable = True

    def close(self) -> None:
        """Closes the connection."""
        self.is_reusable = False
        if self._writer is not None:
            self._writer.transport.abort()

    def has_ended(self) -> bool:
        """Returns whether the gateway has closed the connection."""
        return self._reader is None or self._reader.at_eof() or self._reader.exception() is not None

    def unasked_bytes(self) -> bytes:
        """Returns the bytes that came while no request was waiting."""
        return bytes(getattr(self._reader, "_buffer", b""))

    async def exchange(self, exchange: Exchange, method: str, headers: Headers) -> None:
        """Sends a request and reads its response, as far as it comes; records both."""
        await self.send(exchange, method, headers)
        await self.receive(exchange)

    async def send(self, exchange: Exchange, method: str, headers: Headers) -> None:
        """Sends a request; `sent_at` of the exchange is set once that is done."""
        assert self._writer is not None
        exchange.connection = self.number
        head = encode_head(f"{method} {exchange.path} HTTP/1.1", {**headers, "Content-Length": str(len(exchange.body))})
        message = head + exchange.body
        try:
            if self.pause_in_request_s:
                self._writer.write(message[:-1])
                await asyncio.sleep(self.pause_in_request_s)
                message = message[-1:]
            self._writer.write(message)
            exchange.sent_at = now()
        except OSError as error:
            exchange.error = repr(error)

    async def receive(self, exchange: Exchange) -> None:
        """Reads the response of the exchange that was sent first, as far as it comes."""
        try:
            await asyncio.wait_for(self._read_response(exchange), exchange.deadline_s + DEADLINE_GRACE_S)
        except TimeoutError:
            exchange.gave_up = True
        except MalformedHeadError as error:
            exchange.is_malformed, exchange.error = True, repr(error)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            exchange.error = repr(error)
        exchange.ended_at = now()
        if not exchange.is_complete or exchange.announces_close:
            self.is_reusable = False

    async def _read_response(self, exchange: Exchange) -> None:
        assert self._reader is not None
        head = await read_head(self._reader)
        if head is None:
            exchange.error = "closed without a response"
            return
        exchange.head_at = now()
        exchange.status, exchange.headers = head.status, head.headers
        await self._read_body(exchange, head)
        exchange.is_complete = True

    async def _read_body(self, exchange: Exchange, head: MessageHead) -> None:
        assert self._reader is not None
        if head.is_chunked:
            while chunk := await read_chunk(self._reader):
                exchange.response += chunk
            return
        parts: list[bytes] = []
        left = head.body_length
        try:
            while left:
                part = await self._reader.read(min(left, SLOW_READ_BYTES))
                if not part:
                    raise asyncio.IncompleteReadError(b"", left)
                parts.append(part)
                left -= len(part)
                if self.reads_slowly:
                    await asyncio.sleep(SLOW_READ_PAUSE_S)
        finally:
            exchange.response = b"".join(parts)


async def exchange_once(address: str, method: str, path: str, headers: Headers, body: bytes, timeout_s: float) -> int:
    """Sends one request on a connection of its own; returns the status, or 0 if no whole response came in time."""
    status, _ = await fetch_once(address, method, path, headers, body, timeout_s)
    return status


async def fetch_once(
    address: str, method: str, path: str, headers: Headers, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Sends one request on a connection of its own; returns status and body, or 0 if no whole response came in time."""
    exchange = Exchange("", address, "", RouteKind.IDEMPOTENT, path, body, timeout_s)
    connection = ClientConnection(address)
    try:
        await connection.open()
        await connection.exchange(exchange, method, {"Host": address, **headers})
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        connection.close()
    return (exchange.status, exchange.response) if exchange.is_complete else (0, b"")
