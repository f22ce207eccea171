"""The count of waiting tokens while gateways restart in turn: reservations do not wait for the others to settle."""

import unittest

from pipitlink.timers import ms, spawn

from .batch_builders import Callers, route, start_simulation

CAP = 300
GATEWAYS = 8
RESTART_INTERVAL_S = 0.25
MAX_INTAKE_S = 0.5


class RestartsInTurn(unittest.TestCase):
    def simulation(self, seed):
        simulation = start_simulation(seed, gateways=GATEWAYS, routes=[route(max_waiting_tokens=CAP)])
        simulation.step, simulation.breaks = ms(400), 0
        self.addCleanup(simulation.end)
        return simulation, Callers(simulation)

    def coordinator(self, simulation):
        node = simulation.role("gateway", alive=True)[0].part.service.quota.coordinator_of("bulk")
        return next(gateway for gateway in simulation.role("gateway") if gateway.node == node)

    def restart(self, simulation, gateway):
        """Ends one gateway in order, as a planned restart does, and starts it again at once."""
        simulation.do(gateway.ctx.membership.leave())
        gateway.kill()
        gateway.start()
        if gateway.part is not None:
            gateway.part.slots = 0

    def test_a_reservation_does_not_wait_while_other_gateways_restart(self):
        for seed in (1, 2, 3):
            simulation, callers = self.simulation(seed)
            for gateway in simulation.role("gateway"):
                gateway.part.slots = 0
            coordinator = self.coordinator(simulation)
            taker = next(gateway for gateway in simulation.role("gateway") if gateway is not coordinator)
            others = [gateway for gateway in simulation.role("gateway") if gateway not in (coordinator, taker)]
            took, answers = [], []
            for number in range(16):
                self.restart(simulation, others[number % len(others)])
                simulation.run(RESTART_INTERVAL_S / 2)
                if self.coordinator(simulation) is not coordinator:
                    break  # the restarted one is the coordinator by its new id
                began = simulation.clock.seconds()
                answers.append(simulation.do(callers.hand_in(callers.lot(1), taker)))
                took.append(simulation.clock.seconds() - began)
                simulation.run(RESTART_INTERVAL_S / 2)
            self.assertEqual(set(answers), {202}, f"seed {seed}: {answers}")
            self.assertLess(max(took), MAX_INTAKE_S, f"seed {seed}: {took}")

    def test_a_grant_to_a_gateway_that_is_lost_counts_until_its_batch_was_looked_for(self):
        simulation, callers = self.simulation(4)
        for gateway in simulation.role("gateway"):
            gateway.part.slots = 0
        coordinator = self.coordinator(simulation)
        taker = next(gateway for gateway in simulation.role("gateway") if gateway is not coordinator)
        self.assertEqual(simulation.do(callers.hand_in(callers.lot(25), taker)), 202)
        taker.kill()
        simulation.run(0.1)
        self.assertNotEqual(simulation.do(callers.hand_in(callers.lot(6), coordinator)), 202)
        for _ in range(40):
            simulation.run(0.25)
            answered = []
            spawn(callers.hand_in(callers.lot(6), coordinator)).addBoth(answered.append)
            simulation.until(lambda: answered, 4, "an answer")
            self.assertNotEqual(answered, [202])


if __name__ == "__main__":
    unittest.main()
