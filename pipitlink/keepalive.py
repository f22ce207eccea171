"""TCP keepalive, which detects that the peer of a connection has closed it, or is gone, without its last packet."""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import Any

from twisted.internet.interfaces import ITCPTransport

from .timers import secs

__all__ = ["IDLE_TIME", "MAX_PROBES", "PROBE_INTERVAL", "enable_keepalive"]

IDLE_TIME: timedelta = secs(1)
"""How long a connection is idle before the first probe."""

PROBE_INTERVAL: timedelta = secs(1)

MAX_PROBES = 10
"""The number of unanswered probes after which the connection ends: more than a short network partition takes.

A peer that no longer has the connection answers the first probe that reaches it with a reset."""


def enable_keepalive(transport: Any) -> None:
    """Enables keepalive probes on a TCP connection; has no effect on other transports."""
    if not ITCPTransport.providedBy(transport):
        return
    transport.setTcpKeepAlive(True)
    connection = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, int(IDLE_TIME.total_seconds())),
        (socket.TCP_KEEPINTVL, int(PROBE_INTERVAL.total_seconds())),
        (socket.TCP_KEEPCNT, MAX_PROBES),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
