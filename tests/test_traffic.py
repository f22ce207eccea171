"""The traffic counters of a node, and the durations that a gateway logs for each call."""

import re
import unittest
from types import SimpleNamespace

from pipitlink.router.call import CallPhase
from pipitlink.router.phase_timings import PhaseTimings
from pipitlink.structured_log import StructuredLogger
from pipitlink.timers import Timers, ms
from pipitlink.traffic import TrafficCounter, TrafficLog, TrafficTotal
from testbed.simulator.virtual_time import VirtualTime

from .router_builders import END, RouterHarness, chunk, event, head, route


class TrafficCounting(unittest.TestCase):
    def test_bytes_are_counted_by_purpose_and_zone(self):
        traffic = TrafficCounter("zone-a")
        for purpose, zone, size in (("probe", "zone-a", 10), ("probe", "zone-b", 7), ("write", "", 5)):
            traffic.add(purpose, zone, size)
        self.assertEqual(list(traffic.totals()), [TrafficTotal("probe", 10, 7), TrafficTotal("write", 0, 5)])

    def test_the_log_lists_traffic_between_zones_first_and_has_no_line_without_traffic(self):
        clock, lines = VirtualTime(), []
        logger = StructuredLogger(SimpleNamespace(log=lambda level, shape, text: lines.append(text)))
        traffic = TrafficCounter("zone-a")
        TrafficLog(traffic, Timers(clock, seconds=clock.seconds), logger).open(lambda error: self.fail(error))
        self.assertEqual(lines, [])
        traffic.add("probe", "zone-a", 90)
        traffic.add("write", "zone-b", 40)
        clock.advance(10)
        self.assertEqual(lines, ["event=traffic_counted totals=write:0/40,probe:90/0"])


class CallPhases(unittest.TestCase):
    def test_durations_of_phases_that_are_entered_again_are_added(self):
        clock = VirtualTime()
        timers = Timers(clock, seconds=clock.seconds)
        timings = PhaseTimings(timers, timers.now() - ms(5))
        for phase, seconds in ((CallPhase.READ, 0), (CallPhase.CHOOSE, 0.02), (CallPhase.CHOOSE, 0.03)):
            clock.advance(seconds)
            timings.end_phase(phase)
        self.assertEqual([timings.phase_ms(phase) for phase in CallPhase], [5, 50, 0, 0, 0])
        self.assertEqual(timings.total_ms(), 55)

    def test_a_call_logs_its_phases_and_counts_its_bytes_by_the_zone_of_its_engine(self):
        harness = RouterHarness([route("s", "/a/", resumable=True)])
        harness.announce_engine("e1", zone="zone-b")
        harness.send_request(body=b"x" * 1000)
        harness.advance_ms(40)
        _, connection, sent = harness.take_engine_request()
        response = head("c1") + chunk(event(1, "a"))
        connection.dataReceived(response)
        harness.advance_ms(25)
        connection.dataReceived(END)
        completed = next(logged for logged in harness.log_lines if "event=call_completed" in logged)
        phases = dict(re.findall(r"(\w+)_ms=(\d+)", completed))
        self.assertEqual(
            phases, {"read": "0", "choose": "0", "connect": "0", "first_byte": "40", "relay": "25"}, completed
        )
        requests, responses = [total for total in harness.ctx.traffic.totals() if total.purpose.startswith("engine.")]
        self.assertEqual(responses, TrafficTotal("engine.call_response", 0, len(response) + len(END)))
        self.assertEqual((requests.purpose, requests.own_zone_bytes), ("engine.call_request", 0))
        self.assertAlmostEqual(requests.other_zone_bytes, len(sent), delta=80)


if __name__ == "__main__":
    unittest.main()
