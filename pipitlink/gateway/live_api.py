"""HTTP handlers to start live requests and to resume their streams."""

from __future__ import annotations

from twisted.internet import defer
from twisted.web.server import Request

from ..context import Context
from ..errors import BadRequest, NotFound, RemoteError, WireError
from ..json_api import http_handler, send_json
from ..timers import ms, spawn
from ..wire.rpc import Address
from .query_parameters import non_negative_number
from .remote_run import RemoteRun
from .request_bodies import GenerateBody, read_json
from .request_pipeline import RequestPipeline
from .request_record import RequestRecord
from .request_table import RequestTable
from .run_registry import RANGE_NOT_SATISFIABLE, RunRegistry
from .run_stream import RunStream

__all__ = ["LiveApi"]


class LiveApi:
    """Starts live requests and streams their responses; a client may resume a stream at any gateway."""

    def __init__(self, ctx: Context, table: RequestTable, pipeline: RequestPipeline, runs: RunRegistry) -> None:
        self._ctx = ctx
        self._table = table
        self._pipeline = pipeline
        self._runs = runs

    @http_handler
    async def generate(self, request: Request) -> bytes:
        """Starts a live request; responds with a stream or with one JSON object."""
        body = read_json(request, GenerateBody)
        record = RequestRecord(
            id=self._runs.new_run_id(),
            model=body.model,
            prompt=body.prompt,
            prefix_key=body.prefix_key,
            idempotent=body.repeatable,
            max_tokens=body.max_tokens,
            deadline=self._ctx.timers.now() + ms(body.limit_ms),
        )
        record.readers += 1
        record.task = spawn(self._pipeline.run(record))
        if body.stream:
            return await RunStream(self._ctx, self._table, request, record, 0).write()
        return await self._respond_when_settled(request, record)

    @http_handler
    async def resume(self, request: Request, run: str) -> bytes:
        """Streams a run from a position on, also if another gateway has it."""
        position = non_negative_number(request, "from")
        address = None if run in self._table.requests else self._runs.remote_address(run)
        if address is not None:
            return await self._resume_remote(request, run, position, address)
        record = self._table.find_run(run)
        if position > len(record.chunks):
            raise BadRequest(
                f"the run has only {len(record.chunks)} pieces",
                code="bad_field",
                field="from",
                status=RANGE_NOT_SATISFIABLE,
            )
        record.readers += 1
        record.abandoned_at = None
        return await RunStream(self._ctx, self._table, request, record, position).write()

    async def _respond_when_settled(self, request: Request, record: RequestRecord) -> bytes:
        try:
            while not record.settled:
                await record.wait_for_change()
        except defer.CancelledError:
            record.readers -= 1
            self._table.reader_left(record)
            raise
        self._table.retire(record)
        if record.error is not None:
            raise record.error
        response = {
            "id": record.id,
            "text": "".join(record.chunks),
            "pieces": len(record.chunks),
            "engine": record.engine_name,
        }
        body: bytes = send_json(request, response)
        return body

    async def _resume_remote(self, request: Request, run_id: str, position: int, address: Address) -> bytes:
        run = RemoteRun(run_id, position)
        try:
            first = await self._runs.read_remote(run, address)
        except RemoteError as error:
            raise _resume_error(error) from error
        except WireError as error:
            raise NotFound(
                f"the gateway that has the run cannot be reached: {error}", code="run_not_held", outcome="unknown"
            ) from error
        self._ctx.run_in_background(self._runs.follow_remote(run, address, first), "follow_run")
        return await RunStream(self._ctx, self._table, request, run, position).write()


def _resume_error(error: RemoteError) -> BadRequest | NotFound:
    if error.remote_code == "bad_field":
        return BadRequest(error.message, code=error.remote_code, field="from", status=RANGE_NOT_SATISFIABLE)
    return NotFound(error.message, code="run_not_held", outcome="unknown")
