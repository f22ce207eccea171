"""Times single steps of gateway code at full size, in one process without a network."""

import statistics
import time
from random import Random

from twisted.internet.task import Clock

from pipitlink.cache.ring import Ring
from pipitlink.cluster import ClusterState
from pipitlink.context import Context
from pipitlink.settings import Settings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, spawn
from pipitlink.wire.cluster_pb2 import Command, Row, TableEdit
from pipitlink.wire.membership_pb2 import EngineUpdate, Gossip, Member
from pipitlink.wire.rpc import RpcEndpoint

from ..faults.disks import PowerLossDisk
from ..processes.lightweight_nodes import MEMBERS_PER_MESSAGE, open_parts
from .linear_fit import fit

__all__ = ["print_step_timings", "STEPS"]

GATEWAYS = (100, 300, 1000, 3000)
ENGINES_PER_GATEWAY = 10 / 3
REPETITIONS = 3
MIN_MEASURED_SECONDS = 0.05


class _NullSink:
    def log(self, *args):
        pass


def _gateway(gateways: int):
    """Returns a lightweight gateway that knows `gateways` peers and their engines, on a stopped clock."""
    clock = Clock()
    timers = Timers(clock, seconds=clock.seconds)
    rpc = RpcEndpoint(None, timers, StructuredLogger(_NullSink()), "pipit", "g0")
    ctx = Context("gateway", "g0", Settings(), clock, timers, StructuredLogger(_NullSink()), rpc, Random(1))
    everyone = [
        Member(
            node=f"g{i}",
            incarnation=1,
            role="gateway",
            zone=f"zone-{i % 25}",
            host="127.0.0.1",
            port=1000 + i,
            status="alive",
        )
        for i in range(gateways)
    ]
    rpc.call = _empty_response
    part = open_parts(ctx, "lightweight", everyone[0], PowerLossDisk(Random(1)))
    for at in range(0, gateways, MEMBERS_PER_MESSAGE):
        gossip = Gossip(sender="g1", members=everyone[at : at + MEMBERS_PER_MESSAGE])
        spawn(rpc.dispatch(rpc.hello(), "membership.tell", gossip.SerializeToString()))
    for i in range(int(gateways * ENGINES_PER_GATEWAY)):
        part.engines.merge(
            EngineUpdate(
                engine=f"engine{i}",
                incarnation=1,
                address="127.0.0.1:1",
                pool="models",
                models=["m"],
                capacity=8,
                zone=f"zone-{i % 25}",
                state="ready",
            )
        )
    return ctx, part


async def _empty_response(*_, **__):
    return Gossip()


def _step_ring(ctx, part):
    Ring({m.node: m.zone for m in ctx.membership.members("gateway")})


def _step_members(ctx, part):
    ctx.membership.members("gateway", include_self=False)


def _step_free_slots(ctx, part):
    part.slots.free_slots(next(iter(part.engines.unordered())))


def _step_loads(ctx, part):
    part.slots.report_loads()


STEPS = {
    "rebuilding the ring of cache replicas when a gateway joins or leaves": _step_ring,
    "listing the gateways, by role": _step_members,
    "the free slots of one engine, for one selection": _step_free_slots,
    "reporting loads to all gateways, without the network": _step_loads,
}


def _time(step) -> list[float]:
    """Returns the CPU milliseconds of one step in each repetition; each is long enough for the clock's resolution."""
    out = []
    for _ in range(REPETITIONS):
        n, began = 0, time.process_time()
        while (span := time.process_time() - began) < MIN_MEASURED_SECONDS:
            step()
            n += 1
        out.append(1000 * span / n)
    return sorted(out)


def _time_row_changes() -> list[tuple]:
    """Times the copying of a cluster state with a row per tenant and model, and a change of one row."""
    out = []
    for rows in (1000, 4000, 23180):
        cluster_state = ClusterState()
        puts = [Row(name=f"row{i}", model=f"model{i % 38}", pool=f"tenant{i}", weight=1) for i in range(rows)]
        cluster_state.apply(1, Command(edit="all", table=TableEdit(replace_all=True, upserts=puts)))
        one = Command(edit="one", table=TableEdit(base=1, upserts=puts[:1]))

        def change(cluster_state=cluster_state, one=one):
            one.table.base, one.edit = cluster_state.table_sequence, f"e{cluster_state.sequence}"
            cluster_state.apply(cluster_state.sequence + 1, one)
            cluster_state.row("model1", "tenant1")

        out.append(
            (
                rows,
                _time(lambda: ClusterState(cluster_state.data())),
                _time(change),
                cluster_state.data().ByteSize(),
                one.ByteSize(),
            )
        )
    return out


def print_step_timings() -> int:
    print(
        "| step, ms | " + " | ".join(f"{g} gateways" for g in GATEWAYS) + " | fit |\n|" + "---|" * (len(GATEWAYS) + 2)
    )
    gateways = [_gateway(g) for g in GATEWAYS]
    for name, step in STEPS.items():
        times = [_time(lambda: step(ctx, part)) for ctx, part in gateways]
        f = fit(list(GATEWAYS), [statistics.median(t) for t in times])
        print(
            f"| {name} | "
            + " | ".join(f"{t[1]:.3g} ({t[0]:.3g} to {t[-1]:.3g})" for t in times)
            + f" | {f}, r² {f.r2:.3f} |"
        )
    print(
        "\n| configuration rows | whole cluster state copied, ms | one change and the next look-up, ms "
        "| whole, bytes | change, bytes |"
        "\n|---|---|---|---|---|"
    )
    for rows, whole, change, size, delta in _time_row_changes():
        print(
            f"| {rows} | {whole[1]:.3g} ({whole[0]:.3g} to {whole[-1]:.3g}) | "
            f"{change[1]:.3g} ({change[0]:.3g} to {change[-1]:.3g}) | {size} | {delta} |"
        )
    return 0
