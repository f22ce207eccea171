"""Parsing of server-sent events."""

from ..errors import EngineError

__all__ = ["EventStream", "MAX_EVENT"]

MAX_EVENT = 1024 * 1024


class EventStream:
    """Cuts a stream of server-sent events into whole events; what is cut off at the end is never handed on."""

    def __init__(self, last: int = 0):
        self._rest = b""
        self.last = last

    def take(self, data: bytes) -> list[bytes]:
        """The whole events in what has come so far, each with its closing blank line, in order and without gaps."""
        self._rest += data
        out = []
        while True:
            end = self._rest.find(b"\n\n")
            if end < 0:
                break
            event, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
            n = event_id(event)
            if n is not None:
                if n != self.last + 1:
                    raise EngineError(f"event {n} came after event {self.last}", code="bad_answer")
                self.last = n
            out.append(event)
        if len(self._rest) > MAX_EVENT:
            raise EngineError("an event is too long", code="bad_answer")
        return out

    @property
    def whole(self) -> bool:
        return not self._rest


def event_id(event: bytes) -> int | None:
    """The number of an event, from its id line; None where it has none that is a number."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


def event_data(event: bytes) -> bytes:
    """The data of one event: its data lines, joined by line feeds."""
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line[1:] if line.startswith(b" ") else line for line in lines)
