__all__ = ["ControlWords"]


class ControlWords:
    """Paths and JSON shapes of configurations, engine announcements, zones and retirements."""
