"""The codes of outcomes of edits that controllers act on."""

from enum import StrEnum

__all__ = ["OutcomeCode"]


class OutcomeCode(StrEnum):
    """What became of an edit, as the cluster state says it."""

    DONE = "done"
    WRONG_BASE = "wrong_base"
    NO_SUCH_ROW = "no_such_row"
    EDIT_ID_USED = "edit_id_used"
    STALE_FENCE = "late"
