"""Plain HTTP fetches from back ends, passed through to the caller."""

from twisted.internet import defer, protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH

from ..errors import BadRequest, EngineError, ServiceUnavailable
from ..timers import ms, spawn
from ..web import http_handler, send_error
from .requests import RequestRecord

__all__ = ["Fetching"]

FETCH_LIMIT = ms(10_000)
_PASSED = (b"content-type", b"etag", b"last-modified", b"cache-control", b"location")


class _Through(protocol.Protocol):
    """Bytes of one body on their way to the caller, unchanged and counted."""

    def __init__(self, ask, request, abort):
        self._ask = ask
        self._request = request
        self.over = defer.Deferred(lambda _: abort())

    def connectionMade(self):
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data):
        self._ask.trigger("receive")
        self._ask.size += len(data)
        self._request.write(data)

    def connectionLost(self, reason=protocol.connectionDone):
        self._request.unregisterProducer()
        if self.over.called:
            return
        if reason.check(ResponseDone):
            self.over.callback(None)
        else:
            self.over.errback(EngineError("the back end's body was cut short", code="cut_short"))


class Fetching:
    """Mixin: plain HTTP fetches from back ends other than engines, passed through unchanged.

    Offers the HTTP handler `fetch` and `_pass_fetch`.
    Needs of the node: `_ctx`; of RequestTable: `run`; of Relaying: `_send`, `_client`, `_discard`.
    Owns no attributes.
    """

    @http_handler
    async def fetch(self, request, pool: str, path: str = ""):
        if ".." in path.split("/"):
            raise BadRequest("the path may not climb", code="bad_path", field="path")
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        ask = RequestRecord(
            kind="fetch",
            model=path + ("?" + query if query else ""),
            prompt="",
            pool=pool,
            repeatable=True,
            limit=self._ctx.timers.now() + FETCH_LIMIT,
        )
        ask.feed = request
        ask.work = spawn(self.run(ask))
        try:
            while not ask.settled:
                await ask.moved()
        except defer.CancelledError:
            ask.work.cancel()
            raise
        if ask.fault is not None:
            if ask.size or request.startedWriting:
                request.transport.abortConnection()
                return await defer.Deferred(lambda _: None)
            return send_error(request, ask.fault)
        return b""

    async def _pass_fetch(self, ask) -> bool:
        return await self._send(ask, self._fetch)

    async def _fetch(self, ask, e):
        request = ask.feed
        client, point = self._client(ask, e)
        r = await client.get(
            f"http://{e.news.address}/{ask.model}",
            unbuffered=True,
            headers={"X-Request-Id": ask.id},
            allow_redirects=False,
        )
        if r.code in (429, 503):
            await self._discard(r)
            raise ServiceUnavailable(f"{e.name} refused with {r.code}", code="engine_crowded")
        request.setResponseCode(r.code)
        for name in _PASSED:
            for value in r.headers.getRawHeaders(name, ()):
                request.responseHeaders.addRawHeader(name, value)
        if r.length is not UNKNOWN_LENGTH:
            request.setHeader(b"Content-Length", str(r.length).encode())
        through = _Through(ask, request, point.abort)
        r.deliverBody(through)
        await through.over
        if r.length is not UNKNOWN_LENGTH and ask.size != r.length:
            raise EngineError(f"{ask.size} of {r.length} bytes came", code="cut_short")
