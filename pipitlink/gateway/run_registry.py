"""Locates runs by id, and reads the runs of other gateways."""

from __future__ import annotations

from ..context import Context, random_id
from ..errors import ApiError, RemoteError, WireError
from ..timers import ms, secs
from ..wire.membership_pb2 import RunRequest, RunResponse
from ..wire.rpc import Address
from .remote_run import RemoteRun
from .request_record import RequestRecord
from .request_table import RequestTable

__all__ = ["RunRegistry"]

LONG_POLL_WAIT = ms(250)
CALL_TIMEOUT = secs(1)
MAX_CHUNKS = 256
RANGE_NOT_SATISFIABLE = 416


class RunRegistry:
    """Assigns run ids that include the gateway, so that any gateway can read a run from the gateway that has it."""

    def __init__(self, ctx: Context, table: RequestTable) -> None:
        self._ctx = ctx
        self._table = table

    def open(self) -> None:
        """Registers the RPC handler for reads by other gateways."""
        self._ctx.rpc.register_handler("runs.read", RunRequest, self._handle_read)

    def new_run_id(self) -> str:
        """Returns an id for a run of this gateway."""
        return f"{self._ctx.node}-{random_id()}"

    def remote_address(self, run_id: str) -> Address | None:
        """Returns the address of the gateway that may have a run, None if that is this gateway or it is gone."""
        node = run_id.partition("-")[0]
        member = self._ctx.membership.find(node)
        if member is None or node == self._ctx.node or self._ctx.membership.status(node) == "gone":
            return None
        return member.host, member.port

    async def read_remote(self, run: RemoteRun, address: Address) -> RunResponse:
        """Returns the chunks after those that were read so far. Raises WireError or RemoteError."""
        request = RunRequest(run=run.id, **{"from": len(run.chunks)})
        return await self._ctx.rpc.call(address, "runs.read", request, RunResponse, CALL_TIMEOUT)

    async def follow_remote(self, run: RemoteRun, address: Address, first: RunResponse) -> None:
        """Reads the rest of a run after its first response, while it has readers at this gateway."""
        run.add_response(first)
        try:
            while not run.settled and run.readers:
                run.add_response(await self.read_remote(run, address))
        except (WireError, RemoteError) as error:
            lost = ApiError(
                f"the rest of the run could not be read from its gateway: {error}", code="run_lost", outcome="unknown"
            )
            run.finish(lost)

    async def _handle_read(self, _: str, request: RunRequest) -> RunResponse:
        """Returns the chunks from a position on, after waiting a short time if there is none yet.

        A remote reader keeps the run alive like a client of this gateway.
        """
        record = self._table.find_run(request.run)
        position: int = getattr(request, "from")
        if position > len(record.chunks):
            raise ApiError(
                f"the run has only {len(record.chunks)} pieces",
                code="bad_field",
                status=RANGE_NOT_SATISFIABLE,
                outcome="not_run",
            )
        record.readers += 1
        record.abandoned_at = None
        try:
            if not record.settled and len(record.chunks) <= position:
                await self._ctx.timers.wait_at_most(record.wait_for_change(), LONG_POLL_WAIT)
        finally:
            record.readers -= 1
            self._table.reader_left(record)
        return _response_from(record, position)


def _response_from(record: RequestRecord, position: int) -> RunResponse:
    response = RunResponse(pieces=record.chunks[position : position + MAX_CHUNKS])
    if not record.settled or position + len(response.pieces) < len(record.chunks):
        return response
    response.settled = True
    if record.error is not None:
        response.code = record.error.code
        response.note = str(record.error)
        response.outcome = record.outcome
    else:
        response.engine = record.engine_name
    return response
