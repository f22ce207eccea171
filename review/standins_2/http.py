"""A small HTTP/1.1 client and the parsing that clients and engines share; only the standard library is used."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Headers = dict[str, str]
MAX_LINE_BYTES = 1 << 20


@dataclass
class Message:
    """A request or response: its first line, its headers with names in lower case, and its body."""

    start: str
    headers: Headers
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the first line and the headers of a message; returns None where the connection ends before them."""
    start = await reader.readline()
    if not start.endswith(b"\n"):
        return None
    headers: Headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line.endswith(b"\n"):
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start.decode("latin-1").strip(), headers)


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Reads a chunked body; returns it, and whether it was complete."""
    body = b""
    try:
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return body, False
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message, and sets whether it was complete."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body, message.complete = await read_chunks(reader)
        return
    length = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.body = getattr(error, "partial", b"")
        message.complete = False


@dataclass
class Answer:
    """What a client saw of one try: `status` is 0 where no head of a response came."""

    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


class Connection:
    """One connection of a client, for one request at a time."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=MAX_LINE_BYTES)

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Answer:
        """Sends a request and returns the response, as far as it came."""
        answer = Answer()
        try:
            if self.writer is None or self.reader is None:
                await self.open()
            assert self.writer is not None
            assert self.reader is not None
            lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
            if body or method in ("POST", "PUT", "PATCH"):
                lines.append(f"Content-Length: {len(body)}")
            self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                answer.error = "closed before a response"
                return answer
            answer.status, answer.headers = head.status, head.headers
            await read_body(self.reader, head)
            answer.body, answer.complete = head.body, head.complete
            if not head.complete:
                answer.error = "closed within the response"
        except OSError as error:
            answer.error = f"{type(error).__name__}: {error}"
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = self.reader = None


async def ask_once(
    address: str, method: str, target: str, headers: Headers, body: bytes = b"", *, timeout: float = 5.0
) -> Answer:
    """Sends one request on a connection of its own, and gives it up after `timeout` seconds."""
    connection = Connection(address)
    try:
        return await asyncio.wait_for(connection.ask(method, target, headers, body), timeout)
    except TimeoutError:
        return Answer(error="no response in time")
    finally:
        connection.close()
