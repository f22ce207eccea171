"""Reads the streamed completion of an engine."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from ..errors import EngineError
from .request_record import RequestRecord

__all__ = ["TokenStreamReader"]

MAX_TEXT_LENGTH = 256 * 1024
MAX_LINE_BYTES = 1024 * 1024
MAX_ERROR_LENGTH = 200
DATA_FIELD = b"data:"
END_MARKER = b"[DONE]"


class TokenStreamReader(LineOnlyReceiver):
    """Reads an engine's token stream: server-sent events, each with a chunk of one completion, ended by [DONE].

    `finished` fires when the stream ended correctly, and fails with EngineError otherwise; cancelling it aborts the
    connection.
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, request: RequestRecord, abort: Callable[[], None], on_data: Callable[[], None]) -> None:
        self._request = request
        self._abort = abort
        self._on_data = on_data
        self._end_marker_seen = False
        self._completion_id: Any = None
        self._finish_reason_seen = False
        self.finished: defer.Deferred[None] = defer.Deferred(lambda _: abort())

    def connectionMade(self) -> None:  # noqa: N802 - twisted's interface
        """The response's head was received: from now on the body can be paused."""
        self._request.engine_stream = self.transport
        self._on_data()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802 - twisted's interface
        """Processes one line of the stream."""
        self._on_data()
        line = line.rstrip(b"\r")
        if not line.startswith(DATA_FIELD) or self.finished.called:
            return
        data = line[len(DATA_FIELD) :].strip()
        if self._end_marker_seen:
            self._fail("the response continued after its end marker")
        elif data == END_MARKER:
            self._end_marker_seen = True
        else:
            self._process_chunk(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002, N802 - twisted's interface
        """A line exceeds MAX_LENGTH."""
        self._fail("a line of the engine's response is too long")

    def connectionLost(  # noqa: N802 - twisted's interface
        self, reason: Failure = protocol.connectionDone
    ) -> None:
        """The body has ended, or the connection was lost."""
        self._request.engine_stream = None
        if self.finished.called:
            return
        if self._end_marker_seen and reason.check(ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(EngineError("the engine's token stream was cut short", code="cut_short"))

    def _process_chunk(self, data: bytes) -> None:
        try:
            chunk = json.loads(data)
            choice = _only_choice(chunk)
            text = choice["text"]
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            self._fail(f"invalid chunk in the engine's response: {error}")
            return
        if self._completion_id is None:
            self._completion_id = chunk.get("id")
        if chunk.get("id") != self._completion_id:
            self._fail("the response contains a chunk of another completion")
        elif text and self._finish_reason_seen:
            self._fail("the response contains text after its finish reason")
        elif self._request.size + len(text) > MAX_TEXT_LENGTH:
            self._fail(f"the response is longer than {MAX_TEXT_LENGTH} characters")
        else:
            self._finish_reason_seen = self._finish_reason_seen or choice.get("finish_reason") is not None
            if text:
                self._request.append_chunk(text)

    def _fail(self, reason: str) -> None:
        self._abort()
        if not self.finished.called:
            self.finished.errback(EngineError(reason, code="bad_answer"))


def _only_choice(chunk: Any) -> Any:
    """Returns the single choice of a completion chunk. Raises ValueError or another error if the chunk is invalid."""
    if chunk.get("error"):
        raise ValueError(f"the engine reported an error: {str(chunk['error'])[:MAX_ERROR_LENGTH]}")
    choice = chunk["choices"][0]
    if not isinstance(choice["text"], str) or choice.get("index", 0) != 0:
        raise ValueError("expected a single choice with index 0 and a text")
    return choice
