"""The gateway node of the models interface, put together from its mixins."""

from klein import Klein

from ..errors import NotFound
from ..timers import ms, secs
from ..web import Site, listen, send_error, send_json
from .dispatch import Dispatch
from .engines import Engines
from .fetching import Fetching
from .intake import Intake
from .keyed import Keyed
from .limits import ComeBack, Limits
from .live import Live
from .lots import Lots
from .picking import Admitting, Picking, RetryBudget
from .relaying import Relaying
from .requests import RequestTable
from .results import Results
from .runs import Runs

__all__ = ["GatewayNode"]

DRAIN = secs(6)


class GatewayNode(
    Admitting, Picking, Limits, Relaying, Live, Runs, Fetching, Intake, Keyed, Lots, Dispatch, Results, RequestTable
):
    """A gateway of the models interface: live requests, fetches and lots on the same engines.

    RequestTable runs each request through named passes, and the mixins supply them:

    - Admitting, Picking (with Limits for rates and concurrency), then Relaying or Fetching are a request's way out.
    - Live and Runs are the callers' side of a live request: start, stream, resume here or through another gateway.
    - Intake and Keyed make lots durable, Lots knows the open ones, Dispatch owns and runs them, Results shows them.

    This class owns the engines, the retry budget and the HTTP server, and opens the mixins in the order they need.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self.engines = Engines(ctx)
        self._retry_budget = RetryBudget()
        self.come_back = ComeBack(ctx.timers)
        self._hold = secs(ctx.settings.resume_hold_s)
        self._waiting = 0
        self._port = None
        self._draining = False
        self._opened_at = ctx.timers.now()

    def open(self):
        self._open_table()
        self._open_relaying()
        self.engines.open()
        self._open_limits()
        self._open_runs()
        self._open_intake()
        self._open_keyed()
        self._open_lots()
        self._open_results()
        self._open_dispatch()

    async def listen(self, host: str, port: int) -> int:
        site = Site(self._routes().resource(), self._ctx.settings.max_body_kb * 1024)
        self._port, port = await listen(self._ctx.reactor, site, host, port)
        return port

    def current(self) -> bool:
        return not self._draining and self._ctx.cluster.ready()

    async def keep(self, log: str):
        """Holds a log and shadows it into the caches."""
        h = await self._ctx.replicated_log.acquire(log)
        self._ctx.cache.start_log_writer(log, h)
        return h

    def _routes(self) -> Klein:
        app = Klein()
        add = app.route
        add("/v1/generate", methods=["POST"])(self.generate)
        add("/v1/generate/<run>", methods=["GET"])(self.resume)
        add("/v1/engines", methods=["POST"])(self.announce)
        add("/v1/fetch/<pool>/", methods=["GET"])(self.fetch)
        add("/v1/fetch/<pool>/<path:path>", methods=["GET"])(self.fetch)
        add("/v1/lots", methods=["POST"])(self.take_lot)
        add("/v1/lots/<lot>", methods=["GET"])(self.show_lot)
        add("/v1/lots/<lot>/results", methods=["GET"])(self.show_results)
        add("/v1/lots/<lot>", methods=["DELETE"])(self.end_lot)
        add("/v1/ready", methods=["GET"])(self.ready)
        add("/v1/live", methods=["GET"])(lambda request: send_json(request, {"live": True}))
        add("/", defaults={"path": ""})(self._nowhere)
        add("/<path:path>")(self._nowhere)
        return app

    def ready(self, request):
        ok = self.current()
        return send_json(request, {"ready": ok, "cluster": self._ctx.cluster.sequence}, 200 if ok else 503)

    def _nowhere(self, request, path):
        return send_error(request, NotFound(f"nothing is at /{path}", code="no_such_path"))

    def readiness(self):
        cluster = self._ctx.cluster
        return self.current(), {"cluster": cluster.sequence, "currency": cluster.state}

    def beliefs(self) -> dict:
        engines = {
            e.name: f"{self.engines.status(e)} {e.news.address} {e.news.incarnation}" for e in self.engines.all()
        }
        leases = {
            log: f"{self._ctx.node}@{h.epoch}" for log, h in sorted(self._ctx.replicated_log.leaseholders.items())
        }
        return {"engines": engines, "leases": leases}

    def metrics(self) -> dict:
        counts = self._ctx.cache.counts
        out = {
            f"cache_{name}": (f"Chunks or reads: {name}", counts[name])
            for name in ("relaxed", "consistent", "durable", "durable_reads", "hedged", "unheard")
        }
        out["asks"] = ("Requests in the table", len(self.asks))
        out["open_lots"] = ("Lots known to be open", len(self.open_lots))
        out["owned_lots"] = ("Lots this gateway owns", sum(o.leaseholder is not None for o in self.open_lots.values()))
        out["running"] = ("Requests on engines from here", sum(e.mine for e in self.engines.all()))
        out["cache_bytes"] = ("Bytes in the data cache here", self._ctx.cache.chunks.size)
        return out

    def metric_families(self):
        return [
            self.first_pieces.family(
                "pipitlink_first_piece_seconds", "From a live request's arrival to its first piece"
            )
        ]

    async def end(self):
        """Drains: nothing new is admitted, what runs may end, and the leases are handed over."""
        self._draining = True
        if self._port is not None:
            await self._port.stopListening()
        until = self._ctx.timers.now() + DRAIN
        while any(not a.settled for a in self.asks.values()) and self._ctx.timers.now() < until:
            await self._ctx.timers.sleep(ms(50))
        for o in self.open_lots.values():
            self._lose(o)
        await self._ctx.replicated_log.release(list(self._ctx.replicated_log.leaseholders.values()))
        await self._ctx.membership.leave()
