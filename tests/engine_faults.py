"""Random faults of engines and of the paths to them, and restarts of gateways, in addition to faults of nodes."""

from pipitlink.timers import spawn
from testbed.simulator.random_faults import FAULT_SECONDS, RandomFaults

__all__ = ["ENGINE_FAULTS", "EngineFaults"]

ENGINE_FAULTS = ("cut", "reset_behind_cut", "close_behind_cut", "hang", "power", "power_while_draining", "drain")
ENGINE_FAULT_PROBABILITY = 0.6
GATEWAY_RESTART_PROBABILITY = 0.1
GATEWAY_DRAIN_SECONDS = 3.5
DRAIN_SECONDS = 2.0
# A node that was slow has this much work left when its fault ends.
RECOVERY_SECONDS = 1.0


class EngineFaults(RandomFaults):
    """Injects faults of the engines of an EngineNetwork, restarts of gateways, and faults of nodes.

    `is_calm` tells whether none is in effect.
    """

    def __init__(self, simulation, network, **args):
        super().__init__(simulation, **args)
        self._network = network
        self._busy_until = 0.0

    def is_calm(self) -> bool:
        return self._simulation.clock.seconds() > self._busy_until

    def inject_one(self) -> None:
        rng = self._simulation.rng
        chosen = rng.random()
        if chosen < GATEWAY_RESTART_PROBABILITY:
            self._restart_gateway(rng.choice(self._simulation.role("gateway")))
        elif chosen < GATEWAY_RESTART_PROBABILITY + ENGINE_FAULT_PROBABILITY:
            self._inject_any_engine_fault()
        else:
            self._extend(2 * max(FAULT_SECONDS))
            super().inject_one()

    def _restart_gateway(self, node) -> None:
        """Ends a gateway in order, which hands its batches over, and starts it again."""
        if not node.alive or node.frozen:
            return
        self.injected.append(f"{self._simulation.clock.seconds():.3f} restart {node.name}")
        self._extend(GATEWAY_DRAIN_SECONDS)
        start_count = node.start_count
        spawn(node.part.service.table.drain()).addErrback(lambda _: None)
        self._network.later(GATEWAY_DRAIN_SECONDS, self._end_and_start, node, start_count)

    def _end_and_start(self, node, start_count: int) -> None:
        if node.alive and node.start_count == start_count:
            node.kill()
            node.start()

    def _inject_any_engine_fault(self) -> None:
        rng = self._simulation.rng
        engine = rng.choice([engine for engine in self._network.engines.values() if engine.is_up])
        kind, duration = rng.choice(ENGINE_FAULTS), rng.choice(FAULT_SECONDS)
        self.injected.append(f"{self._simulation.clock.seconds():.3f} engine {kind} {engine.name} {duration}")
        self._extend(duration)
        self._inject_engine_fault(engine, kind, duration)

    def _extend(self, seconds: float) -> None:
        self._busy_until = max(self._busy_until, self._simulation.clock.seconds() + seconds + RECOVERY_SECONDS)

    def _inject_engine_fault(self, engine, kind: str, duration: float) -> None:
        network = self._network
        if kind in ("cut", "reset_behind_cut", "close_behind_cut"):
            paths = {(node.name, engine.name) for node in self._simulation.role("gateway")}
            network.cut_paths |= paths
            network.later(duration, self._reconnect_engine, paths)
        if kind == "reset_behind_cut":
            for link in list(engine.links):
                link.reset_by_engine()
        elif kind == "close_behind_cut":
            for link in list(engine.links):
                link.close_by_engine()
        elif kind == "hang":
            engine.hang()
        elif kind in ("power", "power_while_draining"):
            if kind == "power_while_draining":
                engine.state = "leaving"
                network.announce()
            engine.lose_power()
            network.add_engine()
        elif kind == "drain":
            engine.state = "leaving"
            network.later(DRAIN_SECONDS, engine.lose_power)
            network.add_engine()

    def _reconnect_engine(self, paths) -> None:
        self._network.cut_paths -= paths

    def heal(self) -> None:
        super().heal()
        self._network.heal()
        self._busy_until = self._simulation.clock.seconds() + RECOVERY_SECONDS
