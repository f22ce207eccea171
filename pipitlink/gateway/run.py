"""The interface to a live request's response for its readers, at whichever gateway the request runs."""

from __future__ import annotations

from typing import Protocol

from twisted.internet import defer

from ..errors import ApiError

__all__ = ["Run"]


class Run(Protocol):
    """A live request of this gateway, or the local copy of another gateway's."""

    readers: int

    @property
    def id(self) -> str:
        """The run's id, which includes the name of its gateway."""

    @property
    def chunks(self) -> list[str]:
        """The chunks of the response received so far."""

    @property
    def error(self) -> ApiError | None:
        """The error, if the run failed."""

    @property
    def outcome(self) -> str:
        """The outcome to report if the run failed: `not_run`, `unknown` or `failed`."""

    @property
    def engine_name(self) -> str:
        """The name of the engine that the request ran on."""

    @property
    def settled(self) -> bool:
        """Whether the run has ended and no more chunks will be added."""

    def wait_for_change(self) -> defer.Deferred[None]:
        """Returns a Deferred that fires when a chunk is added or the run is settled."""

    def set_paused(self, paused: bool) -> None:
        """Applies backpressure: stops or resumes reading from the engine."""
