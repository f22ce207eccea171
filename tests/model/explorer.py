"""Explores a model: every state at a small size, or long random walks at a larger one."""

from collections import deque
from collections.abc import Hashable, Iterable
from random import Random
from typing import Protocol

import attrs

__all__ = ["Model", "Found", "explore", "walk"]

RARE_SHARE = 0.15


class Model(Protocol):
    """States are hashable values; a step has a name for the trace."""

    def start(self) -> Hashable: ...

    def steps(self, state) -> Iterable[tuple[str, Hashable]]: ...

    def wrong(self, state) -> list[str]: ...


@attrs.frozen
class Found:
    """What a run of the explorer saw: the number of states, and the first violation with the steps that led there."""

    states: int
    whole: bool
    wrong: tuple[str, ...] = ()
    trace: tuple[str, ...] = ()


def explore(model: Model, most: int = 2_000_000, begin: tuple[str, ...] = ()) -> Found:
    """Breadth first, so a violation comes with a shortest trace. `whole` says that no state was left out.

    `begin` names the first steps, where a run is too long to be found from the start.
    """
    start = model.start()
    for name in begin:
        start = dict(model.steps(start))[name]
    came_from: dict = {start: None}
    waiting = deque([start])
    while waiting:
        state = waiting.popleft()
        for name, after in model.steps(state):
            if after in came_from:
                continue
            came_from[after] = state, name
            wrong = model.wrong(after)
            if wrong:
                return Found(len(came_from), False, tuple(wrong), _trace(came_from, after))
            if len(came_from) >= most:
                return Found(len(came_from), False)
            waiting.append(after)
    return Found(len(came_from), True)


def _trace(came_from: dict, state) -> tuple[str, ...]:
    names = []
    while came_from[state] is not None:
        state, name = came_from[state]
        names.append(name)
    return tuple(reversed(names))


def walk(model: Model, seed: int, walks: int, depth: int, rare: tuple[str, ...] = ()) -> Found:
    """Random walks. Steps are first drawn by kind, so that a kind with many variants doesn't crowd out the others."""
    rng = Random(seed)
    seen: set[int] = set()
    for _ in range(walks):
        state, trace = model.start(), []
        for _ in range(depth):
            kinds: dict[str, list] = {}
            for name, after in model.steps(state):
                kinds.setdefault(name.partition(" ")[0], []).append((name, after))
            if not kinds:
                break
            names = sorted(kinds)
            kind = rng.choices(names, [RARE_SHARE if k in rare else 1 for k in names])[0]
            name, state = rng.choice(kinds[kind])
            trace.append(name)
            seen.add(hash(state))
            wrong = model.wrong(state)
            if wrong:
                return Found(len(seen), False, tuple(wrong), tuple(trace))
    return Found(len(seen), False)
