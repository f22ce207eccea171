"""Reads live runs that another gateway holds."""

from twisted.internet import defer

from ..context import random_id
from ..errors import ApiError, NotFound, RemoteError, WireError
from ..timers import ms, secs
from ..wire.membership_pb2 import RunRequest, RunResponse

__all__ = ["Runs", "FarRun"]

HOLD = ms(250)
ASK_LIMIT = secs(1)
MOST = 256


class FarRun:
    """A run that another gateway holds, as far as it has been read here; written out like a run of this gateway's
    own.
    """

    feed = None

    def __init__(self, run: str, start: int):
        self.id = run
        self.pieces: list = [""] * start
        self.fault: ApiError | None = None
        self.engine_name = ""
        self.settled = False
        self.readers = 1
        self._moved: defer.Deferred | None = None

    @property
    def outcome(self) -> str:
        return self.fault.outcome if self.fault is not None else "failed"

    def take(self, r: RunResponse):
        self.pieces += r.pieces
        if r.settled:
            self.end(ApiError(r.note, code=r.code, outcome=r.outcome) if r.code else None, r.engine)
        self._move()

    def end(self, fault: ApiError | None, engine: str = ""):
        self.fault, self.engine_name, self.settled = fault, engine, True
        self._move()

    def _move(self):
        if self._moved is not None and not self._moved.called:
            self._moved.callback(None)

    def moved(self) -> defer.Deferred:
        self._moved = defer.Deferred(lambda _: None)
        return self._moved


class Runs:
    """Mixin: a run's id names the gateway that holds it, and any gateway passes a resume on to that one.

    Offers `new_run`, `held_run`, `run_place`, `_ask_run` and `_follow_run`, and answers `runs.read`.
    Needs of the node: `_ctx`; of RequestTable: `asks`; of Live: `_leave`.
    Owns no attributes.
    """

    def _open_runs(self):
        self._ctx.rpc.register_handler("runs.read", RunRequest, self._read_run)

    def new_run(self) -> str:
        return f"{self._ctx.node}-{random_id()}"

    def held_run(self, run: str):
        ask = self.asks.get(run)
        if ask is None or ask.kind != "live":
            raise NotFound(
                "that run is not held any more; what it did is not known here", code="run_not_held", outcome="unknown"
            )
        return ask

    def run_place(self, run: str) -> tuple[str, int] | None:
        """Where a run that is not held here may be held; none where its gateway is gone."""
        node = run.partition("-")[0]
        m = self._ctx.membership.find(node)
        gone = m is None or node == self._ctx.node or self._ctx.membership.status(node) == "gone"
        return None if gone else (m.host, m.port)

    async def _read_run(self, node, ask: RunRequest) -> RunResponse:
        """What there is from a place on, or soon will be. A reader holds the run as a caller here does."""
        held = self.held_run(ask.run)
        start = getattr(ask, "from")
        if start > len(held.pieces):
            raise ApiError(f"the run has {len(held.pieces)} pieces", code="bad_field", status=416, outcome="not_run")
        held.readers += 1
        held.left_at = None
        try:
            if not held.settled and len(held.pieces) <= start:
                await self._ctx.timers.wait_at_most(held.moved(), HOLD)
        finally:
            held.readers -= 1
            self._leave(held)
        out = RunResponse(pieces=held.pieces[start : start + MOST])
        if held.settled and start + len(out.pieces) == len(held.pieces):
            out.settled = True
            if held.fault is not None:
                out.code, out.note, out.outcome = held.fault.code, str(held.fault), held.outcome
            else:
                out.engine = held.engine_name
        return out

    async def _follow_run(self, far: FarRun, place, first: RunResponse):
        """One task that reads a far run on while somebody here reads it."""
        far.take(first)
        try:
            while not far.settled and far.readers:
                far.take(await self._ask_run(far, place))
        except (WireError, RemoteError) as e:
            far.end(ApiError(f"the gateway that holds the run was lost: {e}", code="run_lost", outcome="unknown"))

    async def _ask_run(self, far: FarRun, place) -> RunResponse:
        ask = RunRequest(run=far.id, **{"from": len(far.pieces)})
        return await self._ctx.rpc.call(place, "runs.read", ask, RunResponse, ASK_LIMIT)
