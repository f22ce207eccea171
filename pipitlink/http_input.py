"""The bytes that a client has sent and that its server has not parsed yet, and the control of reading."""

from __future__ import annotations

from typing import Any

__all__ = ["HEAD_END", "ReadControl", "RequestInput"]

HEAD_END = b"\r\n\r\n"
EMPTY_LINE = b"\r\n"


class RequestInput:
    """A queue of bytes, from which a parser takes whole heads and parts of bodies."""

    def __init__(self) -> None:
        self._bytes = bytearray()
        self._scanned = 0

    def __len__(self) -> int:
        return len(self._bytes)

    def append(self, data: bytes) -> None:
        """Adds bytes at the end."""
        self._bytes += data

    def prepend(self, data: bytes) -> None:
        """Adds bytes at the start."""
        if data:
            self._bytes[:0] = data
            self._scanned = 0

    def clear(self) -> None:
        """Drops all bytes."""
        self._bytes = bytearray()
        self._scanned = 0

    def take(self, size: int) -> bytes:
        """Removes and returns at most `size` bytes from the start."""
        data = bytes(self._bytes[:size])
        del self._bytes[:size]
        self._scanned = 0
        return data

    def head_size(self) -> int | None:
        """Returns the size of the head at the start, or None if it is not complete.

        An empty line in front of a head, which some clients send after a body, counts as a head of its own.
        """
        if self._bytes.startswith(EMPTY_LINE):
            return len(EMPTY_LINE)
        end = self._bytes.find(HEAD_END, self._scanned)
        if end < 0:
            self._scanned = max(0, len(self._bytes) - len(HEAD_END) + 1)
            return None
        return end + len(HEAD_END)

    def line_count(self, size: int) -> int:
        """Returns the number of lines in the first `size` bytes."""
        return self._bytes.count(b"\n", 0, size)


class ReadControl:
    """Pauses reading from a transport for either of two reasons: Twisted's channel, or a queue of input that is full.

    Takes the place of the transport as the channel's producer.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_paused_by_channel = False
        self._is_queue_full = False
        self._is_paused = False

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Pauses reading for the channel."""
        self._is_paused_by_channel = True
        self._apply()

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Ends the channel's pause."""
        self._is_paused_by_channel = False
        self._apply()

    def set_queue_full(self, is_full: bool) -> None:
        """Pauses reading while the queue is full."""
        self._is_queue_full = is_full
        self._apply()

    def _apply(self) -> None:
        is_paused = self._is_paused_by_channel or self._is_queue_full
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pauseProducing()
        else:
            self._transport.resumeProducing()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802 - Twisted's interface
        """Registers the producer of what is written."""
        self._transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802 - Twisted's interface
        """Removes the producer of what is written."""
        self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's interface
        """Closes the connection."""
        self._transport.stopProducing()
