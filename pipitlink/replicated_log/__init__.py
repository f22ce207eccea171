"""Logs replicated on storage nodes, written by one leaseholder at a time."""

from .leaseholder import Leaseholder
from .replicated_log import ReplicatedLog

__all__ = ["Leaseholder", "ReplicatedLog"]
