"""Explores a model: all reachable states at a small size, or long random walks at a larger size."""

from collections import deque
from collections.abc import Hashable, Iterable
from random import Random
from typing import Protocol

import attrs

__all__ = ["Model", "Exploration", "explore", "walk"]

RARE_WEIGHT = 0.15


class Model(Protocol):
    """A state machine with hashable states. Each step has a name, which is used in the trace."""

    def start(self) -> Hashable: ...

    def steps(self, state) -> Iterable[tuple[str, Hashable]]: ...

    def violations(self, state) -> list[str]: ...


@attrs.frozen
class Exploration:
    """The result of an exploration: the number of states, and the first violations with the steps that led to them.

    `complete` says that all reachable states were explored and none has violations.
    """

    states: int
    complete: bool
    violations: tuple[str, ...] = ()
    trace: tuple[str, ...] = ()


def explore(model: Model, max_states: int = 2_000_000, first_steps: tuple[str, ...] = ()) -> Exploration:
    """Explores breadth first, so that a violation comes with a shortest trace.

    Exploration starts after `first_steps`, for violations that are too many steps away from the initial state.
    """
    start = model.start()
    for name in first_steps:
        start = dict(model.steps(start))[name]
    predecessors: dict = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for name, after in model.steps(state):
            if after in predecessors:
                continue
            predecessors[after] = state, name
            violations = model.violations(after)
            if violations:
                return Exploration(len(predecessors), False, tuple(violations), _trace(predecessors, after))
            if len(predecessors) >= max_states:
                return Exploration(len(predecessors), False)
            queue.append(after)
    return Exploration(len(predecessors), True)


def _trace(predecessors: dict, state) -> tuple[str, ...]:
    names = []
    while predecessors[state] is not None:
        state, name = predecessors[state]
        names.append(name)
    return tuple(reversed(names))


def walk(model: Model, seed: int, walks: int, depth: int, rare: tuple[str, ...] = ()) -> Exploration:
    """Takes random walks of at most `depth` steps, until a violation is found.

    The kind of each step, the first word of its name, is drawn first, so that kinds with many variants don't dominate
    the others; kinds in `rare` are drawn less often.
    """
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
            kind = rng.choices(names, [RARE_WEIGHT if k in rare else 1 for k in names])[0]
            name, state = rng.choice(kinds[kind])
            trace.append(name)
            seen.add(hash(state))
            violations = model.violations(state)
            if violations:
                return Exploration(len(seen), False, tuple(violations), tuple(trace))
    return Exploration(len(seen), False)
