"""The gateway node of the routes interface, put together from its mixins."""

from twisted.web import resource

from ..timers import ms
from ..web import Site, listen, send_json
from .batch_intake import BatchIntake
from .batch_read import BatchRead
from .batch_run import BatchRun
from .batches import Batches
from .choosing import Choosing
from .engines import Engines
from .front import Front
from .items import Items
from .links import Links
from .quota import Quota
from .relay import Relay

__all__ = ["RouterNode"]


class _Readiness(resource.Resource):
    """Says at every path whether the gateway takes requests."""

    isLeaf = True

    def __init__(self, node):
        super().__init__()
        self._node = node

    def render(self, request):
        ok, words = self._node.readiness()
        return send_json(request, {"ready": ok, **words}, 200 if ok else 503)


class RouterNode(Front, Choosing, Relay, Items, Batches, BatchIntake, BatchRun, BatchRead, Quota):
    """A gateway that serves by routes: opaque requests to engines of pools, and batches on the same engines.

    The mixins form two paths that meet in Relay:

    - Front takes callers' requests; Relay sends each as a Call to the engine that Choosing picks.
    - BatchIntake makes batches durable, admitted by Quota; Batches owns them by leases; BatchRun feeds their items
      through Items to Relay; BatchRead shows and ends them at any gateway.

    This class owns the engines, the connections to them and the readiness server; Batches opens the other batch mixins.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self.engines = Engines(ctx)
        self.links = Links(ctx)
        self._ready_port = None
        self._draining = False

    def open(self):
        self._open_front()
        self.engines.open()
        self._open_choosing()
        self._open_relay()
        self._open_batches()

    async def listen(self, host: str, port: int) -> int:
        if self._ctx.settings.ready_port:
            site = Site(_Readiness(self), 1024)
            self._ready_port, _ = await listen(self._ctx.reactor, site, host, self._ctx.settings.ready_port)
        return await self.listen_callers(host, port)

    @property
    def dialect(self):
        return self._ctx.dialect

    def current(self) -> bool:
        return self._ctx.cluster.usable()

    def readiness(self):
        cluster = self._ctx.cluster
        ok = (
            not self._draining
            and self.current()
            and cluster.cluster_state.routes.version > 0
            and bool(self.engines.all())
        )
        return ok, {"cluster": cluster.sequence, "currency": cluster.state}

    def beliefs(self) -> dict:
        engines = {e.name: f"{self.engines.status(e)} {e.address}" for e in self.engines.all()}
        leases = {
            log: f"{self._ctx.node}@{h.epoch}" for log, h in sorted(self._ctx.replicated_log.leaseholders.items())
        }
        return {"engines": engines, "leases": leases}

    def metrics(self) -> dict:
        out = {f"calls_{name}": (f"Calls to engines: {name}", n) for name, n in self.counts.items()}
        out["calls"] = ("Calls under way", len(self.calls))
        out["links_opened"] = ("Connections opened to engines", self.links.opened)
        out.update({f"refused_{code}": (f"Requests refused: {code}", n) for code, n in self.refused.items()})
        out.update(self.batch_metrics())
        return out

    async def end(self):
        """Drains: not ready at once, new requests are served a while, what runs may end, leases are handed over."""
        self._draining = True
        p = self._ctx.settings
        until = self._ctx.timers.now() + ms(p.drain_ms)
        batches = self._ctx.run_in_background(self._end_batches(), "drain_batches")
        await self.end_front(ms(p.accept_ms), until)
        await batches
        for call in list(self.calls):
            call.stop("ending")
        self.links.close()
        if self._ready_port is not None:
            await self._ready_port.stopListening()
        await self._ctx.membership.leave()
