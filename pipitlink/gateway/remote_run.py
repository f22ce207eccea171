"""The local copy of a run that another gateway has."""

from __future__ import annotations

from twisted.internet import defer

from ..errors import ApiError
from ..wire.membership_pb2 import RunResponse

__all__ = ["RemoteRun"]


class RemoteRun:
    """The part of another gateway's run that was read so far; it is streamed to clients like a local run."""

    def __init__(self, run_id: str, position: int) -> None:
        self.id = run_id
        self.chunks: list[str] = [""] * position
        self.error: ApiError | None = None
        self.engine_name = ""
        self.settled = False
        self.readers = 1
        self._waiter: defer.Deferred[None] | None = None

    @property
    def outcome(self) -> str:
        """The outcome to report if the run failed: `not_run`, `unknown` or `failed`."""
        return self.error.outcome if self.error is not None else "failed"

    def add_response(self, response: RunResponse) -> None:
        """Adds the chunks and the end from a response of the run's gateway."""
        self.chunks += response.pieces
        if response.settled:
            error = ApiError(response.note, code=response.code, outcome=response.outcome) if response.code else None
            self.finish(error, response.engine)
        self._wake()

    def finish(self, error: ApiError | None, engine: str = "") -> None:
        """Settles the run, with or without an error."""
        self.error = error
        self.engine_name = engine
        self.settled = True
        self._wake()

    def wait_for_change(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires when chunks are added or the run is settled."""
        self._waiter = defer.Deferred(lambda _: None)
        return self._waiter

    def set_paused(self, paused: bool) -> None:
        """Does nothing: its own gateway keeps the chunks until they are read."""

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.called:
            self._waiter.callback(None)
