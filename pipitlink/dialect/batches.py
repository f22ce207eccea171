__all__ = ["BatchWords"]


class BatchWords:
    """Paths and JSON shapes of batches."""
