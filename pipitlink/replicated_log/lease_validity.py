"""The validity of a lease by the leaseholder's own clock."""

from __future__ import annotations

from datetime import timedelta

from ..timers import ZERO, Timers, secs
from .lease_durations import LEASEHOLDER_VALIDITY
from .placement_group import PlacementGroup

__all__ = ["LeaseValidity"]

PREVIOUS_GROUP_VALIDITY: timedelta = secs(1.5)


class LeaseValidity:
    """The renewals of one lease, which is valid while a quorum of storage nodes has renewed it recently.

    A storage node that joins the placement group gets renewal requests only after it joined. A quorum of the previous
    placement group therefore also suffices for a short time after a change.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._renewed_at: dict[str, timedelta] = {}
        self._previous_group: PlacementGroup | None = None
        self._group_changed_at = ZERO

    def record_renewal(self, storage_node: str, requested_at: timedelta) -> None:
        """Records that a storage node granted or renewed the lease on a request sent at `requested_at`."""
        self._renewed_at[storage_node] = max(requested_at, self._renewed_at.get(storage_node, requested_at))

    def record_group_change(self, previous_group: PlacementGroup) -> None:
        """Records that the log's placement group has just changed."""
        self._previous_group = previous_group
        self._group_changed_at = self._timers.now()

    def is_valid(self, placement_group: PlacementGroup) -> bool:
        """Returns whether a quorum of the placement group, or of the previous one, renewed the lease recently."""
        now = self._timers.now()
        current = [node for node, at in self._renewed_at.items() if now - at < LEASEHOLDER_VALIDITY]
        if placement_group.is_quorum(current):
            return True
        if self._previous_group is None or now - self._group_changed_at >= PREVIOUS_GROUP_VALIDITY:
            return False
        return self._previous_group.is_quorum(current)
