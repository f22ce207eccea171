"""The record of one request by route."""

from collections import Counter
from datetime import timedelta

import attrs

from ..errors import ApiError
from ..state_machines import StateMachineMixin, state_machine_data
from ..wire.cluster_pb2 import Route

__all__ = ["Call", "HOP_HEADERS", "prompt_parts"]

_OUTCOMES = state_machine_data("request")["outcome"]
HOP_HEADERS = frozenset(
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


def prompt_parts(value: bytes | None) -> list[tuple[str, int]]:
    """The parts of a prompt in order, as (id, tokens), from ID:TOKENS split by commas; what cannot be read is left
    out.
    """
    out = []
    for part in (value or b"").decode("ascii", "replace").split(","):
        name, _, tokens = part.strip().rpartition(":")
        if name and tokens.isdigit():
            out.append((name, int(tokens)))
    return out


@attrs.define(eq=False, slots=False)
class Call(StateMachineMixin):
    """The record of one request by route on its way to an engine. Head and body are opaque; what is known stands
    here.
    """

    state_machine = "request"

    id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: Route
    limit: timedelta
    sink: object
    began: timedelta
    repeatable: bool = False
    resumable: bool = False
    batch: bool = False
    parts: list[tuple[str, int]] = attrs.field(factory=list)
    tokens: int = 0
    last_event: int = 0
    still: object = None
    pool: str = ""
    engine: object = None
    link: object = None
    tries: int = 0
    runs: Counter = attrs.field(factory=Counter)
    sent_at: timedelta | None = None
    avoid: set = attrs.field(factory=set)
    headed: bool = False
    reached: bool = False
    ended: str = ""

    def __attrs_post_init__(self):
        self._init_state_machine()

    def _unpick(self):
        if self.engine is not None:
            self.avoid.add(self.engine.name)
        self.engine = self.link = None

    @property
    def outcome(self) -> str:
        said = _OUTCOMES[self.state]
        return "unknown" if said == "not_run" and self.reached else said

    @property
    def shared(self) -> list[tuple[str, int]]:
        """The parts that other requests may share: all but the last, which is the request's or its session's own."""
        return self.parts[:-1]

    @property
    def engines_run(self) -> set[str]:
        """The engines on which it may have run: those that were sent it and did not say that they did not run it."""
        return {name for name, exchanges in self.runs.items() if exchanges}

    @property
    def budget_spent(self) -> bool:
        """Whether it may run on no engine but those on which it may have run; items of batches may run anywhere."""
        return not self.batch and len(self.engines_run) >= max(1, self.route.max_tries)

    def forget_body(self):
        """Frees the body of a call that will not be sent again."""
        self.body = b""

    def stop(self, why: str):
        """Ends the exchange that is under way, if there is one; its engine sees the connection close."""
        self.ended = self.ended or why
        if self.link is not None:
            self.link.discard()

    def fault(self, text: str, **words) -> ApiError:
        return ApiError(text, outcome=self.outcome, **words)
