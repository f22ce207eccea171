"""Stores the addresses of live peers on disk, so that a restarting node does not depend on its seeds."""

from __future__ import annotations

import json
from pathlib import Path

from ..context import Context
from ..disk import replace_file
from ..timers import ZERO
from ..wire.membership_pb2 import Member
from .member_status import MemberStatus
from .member_table import MemberTable

__all__ = ["PeerStore"]

FILE_NAME = "colleagues.json"
MAX_ADDRESSES_READ = 64


class PeerStore:
    """The file of peer addresses in a node's data folder; does nothing on a node without one.

    All changes within one turn of the event loop result in a single write. A network partition changes the status of
    every member, and each write waits for the disk twice, so writes run in a thread, one at a time, and only if the
    addresses differ from those last written.
    """

    def __init__(self, ctx: Context, table: MemberTable) -> None:
        self._ctx = ctx
        self._table = table
        self.path: Path | None = None
        self._written: list[tuple[str, int]] | None = None
        self._has_changes = False
        self._is_write_scheduled = False

    def open_in(self, folder: Path) -> None:
        """Sets the folder of the file."""
        self.path = folder / FILE_NAME

    def read(self) -> list[tuple[str, int]]:
        """Returns the stored addresses as (host, port), or none if the file is missing or unreadable."""
        if self.path is None or not self.path.exists():
            return []
        try:
            addresses = [(str(host), int(port)) for host, port in json.loads(self.path.read_text())]
        except (ValueError, TypeError, OSError) as error:
            self._ctx.logger.failure("peers_file_unreadable", error)
            return []
        return addresses[:MAX_ADDRESSES_READ]

    def peer_changed(self, _member: Member) -> None:
        """Schedules a write of the file for the next turn of the event loop."""
        if self.path is None:
            return
        self._has_changes = True
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._ctx.timers.call_later(ZERO, self._start_write, self.path)

    def _start_write(self, path: Path) -> None:
        self._ctx.run_in_background(self._write(path), "save_peers")

    async def _write(self, path: Path) -> None:
        try:
            while self._has_changes:
                self._has_changes = False
                addresses = self._live_addresses()
                if addresses != self._written:
                    await self._ctx.run_in_thread(replace_file, path, json.dumps(addresses).encode())
                    self._written = addresses
        except OSError as error:
            self._ctx.logger.failure("peers_not_saved", error)
        finally:
            self._is_write_scheduled = False

    def _live_addresses(self) -> list[tuple[str, int]]:
        return sorted({peer.address for peer in self._table.peers.values() if peer.state == MemberStatus.ALIVE})
