from .thin import ThinSetup

__all__ = ["ThinSetup"]
