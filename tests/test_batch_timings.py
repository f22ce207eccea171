"""The durations of a batch's intake and items that its owner logs."""

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
    """Returns the fields of the first log line of an event."""
    line = next(line for line in simulation.sink.lines if f"event={event} " in line)
    return dict(re.findall(r"(\w+)=(\S+)", line))


class Phases(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualTime()
        self.timers = Timers(self.clock, seconds=self.clock.seconds)

    def test_each_intake_phase_starts_at_the_end_of_the_previous_one(self):
        timings = PhaseTimings(self.timers, self.timers.now() - ms(40))
        for phase, elapsed_s in ((IntakePhase.RECEIVE, 0), (IntakePhase.PARSE, 0.02), (IntakePhase.APPEND, 0.3)):
            self.clock.advance(elapsed_s)
            timings.end_phase(phase)
        durations_ms = [timings.phase_ms(phase) for phase in IntakePhase]
        self.assertEqual(durations_ms, [40, 20, 0, 0, 300])
        self.assertEqual(timings.total_ms(), 360)

    def test_a_retry_adds_to_each_phase_that_it_enters_again(self):
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


class LogLines(unittest.TestCase):
    def test_the_owner_logs_the_phases_of_a_batch_and_its_items(self):
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
        self.assertLessEqual(abs(sum(phases[:-1]) - phases[-1]), len(phases), "the phases add up to the total")
        for name in ITEM_MS:
            self.assertRegex(closed[name], r"^\d+/\d+$")


if __name__ == "__main__":
    unittest.main()
