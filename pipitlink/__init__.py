"""A serving tier for model requests: live requests and batches on the same engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
