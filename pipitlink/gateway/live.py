"""Live requests: streaming, resuming, and engines' announcements."""

import json
from datetime import timedelta

from twisted.internet import defer

from ..errors import BadRequest, DeadlineExceeded, NotFound, RemoteError, WireError
from ..timers import ms, secs, spawn
from ..web import http_handler, send_error, send_json
from ..wire.membership_pb2 import EngineUpdate
from .bodies import EngineBody, GenerateBody, read_json
from .requests import RequestRecord
from .runs import FarRun

__all__ = ["Live", "whole_number"]

STUCK_SPAN = secs(20)


def _event(name: str, n: int | None, body: dict) -> bytes:
    head = f"id: {n}\n" if n is not None else ""
    return f"{head}event: {name}\ndata: {json.dumps(body)}\n\n".encode()


def whole_number(request, name: str, default: int = 0) -> int:
    """Returns a query argument as a number from 0 up, `default` where it is missing.

    Raises BadRequest where it is anything else.
    """
    raw = request.args.get(name.encode(), [str(default).encode()])[0]
    try:
        n = int(raw)
        if n < 0:
            raise ValueError
        return n
    except ValueError:
        raise BadRequest(f"{name} must be a whole number from 0 up", code="bad_field", field=name) from None


class Live:
    """Mixin: live requests from callers, and engines that announce themselves.

    Offers the HTTP handlers `generate`, `resume` and `announce`, and `_leave` for readers that go away.
    Needs of the node: `_ctx`, `engines`, `_hold`; of RequestTable: `asks`, `run`, `_retire`; of Relaying: `hold_back`;
    of Runs: `new_run`, `held_run`, `run_place`, `_ask_run`, `_follow_run`.
    Owns no attributes.
    """

    @http_handler
    async def generate(self, request):
        b = read_json(request, GenerateBody)
        ask = RequestRecord(
            id=self.new_run(),
            model=b.model,
            prompt=b.prompt,
            prefix=b.prefix_key,
            repeatable=b.repeatable,
            max_tokens=b.max_tokens,
            limit=self._ctx.timers.now() + ms(b.limit_ms),
        )
        ask.readers += 1
        ask.work = spawn(self.run(ask))
        if b.stream:
            return await self._show(request, ask, 0)
        return await self._whole(request, ask)

    async def _whole(self, request, ask):
        try:
            while not ask.settled:
                await ask.moved()
        except defer.CancelledError:
            ask.readers -= 1
            self._leave(ask)
            raise
        self._retire(ask)
        if ask.fault is not None:
            raise ask.fault
        return send_json(
            request, {"id": ask.id, "text": "".join(ask.pieces), "pieces": len(ask.pieces), "engine": ask.engine_name}
        )

    @http_handler
    async def resume(self, request, run: str):
        start = whole_number(request, "from")
        place = None if run in self.asks else self.run_place(run)
        if place is not None:
            return await self._resume_far(request, run, start, place)
        ask = self.held_run(run)
        if start > len(ask.pieces):
            raise BadRequest(f"the run has {len(ask.pieces)} pieces", code="bad_field", field="from", status=416)
        ask.readers += 1
        ask.left_at = None
        return await self._show(request, ask, start)

    async def _resume_far(self, request, run: str, start: int, place):
        far = FarRun(run, start)
        try:
            first = await self._ask_run(far, place)
        except RemoteError as e:
            if e.remote_code == "bad_field":
                raise BadRequest(e.message, code=e.remote_code, field="from", status=416) from e
            raise NotFound(e.message, code="run_not_held", outcome="unknown") from e
        except WireError as e:
            raise NotFound(
                f"the gateway that holds the run is not heard: {e}", code="run_not_held", outcome="unknown"
            ) from e
        self._ctx.run_in_background(self._follow_run(far, place, first), "follow_run")
        return await self._show(request, far, start)

    async def _show(self, request, ask, at: int):
        """Writes the run's pieces in order from `at`, as server-sent events, with an end record."""
        wait = _Pace(request)
        try:
            while not ask.settled and len(ask.pieces) <= at:
                await ask.moved()
            if ask.fault is not None and not ask.pieces:
                self._retire(ask)
                return send_error(request, ask.fault)
            request.setHeader(b"Content-Type", b"text/event-stream")
            request.setHeader(b"Cache-Control", b"no-store")
            request.setHeader(b"X-Run-Id", ask.id.encode())
            wait.start()
            if at == 0:
                request.write(_event("run", None, {"id": ask.id}))
            while True:
                while at < len(ask.pieces):
                    if wait.full:
                        self.hold_back(ask, True)
                        await self._ctx.timers.with_timeout(STUCK_SPAN, wait.free())
                    request.write(_event("piece", at, {"n": at, "text": ask.pieces[at]}))
                    at += 1
                self.hold_back(ask, False)
                if ask.settled:
                    break
                await ask.moved()
            self._retire(ask)
            wait.stop()
            if ask.fault is not None:
                request.write(
                    _event(
                        "fault",
                        None,
                        {
                            "code": ask.fault.code,
                            "message": str(ask.fault),
                            "outcome": ask.outcome,
                            "pieces": len(ask.pieces),
                        },
                    )
                )
                request.transport.loseConnection()
                return await defer.Deferred(lambda _: None)
            request.write(_event("end", None, {"pieces": len(ask.pieces), "engine": ask.engine_name}))
            return b""
        except defer.CancelledError:
            wait.stop()
            raise
        except DeadlineExceeded:
            self._ctx.logger.info("caller_stuck", ask=ask.id, at=at)
            wait.stop()
            request.transport.abortConnection()
            return await defer.Deferred(lambda _: None)
        finally:
            ask.readers -= 1
            self._leave(ask)

    def _leave(self, ask):
        """The caller went away: the run ends unless one comes back for it in a short while."""
        if ask.settled or ask.readers or ask.id not in self.asks:
            return
        ask.left_at = self._ctx.timers.now()
        self._ctx.timers.call_later(self._hold, self._end_if_left, ask, ask.left_at)

    def _end_if_left(self, ask, left_at: timedelta):
        if ask.left_at == left_at and not ask.readers and not ask.settled:
            ask.work.cancel()

    @http_handler
    async def announce(self, request):
        b = read_json(request, EngineBody)
        self.engines.announce(
            EngineUpdate(
                engine=b.engine,
                incarnation=b.incarnation,
                address=b.address,
                pool=b.pool,
                models=b.models,
                capacity=b.capacity,
                zone=b.zone,
                state=b.state,
            )
        )
        return send_json(request, {"renew_ms": 1000, "gateways": self.addresses()})

    def addresses(self) -> list[str]:
        return [f"{m.host}:{m.http_port}" for m in self._ctx.membership.members("gateway", statuses=("alive",))]


class _Pace:
    """Lets a writer wait while the caller's stream is full."""

    def __init__(self, request):
        self._request = request
        self.full = False
        self._waiter = None
        self._on = False

    def start(self):
        self._on = True
        self._request.registerProducer(self, True)

    def stop(self):
        if self._on:
            self._on = False
            if self._request.channel is not None:
                self._request.unregisterProducer()

    def pauseProducing(self):
        self.full = True

    def resumeProducing(self):
        self.full = False
        if self._waiter is not None:
            d, self._waiter = self._waiter, None
            d.callback(None)

    def stopProducing(self):
        self.resumeProducing()

    async def free(self):
        if self.full:
            self._waiter = defer.Deferred()
            await self._waiter
