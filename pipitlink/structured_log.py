"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Protocol, TextIO

from loguru import logger

__all__ = ["LogSink", "StructuredLogger", "open_logger"]

EventObserver = Callable[[str, dict[str, Any]], None]


class LogSink(Protocol):
    """Receives formatted lines, as loguru's logger does."""

    def log(self, level: str, message: str, /, *args: Any, **kwargs: Any) -> None:
        """Writes one line at a level (`DEBUG`, `INFO` or `WARNING`), given as a format string and its arguments."""


def _quoted(value: object) -> str:
    text = str(value)
    if text == "" or any(character in text for character in ' "=\n\t'):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", " ").replace("\t", " ") + '"'
    return text


class StructuredLogger:
    """Writes one line of key=value pairs for each event.

    `context` is added to each line. Events that `info` logs are also passed to the observers.
    """

    def __init__(self, sink: LogSink, **context: Any) -> None:
        self._sink = sink
        self._context = context
        self._observers: list[EventObserver] = []

    def bind(self, **context: Any) -> StructuredLogger:
        """Returns a logger on the same sink that also adds `context` to each line. It has no observers."""
        return StructuredLogger(self._sink, **{**self._context, **context})

    def add_observer(self, observer: EventObserver) -> None:
        """Registers a function that is called with name and fields of each later event at level info."""
        self._observers.append(observer)

    def info(self, event: str, **fields: Any) -> None:
        """Logs a state change that operators may want to follow."""
        self._write("INFO", event, fields)
        for observer in self._observers:
            observer(event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a condition that an operator should look into."""
        self._write("WARNING", event, fields)

    def debug(self, event: str, **fields: Any) -> None:
        """Logs an event that is frequent in a healthy cluster."""
        self._write("DEBUG", event, fields)

    def failure(self, event: str, error: object, **fields: Any) -> None:
        """Logs an error that was caught, with its class and text, at level warning."""
        self._write("WARNING", event, {**fields, "error": type(error).__name__, "text": error})

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        pairs = {"event": event, **self._context, **fields}
        self._sink.log(level, "{}", " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items()))


def _format_record(record: Any) -> str:
    at = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return f"at={at} level={record['level'].name.lower()} " + "{message}\n"


def open_logger(level: str, stream: TextIO | None = None, **context: Any) -> StructuredLogger:
    """Returns a logger on `stream`, stderr by default, with `context` added to each line.

    `level` is the lowest level that is written. Replaces all sinks that were opened before.
    """
    logger.remove()
    logger.add(stream or sys.stderr, level=level.upper(), format=_format_record, backtrace=False)
    return StructuredLogger(logger, **context)
