"""The pipeline step that fetches from an engine by plain HTTP and passes the response through to the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from treq.response import _Response as Response
from twisted.internet import defer, protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH
from twisted.web.server import Request

from ..errors import EngineError
from .engine import Engine
from .request_record import RequestRecord
from .request_sender import RequestSender

__all__ = ["FetchRelay"]

FORWARDED_HEADERS = (b"content-type", b"etag", b"last-modified", b"cache-control", b"location")


class _BodyForwarder(protocol.Protocol):
    """Forwards the bytes of one body to the client, unchanged, and counts them.

    `finished` fires at the end of the body, and fails with EngineError if the body was cut short; cancelling it aborts
    the connection.
    """

    def __init__(self, record: RequestRecord, client_request: Request, abort: Callable[[], None]) -> None:
        self._record = record
        self._client_request = client_request
        self.finished: defer.Deferred[None] = defer.Deferred(lambda _: abort())

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """The response's head was received: from now on the client's connection applies backpressure to the body."""
        self._client_request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Forwards the next bytes."""
        self._record.trigger("receive")
        self._record.size += len(data)
        self._client_request.write(data)

    def connectionLost(  # noqa: N802 - twisted's interface
        self, reason: Failure = protocol.connectionDone
    ) -> None:
        """The body has ended, or the connection was lost."""
        self._client_request.unregisterProducer()
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(EngineError("the body of the engine's response was cut short", code="cut_short"))


class FetchRelay:
    """Fetches a path from an engine of a pool, and forwards status, some headers and the body."""

    def __init__(self, sender: RequestSender) -> None:
        self._sender = sender

    async def relay(self, record: RequestRecord) -> bool:
        """Pipeline step: sends the fetch and forwards the response; returns whether to retry it."""
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
        await self._sender.check_accepted(engine, response)
        _copy_head(response, client_request)
        body = _BodyForwarder(record, client_request, client.endpoint.abort)
        response.deliverBody(body)
        await body.finished
        if response.length is not UNKNOWN_LENGTH and record.size != response.length:
            raise EngineError(
                f"the response was cut short: got {record.size} of {response.length} bytes", code="cut_short"
            )


def _copy_head(response: Response, client_request: Any) -> None:
    client_request.setResponseCode(response.code)
    for name in FORWARDED_HEADERS:
        for value in response.headers.getRawHeaders(name, ()):
            client_request.responseHeaders.addRawHeader(name, value)
    if response.length is not UNKNOWN_LENGTH:
        client_request.setHeader(b"Content-Length", str(response.length).encode())
