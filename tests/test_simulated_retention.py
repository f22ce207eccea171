"""Expired logs free their space and nothing else is lost; torn and damaged segment files are detected."""

import unittest
from unittest import mock

from pipitlink import segments
from pipitlink.disk import decode_frames
from pipitlink.errors import CorruptData, PipitlinkError
from testbed.simulator.simulation import Simulation


class Retention(unittest.TestCase):
    def setUp(self):
        p = mock.patch.object(segments, "MAX_SEGMENT_BYTES", 20_000)
        p.start()
        self.addCleanup(p.stop)
        self.simulation = Simulation(
            3, controllers=3, storage_nodes=3, gateways=2, placement_groups=2, settings={"retention_s": 60}
        )
        self.addCleanup(self.simulation.end)
        self.simulation.start()
        self.simulation.ready()
        self.gateway, self.other = (a.ctx for a in self.simulation.role("gateway"))
        self.wall = self.gateway.timers.utc_now()
        self.began = self.simulation.clock.seconds()
        for a in self.simulation.simulated_nodes.values():
            a.ctx.timers.wall = self._wall

    def _wall(self):
        from datetime import timedelta

        return self.wall + timedelta(seconds=self.simulation.clock.seconds() - self.began)

    def write(self, log, n, final):
        async def go():
            h = await self.gateway.replicated_log.acquire(log)
            for i in range(n):
                await h.append([f"{log}/{i}".encode() * 100], final=final and i == n - 1)
            return h

        return self.simulation.do(go(), 60)

    def used(self):
        return [a.part.log_store.used_bytes() for a in self.simulation.role("storage")]

    def test_old_logs_expire_their_space_is_freed_and_the_rest_stays(self):
        kept = self.write("lots/kept", 10, False)
        for n in range(12):
            self.simulation.do(self.gateway.replicated_log.release([self.write(f"results/{n}", 10, True)]))
        full = self.used()
        self.simulation.run(200)
        self.assertTrue(all(now < was / 2 for now, was in zip(self.used(), full)), (self.used(), full))
        for a in self.simulation.role("storage"):
            a.kill(power=True)
            a.start()
            a.ctx.timers.wall = self._wall
        self.simulation.run(5)
        states = self.simulation.do(self.other.replicated_log.list("results/"))
        self.assertEqual([(s.final, s.length) for s in states.values()], [(True, 0)] * 12)
        state = self.simulation.do(self.other.replicated_log.states(["lots/kept"]))["lots/kept"]
        data = self.simulation.do(self.other.replicated_log.read("lots/kept", 0, state.committed))
        self.assertEqual(data, bytes(kept.data))

    def test_a_torn_end_is_truncated_and_repaired_from_the_other_replicas(self):
        h = self.write("lots/torn", 5, False)
        a = self.simulation.role("storage")[0]
        a.kill()
        path = max((a.folder / "logs").glob("seg-*.log"))
        data = path.read_bytes()
        path.write_bytes(data[:-7])
        a.start()
        self.assertLess(a.part.log_store.state("lots/torn").length, len(h.data))
        self.simulation.until(lambda: a.part.log_store.state("lots/torn").length == len(h.data), 20, "repaired")
        got = self.simulation.do(self.other.replicated_log.read_from(a.node, "lots/torn", 0, len(h.data)))
        self.assertEqual(got, bytes(h.data))

    def test_damage_inside_an_old_segment_is_never_served(self):
        self.write("lots/hurt", 60, False)
        a = self.simulation.role("storage")[0]
        a.kill()
        first = min((a.folder / "logs").glob("seg-*.log"))
        data = bytearray(first.read_bytes())
        data[len(data) // 2] ^= 0xFF
        first.write_bytes(data)
        with self.assertRaises(CorruptData):
            a.start()

    def test_a_full_disk_is_refused_and_recovers(self):
        h = self.write("lots/full", 3, False)
        for a in self.simulation.role("storage"):
            a.disk.full = True
        with self.assertRaises(PipitlinkError):
            self.simulation.do(h.append([b"no room"]), 30)
        for a in self.simulation.role("storage"):
            a.disk.full = False
        self.simulation.run(5)
        h = self.write("lots/full", 1, False)
        bodies = [b for _, b, _ in decode_frames(bytes(h.data))]
        self.assertEqual(bodies[:3], [f"lots/full/{i}".encode() * 100 for i in range(3)])
