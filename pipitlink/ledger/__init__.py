from .holder import Holder
from .ledger import Ledger

__all__ = ["Holder", "Ledger"]
