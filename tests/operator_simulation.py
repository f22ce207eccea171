"""Simulated operators whose requests and responses are lost, delayed and retried, with a recorded history."""

from math import inf

import attrs

from pipitlink.timers import ms, spawn
from testbed.checks.linearizability import ConfigRead, ConfigWrite, Response, ZoneRead, ZoneWrite
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of

__all__ = ["DelayingSimulation", "Operators", "IN_EFFECT_WITHIN_S"]

IN_EFFECT_WITHIN_S = 2.0
CLIENT_TIMEOUT_S = 1.0
MAX_HOLD_S = 8.0
ZONES = ("zone-a", "zone-b")
CONFIG = "/v1/config"


class DelayingSimulation(Simulation):
    """Also holds edits that controllers forward over a cut link, and delivers them once the link is healed."""

    def deliver_call(self, sender, address, method, body, node=""):
        receiver = next((a for a in self.simulated_nodes.values() if a.address == address), None)
        if method == "controller.edit" and receiver is not None and (sender.name, receiver.name) in self.blocked_links:
            self._hold(sender, receiver, method, body, sender.ctx, receiver.ctx, self.clock.seconds() + MAX_HOLD_S)
        return super().deliver_call(sender, address, method, body, node)

    def _hold(self, sender, receiver, method, body, sender_ctx, receiver_ctx, deadline):
        if (
            receiver.ctx is not receiver_ctx
            or not receiver.alive
            or sender.ctx is not sender_ctx
            or self.clock.seconds() > deadline
        ):
            return
        if (sender.name, receiver.name) in self.blocked_links:
            self.clock.callLater(0.05, self._hold, sender, receiver, method, body, sender_ctx, receiver_ctx, deadline)
            return
        self.clock.callLater(0.002, self._deliver_held, sender, receiver, method, body)

    def _deliver_held(self, sender, receiver, method, body):
        super().deliver_call(sender, receiver.address, method, body).addErrback(lambda f: None)


@attrs.define
class _RequestOutcome:
    """The outcome of a request: when its attempts were sent, and its conclusive response if there was one."""

    sent_at: list[float] = attrs.Factory(list)
    response: Response = Response.UNKNOWN
    ended: float = inf


@attrs.define
class _Attempt:
    """One attempt of a request.

    `controller_ctx` is the context that the controller had when the attempt arrived, and differs after a restart.
    `abandoned` says that the client has timed out.
    """

    controller_ctx: object = None
    response: list | None = None
    failed: bool = False
    abandoned: bool = False


class Operators:
    """Operators that change one cluster concurrently, each as a client with a timeout of one second."""

    def __init__(
        self,
        simulation,
        max_attempts: int = 8,
        loss_probability: float = 0.05,
        delay_probability: float = 0.12,
        lost_response_probability: float = 0.1,
    ):
        self.simulation, self.client, self.timers = simulation, ControlClient(simulation), simulation.timers()
        self.max_attempts, self.loss_probability, self.delay_probability, self.lost_response_probability = (
            max_attempts,
            loss_probability,
            delay_probability,
            lost_response_probability,
        )
        self.records: list = []
        self.stopped = False
        self._number = 0
        self._views: dict = {}
        self.timers.call_repeatedly(ms(200), self._sample_gateways, self._record_error)
        self.violations: list[str] = []

    def _record_error(self, error):
        self.violations.append(repr(error))

    def confirmed_count(self) -> int:
        return sum(isinstance(r, ConfigWrite | ZoneWrite) and r.response is Response.CONFIRMED for r in self.records)

    async def call(self, controller, *args):
        """Makes one attempt; returns (status, body), or None if no conclusive response arrived in time."""
        simulation, rng = self.simulation, self.simulation.rng
        attempt = _Attempt()
        lost_response = rng.random() < self.lost_response_probability
        delay_s = 0.001 + 0.003 * rng.random()
        if rng.random() < self.delay_probability:
            delay_s = rng.choice((0.2, 0.6, 1.5, 3.0, 6.0))
        if rng.random() >= self.loss_probability:
            simulation.clock.callLater(delay_s, self._arrive, controller, attempt, args)
        deadline = simulation.clock.seconds() + CLIENT_TIMEOUT_S
        while simulation.clock.seconds() < deadline:
            await self.timers.sleep(ms(10))
            if (
                attempt.failed
                or attempt.controller_ctx is not None
                and (not controller.alive or controller.ctx is not attempt.controller_ctx)
            ):
                return None
            if attempt.response and not lost_response:
                return attempt.response[0] if attempt.response[0][0] < 500 else None
        attempt.abandoned = True
        if attempt.response is not None:
            simulation.clock.callLater(0.002, self._disconnect, controller, attempt)
        return None

    def _arrive(self, controller, attempt, args):
        if not controller.alive:
            attempt.failed = True
            return
        attempt.controller_ctx = controller.ctx
        controller.clock.callLater(0, self._start_call, controller, attempt, args)

    def _start_call(self, controller, attempt, args):
        attempt.response = self.client.start_call(controller, *args)
        if attempt.abandoned:
            self.simulation.clock.callLater(0.008 * self.simulation.rng.random(), self._disconnect, controller, attempt)

    def _disconnect(self, controller, attempt):
        if controller.alive and controller.ctx is attempt.controller_ctx:
            controller.clock.callLater(0, attempt.response.disconnect)

    async def send(self, *args) -> _RequestOutcome:
        """Retries a request until it has a conclusive response or has used up its attempts."""
        outcome, pause = _RequestOutcome(), 50
        await self.timers.sleep(ms(5))
        for _ in range(self.max_attempts):
            outcome.sent_at.append(self.simulation.clock.seconds())
            response = await self.call(self.simulation.rng.choice(self.simulation.role("controller")), *args)
            if response is not None:
                outcome.response, outcome.ended = _response_for(response[0]), self.simulation.clock.seconds()
                return outcome
            await self.timers.sleep(ms(pause))
            pause = min(400, 2 * pause)
        return outcome

    async def change(self, content, base, version, valid=True, replaced=None) -> Response:
        """Changes the configuration to one route named `content`, by a PATCH if it replaces a route, else by a PUT."""
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
            ConfigWrite(content, base, version, outcome.sent_at[0], outcome.ended, outcome.response, valid)
        )
        return outcome.response

    async def change_zone(self, zone, empty):
        outcome = await self.send("PUT" if empty else "DELETE", f"/v1/zones/{zone}/empty")
        for n, sent in enumerate(outcome.sent_at, 1):
            response = outcome.response if n == len(outcome.sent_at) else Response.UNKNOWN
            self.records.append(ZoneWrite(zone, empty, sent, outcome.ended, response))

    async def read(self, controller=None):
        """Reads the configuration; returns its version and content, or None."""
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
        while not self.stopped:
            await self.timers.sleep(ms(50 + rng.randrange(500)))
            response = await self.read()
            if response is not None:
                await self._send_one(*response)

    async def _send_one(self, base: int, content: str):
        rng = self.simulation.rng
        name, version = self._next_name(), base + 1 + rng.randrange(2)
        draw = rng.random()
        if draw < 0.3:
            zone, empty = rng.choice(ZONES), rng.random() < 0.5
            await self.change_zone(zone, empty)
            if rng.random() < 0.7:
                await self.change_zone(zone, not empty)
        elif draw < 0.37:
            await self.change(name, base, version, valid=False)
        elif draw < 0.47:
            await self._change_ahead(name, base + 1 + rng.randrange(2))
        elif draw < 0.6:
            second = spawn(self._change_ahead(self._next_name(), version))
            await self.change(name, base, version)
            await second
        else:
            replaced = content if content and rng.random() < 0.3 else None
            response = await self.change(name, base, version, replaced=replaced)
            if response is Response.CONFIRMED and rng.random() < 0.3:
                await self.change(name, base, version, replaced=replaced)

    async def _change_ahead(self, name: str, base: int):
        """Sends a change based on a version that may not be in effect yet; retries once if that is refused."""
        if await self.change(name, base, base + 2) is Response.OTHER_VERSION:
            await self.timers.sleep(ms(300))
            await self.change(name, base, base + 2)

    def _next_name(self) -> str:
        self._number += 1
        return f"c{self._number}"

    def _sample_gateways(self):
        """Records the state that each admitting gateway uses; it must have been current in the last two seconds."""
        now = self.simulation.clock.seconds()
        for a in self.simulation.role("gateway", alive=True):
            if not a.ctx.cluster.ready():
                continue
            state = a.ctx.cluster.cluster_state
            content = next(iter(state.routes.routes), "")
            self._note_view(a, ConfigRead(state.routes.version, content, now - IN_EFFECT_WITHIN_S, now, a.node))
            for zone in ZONES:
                self._note_view(a, ZoneRead(zone, zone in state.empty_zones, now - IN_EFFECT_WITHIN_S, now, a.node))

    def _note_view(self, gateway, view):
        """Records an unchanged view at most once a second. A configuration version that decreases is a violation."""
        key = (gateway.node, getattr(view, "zone", ""))
        last = self._views.get(key)
        same = last is not None and attrs.evolve(last, sent=view.sent, ended=view.ended) == view
        if same and view.ended - last.ended < 1:
            return
        if isinstance(view, ConfigRead) and last is not None and view.version < last.version:
            self.violations.append(f"{gateway.name} went back from {last.version} to {view.version}")
        self._views[key] = view
        self.records.append(view)


def _response_for(status: int) -> Response:
    if status == 200:
        return Response.CONFIRMED
    return Response.OTHER_VERSION if status == 412 else Response.REFUSED
