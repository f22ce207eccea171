"""Fault injection into RPC messages and file operations, for tests only; off unless `plug` names a plug-in."""

from __future__ import annotations

import importlib
from collections.abc import Awaitable
from typing import TYPE_CHECKING, Any

import pluggy

if TYPE_CHECKING:
    from .context import Context
    from .disk import Disk

__all__ = ["FaultInjector", "hookimpl"]

PLUGGY_PROJECT = "pipitlink"

hookspec = pluggy.HookspecMarker(PLUGGY_PROJECT)
hookimpl = pluggy.HookimplMarker(PLUGGY_PROJECT)


class _FaultHooks:
    """The hooks that a plug-in may implement."""

    @hookspec(firstresult=True)
    def outbound(self, address: tuple[str, int], method: str) -> Awaitable[None] | None:
        """Called before a message is sent: returns None to send it now, or an awaitable to wait for first."""

    @hookspec(firstresult=True)
    def disk(self) -> Disk | None:
        """Returns the file operations used for logs, votes and snapshots, or None for the default ones."""


class FaultInjector:
    """Calls the hooks of the plug-in that is given as MODULE:ARGUMENT.

    The module defines `make_fault_plugin(argument, context)`, which returns the object that implements the hooks.
    """

    def __init__(self, plugin: str, ctx: Context) -> None:
        self._manager = pluggy.PluginManager(PLUGGY_PROJECT)
        self._manager.add_hookspecs(_FaultHooks)
        module_name, _, argument = plugin.partition(":")
        module: Any = importlib.import_module(module_name)
        self._manager.register(module.make_fault_plugin(argument, ctx))

    async def outbound(self, address: tuple[str, int], method: str) -> None:
        """Returns once a message to `address` may be sent."""
        delay = self._manager.hook.outbound(address=address, method=method)
        if delay is not None:
            await delay

    def disk(self) -> Disk | None:
        """Returns the plug-in's file operations, or None for the default ones."""
        disk: Disk | None = self._manager.hook.disk()
        return disk
