"""Operators in a simulation whose orders are lost, held up, answered late or never, and sent again; all is recorded."""

from math import inf

import attrs

from pipitlink.timers import ms, spawn
from testbed.checks.linearizability import ConfigRead, ConfigWrite, Response, ZoneRead, ZoneWrite
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of

__all__ = ["DelayingSimulation", "Operators", "IN_EFFECT"]

IN_EFFECT = 2.0
PATIENCE = 1.0
HOLD_LIMIT = 8.0
ZONES = ("zone-a", "zone-b")
CONFIG = "/v1/config"


class DelayingSimulation(Simulation):
    """Edits that controllers pass on wait in a cut connection and arrive once it is healed."""

    def deliver_call(self, sender, address, method, body, node=""):
        goal = next((a for a in self.simulated_nodes.values() if a.address == address), None)
        if method == "controller.edit" and goal is not None and (sender.name, goal.name) in self.blocked_links:
            self._hold(sender, goal, method, body, sender.ctx, goal.ctx, self.clock.seconds() + HOLD_LIMIT)
        return super().deliver_call(sender, address, method, body, node)

    def _hold(self, sender, goal, method, body, sending, receiving, end):
        if goal.ctx is not receiving or not goal.alive or sender.ctx is not sending or self.clock.seconds() > end:
            return
        if (sender.name, goal.name) in self.blocked_links:
            self.clock.callLater(0.05, self._hold, sender, goal, method, body, sending, receiving, end)
            return
        self.clock.callLater(0.002, self._let_go, sender, goal, method, body)

    def _let_go(self, sender, goal, method, body):
        super().deliver_call(sender, goal.address, method, body).addErrback(lambda f: None)


@attrs.define
class _OrderOutcome:
    """What became of an order: when its copies were sent, and its clear answer, if there was one."""

    copies: list[float] = attrs.Factory(list)
    response: Response = Response.UNKNOWN
    ended: float = inf


@attrs.define
class _Sent:
    """One copy of an order on its way: the controller's life that it reached, and whether its caller has left."""

    life: object = None
    response: list | None = None
    failed: bool = False
    left: bool = False


class Operators:
    """Several operators who change one fleet at once, each as a caller with a second of patience."""

    def __init__(self, simulation, tries: int = 8, lost: float = 0.05, held: float = 0.12, unacknowledged: float = 0.1):
        self.simulation, self.client, self.timers = simulation, ControlClient(simulation), simulation.timers()
        self.tries, self.lost, self.held, self.unacknowledged = tries, lost, held, unacknowledged
        self.records: list = []
        self.over = False
        self._number = 0
        self._views: dict = {}
        self.timers.call_repeatedly(ms(200), self._watch, self._fault)
        self.faults: list[str] = []

    def _fault(self, error):
        self.faults.append(repr(error))

    def taken(self) -> int:
        return sum(isinstance(r, ConfigWrite | ZoneWrite) and r.response is Response.CONFIRMED for r in self.records)

    async def call(self, controller, *args):
        """One copy of a call: (status, body), or None where no clear answer came in time."""
        simulation, rng = self.simulation, self.simulation.rng
        sent = _Sent()
        lost_response = rng.random() < self.unacknowledged
        span = 0.001 + 0.003 * rng.random()
        if rng.random() < self.held:
            span = rng.choice((0.2, 0.6, 1.5, 3.0, 6.0))
        if rng.random() >= self.lost:
            simulation.clock.callLater(span, self._arrive, controller, sent, args)
        until = simulation.clock.seconds() + PATIENCE
        while simulation.clock.seconds() < until:
            await self.timers.sleep(ms(10))
            if sent.failed or sent.life is not None and (not controller.alive or controller.ctx is not sent.life):
                return None
            if sent.response and not lost_response:
                return sent.response[0] if sent.response[0][0] < 500 else None
        sent.left = True
        if sent.response is not None:
            simulation.clock.callLater(0.002, self._hang_up, controller, sent)
        return None

    def _arrive(self, controller, sent, args):
        if not controller.alive:
            sent.failed = True
            return
        sent.life = controller.ctx
        controller.clock.callLater(0, self._read, controller, sent, args)

    def _read(self, controller, sent, args):
        sent.response = self.client.start_call(controller, *args)
        if sent.left:
            self.simulation.clock.callLater(0.008 * self.simulation.rng.random(), self._hang_up, controller, sent)

    def _hang_up(self, controller, sent):
        if controller.alive and controller.ctx is sent.life:
            controller.clock.callLater(0, sent.response.disconnect)

    async def send(self, *args) -> _OrderOutcome:
        """An order sent until it has a clear answer."""
        outcome, pause = _OrderOutcome(), 50
        await self.timers.sleep(ms(5))
        for _ in range(self.tries):
            outcome.copies.append(self.simulation.clock.seconds())
            got = await self.call(self.simulation.rng.choice(self.simulation.role("controller")), *args)
            if got is not None:
                outcome.response, outcome.ended = _meaning(got[0]), self.simulation.clock.seconds()
                return outcome
            await self.timers.sleep(ms(pause))
            pause = min(400, 2 * pause)
        return outcome

    async def change(self, content, base, version, valid=True, replaced=None) -> Response:
        """A change of the configuration to one route that is named like its content; a patch where it replaces one."""
        route = route_of(content, "p" if valid else "unknown")
        args = ("PUT", CONFIG, config_of(version, route))
        if replaced:
            args = (
                "PATCH",
                CONFIG,
                {"version": version, "puts": {"routes": [route]}, "drops": {"routes": [replaced]}},
            )
        outcome = await self.send(*args, {"If-Match": str(base)})
        self.records.append(
            ConfigWrite(content, base, version, outcome.copies[0], outcome.ended, outcome.response, valid)
        )
        return outcome.response

    async def change_zone(self, zone, empty):
        outcome = await self.send("PUT" if empty else "DELETE", f"/v1/zones/{zone}/empty")
        for n, sent in enumerate(outcome.copies, 1):
            response = outcome.response if n == len(outcome.copies) else Response.UNKNOWN
            self.records.append(ZoneWrite(zone, empty, sent, outcome.ended, response))

    async def read(self, controller=None):
        """The version and content that were read back, or None."""
        began = self.simulation.clock.seconds()
        controller = controller or self.simulation.rng.choice(self.simulation.role("controller"))
        outcome = await self.call(controller, "GET", CONFIG)
        if outcome is None:
            return None
        version, routes = outcome[1]["version"], outcome[1]["routes"]
        content = routes[0]["name"] if routes else ""
        self.records.append(ConfigRead(version, content, began, self.simulation.clock.seconds()))
        return version, content

    async def operate(self):
        rng = self.simulation.rng
        while not self.over:
            await self.timers.sleep(ms(50 + rng.randrange(500)))
            got = await self.read()
            if got is not None:
                await self._one(*got)

    async def _one(self, base: int, content: str):
        rng = self.simulation.rng
        name, version = self._name(), base + 1 + rng.randrange(2)
        roll = rng.random()
        if roll < 0.3:
            zone, empty = rng.choice(ZONES), rng.random() < 0.5
            await self.change_zone(zone, empty)
            if rng.random() < 0.7:
                await self.change_zone(zone, not empty)
        elif roll < 0.37:
            await self.change(name, base, version, valid=False)
        elif roll < 0.47:
            await self._early(name, base + 1 + rng.randrange(2))
        elif roll < 0.6:
            second = spawn(self._early(self._name(), version))
            await self.change(name, base, version)
            await second
        else:
            replaced = content if content and rng.random() < 0.3 else None
            response = await self.change(name, base, version, replaced=replaced)
            if response is Response.CONFIRMED and rng.random() < 0.3:
                await self.change(name, base, version, replaced=replaced)

    async def _early(self, name: str, base: int):
        """A change on a version that may not be in force yet; sent again once where that was refused."""
        if await self.change(name, base, base + 2) is Response.OTHER_VERSION:
            await self.timers.sleep(ms(300))
            await self.change(name, base, base + 2)

    def _name(self) -> str:
        self._number += 1
        return f"c{self._number}"

    def _watch(self):
        """What gateways that may admit work serve by: in force at some time within the last two seconds."""
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway", alive=True):
            if not a.ctx.cluster.ready():
                continue
            state = a.ctx.cluster.cluster_state
            content = next(iter(state.routes.routes), "")
            self._note_view(a, ConfigRead(state.routes.version, content, now - IN_EFFECT, now, a.node))
            for zone in ZONES:
                self._note_view(a, ZoneRead(zone, zone in state.empty_zones, now - IN_EFFECT, now, a.node))

    def _note_view(self, gateway, view):
        """One record for each second of an unchanged view; a version that goes back is a fault of its own."""
        key = (gateway.node, getattr(view, "zone", ""))
        last = self._views.get(key)
        same = last is not None and attrs.evolve(last, sent=view.sent, ended=view.ended) == view
        if same and view.ended - last.ended < 1:
            return
        if isinstance(view, ConfigRead) and last is not None and view.version < last.version:
            self.faults.append(f"{gateway.name} went back from {last.version} to {view.version}")
        self._views[key] = view
        self.records.append(view)


def _meaning(status: int) -> Response:
    if status == 200:
        return Response.CONFIRMED
    return Response.OTHER_VERSION if status == 412 else Response.REFUSED
