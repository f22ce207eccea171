"""A stand-in engine that answers the first run of a request as the request's case says, and later ones in order."""

import asyncio

import attrs

from testbed.deployment.engines import Engine, event_data
from testbed.deployment.record import EngineRun, RunEnd
from testbed.standins.response_cases import CUT, SOUND, ResponseCase, pieces_of

__all__ = ["CaseEngine", "Script", "whole_body"]

SOUND_RESPONSE = SOUND[0]


@attrs.define
class Script:
    """The cases by request id, how many malformed responses were sent, and what became of their connections."""

    cases: dict[str, ResponseCase] = attrs.field(factory=dict)
    malformed: set[ResponseCase] = attrs.field(factory=set)
    in_pieces: set[str] = attrs.field(factory=set)
    malformed_sent: int = 0
    still_open: int = 0
    used_again: list[str] = attrs.field(factory=list)


def whole_body(request_id: str, events: int, first_event: int = 1) -> bytes:
    """Returns the body of a response: events, or a text where there are none."""
    if not events:
        return f"plain {request_id}".encode()
    numbers = range(first_event, events + 1)
    return "".join(f"id: {n}\ndata: {event_data(request_id, n)}\n\n" for n in numbers).encode()


class CaseEngine(Engine):
    script: Script

    async def _serve(self, reader, writer):
        self._spoiled: set = getattr(self, "_spoiled", set())
        try:
            await super()._serve(reader, writer)
        finally:
            if writer in self._spoiled:
                self.script.still_open -= 1

    async def _respond(self, head, body, reader, writer):
        if writer in self._spoiled:
            self.script.used_again.append(head.headers.get("pipitlink-request-id", ""))
        await super()._respond(head, body, reader, writer)

    async def _run(self, head, target, request_id, body, reader, writer):
        first_event = int(head.headers.get("last-event-id", "0")) + 1
        events = int(head.headers.get("pipitlink-token-counts", "0,0").split(",")[1])
        is_first = not any(run.request_id == request_id for run in self.record.runs)
        run = EngineRun(request_id, self.name, self.service, self.zone, target, body, first_event)
        run.end = RunEnd.COMPLETE
        self.record.runs.append(run)
        case = self.script.cases[request_id] if is_first else SOUND_RESPONSE
        if case is CUT:
            writer.transport.abort()
            return
        if case in self.script.malformed:
            self.script.malformed_sent += 1
            self.script.still_open += 1
            self._spoiled.add(writer)
        response = case.encode(self._response_headers(run), whole_body(request_id, events, first_event))
        await self._send(response, writer, request_id in self.script.in_pieces)

    async def _send(self, response: bytes, writer: asyncio.StreamWriter, in_pieces: bool):
        for piece in pieces_of(response) if in_pieces else [response]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
