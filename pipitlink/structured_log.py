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
    """Takes finished lines; loguru's logger is one."""

    def log(self, level: str, message: str, /, *args: Any, **kwargs: Any) -> None:
        """Writes one line at a level (`DEBUG`, `INFO` or `WARNING`), made from a format string and its arguments."""


def _quoted(value: object) -> str:
    text = str(value)
    if text == "" or any(character in text for character in ' "=\n\t'):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", " ").replace("\t", " ") + '"'
    return text


class StructuredLogger:
    """Writes one line of key=value pairs for each event.

    `context` is added to each line. Events at level info are also passed to the observers.
    """

    def __init__(self, sink: LogSink, **context: Any) -> None:
        self._sink = sink
        self._context = context
        self._observers: list[EventObserver] = []

    def bind(self, **context: Any) -> StructuredLogger:
        """Returns a logger on the same sink, without observers, that adds `context` to each line as well."""
        return StructuredLogger(self._sink, **{**self._context, **context})

    def add_observer(self, observer: EventObserver) -> None:
        """Has `observer` called with name and fields of each event at level info from now on."""
        self._observers.append(observer)

    def info(self, event: str, **fields: Any) -> None:
        """Logs a change of state that an operator may want to follow."""
        self._write("INFO", event, fields)
        for observer in self._observers:
            observer(event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs what an operator should look at."""
        self._write("WARNING", event, fields)

    def debug(self, event: str, **fields: Any) -> None:
        """Logs what happens often in a healthy cluster."""
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

    `level` is the lowest level that is written. Sinks that were opened before are removed.
    """
    logger.remove()
    logger.add(stream or sys.stderr, level=level.upper(), format=_format_record, backtrace=False)
    return StructuredLogger(logger, **context)
