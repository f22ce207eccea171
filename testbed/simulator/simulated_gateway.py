"""Whole gateways in a simulation, with simulated engines: the gateways' own code from a lot's intake to an item's first
byte.
"""

from twisted.internet import defer

from pipitlink.errors import ApiError, EngineError, PipitlinkError, ServiceUnavailable
from pipitlink.gateway import GatewayNode
from pipitlink.gateway.engine_relay import EngineRelay
from pipitlink.gateway.job_api import results_page
from pipitlink.gateway.request_record import RequestRecord
from pipitlink.timers import ms, secs, spawn, wall_ms
from pipitlink.wire.lots_pb2 import Item, Lot
from pipitlink.wire.membership_pb2 import EngineUpdate

from ..standins.engine import answer_pieces

__all__ = ["SimulatedGateway", "SimulatedEngine", "SimulatedClients"]

STEP = 0.04


class SimulatedGateway(GatewayNode):
    """A gateway with simulated streams to engines: a connect takes a while, and then the engine runs by itself."""

    simulation = None

    def _make_engine_relay(self, sender):
        return SimulatedRelay(self.simulation, self._ctx, self.engines, sender)


class SimulatedRelay(EngineRelay):
    """Exchanges requests with the engines of a simulation."""

    def __init__(self, simulation, *parts):
        super().__init__(*parts)
        self.simulation = simulation

    async def exchange(self, request, engine):
        simulated_engine = self.simulation.engines[engine.name]
        await self._ctx.timers.sleep(secs(self.simulation.rng.choice((0.001, 0.001, 0.02, 0.6))))
        if not simulated_engine.alive:
            raise ServiceUnavailable(f"{engine.name} could not be reached", code="unreached")
        self._sender.check_still_valid(request, engine)
        request.trigger("send")
        await simulated_engine.serve(self._ctx.reactor, request)


class SimulatedEngine:
    def __init__(self, simulation, name, zone, capacity=4):
        self.simulation, self.name, self.zone, self.capacity = simulation, name, zone, capacity
        self.step = STEP
        self.notes: list[dict] = simulation.notes
        self.alive, self.silent, self.state, self.incarnation = True, False, "ready", 0
        self.running: dict[str, defer.Deferred] = {}
        self.open()

    def note(self, event, **pairs):
        self.notes.append({"at": self.simulation.clock.seconds(), "engine": self.name, "event": event, **pairs})

    def open(self):
        self.alive, self.state = True, "ready"
        self.incarnation += 1
        self.note("open")
        self._announce(self.incarnation)

    def _announce(self, incarnation):
        if not self.alive or incarnation != self.incarnation:
            return
        gateways = self.simulation.role("gateway", alive=True)
        if gateways and not self.silent:
            news = EngineUpdate(
                engine=self.name,
                incarnation=self.incarnation,
                address="10.0.0.9:1",
                pool="models",
                models=["m"],
                capacity=self.capacity,
                zone=self.zone,
                state=self.state,
            )
            self.simulation.rng.choice(gateways).part.engines.announce(news)
        self.simulation.clock.callLater(1.0, self._announce, incarnation)

    def leave(self):
        self.state = "leaving"
        gateways = self.simulation.role("gateway", alive=True)
        if gateways:
            self.simulation.rng.choice(gateways).part.engines.announce(
                EngineUpdate(
                    engine=self.name,
                    incarnation=self.incarnation,
                    address="10.0.0.9:1",
                    pool="models",
                    models=["m"],
                    capacity=self.capacity,
                    zone=self.zone,
                    state="leaving",
                )
            )
            self.note("told", state="leaving")

    def crash(self):
        self.alive = False
        for run, d in list(self.running.items()):
            self._end(run, "cut", d, EngineError("the engine's token stream was cut short", code="cut_short"))

    def _end(self, run, how, d, fault=None):
        self.running.pop(run, None)
        self.note(how, run=run)
        if d.called or not d.clock_of.active:
            return
        d.clock_of.callLater(0, lambda: d.called or (d.errback(fault) if fault else d.callback(None)))

    def serve(self, reactor, ask) -> defer.Deferred:
        """The request is on its way from now on, whatever becomes of the gateway."""
        d = defer.Deferred(lambda _: None)
        d.clock_of = _Clocked(reactor)
        run = f"{ask.id}.{ask.attempts}"
        self.simulation.clock.callLater(0.002, self._begin, run, ask, d, answer_pieces(ask.prompt, 256))
        return d

    def _begin(self, run, ask, d, pieces):
        if not self.alive:
            return self._end(run, "lost", d, EngineError("no answer came", code="lost"))
        if d.called:
            return None
        if len(self.running) >= self.capacity:
            self.note("refused", run=run)
            d.clock_of.callLater(0, lambda: d.called or d.errback(ServiceUnavailable("busy", code="engine_crowded")))
            return None
        self.note("run", run=run, prompt=ask.prompt, model=ask.model)
        self.running[run] = d
        return self.simulation.clock.callLater(self.step, self._piece, run, ask, d, pieces, 0)

    def _piece(self, run, ask, d, pieces, n):
        if run not in self.running:
            return
        if d.called or not d.clock_of.active:
            self._end(run, "left", d)
        elif n == len(pieces):
            self._end(run, "done", d)
        else:
            d.clock_of.callLater(0, lambda: d.called or ask.append_chunk(pieces[n]))
            self.simulation.clock.callLater(self.step, self._piece, run, ask, d, pieces, n + 1)


class _Clocked:
    """The clock of the gateway's life that sent the request: held while it is frozen, over when it is killed."""

    def __init__(self, reactor):
        self._watch = reactor

    @property
    def active(self) -> bool:
        return not self._watch.stopped

    def callLater(self, span, do):
        self._watch.callLater(span, do)


class SimulatedClients:
    """Lots, reads, ends and live requests at any gateway, noted as the outside checker reads them."""

    def __init__(self, simulation):
        self.simulation, self.timers = simulation, simulation.timers()
        self.events: list[dict] = []
        self.over = False
        self.lots: dict[str, dict] = {}
        self._n = 0

    def note(self, event, **pairs):
        line = {"at": self.simulation.clock.seconds(), "event": event, **pairs}
        self.events.append(line)
        return line

    def _gateway(self):
        up = self.simulation.role("gateway", alive=True)
        return self.simulation.rng.choice(up) if up else None

    async def _ask(self, do, limit=6.0, gateway=None):
        """(what came, None) or (None, fault); a gateway that is killed or frozen answers nothing."""
        g = gateway or self._gateway()
        if g is None:
            return None, ApiError("nobody is there", code="dropped", outcome="unknown")
        try:
            return await self.timers.with_timeout(secs(limit), do(g.part)), None
        except ApiError as f:
            return None, f
        except (PipitlinkError, defer.CancelledError) as f:
            return None, ApiError(str(f), code=getattr(f, "code", "dropped"), outcome="unknown")

    async def hand_in(self):
        rng = self.simulation.rng
        while not self.over:
            await self.timers.sleep(ms(300 + rng.randrange(1200)))
            await self.one_lot(2 + rng.randrange(8), rng.random() < 0.3)

    async def one_lot(self, items, repeatable=False):
        self._n += 1
        name = f"lot{self._n}"
        now = wall_ms(self.timers.utc_now())
        prompts = [f"{name}/{i}" for i in range(items)]
        lot = Lot(
            customer=name,
            taken_ms=now,
            limit_ms=now + 3_600_000,
            items=[Item(model="m", prompt=p, repeatable=repeatable) for p in prompts],
        )
        asked = self.simulation.clock.seconds()
        got, fault = await self._ask(lambda part: part.job_intake.store(lot))
        e = self.note(
            "lot",
            name=name,
            lot=got or "",
            status=201 if got else 503,
            prompts=prompts,
            asked=asked,
            repeatable=repeatable,
            retry=str(fault.retry_after or 1) if fault else None,
            fault=fault and {"outcome": fault.outcome, "code": fault.code},
        )
        if got:
            self.lots[got] = e
        return got

    async def read(self):
        while not self.over:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(300)))
            if self.lots:
                await self.one_read(self.simulation.rng.choice(list(self.lots)))

    async def one_read(self, lot, gateway=None):
        asked = self.simulation.clock.seconds()

        async def do(part):
            found = await part.results.find_job(lot)
            results = await part.results.read_results(lot)
            return results_page(lot, found, results, 0)

        got, fault = await self._ask(do, gateway=gateway)
        return self.note(
            "results",
            lot=lot,
            asked=asked,
            start=0,
            status=200 if got else fault.status,
            gateway=gateway.name if gateway else "",
            results=got["results"] if got else None,
            state=got["state"] if got else None,
            took=self.simulation.clock.seconds() - asked,
            fault=fault and {"code": fault.code},
        )

    async def end_some(self):
        while not self.over:
            await self.timers.sleep(ms(2000 + self.simulation.rng.randrange(4000)))
            if self.lots:
                lot = self.simulation.rng.choice(list(self.lots))
                got, fault = await self._ask(lambda part: part.job_api.cancel_anywhere(lot), 9.0)
                self.note("lot_ended", lot=lot, status=200 if got else 503, said={"state": got})

    async def live(self):
        while not self.over:
            await self.timers.sleep(ms(150 + self.simulation.rng.randrange(400)))
            self._n += 1
            spawn(self._one_live(f"live{self._n}", self.simulation.rng.random() < 0.4))

    async def _one_live(self, prompt, repeatable):
        asked, box = self.simulation.clock.seconds(), []

        async def do(part):
            a = RequestRecord(
                id=part.runs.new_run_id(),
                model="m",
                prompt=prompt,
                idempotent=repeatable,
                deadline=part._ctx.timers.now() + secs(4),
            )
            a.readers = 1
            box.append(a)
            await part.pipeline.run(a)

        await self._ask(do, 5.5)
        if not box or not box[0].settled:
            fault = {"code": "dropped", "outcome": "unknown"}
        else:
            fault = box[0].error and {"code": box[0].error.code, "outcome": box[0].outcome}
        self.note(
            "told",
            prompt=prompt,
            repeatable=repeatable,
            asked=asked,
            gateway="",
            limit=4,
            slow=1,
            status=200,
            pieces=list(enumerate(box[0].chunks)) if box else [],
            end=fault is None,
            fault=fault,
        )

    async def engines(self):
        rng = self.simulation.rng
        while not self.over:
            await self.timers.sleep(ms(1500 + rng.randrange(3000)))
            e = rng.choice(list(self.simulation.engines.values()))
            what = rng.choice(("crash", "leave", "silent"))
            if what == "silent":
                e.silent = True
                await self.timers.sleep(secs(5))
                e.silent = False
                e.note("heard")
                continue
            if what == "leave":
                e.leave()
                await self.timers.sleep(secs(3))
            e.crash()
            await self.timers.sleep(secs(1))
            e.open()
