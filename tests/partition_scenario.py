"""Scenario of a controller that is isolated for twenty seconds, with the calls to it and their responses."""

import attrs

from pipitlink.wire.membership_pb2 import EngineList
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of

CUT_S = 20.0
MAX_RESPONSE_S = 1.0
CUT_DETECTED_S = 1.5
IMMEDIATE_RESPONSE_S = 0.05
RECOVERY_S = 1.5
CALL_TIMES_S = (0.0, 0.2, 0.5, 0.9, 1.6, 2.5, 4.0, 7.0, 12.0, 19.0)
ENGINE = {"pool": "p", "address": "10.9.0.1:80", "zone": "zone-a", "capacity": 4, "state": "ready"}
CUT_DIRECTIONS = ("both", "in", "out")


@attrs.define
class _Call:
    """One call to the isolated controller, and its response."""

    what: str
    at: float
    min_version: int
    pending: list
    duration_s: float | None = None

    def __str__(self):
        return f"{self.what} at {self.at:.1f} s: {self.pending[:1]} after {self.duration_s} s"


class Scenario:
    """One controller is isolated and called by operators and engines, while the others change the configuration."""

    def __init__(self, test, seed=5):
        self.simulation = Simulation(seed, placement_groups=2)
        test.addCleanup(self.simulation.end)
        self.simulation.start()
        for gateway in self.simulation.role("gateway"):
            self.register_engine_handler(gateway)
        self.simulation.ready()
        self.simulation.run(3)
        self.client = ControlClient(self.simulation)
        self.version = 0
        self.calls: list[_Call] = []
        self.change(self.simulation.leader())

    def register_engine_handler(self, gateway):
        """Stands in for a gateway's engine registry."""

        async def accept(node, engines):
            pass

        gateway.ctx.rpc.register_handler("engines.tell", EngineList, accept)

    def now(self) -> float:
        return self.simulation.clock.seconds()

    def controller(self, role: str):
        """Returns the leader, a voter that follows it, or a standby."""
        leader = self.simulation.leader()
        if role == "leader":
            return leader
        voters = leader.part.consensus.voters()
        return next(
            a for a in self.simulation.role("controller") if a is not leader and (a.node in voters) == (role == "voter")
        )

    def change(self, controller) -> int:
        """Submits the next configuration; returns the status."""
        config = config_of(self.version + 1, route_of(f"r{self.version + 1}"))
        status, _ = self.client.put(controller, config, self.version)
        if status == 200:
            self.version += 1
        return status

    def cut(self, simulated_node, direction: str, others=None):
        names = others or [a for a in self.simulation.simulated_nodes if a != simulated_node.name]
        if direction in ("both", "out"):
            self.simulation.cut([simulated_node.name], names, one_way=True)
        if direction in ("both", "in"):
            self.simulation.cut(names, [simulated_node.name], one_way=True)

    def call_all(self, simulated_node, started_at: float):
        """Starts a call of each kind."""
        n = len(self.calls)
        config = config_of(10_000 + n, route_of(f"lone{n}"))
        for what, *args in (
            ("GET config", "GET", "/v1/config"),
            ("PUT config", "PUT", "/v1/config", config, {"If-Match": str(self.version)}),
            ("PUT empty", "PUT", "/v1/zones/zone-c/empty"),
            ("PUT engine", "PUT", "/v1/engines/e1", {**ENGINE, "sequence": n}),
            ("PUT leaving", "PUT", f"/v1/engines/l{n}", {**ENGINE, "state": "leaving", "sequence": n}),
            ("DELETE engine", "DELETE", f"/v1/engines/d{n}"),
            ("POST retire", "POST", f"/v1/storage_nodes/{self.simulation.role('storage')[3].node}/retire"),
        ):
            pending = self.client.start_call(simulated_node, *args)
            self.calls.append(_Call(what, self.now() - started_at, self.version, pending))

    def run_and_record(self, duration_s: float):
        end = self.now() + duration_s
        while self.now() < end:
            self.simulation.run(0.01)
            for call in self.calls:
                if call.pending and call.duration_s is None:
                    call.duration_s = self.now() - self.started_at - call.at

    def run_calls(self, simulated_node, direction: str, others=None, changing=True):
        """Isolates the controller and calls it repeatedly, while the others commit changes."""
        self.started_at = self.now()
        self.cut(simulated_node, direction, others)
        for at, after in zip(CALL_TIMES_S, (*CALL_TIMES_S[1:], CUT_S)):
            self.call_all(simulated_node, self.started_at)
            self.run_and_record(after - at)
            leader = self.simulation.leader()
            if changing and leader is not None and leader is not simulated_node:
                self.change(leader)

    def slow_calls(self) -> list[str]:
        """Returns the calls that got no response within MAX_RESPONSE_S, or not at once though the cut was detected."""
        slow = [str(c) for c in self.calls if c.duration_s is None or c.duration_s > MAX_RESPONSE_S]
        late = [
            str(c)
            for c in self.calls
            if c.at > CUT_DETECTED_S and c.duration_s is not None and c.duration_s > IMMEDIATE_RESPONSE_S
        ]
        return slow + late

    def unexpected_responses(self) -> list[str]:
        """Returns the reads that were stale, and the edits and announcements that were not rejected with status 503.

        An engine's announcement that it is ready may be accepted until the cut is detected.
        """
        out = []
        for c in self.calls:
            status, body = c.pending[0] if c.pending else (None, None)
            if c.what == "GET config" and status == 200:
                if body["version"] < c.min_version:
                    out.append(f"stale configuration: {c}")
            elif status != 503 and not (c.what == "PUT engine" and c.at < CUT_DETECTED_S):
                out.append(f"not rejected: {c}")
        return out

    def heal_and_time_recovery(self, simulated_node) -> float:
        """Heals the cut; returns the time until the controller accepts an edit again."""
        self.simulation.heal()
        healed = self.now()
        while self.change_on_newest(simulated_node) != 200:
            if self.now() - healed > 10:
                raise AssertionError("the controller accepts no edit within 10 s")
            self.simulation.run(0.05)
        return self.now() - healed

    def change_on_newest(self, simulated_node) -> int:
        """Makes a change based on the leader's current version.

        `self.version` may be older, since a rejected edit may still have been committed before the cut was detected.
        """
        leader = self.simulation.leader()
        if leader is not None:
            self.version = leader.part.consensus.cluster_state.routes.version
        return self.change(simulated_node)
