"""Clients of lots: hand them in, read their results at any gateway, end some, and read all once more at the end."""

from __future__ import annotations

import asyncio
import base64
import json
from random import Random
from typing import Any

from .balancer import Balancer
from .client_connection import ClientConnection
from .configurations import HOST
from .http_messages import Headers
from .machines import Machine
from .record import Exchange, LotRead, LotRecord, Record, RouteKind, now

__all__ = ["LotClient"]

ITEMS = (3, 8, 12)
ITEM_EVENTS = (2, 30, 60)
TOKENS_PER_ITEM = 300
SUBMIT_DEADLINE_S = 4.0
READ_DEADLINE_S = 2.5
POLL_WAITS_MS = (0, 1000)
READ_INTERVAL_S = 0.4
RETRY_PAUSE_S = 0.3
MAX_TRIES = 6
END_SHARE = 0.15
END_TRIES = 4
FINAL_READ_S = 20.0
TAKEN = 202


class LotClient:
    """One client, which handles one lot after another; `keeps_connection` reuses connections for the calls of a lot."""

    def __init__(self, balancer: Balancer, record: Record, rng: Random, keeps_connection: bool) -> None:
        self._balancer = balancer
        self._record = record
        self._rng = rng
        self._keeps_connection = keeps_connection
        self._connection: ClientConnection | None = None
        self._gateway: Machine | None = None
        self.is_stopped = False

    async def run(self) -> None:
        """Hands in and reads lots until stopped; the last one is not read to its end."""
        while not self.is_stopped:
            lot = self._new_lot()
            await self._hand_in(lot)
            if lot.accepted_at is not None:
                await self._follow(lot)
            await asyncio.sleep(self._rng.random())

    def _new_lot(self) -> LotRecord:
        lot_id = f"{self._rng.getrandbits(64):016x}"
        events = self._rng.choice(ITEM_EVENTS)
        items = [(f"{lot_id}-{number}", events) for number in range(self._rng.choice(ITEMS))]
        lot = LotRecord(lot_id, items, {item: f"body of {item}".encode() for item, _ in items})
        self._record.lots.append(lot)
        return lot

    async def _hand_in(self, lot: LotRecord) -> None:
        body = json.dumps({"requests": [self._item(lot, item, events) for item, events in lot.items]}).encode()
        headers = {"Pipitlink-Request-Id": lot.lot_id, "Content-Type": "application/json"}
        for _ in range(MAX_TRIES):
            path = f"/rounds/{lot.lot_id}"
            exchange = await self._call("POST", path, headers, body, SUBMIT_DEADLINE_S)
            lot.tries.append(exchange)
            if exchange.is_complete and exchange.status == TAKEN:
                lot.accepted_at = exchange.ended_at
                return
            if self.is_stopped:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _item(self, lot: LotRecord, item: str, events: int) -> dict[str, Any]:
        return {
            "id": item,
            "path": f"/rounds/{item}",
            "headers": {"Pipitlink-Model": "m", "Pipitlink-Token-Counts": f"100,{events}"},
            "body": base64.b64encode(lot.bodies[item]).decode(),
            "token_count": TOKENS_PER_ITEM,
        }

    async def _follow(self, lot: LotRecord) -> None:
        """Reads the results of a lot until all are listed, and ends some lots before that."""
        ends_after = self._rng.randint(1, 4) if self._rng.random() < END_SHARE else None
        position, turn = 0, 0
        while position < len(lot.items) and not self.is_stopped:
            turn += 1
            if turn == ends_after:
                await self._end(lot)
                return
            start = self._rng.randint(0, position) if self._rng.random() < 0.2 else position
            read = await self._read(lot, start, self._rng.choice(POLL_WAITS_MS))
            position = max(position, int(read.page.get("next_token", 0)))
            await asyncio.sleep(READ_INTERVAL_S)

    async def _read(self, lot: LotRecord, start: int, wait_ms: int) -> LotRead:
        headers = {"Pipitlink-Poll-Wait-Ms": str(wait_ms)} if wait_ms else {}
        path = f"/lots/{lot.lot_id}?last_seen={start}"
        sent_at = now()
        exchange = await self._call("GET", path, headers, b"", READ_DEADLINE_S)
        status = exchange.status if exchange.is_complete else 0
        page = json.loads(exchange.response) if status == 200 else {}
        read = LotRead(exchange.gateway, start, sent_at, status, page)
        lot.reads.append(read)
        return read

    async def _end(self, lot: LotRecord) -> None:
        lot.end_sent_at = now()
        for _ in range(END_TRIES):
            exchange = await self._call("DELETE", f"/lots/{lot.lot_id}", {}, b"", SUBMIT_DEADLINE_S)
            if exchange.is_complete and exchange.status == 200:
                lot.end_acknowledged_at = exchange.ended_at
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _call(self, method: str, path: str, headers: Headers, body: bytes, deadline_s: float) -> Exchange:
        """Sends one call, on the kept connection if there is one that still stands."""
        connection = self._connection
        if connection is None or not connection.is_reusable or connection.has_ended():
            connection = self._take_gateway()
        assert self._gateway is not None
        exchange = Exchange(
            f"{method} {path}", self._gateway.name, "rounds", RouteKind.BULK, path, body, deadline_s, is_lot_call=True
        )
        self._record.exchanges.append(exchange)
        try:
            if not connection.is_reusable:
                await connection.open()
            await connection.exchange(exchange, method, {"Host": HOST, **headers})
        except (OSError, TimeoutError) as error:
            exchange.error = repr(error)
        if not self._keeps_connection or not connection.is_reusable:
            connection.close()
            self._connection = None
        return exchange

    def _take_gateway(self) -> ClientConnection:
        self._gateway = self._balancer.pick()
        self._connection = ClientConnection(self._gateway.public_address)
        return self._connection

    def close(self) -> None:
        """Closes the kept connection, if any."""
        if self._connection is not None:
            self._connection.close()

    async def read_all(self, lot: LotRecord) -> None:
        """Reads all results of a lot from the start, as often as needed, until all are listed or time is up."""
        deadline = now() + FINAL_READ_S
        while now() < deadline:
            outputs: list[dict[str, Any]] = []
            while True:
                read = await self._read(lot, len(outputs), 0)
                outputs += read.page.get("outputs", [])
                if not read.page.get("outputs"):
                    break
            if read.status == 200:
                lot.final_outputs = outputs
                if len(outputs) == len(lot.items) or lot.end_sent_at is not None:
                    return
            await asyncio.sleep(RETRY_PAUSE_S)
