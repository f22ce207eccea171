from .node import GuideNode

__all__ = ["GuideNode"]
