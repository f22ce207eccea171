"""The scenarios that `behaviour_record` records to find unintended changes of behaviour.

Each runs one seed and returns what clients, operators and engines saw, and the messages between nodes.
"""

import json
from contextlib import contextmanager
from enum import Enum
from hashlib import sha256
from random import Random
from unittest import mock

import attrs
from twisted.internet import defer
from twisted.python.failure import Failure

from testbed.checks.linearizability import ConfigRead, ConfigWrite, ZoneRead, ZoneWrite
from testbed.simulator.random_faults import RandomFaults
from testbed.simulator.simulated_clients import SimulatedClients
from testbed.simulator.simulated_engine import SimulatedEngine
from testbed.simulator.simulated_gateway import SimulatedGateway
from testbed.simulator.simulation import Simulation

from . import batch_builders
from .control_client import ControlClient
from .operator_simulation import DelayingSimulation, Operators
from .router_builders import END, RouterHarness, chunk, event, head, route
from .test_simulated_controllers import _Operators as TableOperators
from .test_simulated_logs import _Writers as LogWriters

__all__ = ["SCENARIOS"]

ALL_ROLES = ("controller", "controller", "storage", "gateway", "gateway")
MAX_TEXT_SHOWN = 160
SLOW_LINK_BYTES_PER_S = 2_000_000.0
HISTORY_LABELS = {
    ConfigWrite: "config-order",
    ConfigRead: "config-seen",
    ZoneWrite: "zone-order",
    ZoneRead: "zone-seen",
}
CLIENT_EVENT_FIELDS = {
    "lot": ("name", "lot", "status", "retry", "fault", "asked"),
    "results": ("lot", "status", "state", "results", "fault", "asked"),
    "lot_ended": ("lot", "status", "said"),
    "told": ("prompt", "pieces", "end", "fault", "asked"),
}
ENGINE_EVENT_FIELDS = ("engine", "event", "run", "prompt", "model", "state")


def _canonical(value):
    """Returns a value in canonical form: sorted keys, floats with three decimals, and digests of long texts."""
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return _canonical(value.decode("latin-1"))
    if isinstance(value, str):
        return (
            value
            if len(value) <= MAX_TEXT_SHOWN
            else f"{value[:MAX_TEXT_SHOWN]}... {len(value)} {_short_digest(value)}"
        )
    if isinstance(value, dict):
        return {str(k): _canonical(v) for k, v in sorted(value.items())}
    if isinstance(value, list | tuple):
        return [_canonical(v) for v in value]
    return value


def _short_digest(data) -> str:
    return sha256(data.encode() if isinstance(data, str) else data).hexdigest()[:16]


class _TimedLines:
    """Lines of text, each with the virtual time to which it belongs."""

    def __init__(self, seconds):
        self._seconds = seconds
        self.lines: list[str] = []

    def note(self, *args, at: float | None = None):
        at = self._seconds() if at is None else at
        self.lines.append(f"{at:.3f} {json.dumps(_canonical(args))}")


@contextmanager
def _running(simulation):
    """Starts the cluster, yields the lines of the scenario and of its network, and ends the cluster afterwards."""
    seen, network = _TimedLines(simulation.clock.seconds), _TimedLines(simulation.clock.seconds)
    with mock.patch.object(Simulation, "deliver_call", _recorded_deliver_call(network)):
        try:
            simulation.start()
            simulation.ready()
            yield seen, network
        finally:
            simulation.end()


def _recorded_deliver_call(network):
    """Wraps the method that carries all messages; records each request and the response or error at its sender."""
    original_deliver_call = Simulation.deliver_call

    def deliver_call(simulation, sender, address, method, body, node=""):
        receiver = next((a.name for a in simulation.simulated_nodes.values() if a.address == address), str(address))
        network.note("request", sender.name, receiver, method, node, len(body), _short_digest(body))
        return original_deliver_call(simulation, sender, address, method, body, node).addBoth(
            note_result, sender.name, receiver, method
        )

    def note_result(result, sender, receiver, method):
        if not isinstance(result, Failure):
            network.note("response", sender, receiver, method, len(result), _short_digest(result))
        elif isinstance(result.value, defer.CancelledError):
            network.note("cancelled", sender, receiver, method)
        else:
            network.note(
                "error", sender, receiver, method, _code(result.value), getattr(result.value, "remote_code", "")
            )
        return result

    return deliver_call


def _code(error) -> str:
    return str(getattr(error, "code", ""))


def _run_in_background(seen, work):
    defer.ensureDeferred(work).addErrback(lambda f: seen.note("work ended", _code(f.value)))


def controllers(seed):
    """Edits of the table of models and their outcomes; random faults hit controllers, or nodes of every role."""
    simulation = Simulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
    with _running(simulation) as (seen, network):
        operators, client = TableOperators(simulation), ControlClient(simulation)
        operators.timers = simulation.timers()
        random_faults = RandomFaults(simulation, roles=("controller",) if seed % 2 else ALL_ROLES)
        random_faults.run_with_faults([operators.operate(0), operators.operate(1)], faults=8)
        simulation.run(4)
        operators.over = True
        simulation.run(4)
        simulation.ready()
        for at, sequence, text in operators.acked:
            seen.note("acknowledged", sequence, text, at=at)
        seen.note("refused", sorted(operators.refused), operators.reads, operators.faults)
        _note_control_paths(simulation, client, seen)
    return seen.lines, network.lines


def _note_control_paths(simulation, client, seen):
    """Records each controller's responses to GET requests for all paths without parameters."""
    for controller in simulation.role("controller"):
        for method, path, _ in client.control_format.control_paths:
            if method == "GET" and "<" not in path:
                seen.note(controller.name, path, *_status_and_content(client.call(controller, method, path)))


def _status_and_content(response) -> tuple:
    """Returns the status and the body, or only the code of an error's body."""
    status, body = response
    if isinstance(body, dict) and "error" in body:
        error = body["error"]
        body = error.get("code") if isinstance(error, dict) else error
    return status, body


class _RecordedAppends(dict):
    """Maps offsets to acknowledged appends; records each one that is added."""

    def __init__(self, seen):
        super().__init__()
        self._seen = seen

    def __setitem__(self, offset, body):
        self._seen.note("appended", offset, body)
        super().__setitem__(offset, body)


class _RecordedWriters(LogWriters):
    def __init__(self, simulation, seen):
        super().__init__(simulation)
        self._seen = seen
        self.acknowledged = _RecordedAppends(seen)

    def check(self, data):
        self._seen.note("read", len(data), _short_digest(bytes(data)))
        super().check(data)


def logs(seed):
    """Gateways that compete for one replicated log; random faults hit storage nodes and gateways."""
    simulation = Simulation(seed, controllers=3, storage_nodes=3 + seed % 2, gateways=3, placement_groups=2)
    simulation.bytes_per_s = SLOW_LINK_BYTES_PER_S if seed % 3 == 0 else None
    with _running(simulation) as (seen, network):
        writers = _RecordedWriters(simulation, seen)
        gateways = simulation.role("gateway")
        random_faults = RandomFaults(simulation, roles=("storage", "storage", "gateway"))
        random_faults.run_with_faults(
            [work for a in gateways for work in (writers.write(a), writers.read(a))], faults=8
        )
        for a in gateways:
            _run_in_background(seen, writers.write(a))
            _run_in_background(seen, writers.read(a))
        simulation.run(8)
        writers.stopped = True
        simulation.run(3)
        seen.note("in the end", writers.lease_count, writers.violations, len(writers.last_read))
    return seen.lines, network.lines


def _note_client_events(clients, simulation, seen):
    lines = [(e["at"], 0, e) for e in clients.events] + [(n["at"], 1, n) for n in simulation.notes]
    for at, source, e in sorted(lines, key=lambda line: line[:2]):
        if source:
            seen.note(*(e.get(field) for field in ENGINE_EVENT_FIELDS), at=at)
        else:
            seen.note(e["event"], *(e[field] for field in CLIENT_EVENT_FIELDS[e["event"]]), at=at)


def gateway_batches(seed):
    """Batches and live requests by model, with engines that come and go; random faults hit nodes of every role."""
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=4, placement_groups=2)
    simulation.add_engines(SimulatedGateway, SimulatedEngine, 3)
    with _running(simulation) as (seen, network):
        c = SimulatedClients(simulation)
        random_faults = RandomFaults(simulation, roles=("gateway", "gateway", "storage", "controller"))
        random_faults.run_with_faults(
            [
                c.submit_batches(),
                c.read_batches(),
                c.read_batches(),
                c.cancel_batches(),
                c.send_live_requests(),
                c.disturb_engines(),
            ],
            faults=8,
        )
        c.stopped = True
        simulation.run(9)
        _read_all_batches(simulation, c)
        _note_client_events(c, simulation, seen)
    return seen.lines, network.lines


def _read_all_batches(simulation, clients):
    for batch in list(clients.batches):
        for gateway in simulation.role("gateway"):
            simulation.do(clients.read_results(batch, gateway), 10)


class _RecordedBatchClients(batch_builders.BatchClients):
    """Records each response and the gateway that sent it."""

    def __init__(self, simulation, seen):
        super().__init__(simulation)
        self._seen = seen

    async def call(self, do, gateway=None, timeout_s=6.0):
        gateway = gateway or self.gateway()
        started_at = self.simulation.clock.seconds()
        status, headers, body = await super().call(do, gateway, timeout_s)
        name = gateway.name if gateway else ""
        self._seen.note("answer", name, started_at, status, dict(headers), _error_code(status, body))
        return status, headers, body


def _error_code(status, body):
    """Returns the body, or only the code of an error's body."""
    if status < 400:
        return body
    try:
        return _status_and_content((status, json.loads(body)))[1]
    except ValueError:
        return body


def batches(seed):
    """Batches whose items are requests by route, submitted, read and cancelled at any gateway.

    Random faults hit nodes of every role.
    """
    simulation = Simulation(seed, controllers=3, storage_nodes=4, gateways=4, placement_groups=2)
    simulation.routes = {"bulk": batch_builders.route()}
    simulation.runs, simulation.finished, simulation.break_probability = [], [], 0.05
    simulation.event_interval = batch_builders.ms(40)
    simulation.add_engines(batch_builders.BatchGateway, None, 0)
    with _running(simulation) as (seen, network):
        simulation.run(2)
        c = _RecordedBatchClients(simulation, seen)
        random_faults = RandomFaults(simulation)
        random_faults.run_with_faults(
            [c.submit_repeatedly(), c.submit_repeatedly(), c.read_some(), c.read_some(), c.cancel_some()], 8
        )
        c.stopped = True
        simulation.run(9)
        for name in list(c.accepted):
            for a in simulation.role("gateway"):
                simulation.do(c.read(name, gateway=a))
                simulation.do(c.read_body(name, 0, a))
        _note_runs(simulation, seen)
        seen.note("wrong", c.violations, sorted(c.rejected))
    return seen.lines, network.lines


def _note_runs(simulation, seen):
    for run in simulation.runs:
        args = ("item", "after", "gateway", "path", "headers", "body")
        seen.note("run", *(run[word] for word in args), at=run["at"])
    for end in simulation.finished:
        seen.note("finished", end["item"], at=end["at"])


class _RecordedOperators(Operators):
    """Records each attempt of a call with its response and the controller that received it."""

    def __init__(self, simulation, seen, **args):
        super().__init__(simulation, **args)
        self._seen = seen

    async def call(self, controller, *args):
        started_at = self.simulation.clock.seconds()
        got = await super().call(controller, *args)
        self._seen.note("answer", controller.name, started_at, args, _status_and_content(got) if got else None)
        return got


def _note_history(operators, seen):
    for r in operators.records:
        seen.note(HISTORY_LABELS[type(r)], attrs.astuple(r), at=r.sent)
    seen.note("faults", operators.violations)


def operator_requests(seed):
    """Concurrent requests of operators that are lost, delayed and retried.

    Random faults hit controllers, or nodes of every role.
    """
    simulation = DelayingSimulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
    with _running(simulation) as (seen, network):
        operators = _RecordedOperators(simulation, seen)
        random_faults = RandomFaults(simulation, roles=("controller",) if seed % 2 else ALL_ROLES)
        random_faults.run_with_faults([operators.operate() for _ in range(3)], faults=8)
        if seed % 3 == 0:
            _lose_power(simulation)
        simulation.run(4)
        operators.stopped = True
        simulation.run(8)
        simulation.ready()
        _note_control_paths(simulation, operators.client, seen)
        _note_history(operators, seen)
    return seen.lines, network.lines


def _lose_power(simulation):
    controllers = simulation.role("controller")
    for a in controllers:
        a.kill(power=True)
    simulation.run(0.5)
    for a in controllers:
        a.start()


def everything(seed):
    """Batches, live requests and operators' edits at once; random faults hit nodes, links, disks and engines."""
    simulation = DelayingSimulation(
        seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=4, named=bool(seed % 2)
    )
    simulation.add_engines(SimulatedGateway, SimulatedEngine, 2)
    with _running(simulation) as (seen, network):
        operators, c = _RecordedOperators(simulation, seen), SimulatedClients(simulation)
        work = [
            operators.operate(),
            operators.operate(),
            c.submit_batches(),
            c.read_batches(),
            c.cancel_batches(),
            c.send_live_requests(),
            c.disturb_engines(),
        ]
        RandomFaults(simulation, roles=ALL_ROLES).run_with_faults(work, faults=8, between=1.0)
        simulation.run(3)
        operators.stopped = c.stopped = True
        simulation.run(9)
        _read_all_batches(simulation, c)
        _note_control_paths(simulation, operators.client, seen)
        _note_history(operators, seen)
        _note_client_events(c, simulation, seen)
    return seen.lines, network.lines


ROUTES = [
    route("s", "/a/", resumable=True, sticky=True),
    route("o", "/once/", kind="mutating"),
    route("n", "/n/", resumable=False, max_attempts=1),
    route("f", "/f/", kind="idempotent", max_attempts=3),
]
ID_HEADER = b"x-request-id: "
CALL_HEADERS = ("X-Other: 1", "X-Deadline-Ms: 900", "X-Tenant: t", "Last-Event-ID: 1")
PATHS = ("/a/x", "/a/y", "/once/x", "/once/y", "/n/x", "/n/y", "/f/1?q=%2F", "/f/2", "/nowhere")
STATUSES = (*["200 OK"] * 7, "429 Too Many Requests", "500 Internal Server Error", "503 Unavailable")


def _call_id(data: bytes) -> str:
    lines = data.lower().split(b"\r\n")
    return next((line[len(ID_HEADER) :].decode() for line in lines if line.startswith(ID_HEADER)), "")


class _InsertionOrderedSet(dict):
    """Replaces the gateway's set of calls in progress, whose iteration order would depend on memory addresses."""

    def add(self, member):
        self[member] = True

    def discard(self, member):
        self.pop(member, None)


class _RouterScenario:
    """A gateway whose clients and engines act at random: requests, responses, errors and broken connections."""

    STEPS = 500
    ENGINES = ("e1", "e2", "e3", "e4")

    def __init__(self, seed):
        self.rng = Random(seed)
        self.harness = RouterHarness(ROUTES, seed=seed, gateways=2)
        self.seen = _TimedLines(self.harness.clock.seconds)
        self.channels: list = []
        self.exchanges: list = []
        self.states = dict.fromkeys(self.ENGINES, "ready")
        self._announce()

    def run(self) -> list[str]:
        actions = (self._send_request, self._respond, self._advance, self._change_engine, self._disconnect)
        for _ in range(self.STEPS):
            self.rng.choices(actions, (4, 12, 4, 0.4, 0.4))[0]()
            self._note_traffic()
        for _ in range(20):
            self._advance_ms(500)
        return self.seen.lines

    def _announce(self):
        for n, (name, state) in enumerate(self.states.items()):
            self.harness.announce_engine(name, zone="zone-" + "ab"[n % 2], capacity=3, state=state)

    def _send_request(self):
        path = self.rng.choice(PATHS)
        headers = [h for h in CALL_HEADERS if self.rng.random() < 0.3]
        call_id = f"c{len(self.channels)}"
        body = b"b" * self.rng.randrange(200)
        self.seen.note("asks", call_id, path, headers, len(body))
        self.channels.append(self.harness.send_request(path, call_id, body, headers))

    def _advance(self):
        self._advance_ms(self.rng.choice((5, 20, 20, 100, 400, 1500)))

    def _advance_ms(self, span_ms: int):
        """Advances the time in steps of at most 100 ms; engines announce themselves after each."""
        for start in range(0, span_ms, 100):
            self.harness.advance_ms(min(100, span_ms - start))
            self._announce()
            self._note_traffic()

    def _change_engine(self):
        name = self.rng.choice(self.ENGINES)
        address = f"10.0.0.{name[1:]}:80"
        self.states[name] = self.rng.choice(("ready", "ready", "leaving"))
        self.harness.refused_addresses.clear()
        if self.rng.random() < 0.4:
            self.harness.refused_addresses.add(address)
        self.seen.note("engine", name, self.states[name], address in self.harness.refused_addresses)
        self._announce()

    def _disconnect(self):
        if self.channels:
            n = self.rng.randrange(len(self.channels))
            self.seen.note("hangs up", n)
            self.channels[n].transport.close()

    def _respond(self):
        if not self.exchanges:
            return
        exchange = self.rng.choice(self.exchanges)
        name, connection, call_id, sent = exchange
        if connection.transport.closed:
            self.exchanges.remove(exchange)
            return
        draw = self.rng.random()
        if draw < 0.1:
            self.exchanges.remove(exchange)
            self.seen.note("engine breaks", name, call_id)
            connection.transport.close()
        elif not sent:
            self._respond_head(exchange)
        elif sent < 4:
            exchange[3] += 1
            connection.dataReceived(chunk(event(sent, f"text {sent}")))
        else:
            self.exchanges.remove(exchange)
            connection.dataReceived(END)

    def _respond_head(self, exchange):
        name, connection, call_id, _ = exchange
        status = self.rng.choice(STATUSES)
        exchange[3] = 1
        if status == STATUSES[0]:
            connection.dataReceived(head(call_id))
            return
        self.exchanges.remove(exchange)
        connection.dataReceived(head(call_id, status, seal=self.rng.random() < 0.7, length=4) + b"body")

    def _note_traffic(self):
        for name, connection, data in self.harness.take_engine_requests():
            self.seen.note("engine is sent", name, data)
            call_id = _call_id(data)
            self.exchanges.append([name, connection, call_id, 0])
        for n, channel in enumerate(self.channels):
            data = self.harness.client_output(channel)
            if data:
                channel.transport.clear()
                self.seen.note("caller sees", n, data, channel.transport.closed)


def router(seed):
    """Live requests by route through a single gateway, without other nodes; clients and engines act at random."""
    with mock.patch("pipitlink.router.call_relay.set", _InsertionOrderedSet, create=True):
        return _RouterScenario(seed).run(), []


SCENARIOS = {
    "controllers": controllers,
    "logs": logs,
    "lots": gateway_batches,
    "batches": batches,
    "orders": operator_requests,
    "everything": everything,
    "router": router,
}
