"""Loads the node class of one role and no other's, since a start's processor time is mostly the loading."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

if TYPE_CHECKING:
    from .context import Context
    from .disk import Disk
    from .node_interfaces import ClientFacingNode, Node

__all__ = ["GatewayFactory", "StatefulNodeFactory", "load_gateway_factory", "load_stateful_node_factory"]


class GatewayFactory(Protocol):
    """Makes a gateway's node."""

    def __call__(self, ctx: Context, /) -> ClientFacingNode:
        """Returns a node that is not open yet."""


class StatefulNodeFactory(Protocol):
    """Makes the node of a role that keeps its state on disk, with file operations of its own where `disk` is given."""

    def __call__(self, ctx: Context, disk: Disk | None, /) -> Node:
        """Returns a node that is not open yet."""


def load_gateway_factory(interface: str) -> GatewayFactory:
    """Returns the class of a gateway that serves by `routes` or by `models`."""
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
