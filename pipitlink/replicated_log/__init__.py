from .holder import Holder
from .replicated_log import ReplicatedLog

__all__ = ["Holder", "ReplicatedLog"]
