"""Structured logging: one line of key=value pairs for each event."""

import sys
from datetime import UTC, datetime

from loguru import logger

__all__ = ["Journal", "open_journal"]


def _say(value) -> str:
    text = str(value)
    if text == "" or any(c in text for c in ' "=\n\t'):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", " ").replace("\t", " ") + '"'
    return text


class Journal:
    """One line of key=value pairs for each event."""

    def __init__(self, sink, **always):
        self._sink = sink
        self._always = always
        self._watchers: list = []

    def bind(self, **more) -> "Journal":
        return Journal(self._sink, **{**self._always, **more})

    def watch(self, do):
        self._watchers.append(do)

    def note(self, event: str, **pairs):
        self._write("INFO", event, pairs)
        for do in self._watchers:
            do(event, pairs)

    def warn(self, event: str, **pairs):
        self._write("WARNING", event, pairs)

    def trace(self, event: str, **pairs):
        self._write("DEBUG", event, pairs)

    def fault(self, event: str, fault: BaseException, **pairs):
        self._write("WARNING", event, {**pairs, "fault": type(fault).__name__, "text": fault})

    def _write(self, level, event, pairs):
        line = {"event": event, **self._always, **pairs}
        self._sink.log(level, "{}", " ".join(f"{k}={_say(v)}" for k, v in line.items()))


def _shape(record) -> str:
    at = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return f"at={at} level={record['level'].name.lower()} " + "{message}\n"


def open_journal(level: str, stream=None, **always) -> Journal:
    """Returns a journal on `stream`, stderr by default, with `always` added to each line.

    `level` is the lowest level that is written. Sinks that were opened before are removed.
    """
    logger.remove()
    logger.add(stream or sys.stderr, level=level.upper(), format=_shape, backtrace=False)
    return Journal(logger, **always)
