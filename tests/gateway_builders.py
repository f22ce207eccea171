"""Components of gateways on one simulated clock, with RPCs that are delivered immediately."""

from datetime import UTC, datetime
from random import Random

from twisted.internet.task import Clock

from pipitlink.client_memory import ClientMemory
from pipitlink.cluster import ClusterState
from pipitlink.errors import ConnectionFailed
from pipitlink.gateway.engine_candidates import EngineCandidates
from pipitlink.gateway.engine_registry import EngineRegistry
from pipitlink.gateway.engine_selector import EngineSelector
from pipitlink.gateway.engine_slots import EngineSlots
from pipitlink.gateway.rate_limits import RateLimits
from pipitlink.gateway.request_record import RequestKind, RequestRecord
from pipitlink.gateway.retry_after import RetryAfterEstimator
from pipitlink.gateway.serving_state import ServingState
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, secs, spawn
from pipitlink.wire.membership_pb2 import EngineUpdate, Loads, Member

__all__ = ["Gateway"]


class _Rpc:
    """RPCs between the gateways of a test, which are delivered immediately."""

    def __init__(self, node, network):
        self.node, self.handlers, self.network, self.address = node, {}, network, ("h", int(node[1:]))
        network[self.address] = self

    def register_handler(self, method, kind, handler):
        self.handlers[method] = handler

    async def call(self, address, method, request, kind, timeout):
        if address not in self.network:
            raise ConnectionFailed(f"no gateway at {address}")
        return await self.network[address].handlers[method](self.node, request)


class _Membership:
    def __init__(self, node, gateways):
        self.node, self.gateways, self.unreachable = node, gateways, ()

    def members(self, role=None, statuses=("alive",), include_self=True):
        names = [f"g{i}" for i in range(self.gateways)]
        return [
            Member(node=n, host="h", port=int(n[1:]))
            for n in names
            if ("gone" if n in self.unreachable else "alive") in statuses and (include_self or n != self.node)
        ]

    def find(self, node):
        return Member(node=node, host="h", port=int(node[1:]))

    def time_in_status(self, node):
        return secs(1)


class _Cluster:
    def __init__(self):
        self.cluster_state = ClusterState()
        self.state_confirmed = True

    def ready(self):
        return self.state_confirmed

    def row(self, model, pool):
        return self.cluster_state.row(model, pool)

    def zone_empty(self, zone):
        return zone in self.cluster_state.empty_zones


class Gateway:
    """The components of a gateway that choose engines and apply limits; it is also their context."""

    def __init__(self, gateways=1, n=0, clock=None, network=None):
        self.clock = clock or Clock()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)
        self.timers.utc_now = lambda: datetime.fromtimestamp(self.clock.seconds(), UTC)
        self.logger = StructuredLogger(self)
        self.node, self.rng = f"g{n}", Random(1)
        self.rpc = _Rpc(self.node, {} if network is None else network)
        self.membership, self.cluster = _Membership(self.node, gateways), _Cluster()
        self.settings = type("Settings", (), {"lot_reserve": 0.25})
        self.client_memory = ClientMemory()
        self.engines = EngineRegistry(self)
        self.slots = EngineSlots(self, self.engines)
        self.rpc.register_handler("engines.loads", Loads, self.slots.handle_loads)
        self.candidates = EngineCandidates(self, self.engines)
        self.retry_after = RetryAfterEstimator(self.timers)
        self.serving = ServingState(self)
        self.rate_limits = RateLimits(self, self.slots, self.candidates, self.retry_after)
        self.rate_limits.open()
        self.selector = EngineSelector(
            self, self.serving, self.slots, self.candidates, self.rate_limits, self.retry_after
        )

    def run_in_background(self, work, what):
        return spawn(work)

    def log(self, *args):
        pass

    def announce_engine(self, name, state="ready", incarnation=1, capacity=10, zone="z", age_ms=0):
        self.engines.merge(
            EngineUpdate(
                engine=name,
                incarnation=incarnation,
                address="127.0.0.1:1",
                pool="models",
                models=["m"],
                capacity=capacity,
                zone=zone,
                state=state,
                age_ms=age_ms,
            )
        )

    def make_request(self, prefix="", kind=RequestKind.LIVE):
        return RequestRecord(model="m", prompt="", prefix_key=prefix, kind=kind, deadline=self.timers.now())

    def advance(self, seconds, *names, **fields):
        for _ in range(seconds):
            self.clock.advance(1)
            for n in names:
                self.announce_engine(n, **fields)

    def fill_slots(self, request):
        n = 0
        while (engine := self.selector.select(request)) is not None:
            self.slots.acquire(engine, is_batch_item=request.is_batch_item)
            n += 1
        return n
