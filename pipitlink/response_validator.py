"""Strict checks of the bytes of HTTP/1.1 responses, which every reader of responses makes before it parses them.

Parsers accept much that RFC 9112 forbids, and take such responses for something else than their sender meant: another
status, a body of another length, or a field less. What breaks the grammar is no response and must not be used at all.
"""

from __future__ import annotations

import re
from collections.abc import Callable
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


class ResponseValidator:
    """Checks one response, with the interim responses before it, against the grammar of RFC 9112 as its bytes arrive.

    Beyond the grammar, it rejects what makes the end of the body ambiguous: a length together with a coding, codings
    other than `chunked`, which no request offers, and announced bodies of responses that have none. Statuses outside
    100 to 599 are invalid (RFC 9110, section 15). Bytes after the response, and bodies that are not chunked, are not
    looked at. `method` is that of the request.
    """

    def __init__(self, method: bytes) -> None:
        self._method = method
        self._line = b""
        self._chunk_bytes_left = 0
        self._begin_head()

    def _begin_head(self) -> None:
        self._status = 0
        self._minor_version = 0
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []
        self._expect(self._check_status_line)

    def _expect(self, check_line: Callable[[bytes], None] | None, max_bytes: int = MAX_LINE_BYTES) -> None:
        """Sets the check of the next line, without its end, which sets that of the line after it; None for no more."""
        self._check_line = check_line
        self._max_line_bytes = max_bytes

    @property
    def needs_more(self) -> bool:
        """Whether the response would be cut short if no more bytes came, as far as can be told without its length."""
        return self._check_line is not None

    def receive(self, data: bytes) -> None:
        """Checks the next bytes. Raises MalformedResponse; the response, and its connection, are useless then."""
        position = 0
        while position < len(data) and self._check_line is not None:
            if self._chunk_bytes_left:
                skipped = min(len(data) - position, self._chunk_bytes_left)
                self._chunk_bytes_left -= skipped
                position += skipped
            else:
                position = self._receive_line(data, position, self._check_line)

    def _receive_line(self, data: bytes, start: int, check_line: Callable[[bytes], None]) -> int:
        """Checks the line that begins or goes on at `start`, if it is complete; returns the position after it."""
        end = data.find(b"\n", start) + 1
        line = self._line + data[start : end or len(data)]
        if len(line) > self._max_line_bytes or (not end and len(line) == self._max_line_bytes):
            raise MalformedResponse(f"a line of more than {self._max_line_bytes} bytes: {_quoted(line)}")
        if not end:
            self._line = line
            return len(data)
        self._line = b""
        if not line.endswith(CRLF):
            raise MalformedResponse(f"a line that does not end with CRLF: {_quoted(line)}")
        check_line(line[: -len(CRLF)])
        return end

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponse(f"not a status line: {_quoted(line)}")
        self._minor_version, self._status = int(match[1]), int(match[2])
        self._expect(self._check_field_line)

    def _check_field_line(self, line: bytes) -> None:
        if not line:
            self._end_head()
            return
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponse(f"not a field line: {_quoted(line)}")
        name = match[1].lower()
        if name == b"content-length":
            self._lengths += _list_elements(match[2])
        elif name == b"transfer-encoding":
            self._codings += _list_elements(match[2])

    def _end_head(self) -> None:
        """Checks how the body is framed, and decides what comes next."""
        self._check_lengths()
        self._check_codings()
        if self._status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise MalformedResponse("a change to another protocol, which was not requested")
        is_interim = self._status < HTTPStatus.OK
        if is_interim or self._status == HTTPStatus.NO_CONTENT:
            self._check_has_no_body()
        if is_interim:
            self._begin_head()
            return
        has_body = self._method != b"HEAD" and self._status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        self._expect(self._check_chunk_size if self._codings and has_body else None)

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
        if self._chunk_bytes_left:
            self._expect(self._check_chunk_end, max_bytes=len(CRLF))
        else:
            self._expect(self._check_trailer)

    def _check_chunk_end(self, line: bytes) -> None:
        """Gets the empty rest of a line that has no room for more than its end."""
        assert not line
        self._expect(self._check_chunk_size)

    def _check_trailer(self, line: bytes) -> None:
        if not line:
            self._expect(None)
        elif _FIELD_LINE.fullmatch(line) is None:
            raise MalformedResponse(f"not a field line of the trailers: {_quoted(line)}")


def _list_elements(value: bytes) -> list[bytes]:
    return [element.strip(b" \t") for element in value.split(b",")]


def _quoted(line: bytes) -> str:
    return repr(line[:MAX_QUOTED_BYTES])
