"""Parsing of server-sent events."""

from __future__ import annotations

from ..errors import EngineError

__all__ = ["EventStream", "MAX_EVENT_BYTES", "event_data", "event_id"]

MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Splits a stream of server-sent events into complete events.

    `last_id` is the id of the last event that was returned, or 0; ids must be consecutive.
    """

    def __init__(self, last_id: int = 0) -> None:
        self._buffer = b""
        self.last_id = last_id

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that these bytes complete, each including its terminating blank line.

        Raises EngineError if an event is missing or too long.
        """
        self._buffer += data
        events = []
        while (end := self._buffer.find(b"\n\n")) >= 0:
            event, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
            self._check_id(event)
            events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EngineError(f"an event is longer than {MAX_EVENT_BYTES} bytes", code="bad_answer")
        return events

    def _check_id(self, event: bytes) -> None:
        number = event_id(event)
        if number is None:
            return
        if number != self.last_id + 1:
            raise EngineError(f"event {number} arrived after event {self.last_id}", code="bad_answer")
        self.last_id = number

    @property
    def is_complete(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._buffer


def event_id(event: bytes) -> int | None:
    """Returns the number in the id line of an event, or None if it has no numeric id."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


def event_data(event: bytes) -> bytes:
    """Returns the data of an event: its data lines, joined by newlines."""
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line[1:] if line.startswith(b" ") else line for line in lines)
