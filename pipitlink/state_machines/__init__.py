"""State machines described in data files: states, inputs and moves."""

import tomllib
import types
from functools import cache
from importlib import resources
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["HasStateMachine", "state_machine_data"]


@cache
def state_machine_data(name: str) -> dict:
    """Returns the parsed data file of a state machine, `NAME.toml` in this package."""
    return tomllib.loads(resources.files(__name__).joinpath(f"{name}.toml").read_text())


class _Core:
    def __init__(self, owner, state):
        self.owner = owner
        self.state = state


def _input(name):
    def put(self) -> None: ...

    put.__name__ = put.__qualname__ = name
    return put


def _move(start, name, goal, do):
    def behave(inputs, core: _Core) -> None:
        core.state = goal
        if do:
            getattr(core.owner, "_" + do)()

    behave.__name__ = f"{start}_{name}"
    return behave


@cache
def _machine(name: str):
    data = state_machine_data(name)
    names = sorted({m["on"] for m in data["move"]} | {i for v in data.get("ignore", {}).values() for i in v})
    inputs = types.new_class("Inputs", (Protocol,), {}, lambda ns: ns.update({n: _input(n) for n in names}))
    builder = TypeMachineBuilder(inputs, _Core)
    states = {s: builder.state(s) for s in data["states"]}
    for m in data["move"]:
        for start in [m["from"]] if isinstance(m["from"], str) else m["from"]:
            step = states[start].upon(getattr(inputs, m["on"])).to(states[m["to"]])
            step(_move(start, m["on"], m["to"], m.get("do", "")))
    for start, ignored in data.get("ignore", {}).items():
        for n in ignored:
            states[start].upon(getattr(inputs, n)).loop()(_move(start, n, start, ""))
    return data["start"], builder.build()


class HasStateMachine:
    """Mixin: a state machine from a data file, with `put` for its inputs and `state` for where it is.

    Needs of the class: the data file's name in `state_machine`, a method `_NAME` for each `do = "NAME"` of the file's
    moves, and a call of `_open_state_machine` before first use.
    Owns `_core` and `_inputs`.
    """

    state_machine = ""

    def _open_state_machine(self):
        start, machine = _machine(self.state_machine)
        self._core = _Core(self, start)
        self._inputs = machine(self._core)

    @property
    def state(self) -> str:
        return self._core.state

    def put(self, name: str):
        getattr(self._inputs, name)()
