"""The record of each running request, and the passes that it goes through."""

import bisect
from datetime import timedelta
from itertools import accumulate

import attrs
from prometheus_client.core import HistogramMetricFamily
from twisted.internet import defer

from ..context import random_id
from ..errors import ApiError, EngineError, ReplicatedLogError
from ..state_machines import StateMachineMixin, state_machine_data

__all__ = ["RequestRecord", "RequestTable"]

_OUTCOMES = state_machine_data("request")["outcome"]


@attrs.define(eq=False, slots=False)
class RequestRecord(StateMachineMixin):
    """The record of one request in this process."""

    state_machine = "request"

    model: str
    prompt: str
    limit: timedelta
    prefix: str = ""
    repeatable: bool = False
    max_tokens: int = 256
    kind: str = "live"
    pool: str = ""
    customer: str = ""
    id: str = attrs.field(factory=random_id)
    engine: object = None
    tries: int = 0
    avoid: set = attrs.field(factory=set)
    pieces: list[str] = attrs.field(factory=list)
    size: int = 0
    fault: ApiError | None = None
    refusal: ApiError | None = None
    reached: bool = False
    left_at: timedelta | None = None
    readers: int = 0
    work: object = None
    mark: object = None
    still: object = None
    permit: object = None
    give_back: object = None
    feed: object = None
    on_first: object = None
    _moved: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self._init_state_machine()

    def give(self):
        """Gives the back end's place back, and the row's, once."""
        if self.permit is not None:
            permit, self.permit = self.permit, None
            permit()
        if self.give_back is not None:
            give_back, self.give_back = self.give_back, None
            give_back()

    def _release_engine(self):
        self.give()
        if self.engine is not None:
            self.avoid.add(self.engine.name)
        self.engine = None

    @property
    def lot(self) -> bool:
        return self.kind == "item"

    @property
    def outcome(self) -> str:
        said = _OUTCOMES[self.state]
        return "unknown" if said == "not_run" and self.reached else said

    @property
    def engine_name(self) -> str:
        return self.engine.name if self.engine is not None else ""

    @property
    def settled(self) -> bool:
        return self.fault is not None or self.state == "done"

    def show(self, text: str):
        self.trigger("receive")
        if not self.pieces and self.on_first is not None:
            self.on_first()
        self.pieces.append(text)
        self.size += len(text)
        self.move()

    def fail(self, fault: Exception):
        if not isinstance(fault, ApiError):
            fault = EngineError(str(fault) or type(fault).__name__, outcome=self.outcome)
        if self.reached and fault.outcome == "not_run":
            fault.outcome = "unknown"
        self.fault = fault
        self.move()

    def move(self):
        moved, self._moved = self._moved, []
        for d in moved:
            if not d.called:
                d.callback(None)

    def moved(self) -> defer.Deferred:
        d = defer.Deferred(lambda d: self._moved.remove(d) if d in self._moved else None)
        self._moved.append(d)
        return d


class Spread:
    """Counts of spans by their length, as a metric."""

    bounds = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0)

    def __init__(self):
        self._counts = [0] * (len(self.bounds) + 1)
        self._sum = 0.0

    def add(self, span: timedelta):
        s = span.total_seconds()
        self._counts[bisect.bisect_left(self.bounds, s)] += 1
        self._sum += s

    def family(self, name: str, text: str):
        names = [*map(str, self.bounds), "+Inf"]
        return HistogramMetricFamily(name, text, list(zip(names, accumulate(self._counts))), self._sum)


class RequestTable:
    """Mixin: requests are records in this table; named passes are run over each, in order.

    Offers `run`, `_retire`, `asks` and `first_pieces`, and the pass `_pass_mark`.
    Needs of the node: `_ctx`, `_hold`, and a coroutine `_pass_NAME` for each name in `passes`, which returns whether
    the passes begin again.
    Owns `asks` and `first_pieces`.
    """

    passes = {
        "live": ("admit", "pick", "relay"),
        "item": ("admit", "pick", "mark", "relay"),
        "fetch": ("admit", "pick", "fetch"),
    }

    def _open_table(self):
        self.asks: dict[str, RequestRecord] = {}
        self.first_pieces = Spread()

    async def run(self, ask: RequestRecord):
        """Runs the passes over one record until it is settled. Errors end up on the record."""
        self.asks[ask.id] = ask
        if ask.kind == "live":
            began = self._ctx.timers.now()
            ask.on_first = lambda: self.first_pieces.add(self._ctx.timers.now() - began)
        try:
            while not ask.settled:
                for name in self.passes[ask.kind]:
                    again = await getattr(self, "_pass_" + name)(ask)
                    if again:
                        break
        except defer.CancelledError:
            ask.trigger("lose")
            ask.fail(ApiError("the request was ended", code="ended", outcome=ask.outcome))
        except Exception as e:
            if not isinstance(e, (ApiError, ReplicatedLogError)):
                self._ctx.logger.failure("ask_failed", e, ask=ask.id)
            ask.trigger("lose")
            ask.fail(e)
        finally:
            ask.give()
            if ask.kind != "live" or not ask.readers:
                self._retire(ask)
        self._ctx.logger.debug(
            "ask",
            ask=ask.id,
            model=ask.model,
            state=ask.state,
            tries=ask.tries,
            pieces=len(ask.pieces),
            code=ask.fault.code if ask.fault else "ok",
        )

    async def _pass_mark(self, ask):
        """Before the first byte may leave: what must be durable first."""
        if ask.mark is not None:
            await ask.mark()

    def _retire(self, ask):
        if ask.id not in self.asks:
            return
        if ask.kind != "live":
            self.asks.pop(ask.id, None)
        else:
            self._ctx.timers.call_later(self._hold, self.asks.pop, ask.id, None)
