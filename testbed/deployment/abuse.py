"""Abusive clients of a soak run, which come and go at all addresses, and the check that all processes bear them."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from .abusive_clients import AbuseKind, AbuseTarget, AbusiveClient
from .abusive_input import document_of_many_values, hello_frame
from .balancer import Balancer
from .configurations import HOST
from .machines import Deployment, Machine, Role
from .record import Exchange, Record, RouteKind

__all__ = ["AbuseLoop", "MemoryMonitor"]

BODY_BYTES = 4_194_304
HEAD_BYTES = 15_000
FRAME_BYTES = 4_194_304
TINY_CHUNKED_BODY_BYTES = 32_768
DOCUMENT_BYTES = 1_000_000
ENGINE_NAME_BYTES = 4000
PROMPT_PARTS = 400
DEADLINE_S = 6.0
MAX_HOLD_S = 3.0
MAX_PAUSE_S = 0.3
SEND_S = 4.0
CLIENTS_ADDRESS_SHARE = 0.75
CONTROL_ADDRESS_SHARE = 0.5
HELLO_SHARE = 0.5
DOCUMENT_SHARE = 0.5
BYTES_PER_MB = 1024 * 1024
SAMPLE_INTERVAL_S = 0.25

CLIENT_KINDS = (
    AbuseKind.IDLE,
    AbuseKind.WHOLE_BODY,
    AbuseKind.UNFINISHED_BODY,
    AbuseKind.UNFINISHED_LARGE_CHUNKS,
    AbuseKind.UNFINISHED_SMALL_CHUNKS,
    AbuseKind.UNFINISHED_TINY_CHUNKS,
    AbuseKind.UNFINISHED_TRAILERS,
    AbuseKind.UNFINISHED_HEAD,
    AbuseKind.UNFINISHED_SHORT_LINES,
    AbuseKind.QUEUED_INPUT,
    AbuseKind.UNREAD_RESPONSES,
)
CONTROL_KINDS = (
    AbuseKind.IDLE,
    AbuseKind.UNFINISHED_BODY,
    AbuseKind.UNFINISHED_LARGE_CHUNKS,
    AbuseKind.UNFINISHED_HEAD,
)
INTERNAL_KINDS = (AbuseKind.IDLE, AbuseKind.RAW_INPUT)


class AbuseLoop:
    """Runs one abusive client after another until it is stopped."""

    def __init__(self, deployment: Deployment, balancer: Balancer, record: Record, rng: Random) -> None:
        self._deployment = deployment
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._body = b"a" * BODY_BYTES
        self._document = document_of_many_values(DOCUMENT_BYTES)
        self.is_stopped = False

    async def run(self) -> None:
        """Lets each client send for a time, holds its connection, and cuts it."""
        while not self.is_stopped:
            client = self._next_client()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(client.run(), SEND_S)
            await asyncio.sleep(self._rng.random() * MAX_HOLD_S)
            client.close()
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)

    def _next_client(self) -> AbusiveClient:
        if self._rng.random() < CLIENTS_ADDRESS_SHARE:
            return self._client_of_gateway(self._balancer.pick())
        if self._rng.random() < CONTROL_ADDRESS_SHARE:
            controller = self._rng.choice(self._deployment.of(Role.CONTROLLER))
            return self._client_of_operators(controller.control_address, "/config")
        machine = self._rng.choice(list(self._deployment.machines.values()))
        if self._rng.random() < CONTROL_ADDRESS_SHARE:
            return self._client_of_operators(machine.operator_address, "/v1/live")
        return self._client_of_peers(machine.internal_address)

    def _client_of_peers(self, address: str) -> AbusiveClient:
        """Returns a client that begins a large frame, with or without a Hello before it."""
        hello = hello_frame(f"{self._rng.getrandbits(64):016x}") if self._rng.random() < HELLO_SHARE else b""
        target = AbuseTarget(address, "", "", {}, hello + FRAME_BYTES.to_bytes(4) + self._body[:-1])
        return AbusiveClient(self._rng.choice(INTERNAL_KINDS), target)

    def _client_of_operators(self, address: str, path: str) -> AbusiveClient:
        if self._rng.random() < DOCUMENT_SHARE:
            return self._client_with_document(address, path)
        target = AbuseTarget(address, "PUT", path, {"Host": "node"}, self._body, HEAD_BYTES)
        return AbusiveClient(self._rng.choice(CONTROL_KINDS), target)

    def _client_with_document(self, address: str, path: str) -> AbusiveClient:
        """Returns a client that sends a document of many values, or the end of an engine with a long name."""
        headers = {"Host": "node", "If-Match": "0"}
        if self._rng.random() < DOCUMENT_SHARE:
            return AbusiveClient(AbuseKind.WHOLE_BODY, AbuseTarget(address, "PUT", path, headers, self._document))
        name = f"{self._rng.getrandbits(64):016x}".ljust(ENGINE_NAME_BYTES, "n")
        return AbusiveClient(AbuseKind.WHOLE_BODY, AbuseTarget(address, "DELETE", f"/instances/{name}", headers))

    def _prompt_parts(self) -> str:
        """Returns names of parts that nobody else uses, without tokens."""
        return ",".join(f"{self._rng.getrandbits(64):016x}:0" for _ in range(PROMPT_PARTS))

    def _client_of_gateway(self, gateway: Machine) -> AbusiveClient:
        kind = self._rng.choice(CLIENT_KINDS)
        request_id = f"{self._rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Pipitlink-Request-Id": request_id,
            "Pipitlink-Deadline-Ms": str(int(1000 * DEADLINE_S)),
        }
        if kind == AbuseKind.UNREAD_RESPONSES:
            path = f"/lots/{request_id}?last_seen=0"
            return AbusiveClient(kind, AbuseTarget(gateway.public_address, "GET", path, headers))
        path = f"/read/{request_id}"
        # Not sent, as far as the rules about ordinary clients go, but asked for, if an engine runs it.
        asked = Exchange(request_id, gateway.name, "read", RouteKind.IDEMPOTENT, path, self._body, DEADLINE_S)
        self._record.exchanges.append(asked)
        if kind == AbuseKind.WHOLE_BODY:
            headers["Pipitlink-Prompt-Prefix"] = self._prompt_parts()
        size = TINY_CHUNKED_BODY_BYTES if kind == AbuseKind.UNFINISHED_TINY_CHUNKS else BODY_BYTES
        target = AbuseTarget(gateway.public_address, "POST", path, headers, self._body[:size], HEAD_BYTES)
        return AbusiveClient(kind, target)


class MemoryMonitor:
    """Notes processes whose memory goes beyond what their settings allow."""

    def __init__(self, deployment: Deployment, record: Record, ram_mb: int) -> None:
        self._deployment = deployment
        self._record = record
        self._ram_mb = ram_mb
        self._reported: set[str] = set()
        self.most_mb = 0.0

    async def run(self) -> None:
        """Looks at all processes again and again."""
        while True:
            for machine in self._deployment.machines.values():
                with contextlib.suppress(OSError, StopIteration):
                    self._check(machine)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check(self, machine: Machine) -> None:
        if not machine.is_running:
            return
        used_mb = machine.peak_memory_bytes() / BYTES_PER_MB
        self.most_mb = max(self.most_mb, used_mb)
        if used_mb > self._ram_mb and machine.name not in self._reported:
            self._reported.add(machine.name)
            self._record.failures.append(f"{machine.name} has used {used_mb:.0f} MB of {self._ram_mb}")
