"""When machines are in touch, and when the core is settled, from the record of what was done to them."""

from __future__ import annotations

from .bounds import seconds
from .record import Action, ActionKind, Record

__all__ = ["Touch"]

DISTURBING = (
    ActionKind.START,
    ActionKind.TERMINATE,
    ActionKind.EXIT,
    ActionKind.EXIT_LOADING,
    ActionKind.KILL,
)

# How far apart clients and the injector may notice the end of a process.
EXIT_NOTICE_S = 0.2


class Touch:
    """Answers questions about times; `disk_machines` names the machines whose trouble unsettles the core."""

    def __init__(self, record: Record, disk_machines: set[str]) -> None:
        self._actions = record.actions
        self._disk_machines = disk_machines

    def _disturbances(self, is_subject: set[str], since: float, until: float) -> list[Action]:
        return [
            action
            for action in self._actions
            if action.kind in DISTURBING and action.subject in is_subject and since <= action.at <= until
        ]

    def has_trouble(self, since: float, until: float) -> bool:
        """Returns whether there was unplanned trouble anywhere in a span."""
        return any(action.is_unplanned and since <= action.at <= until for action in self._actions)

    def was_loading(self, machine: str, ended_at: float) -> bool:
        """Returns whether a connection ended with a process of the machine that was still being loaded."""
        return any(
            action.kind == ActionKind.EXIT_LOADING
            and action.subject == machine
            and abs(action.at - ended_at) <= EXIT_NOTICE_S
            for action in self._actions
        )

    def is_settled(self, since: float, until: float) -> bool:
        """Returns whether the core was settled for a whole span."""
        return not self._disturbances(self._disk_machines, since - seconds("contact_ms"), until)

    def stretch(self, since: float, until: float) -> float:
        """Returns by how many seconds the bounds of configurations and evacuations are stretched in a span."""
        return 0.0 if self.is_settled(since, until) else seconds("stretch_max_ms")

    def has_run(self, machine: str, at: float) -> bool:
        """Returns whether the process of a machine has run for all of `contact_ms` before a time."""
        return not self._disturbances({machine}, at - seconds("contact_ms"), at)

    def is_in_touch(self, machine: str, at: float) -> bool:
        """Returns whether a machine is in touch at a time."""
        return self.has_run(machine, at) and self.is_settled(at, at)
