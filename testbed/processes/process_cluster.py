"""A cluster of real processes on the loopback interface."""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

__all__ = ["ProcessCluster", "free_ports", "wait_for"]

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


_reserved_ports: set[int] = set()


def free_ports(n: int) -> list[int]:
    """Returns unused ports below the ephemeral range, from which outgoing connections take theirs."""
    out: list[int] = []
    at = 12_000 + os.getpid() * 97 % 18_000
    while len(out) < n:
        at = at + 1 if at < 31_000 else 12_000
        if at in _reserved_ports:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", at))
            except OSError:
                continue
        _reserved_ports.add(at)
        out.append(at)
    return out


def wait_for(check, limit: float, what: str):
    """Waits until a condition holds and returns its value; fails after `limit` seconds."""
    until = time.monotonic() + limit
    while True:
        got = check()
        if got:
            return got
        if time.monotonic() > until:
            raise AssertionError(f"not within {limit} s: {what}")
        time.sleep(0.02)


class Program:
    def __init__(self, name, command, log, ports):
        self.name, self.command, self.log, self.ports = name, command, log, ports
        self.process = None

    def start(self):
        out = open(self.log, "ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", *self.command], stdout=out, stderr=out, stdin=subprocess.DEVNULL
        )
        out.close()

    def signal(self, s):
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, s)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def end(self, limit: float = 12):
        self.signal(signal.SIGTERM)
        return self.process.wait(limit)


class ProcessCluster:
    def __init__(
        self,
        gateways=3,
        storage_nodes=4,
        controllers=4,
        engines=2,
        cards=1,
        capacity=8,
        step=0.01,
        keep=None,
        level="info",
        settings=None,
        models="pipit-small",
    ):
        self.folder = Path(keep or tempfile.mkdtemp(prefix="testbed-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self._keep = keep
        self.programs: dict[str, Program] = {}
        self.level = level
        self.settings = settings or {}
        self._wiped_count = 0
        self._lock = threading.Lock()
        self._injected: dict = {}
        self.capacity, self.step = capacity, step
        self.zones: dict[str, str] = {}
        counts = {"gateway": gateways, "storage": storage_nodes, "controller": controllers}
        self._ports = {f"{role}{i}": tuple(free_ports(3)) for role, n in counts.items() for i in range(n)}
        first_ports = [self._ports[f"{r}0"][0] for r in ("controller", "storage", "gateway") if counts[r]]
        self.seeds = [f"127.0.0.1:{p}" for p in first_ports]
        self.founders = [f"127.0.0.1:{self._ports[f'controller{i}'][0]}" for i in range(min(3, controllers))]
        for name in self._ports:
            role = name.rstrip("0123456789")
            self.add_node(role, name, ZONES[int(name[len(role) :]) % 4])
        self.engines = [f"engine{i}" for i in range(engines)]
        self.cards = [f"card{i}" for i in range(cards)]
        for i, name in enumerate(self.engines):
            self.add_engine(name, "models", models, ZONES[i % 4])
        for i, name in enumerate(self.cards):
            self.add_engine(name, "cards", "", ZONES[i % 4])

    def add_node(self, role: str, name: str, zone: str, seeds=None, **more) -> Program:
        ports = self._ports.setdefault(name, tuple(free_ports(3)))
        self.zones[name] = zone
        options = {
            "zone": zone,
            "port": ports[0],
            "seeds": ",".join(seeds or self.seeds),
            "log_level": self.level,
            "plug": f"testbed.faults.fault_plugin:{self.folder}/cuts.json",
            **self.settings,
            **more,
        }
        options["operator_port"] = ports[2]
        if role == "gateway":
            options["http_port"] = ports[1]
        else:
            options["data"] = self.folder / name
        if role == "controller" and self.founders and not seeds:
            options["founders"] = ",".join(self.founders)
        command = ["pipitlink", role]
        for k, v in options.items():
            command += [f"--{k.replace('_', '-')}", str(v)]
        p = self.programs[name] = Program(name, command, self.folder / f"{name}.log", ports)
        return p

    def add_engine(self, name: str, pool: str, models: str, zone: str) -> Program:
        (port,) = free_ports(1)
        self.zones[name] = zone
        command = [
            "testbed",
            "backend",
            "--name",
            name,
            "--pool",
            pool,
            "--models",
            models,
            "--zone",
            zone,
            "--capacity",
            str(self.capacity),
            "--port",
            str(port),
            "--step",
            str(self.step),
            "--gateways",
            ",".join(f"127.0.0.1:{self._ports[n][1]}" for n in self.nodes("gateway")),
            "--notes",
            str(self.folder / f"{name}.notes"),
        ]
        p = self.programs[name] = Program(name, command, self.folder / f"{name}.log", (port,))
        return p

    def nodes(self, role: str) -> list[str]:
        return [n for n in self._ports if n.rstrip("0123456789") == role]

    def remove(self, name: str):
        """Kills a node and removes it from the cluster."""
        self.programs[name].kill()
        self._ports.pop(name, None)

    def cut_power(self, name: str, rng):
        """Kills a node and truncates its unsynced data at a random point; returns the number of bytes lost."""
        self.programs[name].kill()
        synced_file = self.folder / f"{name}.synced"
        synced: dict[str, int] = {}
        for line in synced_file.read_text().splitlines() if synced_file.exists() else ():
            path, _, size = line.rpartition(" ")
            synced[path] = int(size)
        lost = 0
        for path, size in synced.items():
            have = Path(path).stat().st_size if Path(path).exists() else 0
            if have > size:
                kept = size + rng.randrange(have - size + 1)
                os.truncate(path, kept)
                lost += have - kept
        return lost

    def wipe(self, name: str):
        """Moves the data folder of a stopped node away, so that the node restarts with an empty one."""
        self._wiped_count += 1
        (self.folder / name).rename(self.folder / f"{name}-lost-{self._wiped_count}")

    def start(self, limit: float = 30):
        for p in self.programs.values():
            if p.process is None:
                p.start()
        for n in self.nodes("gateway"):
            wait_for(lambda: self.call(n, "GET", "/v1/ready")[0] == 200, limit, f"{n} is ready")

    def stop(self):
        for p in self.programs.values():
            if p.process is not None:
                p.thaw()
                p.signal(signal.SIGKILL)
        for p in self.programs.values():
            if p.process is not None:
                p.process.wait()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, name: str, method: str, path: str, body=None, headers=None, limit: float = 10):
        """Returns (status, JSON or bytes, headers) of an HTTP call; status 0 if there was no complete response."""
        ports = self.programs[name].ports
        port = ports[0] if len(ports) == 1 else ports[1] if name.startswith("gateway") else ports[2]
        c = http.client.HTTPConnection("127.0.0.1", port, timeout=limit)
        try:
            data = json.dumps(body) if body is not None and not isinstance(body, bytes) else body
            c.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
            r = c.getresponse()
            raw = r.read()
            if r.headers.get_content_type() == "application/json":
                return r.status, json.loads(raw), r.headers
            return r.status, raw, r.headers
        except (OSError, http.client.HTTPException) as e:
            return 0, repr(e), {}
        finally:
            c.close()

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.programs[name].ports[0]}"

    def cut(self, some, others, one_way: bool = False):
        """Drops the calls between two sets of nodes, until the next cut or `heal`."""
        pairs = [[self.address(a), self.address(b)] for a in some for b in others]
        if not one_way:
            pairs += [[b, a] for a, b in pairs]
        self.inject(cuts=pairs)

    def heal(self):
        self.inject(cuts=[])

    def inject(self, **more):
        """Sets the faults that the plugins of the nodes inject: cuts, delays by address, full disks."""
        with self._lock:
            self._injected.update(more)
            new = self.folder / "cuts.new"
            new.write_text(json.dumps(self._injected))
            new.replace(self.folder / "cuts.json")

    def operator_address(self, name: str) -> str:
        return f"127.0.0.1:{self.programs[name].ports[2]}"

    def notes(self) -> list[dict]:
        out = []
        for path in self.folder.glob("*.notes"):
            for line in path.read_text().splitlines():
                try:
                    out.append(json.loads(line))
                except ValueError:
                    continue
        return out
