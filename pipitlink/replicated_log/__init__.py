from .leaseholder import Leaseholder
from .replicated_log import ReplicatedLog

__all__ = ["Leaseholder", "ReplicatedLog"]
