"""Each node's HTTP interface for operators: state, health and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .errors import NotFound
from .http_server import HttpServer, LazyResource, Site, listen, side_connections
from .json_api import send_error, send_json
from .node_interfaces import ClusterStateEditor
from .timers import ms

if TYPE_CHECKING:
    from twisted.web.resource import Resource
    from twisted.web.server import Request

    from .context import Context
    from .node_interfaces import Node

__all__ = ["OperatorServer"]

MAX_BODY_BYTES = 32 * 1024 * 1024
CLOSE_TIMEOUT = ms(300)
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class OperatorServer:
    """Serves a node's state, liveness, readiness and metrics; on controllers also edits of the cluster state."""

    def __init__(self, ctx: Context, node: Node) -> None:
        self._ctx = ctx
        self._node = node
        self._server: HttpServer | None = None

    async def listen(self, host: str, port: int) -> int:
        """Binds the address for operators and returns the port number. Raises CannotListenError."""
        site = Site(LazyResource(self._build_resource), MAX_BODY_BYTES, side_connections(self._ctx))
        self._server = await listen(self._ctx, site, host, port)
        return self._server.port

    async def close(self) -> None:
        """Stops listening, and closes connections once the requests in progress have their responses."""
        if self._server is not None:
            await self._server.close(CLOSE_TIMEOUT)

    def _build_resource(self) -> Resource:
        from klein import Klein

        app = Klein()
        add = app.route
        add("/v1/beliefs", methods=["GET"])(self._show_state)
        add("/v1/status", methods=["GET"])(self._show_status)
        add("/v1/live", methods=["GET"])(self._show_liveness)
        add("/v1/ready", methods=["GET"])(self._show_readiness)
        add("/metrics", methods=["GET"])(self._show_metrics)
        if isinstance(self._node, ClusterStateEditor):
            self._node.add_routes(add)
        add("/", defaults={"path": ""})(self._show_not_found)
        add("/<path:path>")(self._show_not_found)
        return app.resource()

    def _show_not_found(self, request: Request, path: str) -> bytes:
        return send_error(request, NotFound(f"no resource at /{path}", code="no_such_path"))

    def _show_state(self, request: Request) -> bytes:
        from .node_report import reported_state_of

        return send_json(request, reported_state_of(self._ctx, self._node))

    def _show_status(self, request: Request) -> bytes:
        from .node_report import status_of

        return send_json(request, status_of(self._ctx, self._node))

    def _show_liveness(self, request: Request) -> bytes:
        return send_json(request, {"live": True})

    def _show_readiness(self, request: Request) -> bytes:
        ready, details = self._node.readiness()
        return send_json(request, {"ready": ready, **details}, 200 if ready else 503)

    def _show_metrics(self, request: Request) -> Any:
        from prometheus_client import CollectorRegistry, generate_latest

        from .node_metrics import NodeMetrics

        registry = CollectorRegistry()
        registry.register(NodeMetrics(self._ctx, self._node))
        request.setHeader(b"Content-Type", METRICS_CONTENT_TYPE)
        return generate_latest(registry)
