"""Streams a run to a client as server-sent events."""

from __future__ import annotations

import json
from typing import Any, cast

from twisted.internet import defer
from twisted.web.server import Request

from ..context import Context
from ..errors import ApiError, DeadlineExceeded
from ..json_api import send_error
from ..reactor_types import TcpTransport
from ..timers import secs
from .request_table import RequestTable
from .run import Run

__all__ = ["RunStream"]

STALLED_CLIENT_TIMEOUT = secs(20)


def _event(name: str, event_id: int | None, data: dict[str, Any]) -> bytes:
    head = f"id: {event_id}\n" if event_id is not None else ""
    return f"{head}event: {name}\ndata: {json.dumps(data)}\n\n".encode()


class _BackpressureProducer:
    """A push producer that lets a writer wait while the send buffer of the client's connection is full."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self.full = False
        self._waiter: defer.Deferred[None] | None = None
        self._registered = False

    def start(self) -> None:
        """Registers with the connection."""
        self._registered = True
        self._request.registerProducer(self, True)

    def stop(self) -> None:
        """Unregisters from the connection, if registered and the connection is still open."""
        if self._registered:
            self._registered = False
            if self._request.channel is not None:
                self._request.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802 - twisted's interface
        """The send buffer of the connection is full."""
        self.full = True

    def resumeProducing(self) -> None:  # noqa: N802 - twisted's interface
        """The connection accepts data again."""
        self.full = False
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.callback(None)

    def stopProducing(self) -> None:  # noqa: N802 - twisted's interface
        """The connection is closed: the writer must not wait any longer."""
        self.resumeProducing()

    async def wait_until_writable(self) -> None:
        """Waits while the send buffer of the connection is full."""
        if self.full:
            self._waiter = defer.Deferred()
            await self._waiter


class RunStream:
    """The stream of one run to one client, from a position on.

    The client is already counted as a reader of the run; the count is reduced when the stream ends.
    """

    def __init__(self, ctx: Context, table: RequestTable, request: Request, run: Run, position: int) -> None:
        self._ctx = ctx
        self._table = table
        self._request = request
        self._run = run
        self._position = position
        self._producer = _BackpressureProducer(request)

    async def write(self) -> bytes:
        """Streams the run's chunks to the client in order, followed by an event for the run's end; then returns b"".

        If the run failed before its first chunk, nothing is streamed and a JSON error is returned as the response's
        body. If it failed later, the connection is closed after an event with the error. A client that does not read
        for STALLED_CLIENT_TIMEOUT is disconnected.
        """
        try:
            return await self._write()
        except defer.CancelledError:
            self._producer.stop()
            raise
        except DeadlineExceeded:
            self._ctx.logger.info("stuck_caller_disconnected", request=self._run.id, position=self._position)
            self._producer.stop()
            self._transport().abortConnection()
            return await self._wait_for_disconnect()
        finally:
            self._run.readers -= 1
            self._table.reader_left(self._run)

    async def _write(self) -> bytes:
        run = self._run
        while not run.settled and len(run.chunks) <= self._position:
            await run.wait_for_change()
        if run.error is not None and not run.chunks:
            self._table.retire(run)
            body: bytes = send_error(self._request, run.error)
            return body
        self._start()
        await self._write_chunks()
        self._table.retire(run)
        self._producer.stop()
        if run.error is not None:
            return await self._end_with_error(run.error)
        self._request.write(_event("end", None, {"pieces": len(run.chunks), "engine": run.engine_name}))
        return b""

    def _start(self) -> None:
        self._request.setHeader(b"Content-Type", b"text/event-stream")
        self._request.setHeader(b"Cache-Control", b"no-store")
        self._request.setHeader(b"X-Run-Id", self._run.id.encode())
        self._producer.start()
        if self._position == 0:
            self._request.write(_event("run", None, {"id": self._run.id}))

    async def _write_chunks(self) -> None:
        """Writes chunks until the run is settled; pauses the engine's stream while the client's send buffer is full."""
        run = self._run
        while True:
            while self._position < len(run.chunks):
                if self._producer.full:
                    run.set_paused(True)
                    await self._ctx.timers.with_timeout(STALLED_CLIENT_TIMEOUT, self._producer.wait_until_writable())
                chunk = {"n": self._position, "text": run.chunks[self._position]}
                self._request.write(_event("piece", self._position, chunk))
                self._position += 1
            run.set_paused(False)
            if run.settled:
                return
            await run.wait_for_change()

    async def _end_with_error(self, error: ApiError) -> bytes:
        fault = {
            "code": error.code,
            "message": str(error),
            "outcome": self._run.outcome,
            "pieces": len(self._run.chunks),
        }
        self._request.write(_event("fault", None, fault))
        self._transport().loseConnection()
        return await self._wait_for_disconnect()

    def _transport(self) -> TcpTransport:
        transport: Any = self._request.transport
        return cast(TcpTransport, transport)

    async def _wait_for_disconnect(self) -> bytes:
        """Never returns: the handler is cancelled once the connection is closed."""
        closed: defer.Deferred[bytes] = defer.Deferred(lambda _: None)
        return await closed
