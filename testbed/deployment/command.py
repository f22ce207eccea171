"""The command line of the soak runs of deployed programs."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .faults import Profile
from .machines import ROOT, Role
from .soak import HEAVY_LOAD, LIGHT_LOAD, DeployedSoak, SoakPlan

__all__ = ["plan_for", "run_soaks"]

MIXED_EVERY = 3
HEAVY_EVERY = 2


def plan_for(seed: int, minutes: float, **fields: Any) -> SoakPlan:
    """Returns the plan of a seed: every third one has troubles too, and every second one many clients."""
    profile = Profile.MIXED if seed % MIXED_EVERY == 0 else Profile.PLANNED
    clients = HEAVY_LOAD if seed % HEAVY_EVERY == 0 else LIGHT_LOAD
    return SoakPlan(seed, minutes, profile, clients, **fields)


def run_soaks(arguments: Mapping[str, Any]) -> int:
    """Runs soaks of seeds one after the other; returns 1 if any broke a rule."""
    first, count = int(arguments["--seed"]), int(arguments["--seeds"])
    numbers = [int(number) for number in arguments["--machines"].split(",")]
    counts = dict(zip((Role.CONTROLLER, Role.STORAGE, Role.GATEWAY), numbers, strict=True))
    root = Path(arguments["--root"]) if arguments["--root"] else ROOT
    broken = 0
    for seed in range(first, first + count):
        plan = plan_for(
            seed,
            float(arguments["--minutes"]),
            counts=counts,
            keep=arguments["--keep"],
            root=root,
            abusive_clients=int(arguments["--abusive"]),
        )
        soak = DeployedSoak(plan)
        lines = soak.run()
        broken += bool(lines)
        print(f"seed {seed} ({plan.profile}): {len(lines)} violations; {soak.summary()}", flush=True)
        for line in lines:
            print(f"  {line}", flush=True)
    print(f"{count - broken} of {count} seeds without a violation", flush=True)
    return 1 if broken else 0
