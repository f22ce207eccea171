"""Reads data folders of controllers and storage nodes with the classes of the nodes, and returns plain values.

Messages are compared by digests of their wire format, which depends on field numbers and not on field names.
"""

import hashlib
import json
from pathlib import Path
from random import Random
from unittest import mock

from pipitlink.cluster import ClusterState
from pipitlink.controller.durable_log import DurableLog
from pipitlink.disk import Disk
from pipitlink.storage import node_id
from pipitlink.storage.log_store import LogStore

__all__ = ["CLUSTER_NAME", "read_controller", "read_peers", "read_state", "read_storage_node"]

CLUSTER_NAME = "pipit"
BUDGET_BYTES = 64 * 1024 * 1024
RESERVE_BYTES = 1024 * 1024


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def _message_digest(message) -> str:
    return _digest(message.SerializeToString(deterministic=True))


def read_state(state: ClusterState) -> dict:
    """Returns the tables of the cluster state by name."""
    return {
        "sequence": state.sequence,
        "table": state.table_sequence,
        "rows": {row.name: [row.model, row.pool, row.weight] for row in state.rows.values()},
        "config_version": state.routes.version,
        "routes": {
            row.name: [row.host, row.prefix, [share.pool for share in row.shares]]
            for row in state.routes.routes.values()
        },
        "pools": {pool.name: pool.health_path for pool in state.routes.pools.values()},
        "empty_zones": sorted(state.empty_zones),
        "storage_nodes": dict(state.storage_nodes),
        "placement_groups": {
            str(number): [group.sequence, sorted(group.storage_nodes)]
            for number, group in sorted(state.placement_groups.items())
        },
        "voters": list(state.voters),
        "outcomes": len(state.outcomes),
    }


def read_controller(folder: Path) -> dict:
    """Returns a controller's vote, snapshot, log entries and resulting state; its whole log must be committed."""
    durable_log = DurableLog(mock.Mock(rng=Random(1)), folder, Disk())
    durable_log.recover()
    state = ClusterState(durable_log.snapshot.cluster_state)
    for entry in durable_log.entries:
        state.apply(entry.index, entry.command)
    read = {
        "node": node_id(folder, CLUSTER_NAME),
        "term": durable_log.hard_state.term,
        "vote": durable_log.hard_state.voted_for,
        "snapshot": [durable_log.snapshot.index, durable_log.snapshot.term, _message_digest(durable_log.snapshot)],
        "entries": [[entry.index, entry.term, _message_digest(entry)] for entry in durable_log.entries],
        "voters": list(durable_log.voters()),
        "state": read_state(state),
    }
    durable_log.close()
    return read


def read_storage_node(folder: Path) -> dict:
    """Returns a storage node's id and number of segment files, and the state and a digest of the bytes of each log."""
    store = LogStore(folder / "logs", Disk(), BUDGET_BYTES, RESERVE_BYTES)
    store.recover()
    logs = {}
    for name in sorted(store.logs):
        state = store.state(name)
        data = store.read_extents(store.extents(name, 0, state.length))
        logs[name] = {
            "epoch": state.epoch,
            "tail_epoch": state.tail_epoch,
            "length": state.length,
            "committed": state.committed,
            "final": state.final,
            "closed_ms": state.closed_ms,
            "bytes": _digest(data),
        }
    files = len(store.segments.segment_numbers())
    store.close()
    return {"node": node_id(folder, CLUSTER_NAME), "files": files, "logs": logs}


def read_peers(folder: Path) -> list[list]:
    """Returns the last known addresses of a node's live peers, each as host and port."""
    return json.loads((folder / "colleagues.json").read_text())
