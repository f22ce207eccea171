"""Callers of a fleet, and the notes of what each asked, when, and what it was told."""
import http.client
import json
import threading
import time

__all__ = ["Callers", "Caller"]


class Caller:
    """One kind of caller: a thread that asks at a rate; each ask runs on its own thread, bounded in number."""

    def __init__(self, callers, name, every, do, most=64):
        self.callers, self.name, self.every, self.do = callers, name, every, do
        self._slots = threading.Semaphore(most)

    def run(self):
        n = 0
        while not self.callers.over.wait(self.every):
            n += 1
            if self._slots.acquire(blocking=False):
                threading.Thread(target=self._one, args=(n,), daemon=True).start()
            else:
                self.callers.note("skipped", caller=self.name)

    def _one(self, n):
        try:
            self.do(self.callers, f"{self.name}-{n}")
        except Exception as e:
            self.callers.note("caller_failed", caller=self.name, text=repr(e))
        finally:
            self._slots.release()


class Callers:
    def __init__(self, fleet, chance):
        self.fleet = fleet
        self.chance = chance
        self.over = threading.Event()
        self._lock = threading.Lock()
        self.events: list[dict] = []
        self._threads: list[threading.Thread] = []
        self.down: set[str] = set()

    def note(self, event, **pairs):
        line = {"at": time.monotonic(), "event": event, **pairs}
        with self._lock:
            self.events.append(line)
        return line

    def taken(self) -> list[dict]:
        with self._lock:
            return list(self.events)

    def start(self, caller: Caller):
        t = threading.Thread(target=caller.run, daemon=True)
        t.start()
        self._threads.append(t)

    def stop(self):
        self.over.set()
        for t in self._threads:
            t.join(5)

    def guide(self) -> str:
        """A guide that the platform would send a caller to: it moves clients off guides that it took down."""
        up = [g for g in self.fleet.nodes("guide") if g not in self.down]
        with self._lock:
            return self.chance.choice(up or self.fleet.nodes("guide"))

    def _connect(self, guide, limit):
        return http.client.HTTPConnection("127.0.0.1", self.fleet.programs[guide].ports[1], timeout=limit)

    def generate(self, prompt: str, repeatable=False, model="pipit-small", limit=20, guide=None, prefix=""):
        """Asks for a stream and notes each piece in order, and whether the end record came."""
        guide = guide or self.guide()
        asked = self.note("ask", kind="live", prompt=prompt, guide=guide, repeatable=repeatable)
        pieces, first, end, fault, run = [], None, False, None, ""
        try:
            c = self._connect(guide, limit)
            body = {"model": model, "prompt": prompt, "repeatable": repeatable, "limit_ms": int(limit * 900),
                    "prefix_key": prefix}
            c.request("POST", "/v1/generate", json.dumps(body), {"Content-Type": "application/json"})
            r = c.getresponse()
            if r.status != 200:
                fault = json.loads(r.read())["error"]
            else:
                run = r.headers.get("X-Run-Id", "")
                for name, data in self._events(r):
                    if name == "piece":
                        first = first or time.monotonic()
                        pieces.append((data["n"], data["text"]))
                    elif name == "fault":
                        fault = data
                    elif name == "end":
                        end = True
        except (OSError, http.client.HTTPException, ValueError) as e:
            fault = fault or {"code": "dropped", "outcome": "unknown", "message": repr(e)}
        return self.note("told", kind="live", prompt=prompt, guide=guide, repeatable=repeatable, pieces=pieces,
                         end=end, fault=fault, run=run, asked=asked["at"],
                         first=first - asked["at"] if first else None)

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

    def fetch(self, path: str, limit=15):
        asked = time.monotonic()
        status, body, _ = self.fleet.call(self.guide(), "GET", f"/v1/fetch/cards/cards/{path}", limit=limit)
        return self.note("fetched", path=path, status=status, size=len(body) if isinstance(body, bytes) else 0,
                         body=body if isinstance(body, bytes) else None, took=time.monotonic() - asked)

    def lot(self, name: str, items: int, limit_ms=600_000, repeatable=False, priority=0, watch=True):
        prompts = [f"{name}/{i}" for i in range(items)]
        body = {"items": [{"model": "pipit-small", "prompt": p, "repeatable": repeatable} for p in prompts],
                "limit_ms": limit_ms, "priority": priority, "customer": name.partition("-")[0]}
        guide = self.guide()
        asked = time.monotonic()
        status, said, _ = self.fleet.call(guide, "POST", "/v1/lots", body, limit=15)
        lot = said["lot"] if status == 201 else ""
        told = self.note("lot", name=name, lot=lot, status=status, prompts=prompts, guide=guide,
                         repeatable=repeatable, took=time.monotonic() - asked,
                         fault=said.get("error") if isinstance(said, dict) and status != 201 else None)
        if lot and watch:
            self.over.wait(1.0)
            self.read_lot(lot)
        return told

    def read_lot(self, lot: str, guide=None, start=0):
        guide = guide or self.guide()
        asked = time.monotonic()
        status, said, _ = self.fleet.call(guide, "GET", f"/v1/lots/{lot}/results?from={start}", limit=15)
        return self.note("results", lot=lot, status=status, guide=guide, asked=asked, start=start,
                         state=said.get("state") if status == 200 else None, took=time.monotonic() - asked,
                         results=said.get("results") if status == 200 else None,
                         fault=said.get("error") if isinstance(said, dict) and status != 200 else None)

    def end_lot(self, lot: str):
        status, said, _ = self.fleet.call(self.guide(), "DELETE", f"/v1/lots/{lot}", limit=15)
        return self.note("lot_ended", lot=lot, status=status, said=said)

    def edit(self, name: str, row: dict, edit_id: str, office: str):
        """One operator's edit on the table it reads first."""
        asked = time.monotonic()
        status, said, _ = self.fleet.call(office, "GET", "/v1/table", limit=8)
        if status != 200:
            return self.note("table_unread", office=office, status=status)
        base = said["sequence"]
        read = self.note("table_read", sequence=base, rows=said["rows"], asked=asked)
        asked = time.monotonic()
        status, said, _ = self.fleet.call(office, "PUT", f"/v1/table/rows/{name}", row,
                                          {"If-Match": str(base), "Edit-Id": edit_id}, limit=12)
        return self.note("edit", row=name, value=row, edit=edit_id, status=status, base=base, read=read["at"],
                         took=time.monotonic() - asked,
                         sequence=said.get("sequence") if status == 200 else None,
                         outcome=said["error"]["outcome"] if isinstance(said, dict) and "error" in said else None)
