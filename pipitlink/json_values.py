"""The number of values in a JSON document, from its bytes, before it is parsed."""

from __future__ import annotations

import re

__all__ = ["JSON_VALUE_BYTES", "value_count"]

JSON_VALUE_BYTES = 128
"""What a parsed value takes beside its text."""

_SEPARATORS = (b",", b"[", b"{")
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)


def _separator_count(document: bytes) -> int:
    return sum(document.count(separator) for separator in _SEPARATORS)


def value_count(document: bytes, enough: int) -> int:
    """Returns an upper bound of the number of values in a document.

    If the bound is above `enough`, it does not count separators inside strings.
    """
    count = 1 + _separator_count(document)
    if count <= enough:
        return count
    return 1 + _separator_count(_STRING.sub(b"", document))
