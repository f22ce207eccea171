"""Clients of a cluster, which record each request with its time and response."""

import http.client
import json
import threading
import time
from contextlib import contextmanager

from .operators import OperatorWorkload

__all__ = ["Clients", "Client"]


class Client:
    """A client that sends requests at a fixed rate, each in a thread of its own; the threads are limited in number."""

    def __init__(self, clients, name, interval, send, max_threads=64):
        self.clients, self.name, self.interval, self.send = clients, name, interval, send
        self._slots = threading.Semaphore(max_threads)

    def run(self):
        n = 0
        while not self.clients.stopped.wait(self.interval):
            n += 1
            if self._slots.acquire(blocking=False):
                self.clients.request_started()
                threading.Thread(target=self._one, args=(n,), daemon=True).start()
            else:
                self.clients.note("skipped", caller=self.name)

    def _one(self, n):
        try:
            self.send(self.clients, f"{self.name}-{n}")
        except Exception as e:
            self.clients.note("caller_failed", caller=self.name, text=repr(e))
        finally:
            self._slots.release()
            self.clients.request_ended()


def _error(said) -> dict | None:
    return said.get("error") if isinstance(said, dict) else None


class Clients(OperatorWorkload):
    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.stopped = threading.Event()
        self._lock = threading.Lock()
        self.events: list[dict] = []
        self._threads: list[threading.Thread] = []
        self._requests_in_progress = 0
        self._fault_count = 0
        self.excluded_gateways: set[str] = set()
        self._init_operators()

    def note(self, event, **pairs):
        line = {"at": time.monotonic(), "event": event, **pairs}
        with self._lock:
            self.events.append(line)
        return line

    def recorded_events(self) -> list[dict]:
        with self._lock:
            return list(self.events)

    @contextmanager
    def record_fault(self, what: str, nodes, bearable=True, settle=2.0):
        """Records for the checker which nodes are down, partitioned or frozen while the context is open.

        The fault counts as over `settle` seconds after that.
        """
        with self._lock:
            self._fault_count += 1
            n = self._fault_count
        self.note("hurt", id=n, what=what, nodes=list(nodes), bearable=bearable)
        try:
            yield
        finally:
            self.note("healed", id=n, settle=settle)

    def start(self, client: Client):
        t = threading.Thread(target=client.run, daemon=True)
        t.start()
        self._threads.append(t)

    def stop(self):
        self.stopped.set()
        for t in self._threads:
            t.join(5)

    def request_started(self):
        with self._lock:
            self._requests_in_progress += 1

    def request_ended(self):
        with self._lock:
            self._requests_in_progress -= 1

    def has_requests(self) -> bool:
        """Whether a request of a client is in progress, which may be after the clients were stopped."""
        with self._lock:
            return self._requests_in_progress > 0

    def pick_gateway(self, exclude: str = "") -> str:
        """Picks a random gateway as a load balancer would: none that is known to be down, unless all are."""
        up = [g for g in self.cluster.nodes("gateway") if g not in self.excluded_gateways and g != exclude]
        with self._lock:
            return self.rng.choice(up or self.cluster.nodes("gateway"))

    def _connect(self, gateway, limit):
        return http.client.HTTPConnection("127.0.0.1", self.cluster.programs[gateway].ports[1], timeout=limit)

    def generate(
        self,
        prompt: str,
        repeatable=False,
        model="pipit-small",
        limit=20,
        gateway=None,
        prefix="",
        leave_at=0,
        then=None,
        slow=0.0,
    ):
        """Requests a stream and records each piece in order, and whether the end record came.

        With `leave_at` set, the client disconnects after that many pieces and resumes at the gateway `then`.
        """
        gateway = gateway or self.pick_gateway()
        asked = self.note("ask", kind="live", prompt=prompt, gateway=gateway, repeatable=repeatable)
        t = {
            "pieces": [],
            "first": None,
            "end": False,
            "fault": None,
            "run": "",
            "retry": None,
            "status": 0,
            "gap": 0.0,
        }
        body = {
            "model": model,
            "prompt": prompt,
            "repeatable": repeatable,
            "limit_ms": int(limit * 900),
            "prefix_key": prefix,
        }
        left = self._stream(t, gateway, limit, "POST", "/v1/generate", json.dumps(body), leave_at, slow)
        if left:
            t["resumed"] = then = then or gateway
            path = f"/v1/generate/{t['run']}?from={len(t['pieces'])}"
            self._stream(t, then, limit, "GET", path, None, 0, slow)
        return self.note(
            "told",
            kind="live",
            prompt=prompt,
            gateway=gateway,
            repeatable=repeatable,
            asked=asked["at"],
            model=model,
            limit=limit * 0.9,
            slow=slow,
            **{**t, "first": t["first"] - asked["at"] if t["first"] else None},
        )

    def _stream(self, t, gateway, limit, method, path, body, leave_at, slow) -> bool:
        """Reads a stream; returns True if the client disconnected before its end."""
        c = self._connect(gateway, limit)
        try:
            c.request(method, path, body, {"Content-Type": "application/json"})
            r = c.getresponse()
            t["status"] = r.status
            if r.status != 200:
                t["fault"], t["retry"] = json.loads(r.read())["error"], r.headers.get("Retry-After")
                return False
            t["run"], last = r.headers.get("X-Run-Id", ""), time.monotonic()
            for name, data in self._events(r):
                if name == "piece":
                    now = time.monotonic()
                    t["gap"] = max(t["gap"], now - last if t["pieces"] else 0.0)
                    t["first"], last = t["first"] or now, now
                    t["pieces"].append((data["n"], data["text"]))
                    if leave_at and len(t["pieces"]) >= leave_at:
                        return True
                    if slow:
                        time.sleep(slow)
                elif name == "fault":
                    t["fault"] = data
                elif name == "end":
                    t["end"] = True
        except (OSError, http.client.HTTPException, ValueError) as e:
            t["fault"] = t["fault"] or {"code": "dropped", "outcome": "unknown", "message": repr(e)}
        finally:
            c.close()
        return False

    def _events(self, r):
        name = ""
        while True:
            line = r.readline()
            if not line:
                return
            line = line.decode().rstrip("\n")
            if line.startswith("event: "):
                name = line[7:]
            elif line.startswith("data: "):
                yield name, json.loads(line[6:])

    def send_without_reading(self, prompt: str, span: float, gateway=None):
        """Sends a request, reads nothing for `span` seconds, and disconnects."""
        c = self._connect(gateway or self.pick_gateway(), span + 5)
        try:
            body = {"model": "pipit-small", "prompt": prompt, "limit_ms": int(span * 1000)}
            c.request("POST", "/v1/generate", json.dumps(body), {"Content-Type": "application/json"})
            self.stopped.wait(span)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            c.close()

    def fetch(self, path: str, limit=15):
        asked, gateway = time.monotonic(), self.pick_gateway()
        status, body, heads = self.cluster.call(gateway, "GET", f"/v1/fetch/cards/cards/{path}", limit=limit)
        return self.note(
            "fetched",
            path=path,
            status=status,
            size=len(body) if isinstance(body, bytes) else 0,
            body=body if isinstance(body, bytes) else None,
            took=time.monotonic() - asked,
            asked=asked,
            gateway=gateway,
            fault=_error(body),
            retry=heads.get("Retry-After"),
        )

    def submit_batch(
        self, name: str, items: int, limit_ms=600_000, repeatable=False, priority=0, watch=True, gateway=None
    ):
        prompts = [f"{name}/{i}" for i in range(items)]
        body = {
            "items": [{"model": "pipit-small", "prompt": p, "repeatable": repeatable} for p in prompts],
            "limit_ms": limit_ms,
            "priority": priority,
            "customer": name.partition("-")[0],
        }
        gateway = gateway or self.pick_gateway()
        asked = time.monotonic()
        status, said, heads = self.cluster.call(gateway, "POST", "/v1/lots", body, limit=15)
        batch = said["lot"] if status == 201 else ""
        event = self.note(
            "lot",
            name=name,
            lot=batch,
            status=status,
            prompts=prompts,
            gateway=gateway,
            asked=asked,
            repeatable=repeatable,
            took=time.monotonic() - asked,
            retry=heads.get("Retry-After"),
            fault=_error(said) if status != 201 else None,
        )
        if batch and watch:
            self.stopped.wait(1.0)
            self.read_batch(batch)
        return event

    def read_batch(self, batch: str, gateway=None, start=0):
        gateway = gateway or self.pick_gateway()
        asked = time.monotonic()
        status, said, _ = self.cluster.call(gateway, "GET", f"/v1/lots/{batch}/results?from={start}", limit=15)
        return self.note(
            "results",
            lot=batch,
            status=status,
            gateway=gateway,
            asked=asked,
            start=start,
            state=said.get("state") if status == 200 else None,
            took=time.monotonic() - asked,
            results=said.get("results") if status == 200 else None,
            fault=_error(said) if status != 200 else None,
        )

    def cancel_batch(self, batch: str):
        status, said, _ = self.cluster.call(self.pick_gateway(), "DELETE", f"/v1/lots/{batch}", limit=15)
        return self.note("lot_ended", lot=batch, status=status, said=said)
