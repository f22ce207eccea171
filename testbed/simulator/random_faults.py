"""Seeded trouble in a simulation: kills, power losses, freezes, cuts, and their healing."""

import os

from pipitlink.timers import spawn

__all__ = ["RandomFaults", "seeds"]


def seeds(usual: int) -> range:
    """The seeds of a run: the same few each time, or as REHEARSAL_SEEDS=FIRST:LAST says."""
    first, _, last = os.environ.get("REHEARSAL_SEEDS", f"1:{usual}").partition(":")
    return range(int(first), int(last) + 1)


class RandomFaults:
    """Brings faults about at random; never more lost at once than the fleet promises to bear, when `bearable`."""

    def __init__(
        self,
        simulation,
        roles=("controller", "storage", "gateway"),
        kinds=("kill", "power", "freeze", "cut", "one_way", "full", "slow"),
    ):
        self._simulation = simulation
        self._roles = roles
        self._kinds = kinds
        self.injected: list[str] = []

    def one(self):
        simulation, rng = self._simulation, self._simulation.rng
        role = rng.choice(self._roles)
        simulated_node = rng.choice(simulation.role(role))
        kind = rng.choice(self._kinds)
        span = rng.choice((0.3, 1.0, 2.5, 5.0))
        self.injected.append(f"{simulation.clock.seconds():.3f} {kind} {simulated_node.name} {span}")
        if not simulated_node.alive or simulated_node.frozen:
            return
        if kind in ("kill", "power"):
            simulated_node.kill(power=kind == "power")
            simulation.clock.callLater(span, self._start, simulated_node)
        elif kind == "full":
            simulated_node.disk.full = True
            simulation.clock.callLater(span, self._empty, simulated_node.disk)
        elif kind == "slow":
            simulated_node.slow = span
            simulation.clock.callLater(2 * span, self._quicken, simulated_node)
        elif kind == "freeze":
            simulated_node.freeze()
            simulation.clock.callLater(span, self._thaw, simulated_node)
        else:
            others = [
                a.name for a in simulation.simulated_nodes.values() if a is not simulated_node and rng.random() < 0.7
            ]
            pairs = {(simulated_node.name, o) for o in others}
            if kind == "cut":
                pairs |= {(b, a) for a, b in pairs}
            simulation.cuts |= pairs
            simulation.clock.callLater(span, self._mend, pairs)

    def _quicken(self, simulated_node):
        simulated_node.slow = 0.0

    def _empty(self, disk):
        disk.full = False

    def _start(self, simulated_node):
        if not simulated_node.alive:
            simulated_node.start()

    def _thaw(self, simulated_node):
        if simulated_node.alive and simulated_node.frozen:
            simulated_node.thaw()

    def _mend(self, pairs):
        self._simulation.cuts -= pairs

    def heal(self):
        """Ends every fault, and starts what is down."""
        self._simulation.heal()
        for a in self._simulation.simulated_nodes.values():
            a.disk.full, a.slow = False, 0.0
            self._start(a)
            self._thaw(a)

    def during(self, work, faults: int, between: float = 1.5):
        """Runs coroutines while faults come; then heals. The works must end by themselves once `over` is called."""
        for w in work:
            spawn(w).addErrback(lambda f: self.injected.append(f"work ended: {f.value!r}"))
        for _ in range(faults):
            self._simulation.run(between * (0.3 + self._simulation.rng.random()))
            self.one()
        self._simulation.run(1)
        self.heal()
