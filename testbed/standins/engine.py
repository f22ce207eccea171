"""A stand-in engine, which serves either a streaming model or plain files, and records every run."""

import hashlib
import json
import os
import time
import zlib

import treq
from klein import Klein
from twisted.internet import defer, endpoints, reactor, task
from twisted.web.server import Site

from .response_cases import MALFORMED_HEADS

__all__ = ["StandInEngine", "response_pieces", "card_bytes"]


def response_pieces(prompt: str, most: int) -> list[str]:
    """Returns the pieces of the response to a prompt; they only depend on the prompt, so that they can be checked."""
    seed = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{seed[i % 32 : i % 32 + 6]}.{i} " for i in range(min(most, 4 + int(seed[:2], 16) % 12))]


def card_bytes(path: str) -> bytes:
    seed = hashlib.sha256(path.encode()).hexdigest()
    return (seed * (20 + int(seed[:2], 16))).encode()


_INVALID_CHUNKS = {
    "mixed": b'data: {"id": "another", "choices": [{"index": 0, "text": "not mine "}]}\n\n',
    "error": b'data: {"error": {"message": "out of memory", "code": 500}}\n\n',
}


class StandInEngine:
    app = Klein()

    def __init__(self, name, pool, models, zone, capacity, gateways, notes, step, port):
        self.name, self.pool, self.models, self.zone = name, pool, models, zone
        self.capacity, self.gateways, self.step, self.port = capacity, list(gateways), step, port
        self.state = "ready"
        self.mode = "well"
        self.running = 0
        self._notes = open(notes, "a", buffering=1) if notes else open(os.devnull, "w")
        self._incarnation = time.time_ns() // 1000

    def note(self, event, **pairs):
        self._notes.write(json.dumps({"at": time.monotonic(), "engine": self.name, "event": event, **pairs}) + "\n")

    async def open(self):
        at = endpoints.TCP4ServerEndpoint(reactor, self.port, interface="127.0.0.1")
        site = Site(self.app.resource())
        site.log = lambda request: None
        site.noisy = False
        self.port = (await at.listen(site)).getHost().port
        self.note("open", port=self.port)
        task.LoopingCall(lambda: defer.ensureDeferred(self.announce())).start(1.0)

    async def announce(self):
        if self.mode == "silent":
            return
        body = {
            "engine": self.name,
            "address": f"127.0.0.1:{self.port}",
            "pool": self.pool,
            "models": self.models,
            "zone": self.zone,
            "capacity": self.capacity,
            "incarnation": self._incarnation,
            "state": self.state,
        }
        for gateway in list(self.gateways):
            try:
                r = await treq.post(f"http://{gateway}/v1/engines", json=body, timeout=1)
                response = await treq.json_content(r)
                if r.code == 200 and response["gateways"]:
                    self.gateways = sorted(
                        response["gateways"], key=lambda g: hashlib.sha256((g + self.name).encode()).digest()
                    )
                    return
            except Exception:
                continue

    @app.route("/v1/completions", methods=["POST"])
    async def complete(self, request):
        body = json.loads(request.content.read())
        run = (request.getHeader("X-Request-Id") or "").strip()
        if self.mode == "refuse" or self.running >= self.capacity:
            self.note("refused", run=run)
            request.setResponseCode(503)
            return b"busy"
        self.note("run", run=run, prompt=body["prompt"], model=body["model"], state=self.state)
        self.running += 1
        gone = []
        request.notifyFinish().addErrback(lambda f: gone.append(1))
        try:
            if self.mode == "hang":
                while not gone:
                    await task.deferLater(reactor, 0.1)
                self.note("left", run=run, pieces=0)
                return b""
            if self.mode == "malformed":
                await self._send_malformed(request, run, gone)
                return b""
            request.setHeader(b"Content-Type", b"text/event-stream")
            pieces = response_pieces(body["prompt"], body["max_tokens"])
            for n, text in enumerate(pieces):
                await task.deferLater(reactor, self.step * (40 if body["prompt"].startswith("end") else 1))
                if gone:
                    self.note("left", run=run, pieces=n)
                    return b""
                if self.mode == "cut" and n == len(pieces) // 2:
                    self.note("cut", run=run)
                    request.transport.abortConnection()
                    return b""
                if n == len(pieces) // 2 and self.mode in _INVALID_CHUNKS:
                    request.write(_INVALID_CHUNKS[self.mode])
                chunk = {"id": run, "choices": [{"index": 0, "text": text, "finish_reason": None}]}
                request.write(f"data: {json.dumps(chunk)}\n\n".encode())
            if self.mode != "unclosed":
                request.write(b"data: [DONE]\n\n")
            self.note("done", run=run)
            return b""
        except defer.CancelledError:
            self.note("left", run=run)
            raise
        finally:
            self.running -= 1

    async def _send_malformed(self, request, run, gone):
        """Sends a response with a malformed head, and waits until the gateway closes the connection."""
        case = MALFORMED_HEADS[zlib.crc32(run.encode()) % len(MALFORMED_HEADS)]
        request.transport.write(case.encode({"Content-Type": "text/event-stream"}, b"data: [DONE]\n\n"))
        while not gone:
            await task.deferLater(reactor, self.step)
        self.note("cut", run=run)

    @app.route("/cards/<path:path>", methods=["GET"])
    async def card(self, request, path):
        data = card_bytes(path)
        self.note("card", prompt=path)
        await task.deferLater(reactor, self.step)
        if self.mode == "cut":
            request.setHeader(b"Content-Length", str(len(data)).encode())
            request.write(data[: len(data) // 2])
            request.transport.loseConnection()
            return b""
        return data

    @app.route("/mode/<mode>", methods=["POST"])
    async def set_mode(self, request, mode):
        if mode in ("leaving", "ready"):
            self.state = mode
            await self.announce()
            self.note("told", state=mode)
        else:
            before, self.mode = self.mode, mode
            if mode == "well" and before in ("silent", "refuse"):
                self.note("heard" if before == "silent" else "well")
        return b"ok"


def run_engine(arguments: dict) -> int:
    b = StandInEngine(
        arguments["--name"],
        arguments["--pool"],
        [m for m in arguments["--models"].split(",") if m],
        arguments["--zone"],
        int(arguments["--capacity"]),
        arguments["--gateways"].split(","),
        arguments["--notes"],
        float(arguments["--step"]),
        int(arguments["--port"]),
    )
    reactor.callWhenRunning(lambda: defer.ensureDeferred(b.open()))
    reactor.run()
    return 0
