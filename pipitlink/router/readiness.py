"""The HTTP resource by which load balancers check whether a gateway accepts requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.web import resource
from twisted.web.server import Request

from ..json_api import send_json

__all__ = ["ReadinessResource"]


class ReadinessResource(resource.Resource):
    """Reports at every path whether the gateway accepts requests, and the details that `readiness` returns."""

    isLeaf = True  # noqa: N815 - twisted's interface

    def __init__(self, readiness: Callable[[], tuple[bool, dict[str, Any]]]) -> None:
        super().__init__()
        self._readiness = readiness

    def render(self, request: Request) -> Any:
        """Responds with 200 if the gateway is ready, and with 503 otherwise."""
        is_ready, details = self._readiness()
        return send_json(request, {"ready": is_ready, **details}, 200 if is_ready else 503)
