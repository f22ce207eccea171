"""Simulated gateways that keep batches, with simulated engines inside them, and callers that submit batches."""

import base64
import json

from twisted.internet import defer

from pipitlink.errors import PipitlinkError
from pipitlink.router.batch_calls import Submission
from pipitlink.router.batch_service import BatchService
from pipitlink.router.engine_registry import EngineRegistry
from pipitlink.router.item_runner import ItemResult
from pipitlink.router.load_exchange import LoadExchange
from pipitlink.timers import ms, secs
from pipitlink.wire.cluster_pb2 import Route
from testbed.simulator.simulation import Simulation

__all__ = ["BatchGateway", "Callers", "start_simulation", "route", "text_of"]

EVENTS = 6


def route(name="bulk", **args):
    return Route(
        **{
            "name": name,
            "host": "h",
            "prefix": f"/{name}/",
            "kind": "bulk",
            "max_attempts": 3,
            "due_ms": 20_000,
            "retain_ms": 600_000,
            **args,
        }
    )


def text_of(item: str) -> str:
    return "\n".join(f"{item} event {n}" for n in range(1, EVENTS + 1))


class BatchGateway:
    """What a gateway does for batches; an item's path says how engines answer it."""

    simulation = None

    def __init__(self, ctx):
        self._ctx = ctx
        self.engines = EngineRegistry(ctx)
        self.loads = LoadExchange(ctx, self.engines)
        self.service = BatchService(ctx, self.engines, self.loads, self, self, lambda: self.simulation.routes)
        self.busy = 0
        self.slots = 6

    def open(self):
        self.engines.open()
        self.loads.open()
        self.service.open()

    @property
    def batches(self):
        return self.service.table.batches

    def available(self, route, backlog):
        return self.slots - self.busy

    def submit(self, route, path, name, raw, span):
        """Hands a batch in, `span` before its deadline."""
        now = self._ctx.timers.now()
        return self.service.submit(Submission(route, "h", path, name, raw, now + span, now))

    async def run(self, call):
        self.busy += 1
        simulation = self.simulation
        try:
            await self._ctx.timers.sleep(ms(simulation.rng.choice((1, 5, 40, 300))))
            call.precondition()
            simulation.runs.append(
                {
                    "at": simulation.clock.seconds(),
                    "item": call.id,
                    "after": call.last_event,
                    "gateway": self._ctx.node,
                    "path": call.path,
                    "headers": call.headers,
                    "body": call.body,
                }
            )
            for word, status in (("/422", 422), ("/500", 500), ("/503", 503)):
                if call.path.endswith(word):
                    await self._ctx.timers.sleep(ms(20))
                    return ItemResult(status=status, not_run=status == 503)
            for n in range(call.last_event + 1, EVENTS + 1):
                await self._ctx.timers.sleep(simulation.step)
                if simulation.rng.random() < simulation.breaks:
                    return ItemResult(status=200)
                call.texts.append(f"{call.id} event {n}".encode())
                call.last_event = n
            simulation.finished.append({"at": simulation.clock.seconds(), "item": call.id})
            return ItemResult(status=200, is_complete=True)
        finally:
            self.busy -= 1


def start_simulation(seed, gateways=3, routes=None, settle=2.0, **args):
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=gateways, placement_groups=2, **args)
    simulation.routes = {r.name: r for r in routes or [route()]}
    simulation.runs, simulation.finished, simulation.step, simulation.breaks = [], [], ms(40), 0.05
    simulation.with_engines(BatchGateway, None, 0)
    simulation.start()
    simulation.ready()
    simulation.run(settle)
    return simulation


class Callers:
    """Hands batches in, reads and ends them at any gateway; notes what was answered, and what of it was wrong."""

    def __init__(self, simulation):
        self.simulation, self.timers = simulation, simulation.timers()
        self.over = False
        self.items: dict[str, list[dict]] = {}
        self.taken: dict[str, float] = {}
        self.refused: set[str] = set()
        self.ended: dict[str, float] = {}
        self.seen: dict[str, dict[int, dict]] = {}
        self.wrong: list[str] = []
        self._n = 0

    def lot(self, items=6, tokens=10, path="/bulk/x", name=None):
        self._n += 1
        name = name or f"lot{self._n}"
        self.items[name] = [
            {
                "id": f"{name}i{i}",
                "path": path,
                "headers": {"A": "b"},
                "tokens": tokens,
                "body": base64.b64encode(f"{name}/{i}".encode()).decode(),
            }
            for i in range(items)
        ]
        return name

    def gateway(self):
        up = self.simulation.role("gateway", alive=True)
        return self.simulation.rng.choice(up) if up else None

    async def ask(self, do, gateway=None, limit=6.0):
        """(status, headers, body), with status 0 where no answer came."""
        g = gateway or self.gateway()
        if g is None:
            return 0, {}, b""
        start_count = g.start_count
        try:
            response = await self.timers.with_timeout(secs(limit), do(g.part))
            return response.status, response.headers, response.body
        except (PipitlinkError, defer.CancelledError):
            return 0, {}, b""
        except RuntimeError:
            if g.alive and g.start_count == start_count:
                raise
            return 0, {}, b""

    async def hand_in(self, name, gateway=None, limit=3.0, row="bulk"):
        raw = json.dumps({"items": self.items[name]}).encode()
        r = self.simulation.routes[row]
        status, _, _ = await self.ask(lambda p: p.submit(r, f"/{row}/", name, raw, secs(limit)), gateway, limit + 1)
        if status == 202:
            self.taken.setdefault(name, self.simulation.clock.seconds())
        return status

    async def read(self, name, start=0, wait=0, gateway=None):
        asked = self.simulation.clock.seconds()
        status, _, body = await self.ask(
            lambda p: p.service.reader.read_outputs(name, start, ms(wait)), gateway, 6 + wait / 1000
        )
        if status != 200:
            if status in (404, 410) and asked - self.taken.get(name, asked) > 0:
                self.wrong.append(f"{asked:.3f} {name}: {status} though it was taken")
            return status, None
        doc = json.loads(body)
        self._judge(name, start, doc)
        return status, doc

    def _judge(self, name, start, doc):
        seen = self.seen.setdefault(name, {})
        ids = [i["id"] for i in self.items[name]]
        if doc["total"] != len(ids) or doc["next"] != start + len(doc["outputs"]):
            self.wrong.append(f"{name}: {doc['total']} items, next {doc['next']} after {start}")
        for n, out in enumerate(doc["outputs"], start):
            if seen.setdefault(n, out) != out:
                self.wrong.append(f"{name}: position {n} moved")
            if out["id"] not in ids or any(o["id"] == out["id"] and k != n for k, o in seen.items()):
                self.wrong.append(f"{name}: {out['id']} is not of it, or stands there twice")
            if out["state"] == "done" and out["text"] != text_of(out["id"]):
                self.wrong.append(f"{name}: the text of {out['id']} is not whole: {out['text']!r}")
            path = next(i["path"] for i in self.items[name] if i["id"] == out["id"])
            if out["state"] == "abandoned" and path.endswith("x") and name not in self.ended:
                self.wrong.append(f"{name}: {out['id']} was abandoned without a cause")

    async def body(self, name, n, gateway=None):
        item = self.items[name][n]
        status, _, body = await self.ask(lambda p: p.service.reader.read_item(name, item["id"]), gateway)
        if status == 200 and body != base64.b64decode(item["body"]):
            self.wrong.append(f"{name}: the body of {item['id']} came back wrong")
        return status

    async def end(self, name, gateway=None):
        self.ended.setdefault(name, float("inf"))
        status, _, _ = await self.ask(lambda p: p.service.canceller.cancel(name), gateway, 10)
        if status == 200:
            self.ended[name] = min(self.ended[name], self.simulation.clock.seconds())
        return status

    def whole(self, name):
        status, doc = self.simulation.do(self.read(name))
        return status == 200 and len(doc["outputs"]) == len(self.items[name]) and doc

    async def hand_in_all(self):
        """Each batch again at other gateways, until it is taken or surely refused."""
        rng = self.simulation.rng
        while not self.over:
            await self.timers.sleep(ms(300 + rng.randrange(900)))
            name, said = self.lot(2 + rng.randrange(8)), []
            for _ in range(4):
                said.append(await self.hand_in(name))
                if said[-1] == 202:
                    break
            if set(said) <= {429, 503}:
                self.refused.add(name)

    async def read_some(self):
        while not self.over:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(300)))
            if self.taken:
                name = self.simulation.rng.choice(list(self.taken))
                start = self.simulation.rng.choice((0, len(self.seen.get(name, ()))))
                await self.read(name, start, self.simulation.rng.choice((0, 1000)))

    async def end_some(self):
        while not self.over:
            await self.timers.sleep(ms(2500 + self.simulation.rng.randrange(4000)))
            if self.taken:
                await self.end(self.simulation.rng.choice(list(self.taken)))
