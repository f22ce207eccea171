"""Engines in a simulation: they announce themselves to gateways and stream responses chunk by chunk."""

from typing import Any

from twisted.internet import defer

from pipitlink.errors import EngineError, ServiceUnavailable
from pipitlink.wire.membership_pb2 import EngineUpdate

from ..standins.engine import response_pieces
from .simulation import Simulation
from .virtual_time import NodeReactor

__all__ = ["SimulatedEngine"]

ADDRESS = "10.0.0.9:1"
CHUNK_SECONDS = 0.04
DELIVERY_SECONDS = 0.002
HEARTBEAT_SECONDS = 1.0
MAX_CHUNKS = 256


class _Call(defer.Deferred[None]):
    """A request that an engine serves, bound to the reactor of the gateway incarnation that sent it."""

    def __init__(self, reactor: NodeReactor) -> None:
        super().__init__(lambda _: None)
        self._reactor = reactor

    @property
    def active(self) -> bool:
        """Whether the gateway incarnation that sent the request is still running."""
        return not self._reactor.stopped

    def finish(self, error: Exception | None) -> None:
        """Ends the request at the gateway: after a thaw if the gateway is frozen, never if it was killed."""
        self._reactor.callLater(0, self._finish, error)

    def _finish(self, error: Exception | None) -> None:
        if self.called:
            return
        if error is not None:
            self.errback(error)
        else:
            self.callback(None)

    def append_chunk(self, request: Any, chunk: Any) -> None:
        """Delivers a chunk to the gateway."""
        self._reactor.callLater(0, self._append_chunk, request, chunk)

    def _append_chunk(self, request: Any, chunk: Any) -> None:
        if not self.called:
            request.append_chunk(chunk)


class SimulatedEngine:
    """An engine that can crash, shut down and stop announcing itself; it records every run."""

    def __init__(self, simulation: Simulation, name: str, zone: str, capacity: int = 4) -> None:
        self.simulation, self.name, self.zone, self.capacity = simulation, name, zone, capacity
        self.step = CHUNK_SECONDS
        self.notes: list[dict[str, Any]] = simulation.notes
        self.alive, self.silent, self.state, self.incarnation = True, False, "ready", 0
        self.running: dict[str, _Call] = {}
        self.open()

    def note(self, event: str, **details: Any) -> None:
        """Records an event with its time."""
        self.notes.append({"at": self.simulation.clock.seconds(), "engine": self.name, "event": event, **details})

    def open(self) -> None:
        """Starts a new incarnation, which sends a heartbeat each second."""
        self.alive, self.state = True, "ready"
        self.incarnation += 1
        self.note("open")
        self._send_heartbeat(self.incarnation)

    def _send_heartbeat(self, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        gateways = self.simulation.role("gateway", alive=True)
        if gateways and not self.silent:
            self._announce(gateways)
        self.simulation.clock.callLater(HEARTBEAT_SECONDS, self._send_heartbeat, incarnation)

    def _announce(self, gateways: list[Any]) -> None:
        update = EngineUpdate(
            engine=self.name,
            incarnation=self.incarnation,
            address=ADDRESS,
            pool="models",
            models=["m"],
            capacity=self.capacity,
            zone=self.zone,
            state=self.state,
        )
        self.simulation.rng.choice(gateways).part.engines.announce(update)

    def leave(self) -> None:
        """Announces that the engine shuts down gracefully."""
        self.state = "leaving"
        gateways = self.simulation.role("gateway", alive=True)
        if gateways:
            self._announce(gateways)
            self.note("told", state="leaving")

    def crash(self) -> None:
        """Stops the engine at once and fails all its running requests."""
        self.alive = False
        for run, call in list(self.running.items()):
            self._end(run, "cut", call, EngineError("the engine's token stream was cut short", code="cut_short"))

    def _end(self, run: str, event: str, call: _Call, error: Exception | None = None) -> None:
        self.running.pop(run, None)
        self.note(event, run=run)
        if not call.called and call.active:
            call.finish(error)

    def serve(self, reactor: NodeReactor, request: Any) -> "defer.Deferred[None]":
        """Accepts a request; from then on it runs independently of the gateway that sent it."""
        call = _Call(reactor)
        run = f"{request.id}.{request.attempts}"
        chunks = response_pieces(request.prompt, MAX_CHUNKS)
        self.simulation.clock.callLater(DELIVERY_SECONDS, self._begin, run, request, call, chunks)
        return call

    def _begin(self, run: str, request: Any, call: _Call, chunks: list[str]) -> None:
        if not self.alive:
            self._end(run, "lost", call, EngineError("no response was received", code="lost"))
            return
        if call.called:
            return
        if len(self.running) >= self.capacity:
            self.note("refused", run=run)
            call.finish(ServiceUnavailable("busy", code="engine_crowded"))
            return
        self.note("run", run=run, prompt=request.prompt, model=request.model)
        self.running[run] = call
        self.simulation.clock.callLater(self.step, self._send_chunk, run, request, call, chunks, 0)

    def _send_chunk(self, run: str, request: Any, call: _Call, chunks: list[str], position: int) -> None:
        if run not in self.running:
            return
        if call.called or not call.active:
            self._end(run, "left", call)
        elif position == len(chunks):
            self._end(run, "done", call)
        else:
            call.append_chunk(request, chunks[position])
            next_position = position + 1
            self.simulation.clock.callLater(self.step, self._send_chunk, run, request, call, chunks, next_position)
