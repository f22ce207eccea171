"""A listening socket before the rest of the program is loaded, so that callers wait a moment instead of being reset."""

import socket

__all__ = ["listen_early"]

BACKLOG = 1024


def listen_early(host: str, port: int) -> socket.socket:
    """Binds host:port and listens; whoever connects is taken up once the program runs. Raises OSError."""
    s = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((host, port))
    s.listen(BACKLOG)
    s.setblocking(False)
    return s
