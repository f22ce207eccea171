"""Simulated gateways that handle batches, with built-in simulated engines, and clients that submit batches."""

import base64
import json
from typing import Any

from twisted.internet import defer

from pipitlink.errors import PipitlinkError
from pipitlink.router.batch_api import Submission
from pipitlink.router.batch_service import BatchService
from pipitlink.router.engine_registry import EngineRegistry
from pipitlink.router.item_runner import ItemResult
from pipitlink.router.load_exchange import LoadExchange
from pipitlink.timers import ms, secs
from pipitlink.wire.cluster_pb2 import Route
from testbed.simulator.simulation import Simulation

__all__ = ["BatchClients", "BatchGateway", "BatchServiceHolder", "expected_text", "route", "start_simulation"]

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


def expected_text(item: str) -> str:
    return "\n".join(f"{item} event {n}" for n in range(1, EVENTS + 1))


class BatchServiceHolder:
    """A gateway in a simulation, with a batch service for the simulated clients."""

    simulation: Any = None

    def __init__(self, ctx):
        self._ctx = ctx

    @property
    def batches(self):
        return self.service.table.batches

    def submit(self, route, path, name, raw, timeout):
        """Submits a batch whose deadline is `timeout` from now."""
        now = self._ctx.timers.now()
        return self.service.submit(Submission(route, "h", path, name, raw, now + timeout, now))


class BatchGateway(BatchServiceHolder):
    """The batch service of a gateway with simulated engines; an item's path determines their response."""

    def __init__(self, ctx):
        super().__init__(ctx)
        self.engines = EngineRegistry(ctx)
        self.loads = LoadExchange(ctx, self.engines)
        self.service = BatchService(ctx, self.engines, self.loads, self, self, lambda: self.simulation.routes)
        self.running_items = 0
        self.slots = 6

    def open(self):
        self.engines.open()
        self.loads.open()
        self.service.open()

    def available(self, route, backlog):
        return self.slots - self.running_items

    def has_room(self, route):
        return 2 * self.running_items < self.slots

    async def run(self, call):
        self.running_items += 1
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
            for suffix, status in (("/422", 422), ("/500", 500), ("/503", 503)):
                if call.path.endswith(suffix):
                    await self._ctx.timers.sleep(ms(20))
                    return ItemResult(status=status, not_run=status == 503)
            if call.path.endswith("/mute"):
                await defer.Deferred()
            for n in range(call.last_event + 1, EVENTS + 1):
                await self._ctx.timers.sleep(simulation.event_interval)
                if simulation.rng.random() < simulation.break_probability:
                    return ItemResult(status=200)
                call.texts.append(f"{call.id} event {n}".encode())
                call.last_event = n
            simulation.finished.append({"at": simulation.clock.seconds(), "item": call.id})
            return ItemResult(status=200, is_complete=True)
        finally:
            self.running_items -= 1


def start_simulation(seed, gateways=3, routes=None, settle_s=2.0, **args):
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=gateways, placement_groups=2, **args)
    simulation.routes = {route_config.name: route_config for route_config in routes or [route()]}
    simulation.runs, simulation.finished, simulation.event_interval, simulation.break_probability = [], [], ms(40), 0.05
    simulation.add_engines(BatchGateway, None, 0)
    simulation.start()
    simulation.ready()
    simulation.run(settle_s)
    return simulation


class BatchClients:
    """Submits, reads and cancels batches at any gateway, and records which responses violate the guarantees."""

    def __init__(self, simulation):
        self.simulation, self.timers = simulation, simulation.timers()
        self.stopped = False
        self.items: dict[str, list[dict]] = {}
        self.accepted: dict[str, float] = {}
        self.rejected: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.seen: dict[str, dict[int, dict]] = {}
        self.violations: list[str] = []
        self._batch_count = 0

    def new_batch(self, items=6, tokens=10, path="/bulk/x", name=None):
        self._batch_count += 1
        name = name or f"lot{self._batch_count}"
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
        alive = self.simulation.role("gateway", alive=True)
        return self.simulation.rng.choice(alive) if alive else None

    async def call(self, send_request, gateway=None, timeout_s=6.0):
        """Returns (status, headers, body); the status is 0 where there was no response."""
        chosen = gateway or self.gateway()
        if chosen is None:
            return 0, {}, b""
        start_count = chosen.start_count
        try:
            response = await self.timers.with_timeout(secs(timeout_s), send_request(chosen.part))
            return response.status, response.headers, response.body
        except (PipitlinkError, defer.CancelledError):
            return 0, {}, b""
        except RuntimeError:
            if chosen.alive and chosen.start_count == start_count:
                raise
            return 0, {}, b""

    async def submit_batch(self, name, gateway=None, timeout_s=3.0, route_name="bulk"):
        raw = json.dumps({"items": self.items[name]}).encode()
        route_config = self.simulation.routes[route_name]
        status, _, _ = await self.call(
            lambda p: p.submit(route_config, f"/{route_name}/", name, raw, secs(timeout_s)), gateway, timeout_s + 1
        )
        if status == 202:
            self.accepted.setdefault(name, self.simulation.clock.seconds())
        return status

    async def read(self, name, start=0, wait_ms=0, gateway=None):
        started_at = self.simulation.clock.seconds()
        status, _, body = await self.call(
            lambda p: p.service.reader.read_outputs(name, start, ms(wait_ms)), gateway, 6 + wait_ms / 1000
        )
        if status != 200:
            if status in (404, 410) and started_at - self.accepted.get(name, started_at) > 0:
                self.violations.append(f"{started_at:.3f} {name}: {status} for an accepted batch")
            return status, None
        doc = json.loads(body)
        self._check_outputs(name, start, doc)
        return status, doc

    def _check_outputs(self, name, start, doc):
        seen = self.seen.setdefault(name, {})
        ids = [i["id"] for i in self.items[name]]
        if doc["total"] != len(ids) or doc["next"] != start + len(doc["outputs"]):
            self.violations.append(f"{name}: {doc['total']} items, next {doc['next']} after {start}")
        for n, out in enumerate(doc["outputs"], start):
            if seen.setdefault(n, out) != out:
                self.violations.append(f"{name}: the output at position {n} changed")
            if out["id"] not in ids or any(o["id"] == out["id"] and k != n for k, o in seen.items()):
                self.violations.append(f"{name}: {out['id']} is not an item of the batch, or is listed twice")
            if out["state"] == "done" and out["text"] != expected_text(out["id"]):
                self.violations.append(f"{name}: the text of {out['id']} is incomplete: {out['text']!r}")
            path = next(i["path"] for i in self.items[name] if i["id"] == out["id"])
            if out["state"] == "abandoned" and path.endswith("x") and name not in self.cancelled:
                self.violations.append(f"{name}: {out['id']} was abandoned without a reason")

    async def read_body(self, name, n, gateway=None):
        item = self.items[name][n]
        status, _, body = await self.call(lambda p: p.service.reader.read_item(name, item["id"]), gateway)
        if status == 200 and body != base64.b64decode(item["body"]):
            self.violations.append(f"{name}: the body of {item['id']} differs from the submitted one")
        return status

    async def cancel(self, name, gateway=None):
        self.cancelled.setdefault(name, float("inf"))
        status, _, _ = await self.call(lambda p: p.service.canceller.cancel(name), gateway, 10)
        if status == 200:
            self.cancelled[name] = min(self.cancelled[name], self.simulation.clock.seconds())
        return status

    def read_if_complete(self, name):
        status, doc = self.simulation.do(self.read(name))
        return status == 200 and len(doc["outputs"]) == len(self.items[name]) and doc

    async def submit_repeatedly(self):
        """Submits batches, each up to four times at random gateways, until it is accepted."""
        rng = self.simulation.rng
        while not self.stopped:
            await self.timers.sleep(ms(300 + rng.randrange(900)))
            name, statuses = self.new_batch(2 + rng.randrange(8)), []
            for _ in range(4):
                statuses.append(await self.submit_batch(name))
                if statuses[-1] == 202:
                    break
            if set(statuses) <= {429, 503}:
                self.rejected.add(name)

    async def read_some(self):
        while not self.stopped:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(300)))
            if self.accepted:
                name = self.simulation.rng.choice(list(self.accepted))
                start = self.simulation.rng.choice((0, len(self.seen.get(name, ()))))
                await self.read(name, start, self.simulation.rng.choice((0, 1000)))

    async def cancel_some(self):
        while not self.stopped:
            await self.timers.sleep(ms(2500 + self.simulation.rng.randrange(4000)))
            if self.accepted:
                await self.cancel(self.simulation.rng.choice(list(self.accepted)))
