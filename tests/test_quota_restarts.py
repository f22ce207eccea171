"""The count of waiting tokens during a rolling restart of gateways: it must not delay reservations."""

import unittest

from pipitlink.timers import ms, spawn

from .batch_builders import BatchClients, route, start_simulation

CAP = 300
GATEWAYS = 8
RESTART_INTERVAL_S = 0.25
MAX_INTAKE_S = 0.5


class RollingRestart(unittest.TestCase):
    def simulation(self, seed):
        simulation = start_simulation(seed, gateways=GATEWAYS, routes=[route(max_waiting_tokens=CAP)])
        simulation.event_interval, simulation.break_probability = ms(400), 0
        self.addCleanup(simulation.end)
        return simulation, BatchClients(simulation)

    def coordinator(self, simulation):
        node = simulation.role("gateway", alive=True)[0].part.service.quota.coordinator_of("bulk")
        return next(gateway for gateway in simulation.role("gateway") if gateway.node == node)

    def restart(self, simulation, gateway):
        """Shuts down one gateway as a planned restart does, and starts it again at once."""
        simulation.do(gateway.ctx.membership.leave())
        gateway.kill()
        gateway.start()
        if gateway.part is not None:
            gateway.part.slots = 0

    def test_a_reservation_does_not_wait_while_other_gateways_restart(self):
        for seed in (1, 2, 3):
            simulation, clients = self.simulation(seed)
            for gateway in simulation.role("gateway"):
                gateway.part.slots = 0
            coordinator = self.coordinator(simulation)
            submitter = next(gateway for gateway in simulation.role("gateway") if gateway is not coordinator)
            others = [gateway for gateway in simulation.role("gateway") if gateway not in (coordinator, submitter)]
            durations_s, statuses = [], []
            for number in range(16):
                self.restart(simulation, others[number % len(others)])
                simulation.run(RESTART_INTERVAL_S / 2)
                if self.coordinator(simulation) is not coordinator:
                    break  # with its new id, the restarted gateway has become the coordinator
                started_at = simulation.clock.seconds()
                statuses.append(simulation.do(clients.submit_batch(clients.new_batch(1), submitter)))
                durations_s.append(simulation.clock.seconds() - started_at)
                simulation.run(RESTART_INTERVAL_S / 2)
            self.assertEqual(set(statuses), {202}, f"seed {seed}: {statuses}")
            self.assertLess(max(durations_s), MAX_INTAKE_S, f"seed {seed}: {durations_s}")

    def test_a_grant_to_a_lost_gateway_counts_until_open_batches_were_listed(self):
        simulation, clients = self.simulation(4)
        for gateway in simulation.role("gateway"):
            gateway.part.slots = 0
        coordinator = self.coordinator(simulation)
        submitter = next(gateway for gateway in simulation.role("gateway") if gateway is not coordinator)
        self.assertEqual(simulation.do(clients.submit_batch(clients.new_batch(25), submitter)), 202)
        submitter.kill()
        simulation.run(0.1)
        self.assertNotEqual(simulation.do(clients.submit_batch(clients.new_batch(6), coordinator)), 202)
        for _ in range(40):
            simulation.run(0.25)
            statuses = []
            spawn(clients.submit_batch(clients.new_batch(6), coordinator)).addBoth(statuses.append)
            simulation.until(lambda: statuses, 4, "a response")
            self.assertNotEqual(statuses, [202])


if __name__ == "__main__":
    unittest.main()
