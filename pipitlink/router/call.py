"""The record of one request while it is routed to an engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

import attrs

from ..errors import ApiError
from ..state_machines import StateMachineMixin
from ..state_machines.request_state import reportable_outcome
from ..wire.cluster_pb2 import PoolShare, Route
from .phase_timings import PhaseTimings

if TYPE_CHECKING:
    from .engine import Engine
    from .engine_connection import EngineConnection, Response

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "Call",
    "CallPhase",
    "Header",
    "PromptPart",
    "ResponseSink",
    "end_to_end_headers",
    "parse_prompt_parts",
    "parse_whole_number",
    "weighted_pools",
]

Header = tuple[bytes, bytes]

MAX_DIGITS = 15

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)


def end_to_end_headers(headers: Iterable[Header], kept: Collection[bytes]) -> list[Header]:
    """Returns the headers of a request that are passed on to an engine, with their names in lower case.

    These are all but those that concern only one connection: the hop-by-hop headers, and those that a Connection header
    names (RFC 9110, section 7.6.1). A Connection header cannot remove the headers in `kept`.
    """
    named = [(name.lower(), value) for name, value in headers]
    options = {option.strip().lower() for name, value in named if name == b"connection" for option in value.split(b",")}
    dropped = HOP_BY_HOP_HEADERS | (options - set(kept))
    return [(name, value) for name, value in named if name not in dropped]


class CallPhase(StrEnum):
    """The phases of a call, in order; each attempt passes through all but the first again."""

    READ = "read"
    CHOOSE = "choose"
    CONNECT = "connect"
    FIRST_BYTE = "first_byte"
    RELAY = "relay"


class PromptPart(NamedTuple):
    """A part of a prompt; equal ids mean equal text, which an engine may already have in its prefix cache."""

    part_id: str
    tokens: int


class ResponseSink(Protocol):
    """Receives the response to a call as it arrives."""

    def head(self, response: Response) -> None:
        """Receives the status and the headers; called once, before any data."""

    def data(self, data: bytes) -> None:
        """Receives a part of the body."""


def parse_whole_number(text: str | bytes | None) -> int | None:
    """Returns the number that a client states in a header, or None if it is missing, malformed or absurdly large."""
    if text is None:
        return None
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else None


def parse_prompt_parts(value: bytes | None) -> list[PromptPart]:
    """Parses the parts of a prompt, ID:TOKENS separated by commas, in order; skips those that are malformed."""
    parts = []
    for item in (value or b"").decode("ascii", "replace").split(","):
        part_id, _, text = item.strip().rpartition(":")
        tokens = parse_whole_number(text)
        if part_id and tokens is not None:
            parts.append(PromptPart(part_id, tokens))
    return parts


@attrs.define(eq=False, slots=False)
class Call(StateMachineMixin):
    """The record of one request while it is routed to an engine; its head and body are opaque.

    `precondition` is called right before each attempt is sent, and raises if the call must not be sent any more.
    `executions` counts, by engine, the attempts that may have run there. `has_lost_attempt` tells whether the outcome
    of an earlier attempt is unknown. `timings` are recorded only for requests of clients, not for batch items.
    `silence_limit` is how long the engine of an attempt may send nothing, if that is limited; `exceeded_silence_limit`
    tells whether an attempt was ended for that reason.
    """

    state_machine = "request"

    id: bytes
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    route: Route
    deadline: timedelta
    sink: ResponseSink
    is_idempotent: bool = False
    is_resumable: bool = False
    is_batch_item: bool = False
    prompt_parts: list[PromptPart] = attrs.field(factory=list)
    token_count: int = 0
    last_event: int = 0
    precondition: Callable[[], None] | None = None
    pool: str = ""
    engine: Engine | None = None
    connection: EngineConnection | None = None
    attempts: int = 0
    executions: Counter[str] = attrs.field(factory=Counter)
    sent_at: timedelta | None = None
    avoided_engines: set[str] = attrs.field(factory=set)
    head_forwarded: bool = False
    has_lost_attempt: bool = False
    abort_reason: str = ""
    silence_limit: timedelta | None = None
    exceeded_silence_limit: bool = False
    timings: PhaseTimings | None = None

    def __attrs_post_init__(self) -> None:
        self._init_state_machine()

    def _release_engine(self) -> None:
        """The action of the state transitions that end an attempt."""
        if self.engine is not None:
            self.avoided_engines.add(self.engine.name)
        self.engine = self.connection = None

    def end_phase(self, phase: CallPhase) -> None:
        """Records the end of a phase, if the timings of this call are recorded."""
        if self.timings is not None:
            self.timings.end_phase(phase)

    def phase_ms(self, phase: CallPhase) -> int:
        """Returns the whole milliseconds spent in a phase; 0 if the timings of this call are not recorded."""
        return self.timings.phase_ms(phase) if self.timings is not None else 0

    @property
    def outcome(self) -> str:
        """What is known about its execution: `not_run`, `unknown` or `failed`."""
        outcome = reportable_outcome(self.state)
        return "unknown" if outcome == "not_run" and self.has_lost_attempt else outcome

    @property
    def shared_parts(self) -> list[PromptPart]:
        """The prompt parts that other requests may share: all but the last, which is specific to it or its session."""
        return self.prompt_parts[:-1]

    @property
    def own_part_tokens(self) -> int:
        """The tokens of the last prompt part, which no engine has cached."""
        return self.prompt_parts[-1].tokens if self.prompt_parts else 0

    @property
    def engines_run(self) -> set[str]:
        """The engines on which it may have run: those that got it and have not reported it as not executed."""
        return {name for name, executions in self.executions.items() if executions}

    @property
    def budget_spent(self) -> bool:
        """Whether it may only be retried on engines that may have run it; batch items have no such limit."""
        return not self.is_batch_item and len(self.engines_run) >= max(1, self.route.max_attempts)

    def discard_body(self) -> None:
        """Frees the memory of the body of a call that will not be sent again."""
        self.body = b""

    def discard_connection(self) -> None:
        """Closes the connection of the attempt in progress, if any."""
        if self.connection is not None:
            self.connection.discard()

    def abort(self, reason: str) -> None:
        """Ends the call and its attempt in progress, whose connection is closed."""
        self.abort_reason = self.abort_reason or reason
        self.discard_connection()

    def error(self, text: str, code: str, status: int = 0) -> ApiError:
        """Returns an error with the outcome of this call; without a status, the response has status 500."""
        return ApiError(text, outcome=self.outcome, code=code, status=status)


def weighted_pools(route: Route) -> list[PoolShare]:
    """Returns the pools of a route whose weight is above zero, with their weights."""
    return [candidate for candidate in route.shares if candidate.share > 0]
