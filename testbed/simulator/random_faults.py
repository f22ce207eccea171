"""Random faults in a simulation, drawn from its seed: kills, power losses, freezes, partitions, full and slow disks."""

import os
from collections.abc import Coroutine, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from pipitlink.timers import spawn

from ..faults.disks import PowerLossDisk

if TYPE_CHECKING:
    from .simulation import SimulatedNode, Simulation

__all__ = ["LOG_FAULTS", "ORPHANED_WRITE", "RandomFaults", "seeds"]

SEEDS_VARIABLE = "REHEARSAL_SEEDS"
FAULT_SECONDS = (0.3, 1.0, 2.5, 5.0)
CUT_PROBABILITY = 0.7  # probability that a partition separates a node from each other node
FAULTS = ("kill", "power", "freeze", "cut", "one_way", "full", "slow")
ORPHANED_WRITE = "orphaned_write"
LOG_FAULTS = (*FAULTS, ORPHANED_WRITE)
"""The faults for runs that write logs."""
ORPHANED_WRITE_SECONDS = 0.4  # how long the gateway reaches only one storage node before both end
GATEWAY_RESTART_SECONDS = 0.3


def seeds(usual: int) -> range:
    """Returns the seeds 1 to `usual`, or the range given by the variable REHEARSAL_SEEDS=FIRST:LAST."""
    first, _, last = os.environ.get(SEEDS_VARIABLE, f"1:{usual}").partition(":")
    return range(int(first), int(last) + 1)


class RandomFaults:
    """Injects faults into the nodes of a simulation; each fault ends by itself after a few seconds."""

    def __init__(
        self,
        simulation: "Simulation",
        roles: Sequence[str] = ("controller", "storage", "gateway"),
        kinds: Sequence[str] = FAULTS,
    ) -> None:
        self._simulation = simulation
        self._roles = roles
        self._kinds = kinds
        self.injected: list[str] = []

    def inject_one(self) -> None:
        """Injects one fault, unless the chosen node is already down or frozen."""
        simulation, rng = self._simulation, self._simulation.rng
        role = rng.choice(self._roles)
        node = rng.choice(simulation.role(role))
        kind = rng.choice(self._kinds)
        duration = rng.choice(FAULT_SECONDS)
        if kind == ORPHANED_WRITE:
            node = rng.choice(simulation.role("storage"))
        self.injected.append(f"{simulation.clock.seconds():.3f} {kind} {node.name} {duration}")
        if node.alive and not node.frozen:
            self._inject(node, kind, duration)

    def _inject(self, node: "SimulatedNode", kind: str, duration: float) -> None:
        clock = self._simulation.clock
        if kind in ("kill", "power"):
            node.kill(power=kind == "power")
            clock.callLater(duration, self._start, node)
        elif kind == "full":
            node.disk.full = True
            clock.callLater(duration, self._free_disk, node.disk)
        elif kind == "slow":
            node.slow = duration
            clock.callLater(2 * duration, self._end_slowness, node)
        elif kind == "freeze":
            node.freeze()
            clock.callLater(duration, self._thaw, node)
        elif kind == ORPHANED_WRITE:
            self._orphan_writes(node, duration)
        else:
            self._partition(node, kind == "cut", duration)

    def _partition(self, node: "SimulatedNode", both_ways: bool, duration: float) -> None:
        simulation = self._simulation
        nodes = simulation.simulated_nodes.values()
        others = [other.name for other in nodes if other is not node and simulation.rng.random() < CUT_PROBABILITY]
        pairs = {(node.name, other) for other in others}
        if both_ways:
            pairs |= {(receiver, sender) for sender, receiver in pairs}
        simulation.blocked_links |= pairs
        simulation.clock.callLater(duration, self._reconnect, pairs)

    def _orphan_writes(self, storage_node: "SimulatedNode", duration: float) -> None:
        """Has the writes of one gateway reach only one storage node, and then ends both.

        The gateway returns first, so that other writers go on while the storage node still lacks what they commit. It
        returns after `duration` with the tail of a writer that is gone.
        """
        simulation = self._simulation
        gateways = simulation.role("gateway", alive=True)
        writers = [node for node in gateways if node.ctx.replicated_log.leaseholders]
        if not writers:
            return
        gateway = simulation.rng.choice(writers)
        others = [node.name for node in simulation.role("storage") if node is not storage_node]
        pairs = {pair for other in others for pair in ((gateway.name, other), (other, gateway.name))}
        simulation.blocked_links |= pairs
        self.injected.append(f"{simulation.clock.seconds():.3f} {gateway.name} reaches only {storage_node.name}")
        simulation.clock.callLater(ORPHANED_WRITE_SECONDS, self._end_writer, gateway, storage_node, duration)
        simulation.clock.callLater(ORPHANED_WRITE_SECONDS, self._reconnect, pairs)

    def _end_writer(self, gateway: "SimulatedNode", storage_node: "SimulatedNode", duration: float) -> None:
        clock = self._simulation.clock
        for node, down_seconds in ((gateway, GATEWAY_RESTART_SECONDS), (storage_node, duration)):
            if node.alive:
                node.kill()
                clock.callLater(down_seconds, self._start, node)

    def _end_slowness(self, node: "SimulatedNode") -> None:
        node.slow = 0.0

    def _free_disk(self, disk: PowerLossDisk) -> None:
        disk.full = False

    def _start(self, node: "SimulatedNode") -> None:
        if not node.alive:
            node.start()

    def _thaw(self, node: "SimulatedNode") -> None:
        if node.alive and node.frozen:
            node.thaw()

    def _reconnect(self, pairs: set[tuple[str, str]]) -> None:
        self._simulation.blocked_links -= pairs

    def heal(self) -> None:
        """Ends all faults and starts the nodes that are down."""
        self._simulation.heal()
        for node in self._simulation.simulated_nodes.values():
            node.disk.full, node.slow = False, 0.0
            self._start(node)
            self._thaw(node)

    def run_with_faults(self, work: Iterable[Coroutine[Any, Any, Any]], faults: int, between: float = 1.5) -> None:
        """Runs coroutines while it injects faults about `between` seconds apart, and then ends all faults.

        It doesn't stop the coroutines; the code that created them must do so.
        """
        for coroutine in work:
            spawn(coroutine).addErrback(lambda failure: self.injected.append(f"work ended: {failure.value!r}"))
        for _ in range(faults):
            self._simulation.run(between * (0.3 + self._simulation.rng.random()))
            self.inject_one()
        self._simulation.run(1)
        self.heal()
