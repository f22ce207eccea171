"""Logs and leases under kills, power losses, freezes and network cuts, with many seeds."""

import contextlib
import unittest
from unittest import mock

from pipitlink.disk import decode_frames
from pipitlink.errors import LeaseNotHeld, PipitlinkError, StaleEpoch
from pipitlink.storage.write_handler import WriteHandler
from pipitlink.timers import ms
from testbed.simulator.random_faults import LOG_FAULTS, RandomFaults, seeds
from testbed.simulator.simulation import Simulation

SEEDS = seeds(4)
MAX_PART_BYTES = 6000
LAST_BYTES = 100_000
"""Parts are read from the last bytes of the log, which replicas may differ in."""


class _Writers:
    """Gateways that compete for the lease of one log, and readers that check that committed bytes never change."""

    def __init__(self, simulation, log="results/x", max_bytes=3000):
        self.simulation, self.log, self.max_bytes = simulation, log, max_bytes
        self.acknowledged: dict[int, bytes] = {}
        self.last_read = b""
        self.parts_read = _PartsRead()
        self.violations: list[str] = []
        self.stopped = False
        self.lease_count = 0

    async def write(self, simulated_node):
        count = 0
        while not self.stopped:
            if not simulated_node.alive:
                return
            ctx = simulated_node.ctx
            try:
                leaseholder = await ctx.replicated_log.acquire(self.log)
                self.lease_count += 1
                for _ in range(ctx.rng.randrange(1, 12)):
                    count += 1
                    body = f"{ctx.node}/{count}".encode() + b"." * ctx.rng.randrange(self.max_bytes)
                    position = await leaseholder.append([body])
                    self.acknowledged[position] = body
                    await ctx.timers.sleep(ms(ctx.rng.randrange(60)))
                if ctx.rng.random() < 0.5:
                    await ctx.replicated_log.release([leaseholder])
            except PipitlinkError:
                pass
            await ctx.timers.sleep(ms(200 + ctx.rng.randrange(800)))

    async def read(self, simulated_node):
        while not self.stopped and simulated_node.alive:
            ctx = simulated_node.ctx
            try:
                state = (await ctx.replicated_log.states([self.log])).get(self.log)
                if state is not None and state.committed:
                    await self.read_part(ctx, state)
                    self.check(await ctx.replicated_log.read(self.log, 0, state.committed, state.committed_epoch))
            except PipitlinkError:
                pass
            await ctx.timers.sleep(ms(150))

    async def read_part(self, ctx, state):
        """Reads a part of the committed log, as followers do, which a replica that lacks the rest may have."""
        start = max(0, state.committed - ctx.rng.randrange(1, LAST_BYTES))
        end = min(state.committed, start + 1 + ctx.rng.randrange(MAX_PART_BYTES))
        data = await ctx.replicated_log.read(self.log, start, end - start, state.committed_epoch)
        if not self.parts_read.add(start, data):
            self.violations.append(f"committed bytes from {start} to {end} changed")

    def check(self, data: bytes):
        if not self.parts_read.add(0, data):
            self.violations.append(f"committed bytes below {len(data)} differ from parts that were read")
        shorter, longer = sorted((data, self.last_read), key=len)
        if not longer.startswith(shorter):
            self.violations.append(f"committed bytes changed below position {len(shorter)}")
        self.last_read = longer


class _PartsRead:
    """The bytes of a log that any reader has got; `_mask` is 255 where a byte is known and 0 elsewhere."""

    def __init__(self):
        self._data, self._mask = bytearray(), bytearray()

    def add(self, start: int, data: bytes) -> bool:
        """Adds a part; returns whether it agrees with all parts before it."""
        end = start + len(data)
        missing = max(0, end - len(self._data))
        self._data += bytes(missing)
        self._mask += bytes(missing)
        before, mask, now = (
            int.from_bytes(part, "big") for part in (self._data[start:end], self._mask[start:end], data)
        )
        self._data[start:end] = data
        self._mask[start:end] = b"\xff" * len(data)
        return not (before ^ now) & mask


class LogsUnderFaults(unittest.TestCase):
    def run_seed(self, seed, **options):
        """Runs one seed, by default with three replicas and small records. Returns the append and lease counts."""
        max_bytes = options.pop("max_bytes", 3000)
        options = {"controllers": 3, "storage_nodes": 3, "gateways": 3, "placement_groups": 2, **options}
        simulation = Simulation(seed, **options)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        writers = _Writers(simulation, max_bytes=max_bytes)
        random_faults = RandomFaults(simulation, roles=("storage", "storage", "gateway"), kinds=LOG_FAULTS)
        tasks = [
            task for member in simulation.role("gateway") for task in (writers.write(member), writers.read(member))
        ]
        random_faults.run_with_faults(tasks, faults=10)
        simulation.run(8)
        writers.stopped = True
        simulation.run(3)
        simulation.ready()
        for member in simulation.role("gateway"):
            simulation.do(member.ctx.replicated_log.release(list(member.ctx.replicated_log.leaseholders.values())))
        reader = simulation.role("gateway")[0].ctx

        async def final():
            while True:
                try:
                    return await reader.replicated_log.acquire(writers.log)
                except LeaseNotHeld:
                    await reader.timers.sleep(ms(500))

        data = bytes(simulation.do(final(), 30).data)
        writers.check(data)
        self.assertEqual(writers.violations, [], random_faults.injected)
        found = {position: body for position, body, _ in decode_frames(data)}
        for position, body in writers.acknowledged.items():
            self.assertEqual(
                found.get(position), body, f"seed {seed}: acknowledged at {position} but lost; {random_faults.injected}"
            )
        return len(writers.acknowledged), writers.lease_count

    def test_acknowledged_records_are_not_lost_and_committed_bytes_do_not_change(self):
        acknowledged = lease_count = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                records, leases = self.run_seed(seed)
                acknowledged, lease_count = acknowledged + records, lease_count + leases
        self.assertGreater(acknowledged, 20 * len(SEEDS))
        self.assertGreater(lease_count, 3 * len(SEEDS))

    def test_no_acknowledged_record_is_lost_with_five_replicas_that_fetch_large_records(self):
        fetches = []
        acknowledged = 0
        for seed in SEEDS:
            with self.subTest(seed=seed), mock.patch.object(WriteHandler, "_fetch", recording_fetch(fetches)):
                acknowledged += self.run_seed(
                    seed, controllers=5, storage_nodes=6, max_bytes=40_000, settings={"machine_losses": 2}
                )[0]
        self.assertGreater(acknowledged, 15 * len(SEEDS))
        self.assertGreater(len(fetches), 20 * len(SEEDS))


def recording_fetch(calls):
    """Returns a replacement of the fetch handler that records the length of each fetch."""
    original_fetch = WriteHandler._fetch

    async def record(handler, peer, request):
        calls.append(request.length)
        return await original_fetch(handler, peer, request)

    return record


class Leases(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(5, controllers=3, storage_nodes=3, gateways=2, placement_groups=2)
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.first, self.second = self.simulation.role("gateway")

    def test_a_leaseholder_frozen_past_its_lease_is_fenced_and_stops_by_its_own_clock(self):
        leaseholder = self.simulation.do(self.first.ctx.replicated_log.acquire("results/a"))
        self.simulation.do(leaseholder.append([b"one"]))
        with self.assertRaises(LeaseNotHeld):
            self.simulation.do(self.second.ctx.replicated_log.acquire("results/a"))
        self.first.freeze()
        self.simulation.run(4)
        second_leaseholder = self.simulation.do(self.second.ctx.replicated_log.acquire("results/a"))
        self.assertGreater(second_leaseholder.epoch, leaseholder.epoch)
        self.simulation.do(second_leaseholder.append([b"two"]))
        self.first.thaw()
        self.assertFalse(leaseholder.is_held())
        with self.assertRaises((LeaseNotHeld, StaleEpoch)):
            self.simulation.do(leaseholder.append([b"late"]))
        self.simulation.run(3)
        state = self.simulation.do(self.second.ctx.replicated_log.states(["results/a"]))["results/a"]
        data = self.simulation.do(
            self.second.ctx.replicated_log.read("results/a", 0, state.committed, state.committed_epoch)
        )
        self.assertEqual([body for _, body, _ in decode_frames(data)], [b"one", b"two"])

    def test_a_new_leaseholder_recovers_a_log_after_an_append_reached_only_one_storage_node(self):
        leaseholder = self.simulation.do(self.first.ctx.replicated_log.acquire("results/b"))
        self.simulation.do(leaseholder.append([b"first"]))
        storage_nodes = [member.name for member in self.simulation.role("storage")]
        self.simulation.cut([self.first.name], storage_nodes[1:])
        with self.assertRaises(PipitlinkError):
            self.simulation.do(leaseholder.append([b"unsure"]))
        self.first.kill()
        self.simulation.heal()
        self.simulation.run(4)
        second_leaseholder = self.simulation.do(self.second.ctx.replicated_log.acquire("results/b"))
        bodies = [body for _, body, _ in decode_frames(bytes(second_leaseholder.data))]
        self.assertEqual(bodies[0], b"first")
        self.simulation.do(second_leaseholder.append([b"next"]))
        states = [member.part.log_store.state("results/b") for member in self.simulation.role("storage")]
        self.simulation.run(2)
        self.assertEqual(
            len({state.tail_epoch for state in states if state.length == max(other.length for other in states)}), 1
        )

    def test_an_append_whose_responses_were_lost_is_committed_once_the_link_works_again(self):
        leaseholder = self.simulation.do(self.first.ctx.replicated_log.acquire("results/d"))
        self.simulation.do(leaseholder.append([b"first"]))
        storage_nodes = [member.name for member in self.simulation.role("storage")]
        self.simulation.clock.callLater(
            0.002, lambda: self.simulation.cut(storage_nodes, [self.first.name], one_way=True)
        )
        self.simulation.clock.callLater(1.2, self.simulation.heal)
        with contextlib.suppress(PipitlinkError):
            self.simulation.do(leaseholder.append([b"last"]), 10)
        self.simulation.until(lambda: leaseholder.committed == len(leaseholder.data), 5, "the append is committed")
        self.assertTrue(leaseholder.is_held())

    def test_a_full_storage_node_refuses_appends_except_reserved_ones(self):
        leaseholder = self.simulation.do(self.first.ctx.replicated_log.acquire("results/c"))
        for member in self.simulation.role("storage"):
            log_store = member.part.log_store
            log_store.budget = log_store.used_bytes() + log_store.reserve + 2000
        self.simulation.run(1.5)
        with self.assertRaises(PipitlinkError) as caught:
            self.simulation.do(leaseholder.append([b"x" * 8000]))
        self.assertEqual(caught.exception.code, "no_room")
        self.simulation.do(leaseholder.append([b"end"], reserved=True))
