"""Fault plugin for real processes; it reads the active faults from a file.

The file holds `{"cuts": [[FROM, TO], ...], "delays": {ADDRESS: seconds}, "full": [ADDRESS]}`, where an address is the
IP:PORT of a node. Calls over a cut link are dropped without an error, and a full disk refuses appends. The synced
length of each file is reported beside the data folder, so that the test harness can simulate a power loss.
"""

import json
import os

from twisted.internet import defer

from pipitlink.fault_injection import hookimpl
from pipitlink.timers import secs

from .disks import ReportingDisk

__all__ = ["make_fault_plugin"]


class _FaultPlugin:
    def __init__(self, path, ctx):
        self._path, self._ctx = path, ctx
        self._read_at = None
        self._faults: dict = {}

    def _read_faults(self) -> dict:
        try:
            at = os.stat(self._path).st_mtime_ns
            if at != self._read_at:
                with open(self._path) as f:
                    self._faults = json.load(f)
                self._read_at = at
        except (OSError, ValueError):
            pass
        return self._faults

    def _local_address(self) -> str:
        return "{}:{}".format(*self._ctx.rpc.address)

    def is_full(self) -> bool:
        return self._local_address() in self._read_faults().get("full", ())

    @hookimpl
    def outbound(self, address, method):
        instructions = self._read_faults()
        mine, theirs = self._local_address(), "{}:{}".format(*address)
        if [mine, theirs] in instructions.get("cuts", ()):
            return defer.Deferred()
        delay = instructions.get("delays", {}).get(theirs) or instructions.get("delays", {}).get(mine)
        return self._ctx.timers.sleep(secs(delay)) if delay else None

    @hookimpl
    def disk(self):
        return ReportingDisk(self, self._ctx.settings.data) if self._ctx.settings.data else None


def make_fault_plugin(args, ctx):
    return _FaultPlugin(args, ctx)
