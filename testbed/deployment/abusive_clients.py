"""Clients that use up a server's memory and connections within the limits on a single request, or just beyond them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Iterator
from enum import StrEnum

import attrs

from .http_messages import Headers, encode_head

__all__ = ["AbuseKind", "AbuseTarget", "AbusiveClient"]

CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 65_536
PIECE_PAUSE_S = 0.002
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 48
TINY_CHUNK_BYTES = 1
HEAD_LINE_BYTES = 40
SHORT_LINE = b"a:\r\n"
TRAILER_LINE = b"a:\r\n"
TRAILER_BYTES = 60_000
QUEUED_BYTES = 60_000
PIPELINED_REQUESTS = 60

_numbers = itertools.count(1)


class AbuseKind(StrEnum):
    """What a client does; each but the first two stays just short of the end and keeps its connection open."""

    IDLE = "idle"
    WHOLE_BODY = "whole_body"
    UNFINISHED_BODY = "unfinished_body"
    UNFINISHED_LARGE_CHUNKS = "unfinished_large_chunks"
    UNFINISHED_SMALL_CHUNKS = "unfinished_small_chunks"
    UNFINISHED_TINY_CHUNKS = "unfinished_tiny_chunks"
    UNFINISHED_TRAILERS = "unfinished_trailers"
    UNFINISHED_HEAD = "unfinished_head"
    UNFINISHED_SHORT_LINES = "unfinished_short_lines"
    QUEUED_INPUT = "queued_input"
    UNREAD_RESPONSES = "unread_responses"
    RAW_INPUT = "raw_input"


@attrs.frozen
class AbuseTarget:
    """The request that a client abuses; `body` has the largest allowed size, and a head `head_bytes`.

    `queued_bytes` follow a request whose response is not complete.
    """

    address: str
    method: str
    path: str
    headers: Headers
    body: bytes = b""
    head_bytes: int = 0
    id_header: str = ""
    queued_bytes: int = QUEUED_BYTES

    def head(self, headers: Headers) -> bytes:
        """Returns the head of a request with an id of its own."""
        own = {self.id_header: f"abuse-{next(_numbers)}"} if self.id_header else {}
        return encode_head(f"{self.method} {self.path} HTTP/1.1", {**self.headers, **own, **headers})


def _pieces(data: bytes, size: int) -> Iterator[bytes]:
    return (data[start : start + size] for start in range(0, len(data), size))


def _chunks(body: bytes, size: int) -> Iterator[bytes]:
    """Yields a body in chunks, each yielded piece being at least PIECE_BYTES long."""
    piece = bytearray()
    for part in _pieces(body, size):
        piece += b"%x\r\n%b\r\n" % (len(part), part)
        if len(piece) >= PIECE_BYTES:
            yield bytes(piece)
            piece.clear()
    yield bytes(piece)


@attrs.define(eq=False)
class AbusiveClient:
    """One client with one connection. `status` is that of the first response, 0 if none came before the end."""

    kind: AbuseKind
    target: AbuseTarget
    status: int = 0
    has_ended: bool = False
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _reading: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Connects and sends what its kind sends, as far as the server takes it; the connection stays open."""
        host, _, port = self.target.address.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            opening = asyncio.open_connection(host, int(port))
            self._reader, self._writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
            if self.kind != AbuseKind.UNREAD_RESPONSES:
                self._reading = asyncio.create_task(self._read(self._reader))
            for piece in self._input():
                if self.has_ended:
                    return
                self._writer.write(piece)
                await self._writer.drain()
                if self._is_sent_in_pieces():
                    await asyncio.sleep(PIECE_PAUSE_S)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError):
            line = await reader.readline()
            if line:
                self.status = int(line.split(b" ")[1])
            while await reader.read(PIECE_BYTES):
                pass
        self.has_ended = True

    def _is_sent_in_pieces(self) -> bool:
        return self.kind == AbuseKind.UNFINISHED_BODY

    def _input(self) -> Iterator[bytes]:
        target = self.target
        chunked = {"Transfer-Encoding": "chunked"}
        length = {"Content-Length": str(len(target.body))}
        match self.kind:
            case AbuseKind.IDLE:
                return
            case AbuseKind.WHOLE_BODY:
                yield target.head(length) + target.body
            case AbuseKind.UNFINISHED_BODY:
                yield target.head(length)
                yield from _pieces(target.body[:-1], PIECE_BYTES)
            case AbuseKind.UNFINISHED_LARGE_CHUNKS:
                yield target.head(chunked)
                yield from _chunks(target.body, LARGE_CHUNK_BYTES)
            case AbuseKind.UNFINISHED_SMALL_CHUNKS:
                yield target.head(chunked)
                yield from _chunks(target.body, SMALL_CHUNK_BYTES)
            case AbuseKind.UNFINISHED_TINY_CHUNKS:
                yield target.head(chunked)
                yield from _chunks(target.body, TINY_CHUNK_BYTES)
            case AbuseKind.UNFINISHED_TRAILERS:
                yield target.head(chunked) + b"0\r\n" + TRAILER_LINE * (TRAILER_BYTES // len(TRAILER_LINE))
            case AbuseKind.UNFINISHED_HEAD:
                head = target.head({})[:-2]
                lines = (target.head_bytes - len(head)) // HEAD_LINE_BYTES
                yield head + b"".join(b"x-%08d: %b\r\n" % (number, b"v" * 26) for number in range(lines))
            case AbuseKind.UNFINISHED_SHORT_LINES:
                head = target.head({})[:-2]
                yield head + SHORT_LINE * ((target.head_bytes - len(head)) // len(SHORT_LINE))
            case AbuseKind.QUEUED_INPUT:
                yield target.head(length) + target.body
                yield b"x" * target.queued_bytes
            case AbuseKind.UNREAD_RESPONSES:
                yield b"".join(target.head({}) for _ in range(PIPELINED_REQUESTS))
            case AbuseKind.RAW_INPUT:
                yield from _pieces(target.body, PIECE_BYTES)

    def close(self) -> None:
        """Cuts the connection."""
        self.has_ended = True
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.transport.abort()
