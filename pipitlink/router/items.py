from collections.abc import Callable
from datetime import timedelta

import attrs

from ..beats import ZERO
from ..wire.setup_pb2 import Route

__all__ = ["ItemCall", "ItemAnswer"]


@attrs.define(eq=False)
class ItemCall:
    """One item of a batch as it is tried at engines; a later try goes on after the last whole event."""

    id: str
    route: Route
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int
    still: Callable[[], None]
    texts: list[bytes] = attrs.field(factory=list)
    last_event: int = 0
    engine: object = None


@attrs.define
class ItemAnswer:
    """What became of one try: the engine's own status, or 0 where there was none."""

    status: int = 0
    complete: bool = False
    not_run: bool = False
    wait: timedelta = ZERO
