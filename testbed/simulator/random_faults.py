"""Seeded trouble on a stage: kills, power losses, freezes, cuts, and their healing."""

import os

from pipitlink.timers import spawn

__all__ = ["Trouble", "seeds"]


def seeds(usual: int) -> range:
    """The seeds of a run: the same few each time, or as REHEARSAL_SEEDS=FIRST:LAST says."""
    first, _, last = os.environ.get("REHEARSAL_SEEDS", f"1:{usual}").partition(":")
    return range(int(first), int(last) + 1)


class Trouble:
    """Brings faults about at random; never more lost at once than the fleet promises to bear, when `bearable`."""

    def __init__(
        self,
        stage,
        roles=("controller", "storage", "gateway"),
        kinds=("kill", "power", "freeze", "cut", "one_way", "full", "slow"),
    ):
        self._stage = stage
        self._roles = roles
        self._kinds = kinds
        self.told: list[str] = []

    def one(self):
        stage, rng = self._stage, self._stage.rng
        role = rng.choice(self._roles)
        actor = rng.choice(stage.role(role))
        kind = rng.choice(self._kinds)
        span = rng.choice((0.3, 1.0, 2.5, 5.0))
        self.told.append(f"{stage.clock.seconds():.3f} {kind} {actor.name} {span}")
        if not actor.alive or actor.frozen:
            return
        if kind in ("kill", "power"):
            actor.kill(power=kind == "power")
            stage.clock.callLater(span, self._start, actor)
        elif kind == "full":
            actor.disk.full = True
            stage.clock.callLater(span, self._empty, actor.disk)
        elif kind == "slow":
            actor.slow = span
            stage.clock.callLater(2 * span, self._quicken, actor)
        elif kind == "freeze":
            actor.freeze()
            stage.clock.callLater(span, self._thaw, actor)
        else:
            others = [a.name for a in stage.actors.values() if a is not actor and rng.random() < 0.7]
            pairs = {(actor.name, o) for o in others}
            if kind == "cut":
                pairs |= {(b, a) for a, b in pairs}
            stage.cuts |= pairs
            stage.clock.callLater(span, self._mend, pairs)

    def _quicken(self, actor):
        actor.slow = 0.0

    def _empty(self, disk):
        disk.full = False

    def _start(self, actor):
        if not actor.alive:
            actor.start()

    def _thaw(self, actor):
        if actor.alive and actor.frozen:
            actor.thaw()

    def _mend(self, pairs):
        self._stage.cuts -= pairs

    def heal(self):
        """Ends every fault, and starts what is down."""
        self._stage.heal()
        for a in self._stage.actors.values():
            a.disk.full, a.slow = False, 0.0
            self._start(a)
            self._thaw(a)

    def during(self, work, faults: int, between: float = 1.5):
        """Runs coroutines while faults come; then heals. The works must end by themselves once `over` is called."""
        for w in work:
            spawn(w).addErrback(lambda f: self.told.append(f"work ended: {f.value!r}"))
        for _ in range(faults):
            self._stage.run(between * (0.3 + self._stage.rng.random()))
            self.one()
        self._stage.run(1)
        self.heal()
