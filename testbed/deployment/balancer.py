"""The platform's balancer: asks gateways whether they are ready, and gives new connections to those that are."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from .client_connection import exchange_once
from .machines import Machine

__all__ = ["Balancer", "OnlyGateway"]

PROBE_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2


class Balancer:
    """Chooses a gateway for each new connection."""

    def __init__(self, gateways: Sequence[Machine], rng: Random) -> None:
        self._gateways = gateways
        self._rng = rng
        self._misses = {gateway.name: MISSES_UNTIL_OUT for gateway in gateways}

    async def run(self) -> None:
        """Probes all gateways until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(gateway) for gateway in self._gateways))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, gateway: Machine) -> None:
        status = await exchange_once(gateway.readiness_address, "GET", "/ready", {}, b"", PROBE_INTERVAL_S)
        self._misses[gateway.name] = 0 if status == 200 else self._misses[gateway.name] + 1

    def ready(self) -> list[Machine]:
        """Returns the gateways that are in."""
        return [gateway for gateway in self._gateways if self._misses[gateway.name] < MISSES_UNTIL_OUT]

    def pick(self) -> Machine:
        """Returns a gateway; any of them while less than half are in."""
        ready = self.ready()
        return self._rng.choice(ready if 2 * len(ready) >= len(self._gateways) else list(self._gateways))


class OnlyGateway:
    """A balancer that knows one gateway, and gives it all connections."""

    def __init__(self, gateway: Machine) -> None:
        self._gateway = gateway

    def pick(self) -> Machine:
        """Returns the gateway."""
        return self._gateway
