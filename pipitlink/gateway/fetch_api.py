"""The HTTP handler for plain fetches."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer
from twisted.web.server import Request

from ..context import Context
from ..errors import BadRequest
from ..json_api import http_handler, send_error
from ..timers import secs, spawn
from .request_pipeline import RequestPipeline
from .request_record import RequestKind, RequestRecord

__all__ = ["FetchApi"]

FETCH_TIMEOUT = secs(10)


class FetchApi:
    """Passes GET requests through to the engines of a pool that serve plain HTTP, with an unchanged path and query."""

    def __init__(self, ctx: Context, pipeline: RequestPipeline) -> None:
        self._ctx = ctx
        self._pipeline = pipeline

    @http_handler
    async def fetch(self, request: Request, pool: str, path: str = "") -> bytes:
        """Fetches a path from an engine of a pool, and streams the response to the client."""
        if ".." in path.split("/"):
            raise BadRequest("the path must not contain '..'", code="bad_path", field="path")
        record = self._record_of(request, pool, path)
        record.task = task = spawn(self._pipeline.run(record))
        try:
            while not record.settled:
                await record.wait_for_change()
        except defer.CancelledError:
            task.cancel()
            raise
        if record.error is None:
            return b""
        if record.size or request.startedWriting:
            transport: Any = request.transport
            transport.abortConnection()
            closed: defer.Deferred[bytes] = defer.Deferred(lambda _: None)
            return await closed
        body: bytes = send_error(request, record.error)
        return body

    def _record_of(self, request: Request, pool: str, path: str) -> RequestRecord:
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        return RequestRecord(
            kind=RequestKind.FETCH,
            model=path + ("?" + query if query else ""),
            prompt="",
            pool=pool,
            idempotent=True,
            deadline=self._ctx.timers.now() + FETCH_TIMEOUT,
            client_request=request,
        )
