"""The HTTP interface of each node for operators: state, health and metrics."""

from .errors import NotFound
from .web import Late, Site, listen, send_fault, send_json

__all__ = ["OperatorFace"]


class OperatorFace:
    """What a node tells operators: its beliefs, whether it lives and is ready, and its metrics."""

    def __init__(self, ctx, node):
        self._ctx = ctx
        self._node = node
        self._port = None

    async def listen(self, host: str, port: int) -> int:
        self._port, port = await listen(self._ctx.reactor, Site(Late(self._resource), 32 * 1024 * 1024), host, port)
        return port

    def _resource(self):
        from klein import Klein

        app = Klein()
        add = app.route
        add("/v1/beliefs", methods=["GET"])(self._show_beliefs)
        add("/v1/status", methods=["GET"])(self._show_status)
        add("/v1/live", methods=["GET"])(self._live)
        add("/v1/ready", methods=["GET"])(self._ready)
        add("/metrics", methods=["GET"])(self._metrics)
        if hasattr(self._node, "routes"):
            self._node.routes(add)
        add("/", defaults={"path": ""})(self._nowhere)
        add("/<path:path>")(self._nowhere)
        return app.resource()

    async def end(self):
        if self._port is not None:
            await self._port.stopListening()

    def _nowhere(self, request, path):
        return send_fault(request, NotFound(f"nothing is at /{path}", code="no_such_path"))

    def _show_beliefs(self, request):
        return send_json(request, self.beliefs())

    def _show_status(self, request):
        return send_json(request, self.status())

    def _live(self, request):
        return send_json(request, {"live": True})

    def _ready(self, request):
        ok, words = self._node.readiness()
        return send_json(request, {"ready": ok, **words}, 200 if ok else 503)

    def _metrics(self, request):
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
        return generate_latest(registry)

    def _cluster_state(self):
        return getattr(self._node, "cluster_state", None) or self._ctx.cluster.cluster_state

    def beliefs(self) -> dict:
        cluster_state = self._cluster_state()
        me = self._ctx.membership.me
        out = {
            "node": me.node,
            "role": me.role,
            "zone": me.zone,
            "cluster": {
                "sequence": cluster_state.sequence,
                "table": cluster_state.table,
                "voters": ",".join(cluster_state.voters),
                "empty_zones": ",".join(sorted(cluster_state.empty_zones)),
            },
            "membership": {},
            "status": {},
            "storage_nodes": dict(cluster_state.storage_nodes),
            "placement_groups": {
                str(n): f"{s.sequence}:{','.join(s.storage_nodes)}:{s.joining}:{s.leaving}"
                for n, s in sorted(cluster_state.placement_groups.items())
            },
        }
        for m in [*self._ctx.membership.everyone()]:
            out["membership"][m.node] = f"{m.role} {m.zone} {m.host}:{m.port} {m.incarnation}"
            out["status"][m.node] = self._ctx.membership.status(m.node)
        out.update(self._node.beliefs())
        return out

    def status(self) -> dict:
        membership = self._ctx.membership
        peers = [
            {
                "node": m.node,
                "role": m.role,
                "zone": m.zone,
                "place": f"{m.host}:{m.port}",
                "http": m.http_port,
                "operator": m.operator_port,
                "status": membership.status(m.node),
            }
            for m in sorted(membership.everyone(), key=lambda m: (m.role, m.zone, m.node))
        ]
        ok, words = self._node.readiness()
        return {
            "node": membership.me.node,
            "role": membership.me.role,
            "ready": ok,
            **words,
            "peers": peers,
            "engines": self._node.beliefs().get("engines", {}),
        }

    def collect(self):
        from prometheus_client.core import GaugeMetricFamily

        cluster_state = self._cluster_state()
        yield GaugeMetricFamily(
            "pipitlink_cluster_sequence", "The cluster state's sequence here", cluster_state.sequence
        )
        yield GaugeMetricFamily("pipitlink_table_sequence", "The weight table's sequence here", cluster_state.table)
        seen = GaugeMetricFamily("pipitlink_peers", "Peers by role and status", labels=["role", "status"])
        counts: dict = {}
        for m in self._ctx.membership.everyone():
            key = (m.role, self._ctx.membership.status(m.node))
            counts[key] = counts.get(key, 0) + 1
        for key, n in sorted(counts.items()):
            seen.add_metric(key, n)
        yield seen
        changes = self._ctx.changes
        yield GaugeMetricFamily("pipitlink_changes_told", "Changes told as CloudEvents", changes.told)
        yield GaugeMetricFamily("pipitlink_changes_dropped", "Changes that could not be told", changes.dropped)
        for name, (text, value) in self._node.metrics().items():
            yield GaugeMetricFamily(f"pipitlink_{name}", text, value)
        if hasattr(self._node, "families"):
            yield from self._node.families()
