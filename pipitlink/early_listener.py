"""A listening socket before the rest of the program is loaded, so that callers wait a moment instead of being reset."""

from __future__ import annotations

import socket

__all__ = ["listen_early"]

BACKLOG = 1024


def listen_early(host: str, port: int) -> socket.socket:
    """Returns a socket that listens on host:port; its connections are accepted once the program runs.

    Raises OSError where the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind((host, port))
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket
