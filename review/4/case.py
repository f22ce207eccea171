"""Stops a gateway while it streams, and sends a further request on the same connection while it drains."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.engine import Engine, Plan  # noqa: E402
from standins_2.fleet import CannotRunError, Fleet, Record, configuration, route, service  # noqa: E402
from standins_2.http import Answer, Connection, Message  # noqa: E402
from standins_2.lots import HOST, hand_in, lot_body  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
EVENT_GAP_S = 0.1
FIRST_STREAM_EVENTS = 28
SECOND_STREAM_EVENTS = 12
PAUSE_S = 0.15
ITEM_EVENTS = 60
ITEMS = 6
HELD, BROKEN, CANNOT = 0, 1, 2


def plan(request: Message) -> Plan:
    """Returns how long an engine works on a request: as many events as its token counts ask for."""
    out = int(request.headers.get("pipitlink-token-counts", "0,64").split(",")[1])
    return Plan(events=max(1, out // 16), first_s=0.05, gap_s=EVENT_GAP_S)


async def ask_stream(connection: Connection, request_id: str, events: int) -> Answer:
    """Asks for a stream of so many events on a connection."""
    headers = {
        "Host": HOST,
        "Pipitlink-Request-Id": request_id,
        "Pipitlink-Model": "m",
        "Pipitlink-Token-Counts": f"100,{16 * events}",
        "Pipitlink-Prompt-Prefix": f"{request_id}:100",
        "Pipitlink-Deadline-Ms": "6000",
    }
    return await connection.ask("POST", f"/quick/{request_id}", headers, b"prompt")


async def play(record: Record) -> int:
    """Plays the case and returns the exit code."""
    fleet = Fleet(record)
    engines: list[Engine] = []
    try:
        for number in range(3):
            zone = fleet.of("gateway")[number].zone
            engine = Engine(f"i-{number}", fleet.engine_address(number), "lm", zone, fleet.controllers(), plan=plan)
            engines.append(engine)
            await engine.start()
        bulk = {"queue_cap_tokens": 1_200_000, "completion_target_ms": 10_000, "retain_s": 40.0, "max_tries": 3}
        routes = [
            route("quick", "streaming", "lm", sticky=True, resumable=True, gap_target_ms=300),
            route("rounds", "bulk", "lm", target_latency_ms=400, deadline_ms=8000, priority=2, **bulk),
        ]
        await fleet.start_all(configuration(1, routes, [service("lm")]))
        await fleet.wait_ready(fleet.of("gateway"))
        await asyncio.sleep(4)
        return await _stop_gateway(fleet, engines, record)
    finally:
        for engine in engines:
            await engine.stop()
        fleet.close()


async def _stop_gateway(fleet: Fleet, engines: list[Engine], record: Record) -> int:
    machine = fleet.of("gateway")[0]
    gateway = fleet.public(machine)
    answer = await hand_in(gateway, "lot1", "/rounds/", lot_body("lot1", ITEMS, "/rounds/", events=ITEM_EVENTS))
    record(f"lot lot1 handed in at {machine.name}: {answer.status}")
    if answer.status != 202:
        raise CannotRunError("the lot was not accepted")
    connection = Connection(gateway)
    first = asyncio.create_task(ask_stream(connection, "a1", FIRST_STREAM_EVENTS))
    await asyncio.sleep(0.3)
    stopped_at = time.monotonic()
    if TROUBLE:
        record(f"SIGTERM to {machine.name}")
        fleet.signal(machine, signal.SIGTERM)
    answer = await first
    record(f"a1: {answer.status} complete={answer.complete} connection={answer.headers.get('connection')}")
    if answer.headers.get("connection") == "close":
        return HELD
    await asyncio.sleep(PAUSE_S)
    sent_at = time.monotonic()
    record(f"a2 sent on the same connection, {sent_at - stopped_at:.2f} s after the SIGTERM")
    answer = await ask_stream(connection, "a2", SECOND_STREAM_EVENTS)
    ended_at = time.monotonic()
    runs = [run for engine in engines for run in engine.runs if run.request_id == "a2"]
    record(
        f"a2: status={answer.status} complete={answer.complete} error={answer.error!r} "
        f"events={answer.body.count(b'id: ')} of {SECOND_STREAM_EVENTS}, "
        f"{ended_at - stopped_at:.2f} s after the SIGTERM"
    )
    for run in runs:
        record(f"a2 ran at {run.engine} from event {run.first_event}, {run.at - stopped_at:.2f} s after the SIGTERM")
    was_passed_on = bool(runs)
    if was_passed_on and not answer.complete and ended_at - stopped_at < GRACE_S / 2:
        record("LOST: passed on to an engine, and cut in the first half of grace_s")
        return BROKEN
    return HELD


def main() -> int:
    """Runs the case; see claim.txt."""
    with (FOLDER / "record.txt").open("w") as file:
        record = Record(file)
        try:
            return asyncio.run(asyncio.wait_for(play(record), 110))
        except (CannotRunError, TimeoutError) as error:
            record(f"could not run: {error}")
            return CANNOT


if __name__ == "__main__":
    sys.exit(main())
