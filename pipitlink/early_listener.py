"""Opens a listening socket before the program is loaded, so that early connections wait instead of being refused."""

from __future__ import annotations

import socket

__all__ = ["listen_early"]

BACKLOG = 1024


def listen_early(host: str, port: int) -> socket.socket:
    """Returns a socket that listens on host:port; connections queue until the program accepts them.

    Raises OSError if the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind((host, port))
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket
