"""The HTTP handler for the announcements of engines."""

from __future__ import annotations

from twisted.web.server import Request

from ..context import Context
from ..json_api import http_handler, send_json
from ..wire.membership_pb2 import EngineUpdate
from .engine_registry import EngineRegistry
from .request_bodies import EngineBody, read_json

__all__ = ["EngineApi"]

RENEW_INTERVAL_MS = 1000


class EngineApi:
    """Accepts announcements of engines, and responds with the gateways at which they may renew them."""

    def __init__(self, ctx: Context, registry: EngineRegistry) -> None:
        self._ctx = ctx
        self._registry = registry

    @http_handler
    async def announce(self, request: Request) -> bytes:
        """Accepts an announcement; responds with the interval to renew it and the addresses of the gateways."""
        body = read_json(request, EngineBody)
        self._registry.announce(
            EngineUpdate(
                engine=body.engine,
                incarnation=body.incarnation,
                address=body.address,
                pool=body.pool,
                models=body.models,
                capacity=body.capacity,
                zone=body.zone,
                state=body.state,
            )
        )
        response: bytes = send_json(request, {"renew_ms": RENEW_INTERVAL_MS, "gateways": self._gateway_addresses()})
        return response

    def _gateway_addresses(self) -> list[str]:
        gateways = self._ctx.membership.members("gateway", statuses=("alive",))
        return [f"{member.host}:{member.http_port}" for member in gateways]
