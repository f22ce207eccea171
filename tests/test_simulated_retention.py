"""Expired logs free their space without affecting other logs; torn and damaged segment files are detected."""

import unittest
from unittest import mock

from pipitlink import segments
from pipitlink.disk import decode_frames
from pipitlink.errors import CorruptData, PipitlinkError
from testbed.simulator.simulation import Simulation


class Retention(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(segments, "MAX_SEGMENT_BYTES", 20_000)
        patch.start()
        self.addCleanup(patch.stop)
        self.simulation = Simulation(
            3, controllers=3, storage_nodes=3, gateways=2, placement_groups=2, settings={"retention_s": 60}
        )
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.gateway, self.other = (member.ctx for member in self.simulation.role("gateway"))
        self.started_utc = self.gateway.timers.utc_now()
        self.started_at = self.simulation.clock.seconds()
        for member in self.simulation.simulated_nodes.values():
            member.ctx.timers.wall = self._wall_clock

    def _wall_clock(self):
        from datetime import timedelta

        return self.started_utc + timedelta(seconds=self.simulation.clock.seconds() - self.started_at)

    def write(self, log, count, final):
        async def append_all():
            leaseholder = await self.gateway.replicated_log.acquire(log)
            for number in range(count):
                await leaseholder.append([f"{log}/{number}".encode() * 100], final=final and number == count - 1)
            return leaseholder

        return self.simulation.do(append_all(), 60)

    def used(self):
        return [member.part.log_store.used_bytes() for member in self.simulation.role("storage")]

    def test_old_logs_expire_and_free_their_space_while_other_logs_stay(self):
        kept = self.write("lots/kept", 10, False)
        for number in range(12):
            self.simulation.do(self.gateway.replicated_log.release([self.write(f"results/{number}", 10, True)]))
        used_before = self.used()
        self.simulation.run(200)
        self.assertTrue(
            all(after < before / 2 for after, before in zip(self.used(), used_before)), (self.used(), used_before)
        )
        for member in self.simulation.role("storage"):
            member.kill(power=True)
            member.start()
            member.ctx.timers.wall = self._wall_clock
        self.simulation.run(5)
        states = self.simulation.do(self.other.replicated_log.list("results/"))
        self.assertEqual([(state.final, state.length) for state in states.values()], [(True, 0)] * 12)
        state = self.simulation.do(self.other.replicated_log.states(["lots/kept"]))["lots/kept"]
        data = self.simulation.do(
            self.other.replicated_log.read("lots/kept", 0, state.committed, state.committed_epoch)
        )
        self.assertEqual(data, bytes(kept.data))

    def test_a_torn_segment_end_is_truncated_and_repaired_from_other_replicas(self):
        leaseholder = self.write("lots/torn", 5, False)
        member = self.simulation.role("storage")[0]
        member.kill()
        path = max((member.folder / "logs").glob("seg-*.log"))
        data = path.read_bytes()
        path.write_bytes(data[:-7])
        member.start()
        self.assertLess(member.part.log_store.state("lots/torn").length, len(leaseholder.data))
        self.simulation.until(
            lambda: member.part.log_store.state("lots/torn").length == len(leaseholder.data), 20, "repaired"
        )
        data = self.simulation.do(
            self.other.replicated_log.read_from(member.node, "lots/torn", 0, len(leaseholder.data), leaseholder.epoch)
        )
        self.assertEqual(data, bytes(leaseholder.data))

    def test_a_storage_node_with_a_damaged_old_segment_does_not_start(self):
        self.write("lots/hurt", 60, False)
        member = self.simulation.role("storage")[0]
        member.kill()
        first = min((member.folder / "logs").glob("seg-*.log"))
        data = bytearray(first.read_bytes())
        data[len(data) // 2] ^= 0xFF
        first.write_bytes(data)
        with self.assertRaises(CorruptData):
            member.start()

    def test_appends_fail_while_disks_are_full_and_work_again_afterwards(self):
        leaseholder = self.write("lots/full", 3, False)
        for member in self.simulation.role("storage"):
            member.disk.full = True
        with self.assertRaises(PipitlinkError):
            self.simulation.do(leaseholder.append([b"no room"]), 30)
        for member in self.simulation.role("storage"):
            member.disk.full = False
        self.simulation.run(5)
        leaseholder = self.write("lots/full", 1, False)
        bodies = [body for _, body, _ in decode_frames(bytes(leaseholder.data))]
        self.assertEqual(bodies[:3], [f"lots/full/{number}".encode() * 100 for number in range(3)])
