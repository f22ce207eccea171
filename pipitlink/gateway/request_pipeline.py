"""Runs each request through its pipeline steps."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from twisted.internet import defer

from ..context import Context
from ..errors import ApiError, ReplicatedLogError
from .request_record import RequestKind, RequestRecord
from .request_table import RequestTable

__all__ = ["RequestPipeline", "PipelineStep", "prepare_send"]

PipelineStep = Callable[[RequestRecord], Awaitable[bool]]
"""Does one step for a request; returns whether to restart with the first step. An error settles the request."""


async def prepare_send(request: RequestRecord) -> bool:
    """Pipeline step: writes the records that must be durable before the first byte of the request is sent."""
    if request.before_send is not None:
        await request.before_send()
    return False


class RequestPipeline:
    """Runs the steps for a request's kind in order, and again for each retry, until the request is settled."""

    def __init__(
        self, ctx: Context, table: RequestTable, steps: Mapping[RequestKind, tuple[PipelineStep, ...]]
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._steps = steps

    async def run(self, request: RequestRecord) -> None:
        """Runs one request until it is settled. Errors are stored in its record."""
        self._table.add(request)
        try:
            while not request.settled:
                await self._run_steps(request)
        except defer.CancelledError:
            request.trigger("lose")
            request.fail(ApiError("the request was cancelled", code="ended", outcome=request.outcome))
        except Exception as error:
            if not isinstance(error, (ApiError, ReplicatedLogError)):
                self._ctx.logger.failure("request_aborted", error, request=request.id)
            request.trigger("lose")
            request.fail(error)
        finally:
            request.release()
            if request.kind != RequestKind.LIVE or not request.readers:
                self._table.retire(request)
        self._log_end(request)

    async def _run_steps(self, request: RequestRecord) -> None:
        for step in self._steps[request.kind]:
            restart = await step(request)
            if restart:
                return

    def _log_end(self, request: RequestRecord) -> None:
        self._ctx.logger.debug(
            "request_completed",
            request=request.id,
            model=request.model,
            state=request.state,
            attempts=request.attempts,
            chunks=len(request.chunks),
            code=request.error.code if request.error else "ok",
        )
