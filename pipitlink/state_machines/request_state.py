"""The states of a request that is sent to an engine (`request.toml`), shared by gateway and router."""

from __future__ import annotations

from enum import StrEnum

from . import state_machine_data

__all__ = ["RequestState", "reportable_outcome"]

_OUTCOMES: dict[str, str] = state_machine_data("request")["outcome"]


class RequestState(StrEnum):
    """The states of the state machine `request`."""

    WAITING = "waiting"
    ENGINE_CHOSEN = "engine_chosen"
    SENT = "sent"
    RESPONDING = "responding"
    DONE = "done"
    LOST = "lost"


def reportable_outcome(state: str) -> str:
    """Returns the outcome to report if an attempt fails in a state: `not_run`, `failed` or `unknown`."""
    return _OUTCOMES[state]
