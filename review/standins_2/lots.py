"""Clients of lots: hand them in, read their results, end them."""

from __future__ import annotations

import base64
import json
from typing import Any

from .engine import event_text
from .http import Answer, ask_once

HOST = "tours.example"


def lot_body(lot: str, items: int, prefix: str, *, tokens: int = 500, events: int = 4) -> bytes:
    """Returns the body that hands in a lot; an item's headers say how many events its output has."""
    requests = [
        {
            "id": f"{lot}i{number}",
            "path": f"{prefix}{lot}/{number}",
            "headers": {"Pipitlink-Model": "m", "Pipitlink-Token-Counts": f"{tokens - 16 * events},{16 * events}"},
            "body": base64.b64encode(f"body of {lot}i{number}".encode()).decode(),
            "token_count": tokens,
        }
        for number in range(items)
    ]
    return json.dumps({"requests": requests}).encode()


def whole_output(item: str, events: int) -> str:
    """Returns the whole output of an item."""
    return "\n".join(event_text(item, number) for number in range(1, events + 1))


async def hand_in(gateway: str, lot: str, prefix: str, body: bytes, *, timeout: float = 4.0) -> Answer:
    """Hands a lot in at one gateway."""
    headers = {"Host": HOST, "Pipitlink-Request-Id": lot, "Content-Type": "application/json"}
    return await ask_once(gateway, "POST", f"{prefix}{lot}", headers, body, timeout=timeout)


async def read_lot(
    gateway: str, lot: str, start: int, *, wait_ms: int = 0, timeout: float = 3.0
) -> tuple[Answer, dict[str, Any]]:
    """Reads a lot from a position on; returns the answer, and its JSON where it is a success."""
    headers = {"Host": HOST}
    if wait_ms:
        headers["Pipitlink-Poll-Wait-Ms"] = str(wait_ms)
    answer = await ask_once(gateway, "GET", f"/lots/{lot}?last_seen={start}", headers, timeout=timeout)
    page = json.loads(answer.body) if answer.status == 200 and answer.complete else {}
    return answer, page


async def end_lot(gateway: str, lot: str, *, timeout: float = 5.0) -> Answer:
    """Ends a lot."""
    return await ask_once(gateway, "DELETE", f"/lots/{lot}", {"Host": HOST}, timeout=timeout)
