"""Plain HTTP fetches from back ends, passed through to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from treq.response import _Response as Response
from twisted.internet import defer, protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH
from twisted.web.server import Request

from ..errors import EngineError, ServiceUnavailable
from .engine import Engine
from .request_record import RequestRecord
from .request_sender import REJECTED_CODES, RequestSender

__all__ = ["FetchRelay"]

PASSED_HEADERS = (b"content-type", b"etag", b"last-modified", b"cache-control", b"location")


class _PassThrough(protocol.Protocol):
    """Passes the bytes of one body on to the caller, unchanged and counted.

    `finished` fires at the body's end and fails with EngineError where it was cut short; cancelling it aborts the
    connection.
    """

    def __init__(self, record: RequestRecord, client_request: Request, abort: Callable[[], None]) -> None:
        self._record = record
        self._client_request = client_request
        self.finished: defer.Deferred[None] = defer.Deferred(lambda _: abort())

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """The response's head has come: the caller's connection paces the body from now on."""
        self._client_request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Passes the next bytes on."""
        self._record.trigger("receive")
        self._record.size += len(data)
        self._client_request.write(data)

    def connectionLost(  # noqa: N802 - twisted's interface
        self, reason: Failure = protocol.connectionDone
    ) -> None:
        """The body has ended, or the connection broke."""
        self._client_request.unregisterProducer()
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(EngineError("the back end's body was cut short", code="cut_short"))


class FetchRelay:
    """Fetches a path from a back end of a pool, and passes status, some headers and the body through."""

    def __init__(self, sender: RequestSender) -> None:
        self._sender = sender

    async def relay(self, record: RequestRecord) -> bool:
        """Pipeline step: sends the fetch and passes the response on; returns whether it is to be retried."""
        return await self._sender.send(record, self._exchange)

    async def _exchange(self, record: RequestRecord, engine: Engine) -> None:
        client_request = record.client_request
        assert client_request is not None
        client = self._sender.client_for(record, engine)
        headers: dict[str | bytes, str | bytes] = {"X-Request-Id": record.id}
        response = await client.http.get(
            f"http://{engine.update.address}/{record.model}",
            unbuffered=True,
            headers=headers,
            allow_redirects=False,
        )
        if response.code in REJECTED_CODES:
            await self._sender.discard(response)
            raise ServiceUnavailable(f"{engine.name} refused with {response.code}", code="engine_crowded")
        _pass_head(response, client_request)
        body = _PassThrough(record, client_request, client.endpoint.abort)
        response.deliverBody(body)
        await body.finished
        if response.length is not UNKNOWN_LENGTH and record.size != response.length:
            raise EngineError(f"{record.size} of {response.length} bytes came", code="cut_short")


def _pass_head(response: Response, client_request: Any) -> None:
    client_request.setResponseCode(response.code)
    for name in PASSED_HEADERS:
        for value in response.headers.getRawHeaders(name, ()):
            client_request.responseHeaders.addRawHeader(name, value)
    if response.length is not UNKNOWN_LENGTH:
        client_request.setHeader(b"Content-Length", str(response.length).encode())
