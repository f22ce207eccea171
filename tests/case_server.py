"""A server on a real socket that answers each connection's first request with a given response."""

import contextlib
import socket
import threading

from testbed.standins.response_cases import pieces_of

__all__ = ["CaseServer"]


class CaseServer:
    """Sends `response`, whole or with `in_pieces` in many writes, and closes the connection."""

    def __init__(self):
        self.response = b""
        self.in_pieces = False
        self.requests: list[bytes] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._answer(connection)

    def _answer(self, connection):
        self.requests.append(self._read_request(connection))
        response = self.response
        for piece in pieces_of(response) if self.in_pieces else [response]:
            connection.sendall(piece)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass

    def _read_request(self, connection) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            received = connection.recv(65_536)
            if not received:
                return data
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        lengths = [line.split(b":")[1] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
        left = int(lengths[0]) - len(body) if lengths else 0
        while left > 0:
            received = connection.recv(65_536)
            data += received
            left -= len(received) or left
        return data
