"""Paths and JSON shapes of batches."""

import base64
import binascii
import json
import re
from datetime import timedelta

from ..errors import BadRequest
from ..wire.lots_pb2 import Batch, BatchItem, Header

__all__ = ["BatchFormat"]

MAX_ITEMS = 200
MAX_ANSWER = 1_000_000
MOST_WAIT_MS = 60_000
MAX_TOKENS = 2**53
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}\Z")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]{0,16384}\Z")
_PATH = re.compile(r"/[\x21-\x7e]{0,8191}\Z")
_ITEM_ID = re.compile(r"[\x21-\x7e]{1,128}\Z")


def _wrong(field: str, text: str) -> BadRequest:
    return BadRequest(f"{field}: {text}", code="bad_field", field=field)


class BatchFormat:
    """Paths and JSON shapes of batches.

    Mixin of Dialect: needs and owns nothing. A platform overrides the class attributes, and `parse_batch_request` for its paths.
    """

    poll_wait = b"x-poll-wait-ms"
    batch_start = "from"
    batch_items = "items"
    item_tokens = "tokens"
    batch_total = "total"
    batch_next = "next"
    output_text = "text"
    output_states = {"done": "done", "abandoned": "abandoned"}

    def parse_batch_request(self, method: bytes, path: str, query: dict[str, str], headers):
        """Which call on a batch this is and what it asks for; None where it is none."""
        parts = path.split("/")
        if parts[:3] != ["", "v1", "batches"] or len(parts) < 4 or not parts[3]:
            return None
        rest = parts[4:]
        if method == b"GET" and rest == ["outputs"]:
            return self._read_call(parts[3], query, headers)
        if method == b"GET" and len(rest) == 2 and rest[0] == "items":
            return "read_item", {"lot_id": parts[3], "item_id": rest[1]}
        if method == b"DELETE" and not rest:
            return "end_batch", {"lot_id": parts[3]}
        return None

    def _read_call(self, lot_id: str, query: dict[str, str], headers):
        start = self._number(self.batch_start, query.get(self.batch_start, "0"))
        wait = self._number("wait", headers(self.poll_wait.decode()) or "0")
        return "read_batch", {"lot_id": lot_id, "start": start, "wait": timedelta(milliseconds=min(wait, MOST_WAIT_MS))}

    def _number(self, field: str, text: str) -> int:
        text = text.strip()
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise _wrong(field, "must be a whole number, 0 or above")
        return int(text)

    def parse_batch(self, raw: bytes) -> Batch:
        """The items of a batch that is handed in; an error where anything in it is not as it must be."""
        try:
            doc = json.loads(raw)
        except (ValueError, RecursionError):
            raise BadRequest("the body must be JSON", code="bad_json") from None
        items = doc.get(self.batch_items) if isinstance(doc, dict) else None
        if not isinstance(items, list) or not 0 < len(items) <= MAX_ITEMS:
            raise _wrong(self.batch_items, f"must be a list of 1 to {MAX_ITEMS}")
        out = Batch(items=[self._read_lot_item(i, f"{self.batch_items}.{n}") for n, i in enumerate(items)])
        if len({i.id for i in out.items}) < len(items):
            raise _wrong(self.batch_items, "no two may have the same id")
        return out

    def _read_lot_item(self, item, at: str) -> BatchItem:
        if not isinstance(item, dict):
            raise _wrong(at, "must be an object")

        def text(field, shape):
            value = item.get(field)
            if not isinstance(value, str) or not shape.match(value):
                raise _wrong(f"{at}.{field}", "is missing or not as it must be")
            return value

        headers = item.get("headers", {})
        if not isinstance(headers, dict) or not all(
            _NAME.match(k) and isinstance(v, str) and _VALUE.match(v) for k, v in headers.items()
        ):
            raise _wrong(f"{at}.headers", "must be names and values")
        tokens = item.get(self.item_tokens)
        if type(tokens) is not int or not 0 <= tokens < MAX_TOKENS:
            raise _wrong(f"{at}.{self.item_tokens}", "must be a whole number, 0 or above")
        body = item.get("body", "")
        try:
            body = base64.b64decode(body, validate=True)
        except (binascii.Error, ValueError, TypeError):
            raise _wrong(f"{at}.body", "must be base64") from None
        return BatchItem(
            id=text("id", _ITEM_ID),
            path=text("path", _PATH),
            body=body,
            tokens=tokens,
            headers=[Header(name=k, value=v) for k, v in headers.items()],
        )

    def format_accepted(self, lot_id: str, items: int) -> bytes:
        return json.dumps({"id": lot_id, self.batch_total: items}).encode()

    def format_cancelled(self, lot_id: str) -> bytes:
        return json.dumps({"id": lot_id, "state": "ended"}).encode()

    def format_outputs(self, batch: Batch, outputs, start: int) -> bytes:
        """Outputs from a position on: at least one if there is one, and no more than an answer may hold."""
        shown, size = [], 200
        for x in outputs[start:]:
            text = json.dumps(
                {
                    "id": batch.items[x.item].id,
                    "state": self.output_states[x.state],
                    self.output_text: x.text.decode("utf-8", "replace"),
                },
                ensure_ascii=False,
            ).encode()
            size += len(text) + 1
            if shown and size > MAX_ANSWER:
                break
            shown.append(text)
        return b'{"%b":%d,"%b":%d,"outputs":[%b]}' % (
            self.batch_total.encode(),
            len(batch.items),
            self.batch_next.encode(),
            start + len(shown),
            b",".join(shown),
        )

    def format_error(self, e) -> bytes:
        return json.dumps(
            {"error": {"code": e.code, "message": str(e), "field": e.field, "outcome": e.outcome}}
        ).encode()
