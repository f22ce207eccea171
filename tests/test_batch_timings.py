"""What the owner of a batch logs of the time that its intake and its items took."""

import re
import unittest

from pipitlink.router.batch_timings import IntakePhase, ItemPhase, ItemTimings
from pipitlink.router.phase_timings import PhaseTimings
from pipitlink.timers import Timers, ms
from testbed.simulator.virtual_time import VirtualTime
from tests.batch_builders import BatchClients, start_simulation

INTAKE_MS = ("receive_ms", "parse_ms", "reserve_ms", "acquire_ms", "append_ms", "total_ms")
ITEM_MS = ("waiting_ms", "first_event_ms", "running_ms", "append_ms")


def fields_of(simulation, event):
    """The fields of the first line of an event."""
    line = next(line for line in simulation.sink.lines if f"event={event} " in line)
    return dict(re.findall(r"(\w+)=(\S+)", line))


class Phases(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualTime()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)

    def test_each_phase_of_an_intake_lasts_from_the_end_of_the_one_before(self):
        timings = PhaseTimings(self.timers, self.timers.now() - ms(40))
        for phase, passed in ((IntakePhase.RECEIVE, 0), (IntakePhase.PARSE, 0.02), (IntakePhase.APPEND, 0.3)):
            self.clock.advance(passed)
            timings.end_phase(phase)
        found = [timings.phase_ms(phase) for phase in IntakePhase]
        self.assertEqual(found, [40, 20, 0, 0, 300])
        self.assertEqual(timings.total_ms(), 360)

    def test_retries_count_in_each_phase_that_they_enter_again(self):
        timings = ItemTimings(self.timers)
        steps = (
            (100, lambda: timings.attempt_started(0)),
            (200, lambda: timings.attempt_failed(0)),
            (50, lambda: timings.attempt_started(0)),
            (30, lambda: timings.event_received(0)),
            (500, lambda: timings.event_received(0)),
            (500, lambda: timings.finished(0)),
            (70, lambda: timings.appended([0, 1])),
        )
        for passed_ms, step in steps:
            self.clock.advance(passed_ms / 1000)
            step()
        self.assertEqual([timings.summary(phase) for phase in ItemPhase], ["75/100", "115/200", "1000/1000", "70/70"])
        self.assertEqual(timings.attempts, 2)


class Lines(unittest.TestCase):
    def test_an_owner_logs_the_phases_of_a_batch_and_of_its_items(self):
        simulation = start_simulation(3)
        self.addCleanup(simulation.end)
        simulation.break_probability = 0
        clients = BatchClients(simulation)
        simulation.do(clients.submit_batch(clients.new_batch(items=3)))
        simulation.until(
            lambda: any("event=batch_closed" in line for line in simulation.sink.lines), 10, "the batch ends"
        )
        accepted, closed = fields_of(simulation, "batch_accepted"), fields_of(simulation, "batch_closed")
        self.assertEqual((accepted["items"], closed["attempts"]), ("3", "3"))
        phases = [int(accepted[name]) for name in INTAKE_MS]
        self.assertGreater(phases[4], 0, "an append takes a round trip")
        self.assertLessEqual(abs(sum(phases[:-1]) - phases[-1]), len(phases), "the phases are all of the time")
        for name in ITEM_MS:
            self.assertRegex(closed[name], r"^\d+/\d+$")


if __name__ == "__main__":
    unittest.main()
