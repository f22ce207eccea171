"""A live request's response as its readers see it, wherever the request runs."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer

from ..errors import ApiError

__all__ = ["Run"]


class Run(Protocol):
    """A live request of this gateway's own, or the local replica of another gateway's."""

    readers: int

    @property
    def id(self) -> str:
        """The run's id, which names its gateway."""

    @property
    def chunks(self) -> list[str]:
        """The chunks of the response that have come."""

    @property
    def error(self) -> ApiError | None:
        """Why it failed, if it did."""

    @property
    def outcome(self) -> str:
        """What may be told of it if it failed: `not_run`, `unknown` or `failed`."""

    @property
    def engine_name(self) -> str:
        """The engine that it ran on."""

    @property
    def settled(self) -> bool:
        """Whether no chunk will come any more."""

    def wait_for_change(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires when a chunk was added or the run is settled."""

    def set_paused(self, paused: bool) -> None:
        """Applies backpressure: stops or resumes reading from the engine."""
