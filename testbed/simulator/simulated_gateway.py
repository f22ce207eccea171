"""Complete gateways in a simulation: real gateway code that streams from simulated engines."""

from typing import Any

from pipitlink.errors import ServiceUnavailable
from pipitlink.gateway import GatewayNode
from pipitlink.gateway.engine_relay import EngineRelay
from pipitlink.timers import secs

__all__ = ["SimulatedGateway"]

CONNECT_SECONDS = (0.001, 0.001, 0.02, 0.6)


class SimulatedGateway(GatewayNode):
    """A gateway whose engine streams are simulated: connecting takes time, then the engine calls the gateway."""

    simulation: Any = None

    def _make_engine_relay(self, sender: Any) -> EngineRelay:
        return SimulatedRelay(self.simulation, self._ctx, self.engines, sender)


class SimulatedRelay(EngineRelay):
    """Relays requests to the engines of a simulation."""

    def __init__(self, simulation: Any, *collaborators: Any) -> None:
        super().__init__(*collaborators)
        self.simulation = simulation

    async def exchange(self, request: Any, engine: Any) -> None:
        """Sends a request to an engine and waits for its end; raises ServiceUnavailable if the engine is down."""
        simulated_engine = self.simulation.engines[engine.name]
        await self._ctx.timers.sleep(secs(self.simulation.rng.choice(CONNECT_SECONDS)))
        if not simulated_engine.alive:
            raise ServiceUnavailable(f"{engine.name} could not be reached", code="unreached")
        self._sender.check_still_valid(request, engine)
        request.trigger("send")
        await simulated_engine.serve(self._ctx.reactor, request)
