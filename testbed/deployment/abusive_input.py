"""Bytes that cost a server far more than they are: documents of many values, and the first frame of unknown nodes."""

from __future__ import annotations

from pipitlink.wire.connection import PROTOCOL_VERSION
from pipitlink.wire.frame_pb2 import Hello

__all__ = ["document_of_many_values", "framed", "hello_frame"]

CLUSTER_NAME = "pipit"
"""The default of the setting of that name."""


def document_of_many_values(size: int) -> bytes:
    """Returns a JSON object of about `size` bytes that consists of empty lists."""
    return b'{"routes":[' + b"[]," * (size // 3 - 10) + b"[]]}"


def framed(data: bytes, length: int | None = None) -> bytes:
    """Returns a frame with its length in front, or with the length that is given instead."""
    return (len(data) if length is None else length).to_bytes(4) + data


def hello_frame(node: str) -> bytes:
    """Returns the first frame of a node that nobody knows, which names the right cluster."""
    hello = Hello(fleet=CLUSTER_NAME, protocol_version=PROTOCOL_VERSION, node=node, incarnation=1)
    return framed(hello.SerializeToString())
