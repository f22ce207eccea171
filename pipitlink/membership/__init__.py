from .membership import Membership

__all__ = ["Membership"]
