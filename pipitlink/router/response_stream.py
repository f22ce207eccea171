"""Forwards the body of an engine's response to the sink of its call."""

from __future__ import annotations

from http import HTTPStatus

from twisted.internet import defer, protocol
from twisted.python.failure import Failure

from ..errors import EngineError
from ..state_machines.request_state import RequestState
from .call import Call, CallPhase
from .engine_connection import EngineConnection, Response, ResponseDone
from .engine_registry import EngineSlot
from .server_sent_events import EventStream

__all__ = ["DiscardedBody", "ResponseStream"]


class ResponseStream(protocol.Protocol):
    """Forwards the body of a response to the sink of its call as it arrives; for a resumable stream, only whole events.

    `finished` fires with None once the body is complete, or with the error that ended it.
    """

    def __init__(self, call: Call, connection: EngineConnection, response: Response, slot: EngineSlot) -> None:
        self._call = call
        self._connection = connection
        self._response = response
        self._slot = slot
        self._has_failed = False
        has_events = call.is_resumable and response.code == HTTPStatus.OK
        self._events = EventStream(call.last_event) if has_events else None
        self.finished: defer.Deferred[None] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - twisted's interface
        """Receives the next bytes of the body."""
        if self.finished.called or self._has_failed:
            return
        try:
            self._slot.prefill_done()
            if self._events is None:
                self._forward(data)
            else:
                self._forward_events(self._events, data)
        except Exception as error:
            self._fail(error)

    def _forward_events(self, events: EventStream, data: bytes) -> None:
        for event in events.feed(data):
            self._forward(event)
            self._call.last_event = events.last_id

    def _forward(self, data: bytes) -> None:
        self._forward_head()
        if self._call.state != RequestState.RESPONDING:
            self._call.trigger("receive")
        self._call.sink.data(data)

    def _forward_head(self) -> None:
        if not self._call.head_forwarded:
            self._call.end_phase(CallPhase.FIRST_BYTE)
            self._call.head_forwarded = True
            if not self._call.is_resumable:
                self._call.discard_body()
            self._call.sink.head(self._response)

    def _fail(self, error: Exception) -> None:
        self._has_failed = True
        self._connection.discard()
        self.finished.errback(error)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - twisted's interface
        """Handles the end of the body, which is only complete if `reason` is ResponseDone."""
        if self.finished.called or self._has_failed:
            return
        if not reason.check(ResponseDone):
            self.finished.errback(EngineError("the engine's response was truncated", code="cut_short"))
        elif self._events is not None and not self._events.is_complete:
            self.finished.errback(EngineError("the engine's response ended inside an event", code="cut_short"))
        else:
            self._forward_head()
            self.finished.callback(None)


class DiscardedBody(protocol.Protocol):
    """Discards a body; `finished` fires at its end, unless it was fired before."""

    def __init__(self) -> None:
        self.finished: defer.Deferred[None] = defer.Deferred()

    def connectionLost(self, _reason: Failure = protocol.connectionDone) -> None:  # noqa: N802 - twisted's interface
        """Handles the end of the body."""
        if not self.finished.called:
            self.finished.callback(None)
