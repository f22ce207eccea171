"""An opener for `urllib` that checks each response before `http.client` parses it."""

from __future__ import annotations

import http.client
import io
import socket
import urllib.request
from typing import Any

from ..response_validator import ResponseValidator

__all__ = ["checked_opener"]


class _CheckedFile(io.RawIOBase):
    """The bytes of a response as they come from a socket, checked before they are read."""

    def __init__(self, file: io.RawIOBase, validator: ResponseValidator) -> None:
        self._file = file
        self._validator = validator

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads the next bytes. Raises MalformedResponse, or ConnectionResetError if the response is cut short."""
        count = self._file.readinto(buffer)
        if count:
            self._validator.receive(bytes(memoryview(buffer)[:count]))
        elif self._validator.needs_more:
            raise ConnectionResetError("the connection was closed before the end of the response")
        return count

    def close(self) -> None:
        """Closes the file of the socket."""
        self._file.close()
        super().close()


class _CheckedResponse(http.client.HTTPResponse):
    """A response that is checked before it is parsed, after any number of interim ones."""

    def __init__(self, sock: socket.socket, debuglevel: int = 0, method: str = "GET", url: str | None = None) -> None:
        super().__init__(sock, debuglevel, method, url)
        file = _CheckedFile(self.fp.detach(), ResponseValidator(method.encode()))
        self.fp = io.BufferedReader(file)

    def begin(self) -> None:
        """Reads the head of the response; `http.client` skips no interim response but 100."""
        super().begin()
        while 100 <= self.status < 200:
            self.headers = self.msg = None  # type: ignore[assignment]  # as before the first head
            super().begin()


class _CheckedConnection(http.client.HTTPConnection):
    response_class = _CheckedResponse


class _CheckedHandler(urllib.request.HTTPHandler):
    def http_open(self, req: urllib.request.Request) -> http.client.HTTPResponse:
        """Sends a request on a connection of its own."""
        return self.do_open(_CheckedConnection, req)


def checked_opener() -> urllib.request.OpenerDirector:
    """Returns an opener whose reads raise MalformedResponse for a response that RFC 9112 forbids."""
    return urllib.request.build_opener(_CheckedHandler)
