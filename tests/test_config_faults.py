"""Operators with a timeout of one second change the configuration at any controller while nodes fail."""

import unittest

from pipitlink.timers import ms
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulation import Simulation

from .control_client import ControlClient, config_of, route_of

SEEDS = seeds(3)
IN_EFFECT_S = 2.0


class _Operators:
    def __init__(self, simulation):
        self.simulation, self.client, self.timers = simulation, ControlClient(simulation), simulation.timers()
        self.over = False
        self.sent: dict[int, dict] = {}
        self.bases: dict[int, list[int]] = {}
        self.acked: list[tuple[float, int]] = []
        self.refused: set[int] = set()
        self.faults: list[str] = []
        self.version = 0

    def newest(self) -> int:
        return max((v for _, v in self.acked), default=0)

    async def call(self, *args):
        """Calls a random controller; returns (status, body), or None if there is no clear response within a second."""
        controller = self.simulation.rng.choice(self.simulation.role("controller"))
        if not controller.alive or controller.frozen:
            return None
        pending = self.client.start_call(controller, *args)
        for _ in range(100):
            if pending:
                return pending[0] if pending[0][0] < 500 else None
            await self.timers.sleep(ms(10))
        return None

    async def operate(self, operator: int):
        while not self.over:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(500)))
            min_version = self.newest()
            current = await self.call("GET", "/v1/config")
            if current is None:
                continue
            base = current[1]["version"]
            if base < min_version:
                self.faults.append(f"read {base} after {min_version} was acknowledged")
            if base and current[1] != self.sent[base]:
                self.faults.append(f"version {base} differs from what was sent")
            self.version += 1 + self.simulation.rng.randrange(3)
            version = self.version
            config = self.sent[version] = config_of(version, route_of(f"r{operator}", note=version))
            for _ in range(8):
                response = await self.call("PUT", "/v1/config", config, {"If-Match": str(base)})
                if response is not None:
                    break
                await self.timers.sleep(ms(100))
            if response is None:
                continue
            if response[0] == 200:
                self.acked.append((self.simulation.clock.seconds(), version))
                self.bases.setdefault(base, []).append(version)
            elif response[0] in (400, 412):
                self.refused.add(version)
            else:
                self.faults.append(f"{response}")

    def check_gateways(self):
        now = self.simulation.clock.seconds()
        min_version = max((v for at, v in self.acked if now - at > IN_EFFECT_S), default=0)
        for a in self.simulation.role("gateway", alive=True):
            applied = a.ctx.cluster.cluster_state.routes.version
            if a.ctx.cluster.ready() and applied < min_version:
                self.faults.append(f"{a.name} admits work at version {applied}, although {min_version} is in effect")


class ConfigUnderFaults(unittest.TestCase):
    def run_seed(self, seed, roles):
        simulation = Simulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        operators = _Operators(simulation)
        original_run = simulation.run

        def run(seconds, step=0.005):
            for _ in range(int(seconds / 0.05)):
                original_run(0.05, step)
                operators.check_gateways()

        simulation.run = run
        random_faults = RandomFaults(simulation, roles=roles)
        random_faults.run_with_faults([operators.operate(0), operators.operate(1)], faults=12)
        simulation.run(6)
        operators.over = True
        simulation.run(10)
        simulation.ready()
        context = f"seed {seed}: {random_faults.injected}"
        self.assertEqual(operators.faults, [], context)
        self.assertEqual([t for t in random_faults.injected if "work ended" in t], [])
        self.assertEqual({b: v for b, v in operators.bases.items() if len(v) > 1}, {}, context)
        last = ControlClient(simulation).get(simulation.leader())[1]
        self.assertEqual(last, operators.sent[last["version"]], context)
        self.assertGreaterEqual(last["version"], operators.newest(), context)
        self.assertNotIn(last["version"], operators.refused, context)
        done = {
            o.sequence for o in simulation.leader().part.consensus.cluster_state.outcomes.values() if o.code == "done"
        }
        self.assertLessEqual({v for _, v in operators.acked}, done, context)
        self.assertFalse(operators.refused & done, context)
        self.assertEqual(
            {a.ctx.cluster.cluster_state.routes.version for a in simulation.role("gateway")}, {last["version"]}, context
        )
        return len(operators.acked)

    def test_acknowledged_configurations_persist_while_controllers_fail(self):
        self.assertGreater(sum(self.run_seed(s, ("controller",)) for s in SEEDS), 5 * len(SEEDS))

    def test_acknowledged_configurations_persist_while_all_roles_fail(self):
        self.assertGreater(
            sum(self.run_seed(s, ("controller", "gateway", "storage", "gateway")) for s in SEEDS), 5 * len(SEEDS)
        )
