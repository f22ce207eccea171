"""State machines defined in data files: states, events and transitions.

A data file `NAME.toml` in this package has `start`, the list `states`, a `[[transition]]` for each allowed transition
with `from` (a state or a list of states), `event`, `to` and optionally `action`, and under `[ignore]` the events that
are ignored in a state. Any other event in a state is a programming error and raises automat's NoTransition.
"""

from __future__ import annotations

import tomllib
import types
from collections.abc import Callable
from functools import cache
from importlib import resources
from typing import Any, Protocol

from automat import TypeMachineBuilder

__all__ = ["StateMachineMixin", "state_machine_data"]


@cache
def state_machine_data(name: str) -> dict[str, Any]:
    """Returns the parsed data file of a state machine, `NAME.toml` in this package."""
    return tomllib.loads(resources.files(__name__).joinpath(f"{name}.toml").read_text())


class _Core:
    """The core object of automat's machine: the owner of the machine, and the name of the current state."""

    def __init__(self, owner: object, state: str) -> None:
        self.owner = owner
        self.state = state


def _event_method(name: str) -> Callable[[Any], None]:
    def event(self: Any) -> None: ...

    event.__name__ = event.__qualname__ = name
    return event


def _transition_function(start: str, event: str, target: str, action: str) -> Callable[[Any, _Core], None]:
    """Returns the function that automat runs on an event: it sets the new state, then calls the owner's action."""

    def transition(_events: Any, core: _Core) -> None:
        core.state = target
        if action:
            getattr(core.owner, "_" + action)()

    transition.__name__ = f"{start}_{event}"
    return transition


def _event_names(data: dict[str, Any]) -> list[str]:
    names = {transition["event"] for transition in data["transition"]}
    for ignored in data.get("ignore", {}).values():
        names.update(ignored)
    return sorted(names)


def _start_states(transition: dict[str, Any]) -> list[str]:
    start: str | list[str] = transition["from"]
    return [start] if isinstance(start, str) else start


@cache
def _machine(name: str) -> tuple[str, Callable[[_Core], Any]]:
    """Returns the start state of a machine, and the factory of its inputs."""
    data = state_machine_data(name)
    methods = {event: _event_method(event) for event in _event_names(data)}
    events = types.new_class("Events", (Protocol,), {}, lambda namespace: namespace.update(methods))
    builder = TypeMachineBuilder(events, _Core)
    states = {state: builder.state(state) for state in data["states"]}
    for transition in data["transition"]:
        event, target = transition["event"], transition["to"]
        for start in _start_states(transition):
            decorate = states[start].upon(getattr(events, event)).to(states[target])
            decorate(_transition_function(start, event, target, transition.get("action", "")))
    for start, ignored in data.get("ignore", {}).items():
        for event in ignored:
            states[start].upon(getattr(events, event)).loop()(_transition_function(start, event, start, ""))
    return data["start"], builder.build()


class StateMachineMixin:
    """Adds a state machine from a data file: `trigger` sends an event, and `state` is the current state.

    A subclass sets `state_machine` to the name of the data file, defines a method `_ACTION` for each
    `action = "ACTION"` of the file's transitions, and calls `_init_state_machine` in its constructor.
    """

    state_machine = ""
    _core: _Core
    _events: Any

    def _init_state_machine(self) -> None:
        start, machine = _machine(self.state_machine)
        self._core = _Core(self, start)
        self._events = machine(self._core)

    @property
    def state(self) -> str:
        """The name of the current state."""
        return self._core.state

    def trigger(self, event: str) -> None:
        """Takes the transition of an event. Raises automat's NoTransition if the data file does not allow it."""
        getattr(self._events, event)()
