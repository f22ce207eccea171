"""HTTP/1.1 messages on asyncio streams, as the stand-ins of clients and engines send and read them."""

from __future__ import annotations

import asyncio
import re

import attrs

__all__ = [
    "Headers",
    "MalformedHeadError",
    "MessageHead",
    "encode_head",
    "read_chunk",
    "read_head",
    "read_request_body",
]

Headers = dict[str, str]

STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5]\d\d)(?: |$)", re.ASCII)
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~\w-]+", re.ASCII)


class MalformedHeadError(ValueError):
    """The bytes where a head should be are none."""


@attrs.define
class MessageHead:
    """The first line of a message and its headers, with names in lower case."""

    start_line: str
    headers: Headers

    @property
    def status(self) -> int:
        """The status code of a response. Raises MalformedHeadError."""
        match = STATUS_LINE.match(self.start_line)
        if match is None:
            raise MalformedHeadError(self.start_line)
        return int(match[1])

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    @property
    def body_length(self) -> int:
        """The length of the body in bytes, if it is not chunked."""
        return int(self.headers.get("content-length", "0"))


def encode_head(start_line: str, headers: Headers) -> bytes:
    """Returns the head of a message."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


async def read_head(reader: asyncio.StreamReader) -> MessageHead | None:
    """Returns the head of the next message, or None if the connection ends before it is complete.

    Raises MalformedHeadError if a header has no valid name.
    """
    start_line = await reader.readline()
    if not start_line.endswith(b"\n"):
        return None
    headers: Headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line.endswith(b"\n"):
            return None
        name, _, value = line.decode("latin-1").partition(":")
        if not HEADER_NAME.fullmatch(name):
            raise MalformedHeadError(line.decode("latin-1"))
        headers[name.lower()] = value.strip()
    return MessageHead(start_line.decode("latin-1").strip(), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk of a body; the last one is empty. Raises IncompleteReadError if the connection ends."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    data = await reader.readexactly(int(line.split(b";")[0], 16) + 2)
    return data[:-2]


async def read_request_body(reader: asyncio.StreamReader, head: MessageHead) -> bytes:
    """Returns the whole body of a request. Raises IncompleteReadError if the connection ends."""
    if not head.is_chunked:
        return await reader.readexactly(head.body_length)
    body = b""
    while chunk := await read_chunk(reader):
        body += chunk
    return body
