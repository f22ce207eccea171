"""The operator of a soak run: hands in configurations, evacuates zones, and reads the configuration back."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from random import Random
from typing import Any

from .bounds import LIMITS, ZONES, seconds
from .client_connection import fetch_once
from .configurations import SWAPPED_SERVICES, configuration, padding_routes
from .record import Order, Record, now

__all__ = ["Operator"]

CALL_TIMEOUT_S = 1.0
PATIENCE_S = 20.0
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5
MAX_EXTRA_ROUTES = 4
CLEAR_FAILURES = (400, 409, 412, 413, 422)


class Operator:
    """Sends each order to one controller after another until there is a clear answer.

    `limits` replaces limits of the configurations that it hands in.
    """

    def __init__(
        self, controllers: list[str], record: Record, rng: Random, limits: Mapping[str, int] | None = None
    ) -> None:
        self._controllers = controllers
        self._limits = {**LIMITS, **(limits or {})}
        self._record = record
        self._rng = rng
        self._version = 0
        self._used_versions = {0}
        self._extra_routes: list[str] = []
        self._route_number = 0
        self._padding: list[dict[str, Any]] = []
        self.evacuated: str | None = None

    async def hand_in_first(self) -> None:
        """Hands in the first configuration. Raises RuntimeError if no controller takes it."""
        await self._hand_in(self._next_config())
        if not self._version:
            raise RuntimeError("the first configuration was not taken")

    def extra_routes(self) -> list[str]:
        """Returns the names of the routes that the newest acknowledged configuration has beside those of all."""
        return self._extra_routes

    async def change_config(self) -> None:
        """Hands in a configuration that adds or removes routes, or moves one to another service."""
        await self._hand_in(self._next_config())

    async def race(self) -> None:
        """Lets two operators hand in different configurations on top of the same version."""
        await asyncio.gather(self._hand_in(self._next_config()), self._hand_in(self._next_config()))

    def add_padding(self, size: int) -> None:
        """Adds routes that nobody uses, of about `size` bytes, to all further configurations."""
        self._padding = padding_routes(size)

    def _next_config(self) -> dict[str, Any]:
        version = max(self._used_versions) + self._rng.randint(1, 3)
        self._used_versions.add(version)
        self._route_number += 1
        extra = [*self._extra_routes, f"extra{self._route_number}"][-self._rng.randint(1, MAX_EXTRA_ROUTES) :]
        config = configuration(version, self._rng.choice(SWAPPED_SERVICES), extra, self._limits)
        config["routes"] += self._padding
        return config

    async def _hand_in(self, config: dict[str, Any]) -> None:
        order = Order("config", str(config["version"]), config, self._version)
        await self._send(order, "PUT", "/config", json.dumps(config).encode(), {"If-Match": str(order.base)})
        if order.acknowledged_at is not None and config["version"] > self._version:
            self._version = config["version"]
            self._extra_routes = [row["name"] for row in config["routes"] if row["name"].startswith("extra")]

    async def evacuate_or_return(self) -> None:
        """Evacuates a zone, or takes the evacuation in force back."""
        if self.evacuated is None:
            self.evacuated = self._rng.choice(ZONES[:3])
            await self._send(Order("evacuate", self.evacuated), "POST", f"/evacuations/{self.evacuated}", b"", {})
            return
        zone, self.evacuated = self.evacuated, None
        await self._send(Order("return", zone), "DELETE", f"/evacuations/{zone}", b"", {})

    async def _send(self, order: Order, method: str, path: str, body: bytes, headers: dict[str, str]) -> None:
        """Sends an order until it has a clear answer; orders other than configurations for `ack_ms` only."""
        self._record.orders.append(order)
        patience_s = PATIENCE_S if order.kind == "config" else seconds("ack_ms")
        deadline, pause_s = now() + patience_s, FIRST_PAUSE_S
        while now() < deadline:
            for controller in self._rng.sample(self._controllers, len(self._controllers)):
                status, _ = await fetch_once(controller, method, path, headers, body, CALL_TIMEOUT_S)
                if 200 <= status < 300:
                    order.acknowledged_at = now()
                    return
                if status in CLEAR_FAILURES:
                    order.refused_status = status
                    return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def read_back(self) -> dict[str, Any] | None:
        """Returns the newest configuration, asked for over and over for `contact_ms`, or None if it does not come."""
        config: dict[str, Any] | None = None
        deadline = now() + seconds("contact_ms")
        while now() < deadline:
            for controller in self._controllers:
                status, body = await fetch_once(controller, "GET", "/config", {}, b"", CALL_TIMEOUT_S)
                if status == 200:
                    config = json.loads(body)
            await asyncio.sleep(FIRST_PAUSE_S)
        return config
