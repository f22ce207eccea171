"""Strict checks of the bytes of HTTP/1.1 responses, which every reader of responses makes before it parses them.

Parsers accept much that RFC 9112 forbids, and take such responses for something else than their sender meant: another
status, a body of another length, or a field less. What breaks the grammar is no response and must not be used at all.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from http import HTTPStatus

from .errors import MalformedResponse

__all__ = ["ResponseValidator"]

MAX_LINE_BYTES = 16_384
CRLF = b"\r\n"
MAX_QUOTED_BYTES = 100

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_QUOTED_STRING = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9][0-9]) " + _TEXT)
_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")")
_CHUNK_EXTENSION = rb"[\t ]*;[\t ]*%b(?:[\t ]*=[\t ]*(?:%b|%b))?" % (_TOKEN, _TOKEN, _QUOTED_STRING)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)(?:" + _CHUNK_EXTENSION + rb")*")


class _Part(Enum):
    """The part of a response to which the next byte belongs; `REST` is not checked."""

    STATUS_LINE = auto()
    FIELDS = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    REST = auto()


class ResponseValidator:
    """Checks one response, with the interim responses before it, against the grammar of RFC 9112 as its bytes arrive.

    Beyond the grammar, it rejects what makes the end of the body ambiguous: a length together with a coding, codings
    other than `chunked`, which no request offers, and announced bodies of responses that have none. Statuses outside
    100 to 599 are invalid (RFC 9110, section 15). Bytes after the response, and bodies that are not chunked, are not
    looked at. `method` is that of the request.
    """

    def __init__(self, method: bytes) -> None:
        self._method = method
        self._part = _Part.STATUS_LINE
        self._line = bytearray()
        self._chunk_bytes_left = 0
        self._begin_head()

    def _begin_head(self) -> None:
        self._status = 0
        self._minor_version = 0
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []

    @property
    def needs_more(self) -> bool:
        """Whether the response would be cut short if no more bytes came, as far as can be told without its length."""
        return self._part is not _Part.REST

    def receive(self, data: bytes) -> None:
        """Checks the next bytes. Raises MalformedResponse; the response, and its connection, are useless then."""
        position = 0
        while position < len(data) and self._part is not _Part.REST:
            if self._part is _Part.CHUNK_DATA:
                position += self._skip_chunk_data(len(data) - position)
            elif self._part is _Part.CHUNK_END:
                position += self._receive_chunk_end(data[position : position + len(CRLF)])
            else:
                position = self._receive_line(data, position)

    def _skip_chunk_data(self, size: int) -> int:
        """Returns how many of the next `size` bytes belong to the chunk."""
        skipped = min(size, self._chunk_bytes_left)
        self._chunk_bytes_left -= skipped
        if not self._chunk_bytes_left:
            self._part = _Part.CHUNK_END
        return skipped

    def _receive_chunk_end(self, data: bytes) -> int:
        """Checks the next bytes of the CRLF after a chunk; returns how many of them belong to it."""
        received = len(self._line)
        self._line += data[: len(CRLF) - received]
        if not CRLF.startswith(self._line):
            raise MalformedResponse(f"a chunk is not followed by CRLF: {_quoted(self._line)}")
        taken = len(self._line) - received
        if len(self._line) == len(CRLF):
            self._line = bytearray()
            self._part = _Part.CHUNK_SIZE
        return taken

    def _receive_line(self, data: bytes, start: int) -> int:
        """Checks the line that begins or goes on at `start`, if it is complete; returns the position after it."""
        end = data.find(b"\n", start) + 1
        self._line += data[start : end or len(data)]
        if len(self._line) > MAX_LINE_BYTES:
            raise MalformedResponse(f"a line of more than {MAX_LINE_BYTES} bytes: {_quoted(self._line)}")
        if not end:
            return len(data)
        line, self._line = bytes(self._line), bytearray()
        if not line.endswith(CRLF):
            raise MalformedResponse(f"a line that does not end with CRLF: {_quoted(line)}")
        self._check_line(line[: -len(CRLF)])
        return end

    def _check_line(self, line: bytes) -> None:
        if self._part is _Part.STATUS_LINE:
            self._check_status_line(line)
        elif self._part is _Part.CHUNK_SIZE:
            self._check_chunk_size(line)
        elif line:
            self._check_field_line(line)
        elif self._part is _Part.FIELDS:
            self._end_head()
        else:
            self._part = _Part.REST

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponse(f"not a status line: {_quoted(line)}")
        self._minor_version, self._status = int(match[1]), int(match[2])
        self._part = _Part.FIELDS

    def _check_field_line(self, line: bytes) -> None:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponse(f"not a field line: {_quoted(line)}")
        if self._part is _Part.TRAILERS:
            return
        name = match[1].lower()
        if name == b"content-length":
            self._lengths += _list_elements(match[2])
        elif name == b"transfer-encoding":
            self._codings += _list_elements(match[2])

    def _end_head(self) -> None:
        """Checks how the body is framed, and decides which part comes next."""
        self._check_lengths()
        self._check_codings()
        if self._status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise MalformedResponse("a change to another protocol, which was not requested")
        if self._status < HTTPStatus.OK:
            self._check_has_no_body()
            self._begin_head()
            self._part = _Part.STATUS_LINE
            return
        if self._status == HTTPStatus.NO_CONTENT:
            self._check_has_no_body()
        has_body = self._method != b"HEAD" and self._status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        self._part = _Part.CHUNK_SIZE if self._codings and has_body else _Part.REST

    def _check_lengths(self) -> None:
        if not all(length.isdigit() for length in self._lengths):
            raise MalformedResponse(f"invalid length of the body: {_quoted(b', '.join(self._lengths))}")
        if len({length.lstrip(b"0") for length in self._lengths}) > 1:
            raise MalformedResponse(f"contradictory lengths of the body: {_quoted(b', '.join(self._lengths))}")

    def _check_codings(self) -> None:
        if not self._codings:
            return
        if [coding.lower() for coding in self._codings] != [b"chunked"]:
            raise MalformedResponse(f"invalid transfer coding: {_quoted(b', '.join(self._codings))}")
        if self._lengths:
            raise MalformedResponse("both a length and a transfer coding of the body")
        if not self._minor_version:
            raise MalformedResponse("a transfer coding in a response of HTTP/1.0")

    def _check_has_no_body(self) -> None:
        if self._codings or any(length.strip(b"0") for length in self._lengths):
            raise MalformedResponse(f"a body is announced, which a response with status {self._status} cannot have")

    def _check_chunk_size(self, line: bytes) -> None:
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise MalformedResponse(f"not the size of a chunk: {_quoted(line)}")
        self._chunk_bytes_left = int(match[1], 16)
        self._part = _Part.CHUNK_DATA if self._chunk_bytes_left else _Part.TRAILERS


def _list_elements(value: bytes) -> list[bytes]:
    return [element.strip(b" \t") for element in value.split(b",")]


def _quoted(line: bytes | bytearray) -> str:
    return repr(bytes(line[:MAX_QUOTED_BYTES]))
