"""Responses for stand-in engines to send: some that RFC 9112 forbids and parsers often take, and unusual sound ones.

A case is a template: `<fields>` stands for the fields of the engine, each with its CRLF, `<length>` for the length of
the body, `<body>` for the body, and `<chunk>` for the body as one chunk.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

__all__ = [
    "CUT",
    "MALFORMED_CHUNKS",
    "MALFORMED_HEADS",
    "REFUSED_STATUSES",
    "SOUND",
    "ResponseCase",
    "malformed_refusal",
    "pieces_of",
]

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REFUSED_STATUSES = (408, 421, 429, 503)
TCHAR = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
LONG_VALUE_BYTES = 8000
PIECES = 100


@attrs.frozen
class ResponseCase:
    """One response, by what is special about it."""

    name: str
    template: bytes

    def encode(self, fields: Mapping[str, str], body: bytes) -> bytes:
        """Returns the bytes of the response."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode()
        chunk = b"%x\r\n%b\r\n" % (len(body), body)
        parts = {b"<fields>": lines, b"<length>": b"%d" % len(body), b"<chunk>": chunk, b"<body>": body}
        encoded = self.template
        for marker, content in parts.items():
            encoded = encoded.replace(marker, content)
        return encoded


def _start(line: bytes) -> bytes:
    """Returns a response that begins with a line, which has its own end."""
    return line + b"<fields>Content-Length: <length>\r\n\r\n<body>"


def _field(line: bytes) -> bytes:
    """Returns a response with one more field line between its own."""
    return STATUS_LINE + b"<fields>" + line + b"\r\nContent-Length: <length>\r\n\r\n<body>"


def _framing(lines: bytes, body: bytes = b"<body>", status_line: bytes = STATUS_LINE) -> bytes:
    """Returns a response whose body is framed by the given field lines."""
    return status_line + b"<fields>" + lines + b"\r\n\r\n" + body


def _chunks(body: bytes) -> bytes:
    return _framing(b"Transfer-Encoding: chunked", body)


def _cases(templates: Mapping[str, bytes]) -> tuple[ResponseCase, ...]:
    return tuple(ResponseCase(name, template) for name, template in templates.items())


def _named(prefix: str, lines: Iterable[bytes]) -> dict[str, bytes]:
    return {f"{prefix} {line!r}": line for line in lines}


_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK\r\n",
    "status 099": b"HTTP/1.1 099 OK\r\n",
    "status 600": b"HTTP/1.1 600 OK\r\n",
    "status 999": b"HTTP/1.1 999 OK\r\n",
    "a status of two digits": b"HTTP/1.1 20 OK\r\n",
    "a status of four digits": b"HTTP/1.1 0200 OK\r\n",
    "a status with a plus": b"HTTP/1.1 +200 OK\r\n",
    "a negative status": b"HTTP/1.1 -200 OK\r\n",
    "a status with an underscore": b"HTTP/1.1 2_00 OK\r\n",
    "no status": b"HTTP/1.1 OK\r\n",
    "two blanks before the status": b"HTTP/1.1  200 OK\r\n",
    "a tab before the status": b"HTTP/1.1\t200 OK\r\n",
    "a tab after the status": b"HTTP/1.1 200\tOK\r\n",
    "no blank after the status": b"HTTP/1.1 200\r\n",
    "a control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n",
    "a NUL in the reason": b"HTTP/1.1 200 O\x00K\r\n",
    "a DEL in the reason": b"HTTP/1.1 200 O\x7fK\r\n",
    "a CR in the reason": b"HTTP/1.1 200 O\rK\r\n",
    "a blank before the status line": b" HTTP/1.1 200 OK\r\n",
    "an empty line before the status line": b"\r\nHTTP/1.1 200 OK\r\n",
    "a status line that ends with LF": b"HTTP/1.1 200 OK\n",
    "a status line that ends with two CR": b"HTTP/1.1 200 OK\r\r\n",
    "a request line": b"GET / HTTP/1.1\r\n",
}
_VERSIONS = _named(
    "version",
    (
        b"HTTP/2.0",
        b"HTTP/0.9",
        b"HTTP/0.0",
        b"HTTP/1.10",
        b"HTTP/01.1",
        b"HTTP/1.1.1",
        b"HTTP/+1.1",
        b"HTTP/1.+1",
        b"HTTP/1",
        b"HTTP/11",
        b"HTTP /1.1",
        b"http/1.1",
        b"XTTP/1.1",
        b"/1.1",
        b"ICY",
    ),
)
_FIELDS = {
    "a blank in a name": b"X Own: 1",
    "a blank before the colon": b"X-Own : 1",
    "a tab before the colon": b"X-Own\t: 1",
    "a tab in a name": b"X\tOwn: 1",
    "a control byte in a name": b"X\x01Own: 1",
    "a control byte before the colon": b"X-Own\x1f: 1",
    "a NUL in a name": b"X\x00Own: 1",
    "a DEL in a name": b"X\x7fOwn: 1",
    "a CR in a name": b"X\rOwn: 1",
    "a byte above 127 in a name": b"X-\xe9: 1",
    "a delimiter in a name": b"X(Own): 1",
    "a name in quotes": b'"X-Own": 1',
    "no name": b": 1",
    "no colon": b"X-Own",
    "a second status line": b"HTTP/1.1 200 OK",
    "a folded value": b"X-Own: 1\r\n 2",
    "a value folded by a tab": b"X-Own: 1\r\n\t2",
    "a NUL in a value": b"X-Own: 1\x002",
    "a control byte in a value": b"X-Own: 1\x022",
    "an escape in a value": b"X-Own: \x1b[0m",
    "a DEL in a value": b"X-Own: 1\x7f2",
    "a CR in a value": b"X-Own: 1\r2",
    "a line that ends with LF": b"X-Own: 1\nX-Other: 2",
    "a line that ends with two CR": b"X-Own: 1\r",
    "a blank line of blanks": b" ",
}
_LENGTHS = _named(
    "length",
    (
        b"+<length>",
        b"-<length>",
        b"-1",
        b"0x<length>",
        b"<length>.0",
        b"<length>;",
        b"1_0",
        b"1 0",
        b"<length>,",
        b"<length>, 1",
        b"1, <length>",
        b"many",
        b"",
    ),
)
_CODINGS = _named(
    "coding",
    (
        b"xchunked",
        b"chunked, chunked",
        b"chunked, gzip",
        b"identity, chunked",
        b"chunked;q=1",
        b"chun ked",
        b'"chunked"',
        b"gzip",
        b"identity",
        b"",
    ),
)
_FRAMINGS = {
    "a blank after the name of the length": b"Content-Length : <length>",
    "a blank before the name of the length": b" Content-Length: <length>",
    "a NUL after the name of the length": b"Content-Length\x00: <length>",
    "two lengths": b"Content-Length: <length>\r\nContent-Length: 1",
    "two lengths, the first one wrong": b"Content-Length: 1\r\nContent-Length: <length>",
}
_CHUNKED_FRAMINGS = {
    "a blank after the name of the coding": b"Transfer-Encoding : chunked",
    "a tab after the name of the coding": b"Transfer-Encoding\t: chunked",
    "a control byte after the name of the coding": b"Transfer-Encoding\x0b: chunked",
    "a length and a coding": b"Content-Length: <length>\r\nTransfer-Encoding: chunked",
    "a coding and a length": b"Transfer-Encoding: chunked\r\nContent-Length: <length>",
    "two fields with a coding": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "a second field with another coding": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
}
_INTERIM = {
    "a blank in a name of an interim response": b"HTTP/1.1 103 Early Hints\r\nX Own: 1\r\n\r\n",
    "an interim response with a length": b"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n",
    "an interim response with a coding": b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
    "another protocol that was not requested": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}

MALFORMED_HEADS: tuple[ResponseCase, ...] = _cases(
    {
        **{name: _start(line) for name, line in _STATUS_LINES.items()},
        **{name: _start(version + b" 200 OK\r\n") for name, version in _VERSIONS.items()},
        **{name: _field(line) for name, line in _FIELDS.items()},
        "a blank before the first name": STATUS_LINE + b" X-Own: 1\r\n<fields>Content-Length: <length>\r\n\r\n<body>",
        **{name: _framing(b"Content-Length: " + length) for name, length in _LENGTHS.items()},
        **{
            name: _framing(b"Transfer-Encoding: " + coding, b"<chunk>" + LAST_CHUNK)
            for name, coding in _CODINGS.items()
        },
        **{name: _framing(lines) for name, lines in _FRAMINGS.items()},
        **{name: _framing(lines, b"<chunk>" + LAST_CHUNK) for name, lines in _CHUNKED_FRAMINGS.items()},
        "a coding in HTTP/1.0": _framing(
            b"Transfer-Encoding: chunked", b"<chunk>" + LAST_CHUNK, b"HTTP/1.0 200 OK\r\n"
        ),
        **{name: head + _start(STATUS_LINE) for name, head in _INTERIM.items()},
        "a head that ends with LF": STATUS_LINE + b"<fields>Content-Length: <length>\r\n\n<body>",
    }
)
"""Responses whose head is malformed."""

MALFORMED_CHUNKS: tuple[ResponseCase, ...] = _cases(
    {
        **{
            name: _chunks(b"<chunk>" + size + b"\r\nx\r\n" + LAST_CHUNK)
            for name, size in _named("size", (b"+1", b"-1", b"0x1", b"1_", b" 1", b"1 ", b"g", b"", b";a=1")).items()
        },
        **{
            name: _chunks(b"<chunk>1" + extension + b"\r\nx\r\n" + LAST_CHUNK)
            for name, extension in _named(
                "extension", (b";", b";=", b";a=", b";a b", b";\x01", b';a="b', b"=1")
            ).items()
        },
        "a size that ends with LF": _chunks(b"<chunk>1\nx\r\n" + LAST_CHUNK),
        "a chunk that is longer than its size": _chunks(b"<chunk>1\r\nxyz\r\n" + LAST_CHUNK),
        "a chunk that ends with LF": _chunks(b"<chunk>1\r\nx\n" + LAST_CHUNK),
        "a blank in a name of the trailers": _chunks(b"<chunk>0\r\nX Own: 1\r\n\r\n"),
        "a control byte in a name of the trailers": _chunks(b"<chunk>0\r\nX\x01Own: 1\r\n\r\n"),
        "a NUL in a value of the trailers": _chunks(b"<chunk>0\r\nX-Own: 1\x002\r\n\r\n"),
        "a status line in the trailers": _chunks(b"<chunk>0\r\nHTTP/1.1 200 OK\r\n\r\n"),
        "trailers that end with LF": _chunks(b"<chunk>0\r\nX-Own: 1\n\r\n"),
    }
)
"""Responses with a sound head and a whole sound chunk, behind which the framing of the body is malformed."""

SOUND: tuple[ResponseCase, ...] = _cases(
    {
        "nothing special": _start(STATUS_LINE),
        "an empty reason": _start(b"HTTP/1.1 200 \r\n"),
        "a reason with a tab and bytes above 127": _start(b"HTTP/1.1 200 O\tK \xc3\xa9\r\n"),
        "HTTP/1.0": _start(b"HTTP/1.0 200 OK\r\n"),
        "a later minor version": _start(b"HTTP/1.9 200 OK\r\n"),
        "all bytes that a name may have": _field(TCHAR + b": 1"),
        "an empty value": _field(b"X-Own:"),
        "a value without a blank before it": _field(b"X-Own:1"),
        "blanks and tabs around a value": _field(b"X-Own: \t 1 \t "),
        "a value with colons, quotes and bytes above 127": _field(b'X-Own: a:b"c" \xff\xe9'),
        "a long value": _field(b"X-Own: " + b"v" * LONG_VALUE_BYTES),
        "the same name twice": _field(b"X-Own: 1\r\nX-Own: 2"),
        "names in upper case": _framing(b"CONTENT-LENGTH: <length>"),
        "equal lengths": _framing(b"Content-Length: <length>\r\nContent-Length: <length>"),
        "a list of equal lengths": _framing(b"Content-Length: <length>, <length>"),
        "a length with zeros before it": _framing(b"Content-Length: 00<length>"),
        "blanks around the length": _framing(b"Content-Length:  <length> "),
        "chunks": _chunks(b"<chunk>" + LAST_CHUNK),
        "a coding in upper case": _framing(b"Transfer-Encoding: CHUNKED", b"<chunk>" + LAST_CHUNK),
        "extensions of chunks": _chunks(b'<chunk>0;a;b=c;d="e f"\r\n\r\n'),
        "more than one zero": _chunks(b"<chunk>000\r\n\r\n"),
        "trailers": _chunks(b"<chunk>0\r\nX-Own: 1\r\nX-Other:\r\n\r\n"),
        "interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Own: 1\r\n\r\n"
        + _start(STATUS_LINE),
    }
)
"""Responses that a parser has to take: what the grammar allows, also where it is rare."""


CUT = ResponseCase("no response: the connection is closed", b"")


def pieces_of(response: bytes) -> list[bytes]:
    """Returns a response in about a hundred pieces, or in single bytes if it is short."""
    size = max(1, len(response) // PIECES)
    return [response[at : at + size] for at in range(0, len(response), size)]


def malformed_refusal(status: int, not_executed_field: str) -> ResponseCase:
    """Returns a refusal that says that nothing was executed, in a head in which a name has a blank."""
    line = f"HTTP/1.1 {status} Refused\r\n{not_executed_field}: 1\r\n"
    return ResponseCase(f"a refusal with {status}", line.encode() + b"X Own: 1\r\n" + _start(b""))
