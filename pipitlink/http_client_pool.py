"""A pool for Twisted's Agent whose connections check each response before it is parsed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.web.client import HTTPConnectionPool

from .http_client import HttpClientConnection

__all__ = ["HttpClientPool"]


class _ConnectionFactory(Factory):
    """Creates the connections of a pool; `on_idle` is called with each connection that has become idle."""

    noisy = False

    def __init__(self, on_idle: Callable[[HttpClientConnection], None], _description: str) -> None:
        self._on_idle = on_idle

    def buildProtocol(self, addr: IAddress | None) -> HttpClientConnection:  # noqa: ARG002, N802 - twisted's interface
        """Returns the protocol for a new connection."""
        return HttpClientConnection(self._on_idle)


class HttpClientPool(HTTPConnectionPool):
    """Connections of an Agent, to whose users a malformed response is a lost connection.

    Those that are `persistent` are used for further requests.
    """

    _factory = _ConnectionFactory  # type: ignore[assignment]  # Twisted declares its own private factory

    def __init__(self, reactor: Any, persistent: bool = True) -> None:
        super().__init__(reactor, persistent)
