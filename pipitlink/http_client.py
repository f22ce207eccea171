"""One client connection of HTTP/1.1, on which each response is checked before anything reads it.

This is the only module that imports from `twisted.web._newclient`. Twisted's public client, `twisted.web.client.Agent`,
neither exposes a single connection nor lets the bytes of responses be checked.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request, Response, ResponseDone

from .errors import MalformedResponse
from .response_validator import ResponseValidator

__all__ = ["HttpClientConnection", "Request", "Response", "ResponseDone"]


class HttpClientConnection(HTTP11ClientProtocol):
    """A connection for one request at a time, whose responses are checked against RFC 9112 as their bytes arrive.

    A piece that breaks the grammar is not parsed: the connection is closed, and the request fails as if the connection
    had been lost before it. `on_malformed` is called with the error first.
    """

    transport: Any
    on_malformed: Callable[[MalformedResponse], None] | None = None
    _validator: ResponseValidator

    def request(self, request: Request) -> defer.Deferred[Any]:
        """Writes a request; returns a Deferred with its response."""
        self._validator = ResponseValidator(request.method)
        return super().request(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Checks the next bytes of a response, and passes them on to its parser if they are sound.

        Bytes that no request waits for end the connection.
        """
        if self._parser is None:
            self.transport.loseConnection()
            return
        try:
            self._validator.receive(data)
        except MalformedResponse as error:
            if self.on_malformed is not None:
                self.on_malformed(error)
            self._giveUp(Failure())
            return
        super().dataReceived(data)
