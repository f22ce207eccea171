"""The record of one running request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import StrEnum
from typing import Any, Protocol

import attrs
from twisted.internet import defer
from twisted.web.server import Request

from ..context import random_id
from ..errors import NOT_RUN_STATUSES, ApiError, EngineError
from ..state_machines import StateMachineMixin
from ..state_machines.request_state import RequestState, reportable_outcome
from .engine import Engine

__all__ = ["PausableStream", "RequestKind", "RequestRecord"]

DEFAULT_MAX_TOKENS = 256


class RequestKind(StrEnum):
    """The kind of a request, which determines its pipeline steps."""

    LIVE = "live"
    ITEM = "item"
    FETCH = "fetch"


class PausableStream(Protocol):
    """The part of a connection to an engine that backpressure uses."""

    def pauseProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Pauses reading."""

    def resumeProducing(self) -> None:  # noqa: N802 - twisted's interface
        """Resumes reading."""


@attrs.define(eq=False, slots=False)
class RequestRecord(StateMachineMixin):
    """The state of one request in this process, shared by its submitter, the pipeline and the readers of its response.

    `before_send` is awaited before the request is sent to an engine, and `check_before_send` is called in the step that
    writes its first byte; either may raise. `may_have_run` is set if the outcome of an earlier attempt is not known.
    """

    state_machine = "request"

    model: str
    prompt: str
    deadline: timedelta
    prefix_key: str = ""
    idempotent: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    kind: RequestKind = RequestKind.LIVE
    pool: str = ""
    customer: str = ""
    id: str = attrs.field(factory=random_id)
    engine: Engine | None = None
    attempts: int = 0
    excluded_engines: set[str] = attrs.field(factory=set)
    chunks: list[str] = attrs.field(factory=list)
    size: int = 0
    error: ApiError | None = None
    last_rejection: Exception | None = None
    may_have_run: bool = False
    abandoned_at: timedelta | None = None
    readers: int = 0
    task: defer.Deferred[Any] | None = None
    before_send: Callable[[], Awaitable[None]] | None = None
    check_before_send: Callable[[], None] | None = None
    release_permit: Callable[[], None] | None = None
    release_slot: Callable[[], None] | None = None
    engine_stream: PausableStream | None = None
    client_request: Request | None = None
    on_first_chunk: Callable[[], None] | None = None
    _waiters: list[defer.Deferred[None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._init_state_machine()

    @property
    def is_batch_item(self) -> bool:
        """Whether it is an item of a batch."""
        return self.kind == RequestKind.ITEM

    @property
    def outcome(self) -> str:
        """The outcome to report if the request fails now: `not_run`, `unknown` or `failed`."""
        outcome = reportable_outcome(self.state)
        return "unknown" if outcome == "not_run" and self.may_have_run else outcome

    @property
    def engine_name(self) -> str:
        """The name of the request's engine, empty if there is none."""
        return self.engine.name if self.engine is not None else ""

    @property
    def settled(self) -> bool:
        """Whether the request is done or has failed."""
        return self.error is not None or self.state == RequestState.DONE

    def release(self) -> None:
        """Releases the permit of the row and the slot of the engine, each at most once."""
        if self.release_permit is not None:
            release_permit, self.release_permit = self.release_permit, None
            release_permit()
        if self.release_slot is not None:
            release_slot, self.release_slot = self.release_slot, None
            release_slot()

    def append_chunk(self, text: str) -> None:
        """Adds the next chunk of the response."""
        self.trigger("receive")
        if not self.chunks and self.on_first_chunk is not None:
            self.on_first_chunk()
        self.chunks.append(text)
        self.size += len(text)
        self.notify_waiters()

    def fail(self, error: Exception) -> None:
        """Settles the request with an error.

        If the request may have run, neither the outcome nor the status says that it did not.
        """
        if isinstance(error, ApiError):
            api_error = error
        else:
            api_error = EngineError(str(error) or type(error).__name__, outcome=self.outcome)
        if self.may_have_run and api_error.outcome == "not_run":
            api_error.outcome = "unknown"
        if api_error.outcome == "unknown" and api_error.status in NOT_RUN_STATUSES:
            api_error.status = EngineError.status
        self.error = api_error
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Fires all Deferreds that wait for a change."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def wait_for_change(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires when a chunk is added or the request is settled."""
        waiter: defer.Deferred[None] = defer.Deferred(self._remove_waiter)
        self._waiters.append(waiter)
        return waiter

    def set_paused(self, paused: bool) -> None:
        """Applies backpressure: stops or resumes reading from the engine."""
        if self.engine_stream is None:
            return
        if paused:
            self.engine_stream.pauseProducing()
        else:
            self.engine_stream.resumeProducing()

    def _remove_waiter(self, waiter: defer.Deferred[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _release_engine(self) -> None:
        self.release()
        if self.engine is not None:
            self.excluded_engines.add(self.engine.name)
        self.engine = None
