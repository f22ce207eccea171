"""The identity of a storage node or controller, kept in its data folder."""

from __future__ import annotations

import json
from pathlib import Path

from ..context import random_id
from ..disk import replace_file
from ..errors import SettingsError

__all__ = ["node_id"]

FILE_NAME = "node.json"


def node_id(folder: Path, cluster_name: str) -> str:
    """Returns the id of the node that a data folder belongs to; a folder without one gets a new id.

    Raises SettingsError if the folder belongs to another cluster.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    if path.exists():
        identity: dict[str, str] = json.loads(path.read_text())
        if identity["fleet"] != cluster_name:
            raise SettingsError([f"data: {folder} belongs to cluster {identity['fleet']!r}, not {cluster_name!r}"])
        return identity["node"]
    node = random_id()
    replace_file(path, json.dumps({"fleet": cluster_name, "node": node}).encode())
    return node
