"""Imports the node class of one role only, since most of the CPU time of a start is spent on imports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

if TYPE_CHECKING:
    from .context import Context
    from .disk import Disk
    from .node_interfaces import ClientFacingNode, Node

__all__ = ["GatewayFactory", "StatefulNodeFactory", "load_gateway_factory", "load_stateful_node_factory"]


class GatewayFactory(Protocol):
    """Creates a gateway's node."""

    def __call__(self, ctx: Context, /) -> ClientFacingNode:
        """Returns a node that is not open yet."""


class StatefulNodeFactory(Protocol):
    """Creates the node of a role that keeps its state on disk; `disk` replaces the default file operations if given."""

    def __call__(self, ctx: Context, disk: Disk | None, /) -> Node:
        """Returns a node that is not open yet."""


def load_gateway_factory(interface: str) -> GatewayFactory:
    """Returns the gateway class for an interface, `routes` or `models`."""
    if interface == "routes":
        from .router import RouterNode

        return cast(GatewayFactory, RouterNode)
    from .gateway import GatewayNode

    return cast(GatewayFactory, GatewayNode)


def load_stateful_node_factory(role: str) -> StatefulNodeFactory:
    """Returns the class of a controller or a storage node."""
    if role == "controller":
        from .controller import ControllerNode

        return ControllerNode
    from .storage import StorageNode

    return StorageNode
