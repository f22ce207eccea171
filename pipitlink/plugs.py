"""A place for test-only plugs in the transport. Nothing is plugged in unless a setting names it."""

import importlib

import pluggy

__all__ = ["Gate", "hookimpl"]

hookspec = pluggy.HookspecMarker("pipitlink")
hookimpl = pluggy.HookimplMarker("pipitlink")


class _Spec:
    @hookspec(firstresult=True)
    def outbound(self, place, method):
        """Before a call leaves: None lets it go, a Deferred holds it up."""

    @hookspec(firstresult=True)
    def disk(self):
        """The file calls under logs, ballots and snapshots; None for the plain ones."""


class Gate:
    """Calls the hooks of the plug-in that the settings name, given as MODULE:WORDS."""

    def __init__(self, plug: str, ctx):
        self._hooks = pluggy.PluginManager("pipitlink")
        self._hooks.add_hookspecs(_Spec)
        module, _, words = plug.partition(":")
        self._hooks.register(importlib.import_module(module).make_fault_plugin(words, ctx))

    async def outbound(self, place, method):
        held = self._hooks.hook.outbound(place=place, method=method)
        if held is not None:
            await held

    def disk(self):
        return self._hooks.hook.disk()
