"""A seeded schedule of signals, restarts, orders and engine faults, and its injection."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from enum import StrEnum
from random import Random
from typing import TypeVar

import attrs

from .bounds import seconds
from .engines import Engine
from .machines import Deployment, Machine, Role
from .operator import Operator
from .record import ActionKind, Record, now

__all__ = ["Fault", "FaultInjector", "FaultKind", "Profile", "schedule"]

PickedT = TypeVar("PickedT")

MIN_GAP_S = 0.2
MAX_GAP_S = 2.5
MAX_DOWN_S = 2.0
EXIT_POLL_S = 0.02
LOADING_S = 1.0
# A signal that comes while a program is still being loaded has its default effect.
EXPECTED_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM)
SECOND_SIGNAL_S = (0.1, 1.0, 2.6, 4.0)


class FaultKind(StrEnum):
    """The kinds of faults and of planned work."""

    STOP_GATEWAY = "stop_gateway"
    STOP_GATEWAY_TWICE = "stop_gateway_twice"
    STOP_AND_RELOAD_GATEWAY = "stop_and_reload_gateway"
    RELOAD_ANY = "reload_any"
    STOP_CONTROLLER = "stop_controller"
    STOP_STORAGE = "stop_storage"
    CHANGE_CONFIG = "change_config"
    RACE_CONFIG = "race_config"
    EVACUATE = "evacuate"
    DRAIN_ENGINE = "drain_engine"
    KILL_GATEWAY = "kill_gateway"
    KILL_CONTROLLER = "kill_controller"
    KILL_STORAGE = "kill_storage"
    CRASH_ENGINE = "crash_engine"


class Profile(StrEnum):
    """Which faults a schedule has: planned work only, or troubles too."""

    PLANNED = "planned"
    MIXED = "mixed"


PLANNED_WEIGHTS = {
    FaultKind.STOP_GATEWAY: 6,
    FaultKind.STOP_GATEWAY_TWICE: 2,
    FaultKind.STOP_AND_RELOAD_GATEWAY: 2,
    FaultKind.RELOAD_ANY: 2,
    FaultKind.STOP_CONTROLLER: 2,
    FaultKind.STOP_STORAGE: 2,
    FaultKind.CHANGE_CONFIG: 3,
    FaultKind.RACE_CONFIG: 1,
    FaultKind.EVACUATE: 2,
    FaultKind.DRAIN_ENGINE: 2,
}
TROUBLE_WEIGHTS = {
    FaultKind.KILL_GATEWAY: 3,
    FaultKind.KILL_CONTROLLER: 2,
    FaultKind.KILL_STORAGE: 2,
    FaultKind.CRASH_ENGINE: 3,
}


@attrs.frozen
class Fault:
    """One entry of a schedule: `at_s` after the start of traffic; `choice` selects its subject."""

    at_s: float
    kind: FaultKind
    choice: float


def schedule(seed: int, profile: Profile, duration_s: float) -> list[Fault]:
    """Returns the schedule of a seed; it depends on nothing else."""
    rng = Random(f"{seed}/{profile}")
    weights = dict(PLANNED_WEIGHTS)
    if profile == Profile.MIXED:
        weights.update(TROUBLE_WEIGHTS)
    faults, at_s = [], 0.0
    while (at_s := at_s + rng.uniform(MIN_GAP_S, MAX_GAP_S)) < duration_s:
        kind = rng.choices(list(weights), list(weights.values()))[0]
        faults.append(Fault(at_s, kind, rng.random()))
    return faults


class FaultInjector:
    """Injects the faults of a schedule, and skips those that the deployment need not bear beside the others.

    One machine with a disk at a time is down or has just come back; at least one gateway runs.
    """

    def __init__(
        self,
        deployment: Deployment,
        engines: list[Engine],
        operator: Operator,
        record: Record,
        start_engine: Callable[[str, str], Coroutine[None, None, None]],
    ) -> None:
        self._deployment = deployment
        self._engines = engines
        self._operator = operator
        self._record = record
        self._start_engine = start_engine
        self._busy_machines: set[str] = set()
        self._has_lost_disk_machine = False
        self._orders = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []
        self.skipped = 0
        self.overdue = 0

    async def inject(self, faults: list[Fault]) -> None:
        """Injects the faults at their times; returns once all have healed."""
        began = now()
        for fault in faults:
            await asyncio.sleep(max(0.0, began + fault.at_s - now()))
            work = self._plan(fault)
            if work is None:
                self.skipped += 1
            else:
                self._tasks.append(asyncio.create_task(work))
        await asyncio.gather(*self._tasks)

    def _plan(self, fault: Fault) -> Coroutine[None, None, None] | None:
        """Returns the work of a fault, or None if it is not to be borne now."""
        kind = fault.kind
        if kind in (FaultKind.CHANGE_CONFIG, FaultKind.RACE_CONFIG, FaultKind.EVACUATE):
            return self._give_order(kind)
        if kind == FaultKind.RELOAD_ANY:
            return self._plan_reload(fault.choice)
        if kind in (FaultKind.DRAIN_ENGINE, FaultKind.CRASH_ENGINE):
            return self._plan_engine_fault(kind, fault.choice)
        role = next(role for role in Role if role.value in kind.value)
        machine = self._pick_machine(role, fault.choice)
        return None if machine is None else self._restart(machine, kind)

    def _pick_machine(self, role: Role, choice: float) -> Machine | None:
        if role != Role.GATEWAY and self._has_lost_disk_machine:
            return None
        free = [m for m in self._deployment.of(role) if m.is_running and m.name not in self._busy_machines]
        if role == Role.GATEWAY and len(free) < 2:
            return None
        return _pick(free, choice) if free else None

    async def _restart(self, machine: Machine, kind: FaultKind) -> None:
        """Ends a machine's process as its kind of fault says, and starts it again after a pause."""
        self._busy_machines.add(machine.name)
        has_disk = machine.role != Role.GATEWAY
        self._has_lost_disk_machine = self._has_lost_disk_machine or has_disk
        if kind.value.startswith("kill"):
            self._record.act(ActionKind.KILL, machine.name)
            machine.send_signal(signal.SIGKILL)
        else:
            self._record.act(ActionKind.TERMINATE, machine.name)
            machine.send_signal(signal.SIGTERM)
            await self._send_second_signal(machine, kind)
        await self.wait_for_exit(machine)
        await asyncio.sleep(MAX_DOWN_S * Random(f"{machine.name}{machine.starts}").random())
        self._record.act(ActionKind.START, machine.name)
        self._deployment.start(machine)
        if has_disk:
            await asyncio.sleep(seconds("catch_up_s"))
            self._has_lost_disk_machine = False
        self._busy_machines.discard(machine.name)

    async def _send_second_signal(self, machine: Machine, kind: FaultKind) -> None:
        numbers = {
            FaultKind.STOP_GATEWAY_TWICE: signal.SIGTERM,
            FaultKind.STOP_AND_RELOAD_GATEWAY: signal.SIGHUP,
        }
        if kind in numbers:
            await asyncio.sleep(Random(f"{machine.name}/{machine.starts}").choice(SECOND_SIGNAL_S))
            machine.send_signal(numbers[kind])

    async def wait_for_exit(self, machine: Machine) -> None:
        """Waits until a process that got a signal has ended, and kills it after `grace_s`."""
        deadline = now() + seconds("grace_s")
        while machine.is_running:
            if now() >= deadline:
                self.overdue += 1
                self._record.failures.append(f"{machine.name} still ran {seconds('grace_s'):g} s after a signal")
                machine.send_signal(signal.SIGKILL)
            await asyncio.sleep(EXIT_POLL_S)
        code = machine.process.returncode if machine.process is not None else 0
        was_loading = code == -signal.SIGTERM or _was_reloaded_while_loading(machine, code)
        self._record.act(ActionKind.EXIT_LOADING if was_loading else ActionKind.EXIT, machine.name)
        if code not in EXPECTED_EXIT_CODES and not was_loading:
            self._record.failures.append(f"{machine.name} ended with {code}")

    def _plan_reload(self, choice: float) -> Coroutine[None, None, None] | None:
        """Returns a reload of a machine whose program was not started just now: while loading, SIGHUP would end it."""
        loading = {
            action.subject
            for action in self._record.actions
            if action.kind == ActionKind.START and now() - action.at < LOADING_S
        }
        loaded = [machine for machine in self._deployment.machines.values() if machine.name not in loading]
        return self._reload(_pick(loaded, choice)) if loaded else None

    async def _reload(self, machine: Machine) -> None:
        self._record.act(ActionKind.RELOAD, machine.name)
        machine.send_signal(signal.SIGHUP)

    async def _give_order(self, kind: FaultKind) -> None:
        async with self._orders:
            if kind == FaultKind.CHANGE_CONFIG:
                await self._operator.change_config()
            elif kind == FaultKind.RACE_CONFIG:
                await self._operator.race()
            else:
                await self._operator.evacuate_or_return()

    def _plan_engine_fault(self, kind: FaultKind, choice: float) -> Coroutine[None, None, None] | None:
        usable = [engine for engine in self._engines if not engine.has_ended and engine.is_ready]
        others = [engine for engine in usable if sum(other.service == engine.service for other in usable) > 1]
        if not others:
            return None
        return self._replace_engine(_pick(others, choice), kind)

    async def _replace_engine(self, engine: Engine, kind: FaultKind) -> None:
        if kind == FaultKind.CRASH_ENGINE:
            engine.crash()
        else:
            await engine.leave()
        self._engines.remove(engine)
        await asyncio.sleep(seconds("addr_reuse_s"))
        await self._start_engine(engine.service, engine.zone)


def _was_reloaded_while_loading(machine: Machine, code: int) -> bool:
    """Returns whether a program got SIGHUP behind SIGTERM before its first line ran.

    Of two signals that wait for a process, the kernel delivers the one with the lower number, SIGHUP, first.
    """
    return code == -signal.SIGHUP and not machine.has_logged


def _pick(choices: list[PickedT], choice: float) -> PickedT:
    return choices[int(choice * len(choices))]
