"""HTTP paths and JSON formats of batches."""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

import attrs

from ..errors import ApiError, BadRequest
from ..wire.lots_pb2 import Batch, BatchItem, Header, Output

__all__ = ["BatchFormat", "BatchRequest", "CancelBatch", "ReadItem", "ReadOutputs"]

MAX_ITEMS = 200
MAX_RESPONSE_BYTES = 1_000_000
RESPONSE_ENVELOPE_BYTES = 200
"""The maximum size of a page of outputs without the outputs themselves."""

MAX_WAIT_MS = 60_000
# Each value of a document takes far more memory than its text.
MAX_JSON_VALUES = 200_000
JSON_SEPARATORS = (b",", b"[", b"{")
MAX_TOKENS = 2**53
MAX_DIGITS = 15
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}\Z")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]{0,16384}\Z")
_PATH = re.compile(r"/[\x21-\x7e]{0,8191}\Z")
_ITEM_ID = re.compile(r"[\x21-\x7e]{1,128}\Z")

GetHeader = Callable[[str], str | None]
"""Returns the value of a request header by its name, or None where it is missing."""


@attrs.frozen
class ReadOutputs:
    """A request for a batch's outputs from position `start` on, as a long poll of up to `wait`."""

    batch_id: str
    start: int
    wait: timedelta


@attrs.frozen
class ReadItem:
    """A request for the body of one item of a batch."""

    batch_id: str
    item_id: str


@attrs.frozen
class CancelBatch:
    """A request to cancel a batch."""

    batch_id: str


BatchRequest = ReadOutputs | ReadItem | CancelBatch


def _bad_field(field: str, text: str) -> BadRequest:
    return BadRequest(f"{field}: {text}", code="bad_field", field=field)


def _parse_count(field: str, text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise _bad_field(field, "must be a whole number, 0 or above")
    return int(text)


def _parse_headers(raw: Any, location: str) -> list[Header]:
    if not isinstance(raw, dict) or not all(_is_header(name, value) for name, value in raw.items()):
        raise _bad_field(f"{location}.headers", "must be an object of valid header names and values")
    return [Header(name=name, value=value) for name, value in raw.items()]


def _is_header(name: str, value: Any) -> bool:
    return bool(_HEADER_NAME.match(name) and isinstance(value, str) and _HEADER_VALUE.match(value))


def _parse_text(item: Mapping[str, Any], field: str, pattern: re.Pattern[str], location: str) -> str:
    value = item.get(field)
    if not isinstance(value, str) or not pattern.match(value):
        raise _bad_field(f"{location}.{field}", "is missing or malformed")
    return value


def _parse_body(raw: Any, location: str) -> bytes:
    try:
        return base64.b64decode(raw, validate=True)
    except (binascii.Error, ValueError, TypeError):
        raise _bad_field(f"{location}.body", "must be base64") from None


class BatchFormat:
    """HTTP paths and JSON formats of batches.

    A platform overrides the class attributes, which are header names, JSON keys and states, and `parse_batch_request`
    for its paths.
    """

    poll_wait = b"x-poll-wait-ms"
    batch_start = "from"
    batch_items = "items"
    item_tokens = "tokens"
    batch_total = "total"
    batch_next = "next"
    output_text = "text"
    output_states = {"done": "done", "abandoned": "abandoned"}

    def parse_batch_request(
        self, method: bytes, path: str, query: Mapping[str, str], get_header: GetHeader
    ) -> BatchRequest | None:
        """Parses a request to read a batch's outputs, to read one of its items or to cancel it.

        Returns None for any other HTTP request. Raises BadRequest if a parameter is malformed.
        """
        parts = path.split("/")
        if parts[:3] != ["", "v1", "batches"] or len(parts) < 4 or not parts[3]:
            return None
        batch_id, rest = parts[3], parts[4:]
        if method == b"GET" and rest == ["outputs"]:
            return self._parse_read(batch_id, query, get_header)
        if method == b"GET" and len(rest) == 2 and rest[0] == "items":
            return ReadItem(batch_id, rest[1])
        if method == b"DELETE" and not rest:
            return CancelBatch(batch_id)
        return None

    def _parse_read(self, batch_id: str, query: Mapping[str, str], get_header: GetHeader) -> ReadOutputs:
        start = _parse_count(self.batch_start, query.get(self.batch_start, "0"))
        wait_ms = _parse_count("wait", get_header(self.poll_wait.decode()) or "0")
        return ReadOutputs(batch_id, start, timedelta(milliseconds=min(wait_ms, MAX_WAIT_MS)))

    def parse_batch(self, raw: bytes) -> Batch:
        """Returns a batch with the submitted items. Raises BadRequest where the body is malformed."""
        if sum(map(raw.count, JSON_SEPARATORS)) > MAX_JSON_VALUES:
            raise BadRequest("the body has too many values", code="bad_json")
        try:
            document = json.loads(raw)
        except (ValueError, RecursionError):
            raise BadRequest("the body must be JSON", code="bad_json") from None
        items = document.get(self.batch_items) if isinstance(document, dict) else None
        if not isinstance(items, list) or not 0 < len(items) <= MAX_ITEMS:
            raise _bad_field(self.batch_items, f"must be a list of 1 to {MAX_ITEMS} objects")
        batch = Batch(items=[self._parse_item(item, f"{self.batch_items}.{n}") for n, item in enumerate(items)])
        if len({item.id for item in batch.items}) < len(items):
            raise _bad_field(self.batch_items, "must not contain an id twice")
        return batch

    def _parse_item(self, item: Any, location: str) -> BatchItem:
        if not isinstance(item, dict):
            raise _bad_field(location, "must be an object")
        headers = _parse_headers(item.get("headers", {}), location)
        tokens = item.get(self.item_tokens)
        if type(tokens) is not int or not 0 <= tokens < MAX_TOKENS:
            raise _bad_field(f"{location}.{self.item_tokens}", "must be a whole number, 0 or above")
        body = _parse_body(item.get("body", ""), location)
        return BatchItem(
            id=_parse_text(item, "id", _ITEM_ID, location),
            path=_parse_text(item, "path", _PATH, location),
            body=body,
            tokens=tokens,
            headers=headers,
        )

    def format_accepted(self, batch_id: str, items: int) -> bytes:
        """Returns the body of the response to an accepted batch, which has its number of items."""
        return json.dumps({"id": batch_id, self.batch_total: items}).encode()

    def format_cancelled(self, batch_id: str) -> bytes:
        """Returns the body of the response to a cancelled batch."""
        return json.dumps({"id": batch_id, "state": "ended"}).encode()

    def format_outputs(self, batch: Batch, outputs: Sequence[Output], start: int) -> bytes:
        """Returns a page of outputs from a position on, as many as fit into a response, but at least one if any."""
        page: list[bytes] = []
        size = RESPONSE_ENVELOPE_BYTES
        for output in outputs[start:]:
            text = self._format_output(batch, output)
            size += len(text) + 1
            if page and size > MAX_RESPONSE_BYTES:
                break
            page.append(text)
        return b'{"%b":%d,"%b":%d,"outputs":[%b]}' % (
            self.batch_total.encode(),
            len(batch.items),
            self.batch_next.encode(),
            start + len(page),
            b",".join(page),
        )

    def _format_output(self, batch: Batch, output: Output) -> bytes:
        document = {
            "id": batch.items[output.item].id,
            "state": self.output_states[output.state],
            self.output_text: output.text.decode("utf-8", "replace"),
        }
        return json.dumps(document, ensure_ascii=False).encode()

    def format_error(self, error: ApiError) -> bytes:
        """Returns the body of the response to a batch request that failed."""
        document = {"code": error.code, "message": str(error), "field": error.field, "outcome": error.outcome}
        return json.dumps({"error": document}).encode()
