"""Operators that change the configuration at any controller, as callers with a second of patience, while nodes fail."""

import unittest

from pipitlink.timers import ms
from testbed.simulator.random_faults import RandomFaults, seeds
from testbed.simulator.simulation import Simulation

from .control_calls import Caller, config_of, route_of

SEEDS = seeds(3)
IN_EFFECT = 2.0


class _Operators:
    def __init__(self, simulation):
        self.simulation, self.caller, self.timers = simulation, Caller(simulation), simulation.timers()
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
        """One call to some controller, as (status, body); None where it is silent for a second."""
        controller = self.simulation.rng.choice(self.simulation.role("controller"))
        if not controller.alive or controller.frozen:
            return None
        box = self.caller.begin(controller, *args)
        for _ in range(100):
            if box:
                return box[0] if box[0][0] < 500 else None
            await self.timers.sleep(ms(10))
        return None

    async def operate(self, who: int):
        while not self.over:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(500)))
            floor = self.newest()
            got = await self.call("GET", "/v1/config")
            if got is None:
                continue
            base = got[1]["version"]
            if base < floor:
                self.faults.append(f"read {base} after {floor} was acknowledged")
            if base and got[1] != self.sent[base]:
                self.faults.append(f"version {base} is not what was sent")
            self.version += 1 + self.simulation.rng.randrange(3)
            version = self.version
            config = self.sent[version] = config_of(version, route_of(f"r{who}", note=version))
            for _ in range(8):
                answer = await self.call("PUT", "/v1/config", config, {"If-Match": str(base)})
                if answer is not None:
                    break
                await self.timers.sleep(ms(100))
            if answer is None:
                continue
            if answer[0] == 200:
                self.acked.append((self.simulation.clock.seconds(), version))
                self.bases.setdefault(base, []).append(version)
            elif answer[0] in (400, 412):
                self.refused.add(version)
            else:
                self.faults.append(f"{answer}")

    def watch(self):
        now = self.simulation.clock.seconds()
        old = max((v for at, v in self.acked if now - at > IN_EFFECT), default=0)
        for a in self.simulation.role("gateway", alive=True):
            held = a.ctx.cluster.cluster_state.routes.version
            if a.ctx.cluster.ready() and held < old:
                self.faults.append(f"{a.name} admits at version {held}, {old} is in effect")


class ConfigUnderFaults(unittest.TestCase):
    def run_seed(self, seed, roles):
        simulation = Simulation(seed, controllers=4, storage_nodes=4, gateways=3, placement_groups=2)
        self.addCleanup(simulation.end)
        simulation.start()
        simulation.ready()
        ops = _Operators(simulation)
        plain_run = simulation.run

        def run(seconds, step=0.005):
            for _ in range(int(seconds / 0.05)):
                plain_run(0.05, step)
                ops.watch()

        simulation.run = run
        random_faults = RandomFaults(simulation, roles=roles)
        random_faults.during([ops.operate(0), ops.operate(1)], faults=12)
        simulation.run(6)
        ops.over = True
        simulation.run(10)
        simulation.ready()
        what = f"seed {seed}: {random_faults.injected}"
        self.assertEqual(ops.faults, [], what)
        self.assertEqual([t for t in random_faults.injected if "work ended" in t], [])
        self.assertEqual({b: v for b, v in ops.bases.items() if len(v) > 1}, {}, what)
        last = Caller(simulation).get(simulation.leader())[1]
        self.assertEqual(last, ops.sent[last["version"]], what)
        self.assertGreaterEqual(last["version"], ops.newest(), what)
        self.assertNotIn(last["version"], ops.refused, what)
        done = {
            o.sequence for o in simulation.leader().part.consensus.cluster_state.outcomes.values() if o.code == "done"
        }
        self.assertLessEqual({v for _, v in ops.acked}, done, what)
        self.assertFalse(ops.refused & done, what)
        self.assertEqual(
            {a.ctx.cluster.cluster_state.routes.version for a in simulation.role("gateway")}, {last["version"]}, what
        )
        return len(ops.acked)

    def test_configurations_hold_while_controllers_fail(self):
        self.assertGreater(sum(self.run_seed(s, ("controller",)) for s in SEEDS), 5 * len(SEEDS))

    def test_configurations_hold_while_everything_fails(self):
        self.assertGreater(
            sum(self.run_seed(s, ("controller", "gateway", "storage", "gateway")) for s in SEEDS), 5 * len(SEEDS)
        )
