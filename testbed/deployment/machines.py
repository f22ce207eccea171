"""Machines on loopback addresses, each with one program of the deploy file."""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path

import attrs

from .bounds import BOUNDS, ZONES

__all__ = ["Deployment", "Machine", "Role", "peak_memory_bytes"]

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
INTERNAL_PORTS = 8
PORTS_PER_MACHINE = 12
PORT_RANGE = (20_000, 30_000)
HEARTBEAT_MS = 1200
SEEDS = 3
# The state of a listening socket in /proc/net/tcp, where the queue is that of connections.
TCP_LISTEN = "0A"
DISK_MB = {"gateway": 0, "storage": 480, "controller": 128}
GUARANTEES = ("base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "places")


def _descriptors(pid: int) -> list[Path]:
    return list(Path(f"/proc/{pid}/fd").iterdir())


def peak_memory_bytes(pid: int) -> int:
    """Returns the most memory that a process has had, with the files that it has open and that have no name."""
    status = Path(f"/proc/{pid}/status").read_text()
    kilobytes = next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:"))
    size = 1024 * int(kilobytes)
    for path in _descriptors(pid):
        with contextlib.suppress(FileNotFoundError):
            if str(path.readlink()).endswith(" (deleted)"):
                size += path.stat().st_size
    return size


def _kernel_bytes_by_host() -> Counter[str]:
    """Returns the bytes that have arrived and are not read, or are not sent, by the local host of TCP connections."""
    sizes: Counter[str] = Counter()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        host = socket.inet_ntoa(int(fields[1].partition(":")[0], 16).to_bytes(4, sys.byteorder))
        unsent, _, unread = fields[4].partition(":")
        if fields[3] != TCP_LISTEN:
            sizes[host] += int(unsent, 16) + int(unread, 16)
    return sizes


class Role(StrEnum):
    """The roles of the deploy file."""

    GATEWAY = "gateway"
    STORAGE = "storage"
    CONTROLLER = "controller"


MACHINE_CLASSES = {Role.GATEWAY: "edge", Role.STORAGE: "storage", Role.CONTROLLER: "core"}
SERVED_ROLES = {Role.GATEWAY: "edge", Role.STORAGE: "storage", Role.CONTROLLER: "control_plane"}


@attrs.define(eq=False)
class Machine:
    """One machine. `process` is its program while it runs; `starts` counts how often it was started."""

    name: str
    role: Role
    zone: str
    ip: str
    first_port: int
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    log: Path | None = None
    log_bytes_at_start: int = 0

    @property
    def is_running(self) -> bool:
        """Whether its process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def has_logged(self) -> bool:
        """Whether its program has logged anything since it was started, which it does not do while it is loaded."""
        return self.log is not None and self.log.stat().st_size > self.log_bytes_at_start

    def peak_memory_bytes(self) -> int:
        """Returns the most memory that its process has had."""
        assert self.process is not None
        return peak_memory_bytes(self.process.pid)

    def descriptor_count(self) -> int:
        """Returns how many descriptors its process has open."""
        assert self.process is not None
        return len(_descriptors(self.process.pid))

    @property
    def internal_address(self) -> str:
        """The address for other nodes."""
        return f"{self.ip}:{self.first_port}"

    @property
    def operator_address(self) -> str:
        """The address of the node's state and metrics."""
        return f"{self.ip}:{self.first_port + 1}"

    @property
    def public_address(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{self.first_port + INTERNAL_PORTS}"

    @property
    def readiness_address(self) -> str:
        """The address at which the platform asks whether it is ready."""
        return f"{self.ip}:{self.first_port + INTERNAL_PORTS + 1}"

    @property
    def control_address(self) -> str:
        """The address for operators and engines."""
        return f"{self.ip}:{self.first_port + INTERNAL_PORTS + 2}"

    def listen_addresses(self) -> dict[str, str]:
        """Returns the addresses for what its role serves to others, by the names of the settings file."""
        if self.role == Role.GATEWAY:
            return {"public": self.public_address, "readiness": self.readiness_address}
        return {"control_addr": self.control_address} if self.role == Role.CONTROLLER else {}

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if that still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """All machines of one cluster, their settings, disks and logs in one folder.

    `limits` replaces limits of the settings file, such as `ram_mb` and `max_fds` of each process.
    """

    def __init__(
        self,
        counts: Mapping[Role, int],
        keep: str | None = None,
        root: Path = ROOT,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        self._root = root
        self._limits = {"cpu_fraction": 1.0, "ram_mb": 300, "max_fds": 4100, **(limits or {})}
        self._keep = keep
        self.folder = Path(keep or tempfile.mkdtemp(prefix="deployment-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        roles = tomllib.loads((root / "deploy" / "system.toml").read_text())["roles"]
        self._commands = {Role(name): role["run"].split() for name, role in roles.items()}
        self.subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._first_port = _free_port_range(f"{self.subnet}.1")
        self.machines: dict[str, Machine] = {}
        for role in (Role.CONTROLLER, Role.STORAGE, Role.GATEWAY):
            for number in range(counts[role]):
                self._add(role, number)

    def _add(self, role: Role, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        name = f"{MACHINE_CLASSES[role]}-{zone}-{number}"
        ip = f"{self.subnet}.{len(self.machines) + 1}"
        self.machines[name] = Machine(name, role, zone, ip, self._first_port)

    def of(self, role: Role) -> list[Machine]:
        """Returns the machines of a role, in order."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def engine_host(self, number: int) -> str:
        """Returns the IP address for an engine; it shares none with a machine."""
        return f"{self.subnet}.{200 + number % 50}"

    def start(self, machine: Machine) -> None:
        """Starts the program of a machine."""
        settings = self.folder / f"{machine.name}.toml"
        settings.write_text(self._settings(machine))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = os.pathsep.join([str(self._root / "target" / "deps"), str(self._root)])
        environment["PIPITLINK_NODE_FILE"] = str(settings)
        program, *arguments = self._commands[machine.role]
        machine.log = self.folder / f"{machine.name}.log"
        with machine.log.open("ab") as log:
            machine.log_bytes_at_start = log.tell()
            machine.process = subprocess.Popen(
                [sys.executable if program == "python3" else program, *arguments],
                cwd=self._root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        machine.starts += 1

    def kernel_bytes(self) -> dict[str, int]:
        """Returns how many bytes the kernel holds for the connections of each machine."""
        sizes = _kernel_bytes_by_host()
        return {machine.name: sizes[machine.ip] for machine in self.machines.values()}

    def _settings(self, machine: Machine) -> str:
        top: dict[str, object] = {
            "node_name": machine.name,
            "role": machine.role.value,
            "machine_class": MACHINE_CLASSES[machine.role],
            "serves_roles": [SERVED_ROLES[machine.role]],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "region",
            "internal_ports": [self._first_port, self._first_port + INTERNAL_PORTS - 1],
            "seed_nodes": [controller.control_address for controller in self.of(Role.CONTROLLER)[:SEEDS]],
            "bootstrap": machine.starts == 0,
            "voting": machine.role != Role.GATEWAY,
            "heartbeat_ms": HEARTBEAT_MS,
            "guarantees": list(GUARANTEES),
        }
        if machine.role != Role.GATEWAY:
            disk = self.folder / machine.name
            disk.mkdir(exist_ok=True)
            top["state_dir"] = str(disk)
        sections: dict[str, Mapping[str, object]] = {
            "zones": dict.fromkeys(ZONES, "region"),
            "listen_addrs": machine.listen_addresses(),
            "limits": {**self._limits, "disk_mb": DISK_MB[machine.role]},
            "fault_budget": {"machine_losses": 1, "zones": 1, "region_losses": 0},
            "bounds": BOUNDS,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in top.items()]
        for section, values in sections.items():
            lines += [f"[{section}]", *(f"{name} = {json.dumps(value)}" for name, value in values.items())]
        return "\n".join([*lines, ""])

    def close(self) -> None:
        """Kills what still runs, and removes the folder unless it is to be kept."""
        for machine in self.machines.values():
            machine.send_signal(signal.SIGKILL)
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_port_range(host: str) -> int:
    """Returns the first of a range of ports that are free on an address. Raises OSError if there is none."""
    for _ in range(50):
        first = random.randint(*PORT_RANGE)
        if all(_is_free(host, port) for port in range(first, first + PORTS_PER_MACHINE)):
            return first
    raise OSError("no free range of ports")


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.socket() as probe:
            probe.bind((host, port))
    except OSError:
        return False
    return True
