"""Connections to engines that check, just before a request is written, that it may still be sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IProtocolFactory

from ..errors import MalformedResponse
from ..http_client import HttpClientConnection
from ..http_client_pool import HttpClientPool
from ..keepalive import enable_keepalive
from ..timers import secs

__all__ = ["CheckedConnectionPool", "CheckedEndpoint"]

CONNECT_TIMEOUT = secs(1)


class CheckedEndpoint:
    """The endpoint of one request, the check that the request may still be sent to it, and the connection it uses.

    It is its own endpoint factory, for an Agent that sends only this request. `on_malformed` is called if the response
    is malformed.
    """

    def __init__(
        self,
        reactor: Any,
        check: Callable[[], None],
        on_malformed: Callable[[MalformedResponse], None] | None = None,
    ) -> None:
        self._reactor = reactor
        self._endpoint: TCP4ClientEndpoint | TCP6ClientEndpoint | None = None
        self.check = check
        self.on_malformed = on_malformed
        self.connection: HttpClientConnection | None = None

    def endpointForURI(self, uri: Any) -> CheckedEndpoint:  # noqa: N802 - twisted's interface
        """Takes the address from a URI; returns itself."""
        endpoint_type = TCP6ClientEndpoint if b":" in uri.host else TCP4ClientEndpoint
        self._endpoint = endpoint_type(self._reactor, uri.host.decode(), uri.port, CONNECT_TIMEOUT.total_seconds())
        return self

    def connect(self, factory: IProtocolFactory) -> defer.Deferred[Any]:
        """Opens the connection."""
        assert self._endpoint is not None
        return self._endpoint.connect(factory)

    def abort(self) -> None:
        """Aborts the connection, which the transport that is passed to a body's reader cannot do."""
        assert self.connection is not None
        self.connection.transport.abortConnection()


class CheckedConnectionPool(HttpClientPool):
    """Opens connections, and checks that a request may still be sent in the same step that writes its first byte.

    Each request has its own connection: engine responses carry no ids, so on a shared connection a late or duplicate
    response could not be distinguished from the next one.
    """

    retryAutomatically = False  # noqa: N815 - twisted's interface

    def getConnection(  # noqa: N802 - twisted's interface
        self, key: Any, endpoint: CheckedEndpoint
    ) -> defer.Deferred[Any]:
        """Opens a connection; the Deferred fires with it if the check of the endpoint passes."""
        twisted_endpoint: Any = endpoint
        opening: defer.Deferred[Any] = super().getConnection(key, twisted_endpoint)
        return opening.addCallback(self._check, endpoint)

    def _check(self, connection: HttpClientConnection, endpoint: CheckedEndpoint) -> HttpClientConnection:
        try:
            endpoint.check()
        except Exception:
            connection.transport.abortConnection()
            raise
        enable_keepalive(connection.transport)
        connection.on_malformed = endpoint.on_malformed
        endpoint.connection = connection
        return connection
