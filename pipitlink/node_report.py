"""JSON documents for operators: a node's view of the cluster, its status and that of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .node_interfaces import ClusterStateEditor

if TYPE_CHECKING:
    from .cluster import ClusterState
    from .context import Context
    from .node_interfaces import Node

__all__ = ["cluster_state_of", "reported_state_of", "status_of"]

Document = dict[str, Any]


def cluster_state_of(ctx: Context, node: Node) -> ClusterState:
    """Returns the cluster state at this node: a controller's own state, or the copy that other roles follow."""
    if isinstance(node, ClusterStateEditor):
        return node.cluster_state
    cluster_state: ClusterState = ctx.cluster.cluster_state
    return cluster_state


def reported_state_of(ctx: Context, node: Node) -> Document:
    """Returns a node's state by topic. Each topic is a flat map that can be compared between nodes."""
    cluster_state = cluster_state_of(ctx, node)
    local_member = ctx.membership.local_member
    reported_state: Document = {
        "node": local_member.node,
        "role": local_member.role,
        "zone": local_member.zone,
        "cluster": _cluster_topic(cluster_state),
        "membership": {},
        "status": {},
        "storage_nodes": dict(cluster_state.storage_nodes),
        "placement_groups": {
            str(number): f"{group.sequence}:{','.join(group.storage_nodes)}:{group.joining}:{group.leaving}"
            for number, group in sorted(cluster_state.placement_groups.items())
        },
    }
    for member in [*ctx.membership.all_members()]:
        address = f"{member.host}:{member.port}"
        reported_state["membership"][member.node] = f"{member.role} {member.zone} {address} {member.incarnation}"
        reported_state["status"][member.node] = ctx.membership.status(member.node)
    reported_state.update(node.reported_state())
    return reported_state


def _cluster_topic(cluster_state: ClusterState) -> Document:
    return {
        "sequence": cluster_state.sequence,
        "table": cluster_state.table_sequence,
        "voters": ",".join(cluster_state.voters),
        "empty_zones": ",".join(sorted(cluster_state.empty_zones)),
    }


def status_of(ctx: Context, node: Node) -> Document:
    """Returns a node's readiness, its peers with their addresses and status, and the engines known to it."""
    membership = ctx.membership
    members = sorted(membership.all_members(), key=lambda member: (member.role, member.zone, member.node))
    peers = [
        {
            "node": member.node,
            "role": member.role,
            "zone": member.zone,
            "place": f"{member.host}:{member.port}",
            "http": member.http_port,
            "operator": member.operator_port,
            "status": membership.status(member.node),
        }
        for member in members
    ]
    ready, details = node.readiness()
    return {
        "node": membership.local_member.node,
        "role": membership.local_member.role,
        "ready": ready,
        **details,
        "peers": peers,
        "engines": node.reported_state().get("engines", {}),
    }
