"""Logs and leases under kills, power losses, freezes and cuts, over many seeds."""

import contextlib
import unittest
from unittest import mock

from pipitlink.disk import decode_frames
from pipitlink.errors import LeaseNotHeld, PipitlinkError, StaleEpoch
from pipitlink.storage.write_handler import WriteHandler
from pipitlink.timers import ms
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulation import Simulation

SEEDS = seeds(4)


class _Writers:
    """Gateways that race for one log, and readers that note every byte they were shown."""

    def __init__(self, simulation, log="results/x", max_bytes=3000):
        self.simulation, self.log, self.max_bytes = simulation, log, max_bytes
        self.acked: dict[int, bytes] = {}
        self.shown = b""
        self.faults: list[str] = []
        self.over = False
        self.holds = 0

    async def write(self, simulated_node):
        n = 0
        while not self.over:
            if not simulated_node.alive:
                return
            ctx = simulated_node.ctx
            try:
                h = await ctx.replicated_log.acquire(self.log)
                self.holds += 1
                for _ in range(ctx.rng.randrange(1, 12)):
                    n += 1
                    body = f"{ctx.node}/{n}".encode() + b"." * ctx.rng.randrange(self.max_bytes)
                    at = await h.append([body])
                    self.acked[at] = body
                    await ctx.timers.sleep(ms(ctx.rng.randrange(60)))
                if ctx.rng.random() < 0.5:
                    await ctx.replicated_log.release([h])
            except PipitlinkError:
                pass
            await ctx.timers.sleep(ms(200 + ctx.rng.randrange(800)))

    async def read(self, simulated_node):
        while not self.over and simulated_node.alive:
            ctx = simulated_node.ctx
            try:
                state = (await ctx.replicated_log.states([self.log])).get(self.log)
                if state is not None and state.committed:
                    self.check(await ctx.replicated_log.read(self.log, 0, state.committed))
            except PipitlinkError:
                pass
            await ctx.timers.sleep(ms(150))

    def check(self, data: bytes):
        a, b = sorted((data, self.shown), key=len)
        if not b.startswith(a):
            self.faults.append(f"shown bytes moved below {len(a)}")
        self.shown = b


class LogsUnderFaults(unittest.TestCase):
    def run_seed(self, seed, **sizes):
        """Plays one seed with three replicas and small records, or other sizes of the simulation and the records."""
        max_bytes = sizes.pop("max_bytes", 3000)
        sizes = {"controllers": 3, "storage_nodes": 3, "gateways": 3, "placement_groups": 2, **sizes}
        simulation = Simulation(seed, **sizes)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        w = _Writers(simulation, max_bytes=max_bytes)
        random_faults = RandomFaults(simulation, roles=("storage", "storage", "gateway"))
        work = [x for a in simulation.role("gateway") for x in (w.write(a), w.read(a))]
        random_faults.during(work, faults=10)
        simulation.run(8)
        w.over = True
        simulation.run(3)
        simulation.ready()
        for a in simulation.role("gateway"):
            simulation.do(a.ctx.replicated_log.release(list(a.ctx.replicated_log.leaseholders.values())))
        last = simulation.role("gateway")[0].ctx

        async def final():
            while True:
                try:
                    return await last.replicated_log.acquire(w.log)
                except LeaseNotHeld:
                    await last.timers.sleep(ms(500))

        data = bytes(simulation.do(final(), 30).data)
        w.check(data)
        self.assertEqual(w.faults, [], random_faults.injected)
        found = {at: body for at, body, _ in decode_frames(data)}
        for at, body in w.acked.items():
            self.assertEqual(
                found.get(at), body, f"seed {seed}: acknowledged at {at} and gone; {random_faults.injected}"
            )
        return len(w.acked), w.holds

    def test_nothing_acknowledged_is_lost_and_nothing_shown_moves(self):
        acked = holds = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                a, h = self.run_seed(seed)
                acked, holds = acked + a, holds + h
        self.assertGreater(acked, 20 * len(SEEDS))
        self.assertGreater(holds, 3 * len(SEEDS))

    def test_nothing_is_lost_where_five_replicas_fetch_large_records_from_each_other(self):
        fetches = []
        acked = 0
        for seed in SEEDS:
            with self.subTest(seed=seed), mock.patch.object(WriteHandler, "_fetch", noting(fetches)):
                acked += self.run_seed(
                    seed, controllers=5, storage_nodes=6, max_bytes=40_000, settings={"machine_losses": 2}
                )[0]
        self.assertGreater(acked, 15 * len(SEEDS))
        self.assertGreater(len(fetches), 20 * len(SEEDS))


def noting(calls):
    """Returns the handler of fetches, which notes each call."""
    handle = WriteHandler._fetch

    async def note(handler, peer, request):
        calls.append(request.length)
        return await handle(handler, peer, request)

    return note


class Leases(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(5, controllers=3, storage_nodes=3, gateways=2, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.one, self.two = self.simulation.role("gateway")

    def test_a_leaseholder_that_slept_past_its_lease_is_fenced_and_stops_by_its_own_clock(self):
        h = self.simulation.do(self.one.ctx.replicated_log.acquire("results/a"))
        self.simulation.do(h.append([b"one"]))
        with self.assertRaises(LeaseNotHeld):
            self.simulation.do(self.two.ctx.replicated_log.acquire("results/a"))
        self.one.freeze()
        self.simulation.run(4)
        h2 = self.simulation.do(self.two.ctx.replicated_log.acquire("results/a"))
        self.assertGreater(h2.epoch, h.epoch)
        self.simulation.do(h2.append([b"two"]))
        self.one.thaw()
        self.assertFalse(h.is_held())
        with self.assertRaises((LeaseNotHeld, StaleEpoch)):
            self.simulation.do(h.append([b"late"]))
        self.simulation.run(3)
        state = self.simulation.do(self.two.ctx.replicated_log.states(["results/a"]))["results/a"]
        data = self.simulation.do(self.two.ctx.replicated_log.read("results/a", 0, state.committed))
        self.assertEqual([b for _, b, _ in decode_frames(data)], [b"one", b"two"])

    def test_a_new_leaseholder_keeps_a_tail_that_only_one_storage_node_was_sent(self):
        h = self.simulation.do(self.one.ctx.replicated_log.acquire("results/b"))
        self.simulation.do(h.append([b"first"]))
        storage_nodes = [a.name for a in self.simulation.role("storage")]
        self.simulation.cut([self.one.name], storage_nodes[1:])
        with self.assertRaises(PipitlinkError):
            self.simulation.do(h.append([b"unsure"]))
        self.one.kill()
        self.simulation.heal()
        self.simulation.run(4)
        h2 = self.simulation.do(self.two.ctx.replicated_log.acquire("results/b"))
        bodies = [b for _, b, _ in decode_frames(bytes(h2.data))]
        self.assertEqual(bodies[0], b"first")
        self.simulation.do(h2.append([b"next"]))
        states = [a.part.log_store.state("results/b") for a in self.simulation.role("storage")]
        self.simulation.run(2)
        self.assertEqual(len({(s.tail_epoch) for s in states if s.length == max(x.length for x in states)}), 1)

    def test_an_append_whose_responses_were_lost_is_known_to_be_durable_once_storage_nodes_are_heard(self):
        h = self.simulation.do(self.one.ctx.replicated_log.acquire("results/d"))
        self.simulation.do(h.append([b"first"]))
        storage_nodes = [a.name for a in self.simulation.role("storage")]
        self.simulation.clock.callLater(
            0.002, lambda: self.simulation.cut(storage_nodes, [self.one.name], one_way=True)
        )
        self.simulation.clock.callLater(1.2, self.simulation.heal)
        with contextlib.suppress(PipitlinkError):
            self.simulation.do(h.append([b"last"]), 10)
        self.simulation.until(lambda: h.committed == len(h.data), 5, "the append is known to be durable")
        self.assertTrue(h.is_held())

    def test_a_full_disk_refuses_batches_but_keeps_room_for_ends(self):
        h = self.simulation.do(self.one.ctx.replicated_log.acquire("results/c"))
        for a in self.simulation.role("storage"):
            log_store = a.part.log_store
            log_store.budget = log_store.used_bytes() + log_store.reserve + 2000
        self.simulation.run(1.5)
        with self.assertRaises(PipitlinkError) as no:
            self.simulation.do(h.append([b"x" * 8000]))
        self.assertEqual(no.exception.code, "no_room")
        self.simulation.do(h.append([b"end"], reserved=True))
