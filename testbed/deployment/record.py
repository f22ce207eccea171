"""What the stand-ins have seen on their sockets, and what was done to the machines; the checker reads nothing else."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import Any

import attrs

from .http_messages import Headers

__all__ = [
    "PROMISES",
    "Action",
    "ActionKind",
    "EngineRun",
    "Exchange",
    "LotRead",
    "LotRecord",
    "Order",
    "Record",
    "RouteKind",
    "RunEnd",
    "now",
]

PROMISES = (408, 421, 429, 503)
"""Statuses by which a gateway promises that a request did not run and never will."""


def now() -> float:
    """Returns the monotonic time in seconds."""
    return time.monotonic()


class RouteKind(StrEnum):
    """The kinds of routes in a configuration."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    BULK = "bulk"


@attrs.define(eq=False)
class Exchange:
    """One try of a client: what it sent to a gateway and what it got, with times in seconds.

    `sent_at` is when its last byte was sent, `head_at` when the head of its response came, None before. `is_complete`
    tells whether the whole response came, `gave_up` whether the client ended the connection. `is_after_close` marks a
    request that was sent behind another one at about the time at which the response to that announced the close.
    """

    request_id: str
    gateway: str
    route: str
    kind: RouteKind
    path: str
    body: bytes
    deadline_s: float
    events: int = 0
    is_repeatable: bool = True
    is_lot_call: bool = False
    started_at: float = attrs.field(factory=now)
    sent_at: float | None = None
    head_at: float | None = None
    ended_at: float | None = None
    is_after_close: bool = False
    status: int = 0
    headers: Headers = attrs.field(factory=dict)
    response: bytes = b""
    is_complete: bool = False
    is_malformed: bool = False
    gave_up: bool = False
    connection: int = 0
    error: str = ""

    @property
    def announces_close(self) -> bool:
        """Whether the head of the response says that the connection closes after it."""
        return self.headers.get("connection", "").lower() == "close"


class RunEnd(StrEnum):
    """How the work of an engine on a request ended; after a malformed response, nobody may believe any part of it."""

    RUNNING = "running"
    COMPLETE = "complete"
    DROPPED = "dropped"
    CRASHED = "crashed"
    MALFORMED = "malformed"


@attrs.define(eq=False)
class EngineRun:
    """One request that an engine began to run."""

    request_id: str
    engine: str
    service: str
    zone: str
    path: str
    body: bytes
    first_event: int
    started_at: float = attrs.field(factory=now)
    ended_at: float | None = None
    end: RunEnd = RunEnd.RUNNING


class ActionKind(StrEnum):
    """What was done to a machine, or what an engine did.

    A process exits while loading if a signal ends it that its program does not handle yet; it has read nothing.
    """

    START = "start"
    TERMINATE = "terminate"
    EXIT = "exit"
    EXIT_LOADING = "exit_loading"
    KILL = "kill"
    RELOAD = "reload"
    ENGINE_CRASH = "engine_crash"
    ENGINE_DRAIN = "engine_drain"


UNPLANNED = (ActionKind.KILL, ActionKind.ENGINE_CRASH)


@attrs.define(eq=False)
class Action:
    """One action, with its time in seconds; `subject` is the name of a machine or engine."""

    kind: ActionKind
    subject: str
    at: float = attrs.field(factory=now)

    @property
    def is_unplanned(self) -> bool:
        """Whether it is trouble, not planned work."""
        return self.kind in UNPLANNED


@attrs.define(eq=False)
class Order:
    """One order of the operator. `acknowledged_at` is None while it has no 2xx, `refused` if a 4xx ended it."""

    kind: str
    subject: str
    content: dict[str, Any] | None = None
    base: int = 0
    sent_at: float = attrs.field(factory=now)
    acknowledged_at: float | None = None
    refused_status: int = 0


@attrs.define(eq=False)
class LotRead:
    """The results that one read of a lot returned, from position `start` on, or its failure."""

    gateway: str
    start: int
    at: float
    status: int
    page: dict[str, Any] = attrs.field(factory=dict)


@attrs.define(eq=False)
class LotRecord:
    """One lot of a client: its items as (id, number of events), its tries, reads and end."""

    lot_id: str
    items: list[tuple[str, int]]
    bodies: dict[str, bytes]
    tries: list[Exchange] = attrs.field(factory=list)
    reads: list[LotRead] = attrs.field(factory=list)
    accepted_at: float | None = None
    end_sent_at: float | None = None
    end_acknowledged_at: float | None = None
    final_outputs: list[dict[str, Any]] | None = None


@attrs.define
class Record:
    """All that was seen and done in one run."""

    exchanges: list[Exchange] = attrs.field(factory=list)
    runs: list[EngineRun] = attrs.field(factory=list)
    actions: list[Action] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    lots: list[LotRecord] = attrs.field(factory=list)
    drained_engines: dict[str, float] = attrs.field(factory=dict)
    unasked_bytes: list[str] = attrs.field(factory=list)
    final_config: dict[str, Any] | None = None
    failures: list[str] = attrs.field(factory=list)

    def act(self, kind: ActionKind, subject: str) -> Action:
        """Records an action now."""
        action = Action(kind, subject)
        self.actions.append(action)
        return action
