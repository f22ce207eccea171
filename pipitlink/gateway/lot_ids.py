"""Ids of lots, and the logs that belong to them."""

import attrs

from ..errors import BadRequest

__all__ = ["LOT_LOG_PREFIX", "LotLocation", "lot_id_at", "lot_of_result_log", "parse_lot_id", "result_log"]

LOT_LOG_PREFIX = "lots/"
RESULT_LOG_PREFIX = "results/"
MAX_ID_LENGTH = 79
SHOWN_ID_LENGTH = 80


@attrs.frozen
class LotLocation:
    """The log that a lot stands in, and its offset there."""

    log: str
    offset: int


def lot_id_at(log: str, offset: int) -> str:
    """Returns the id of the lot at an offset of a lot log."""
    return f"{log.removeprefix(LOT_LOG_PREFIX)}.{offset}"


def parse_lot_id(lot_id: str) -> LotLocation:
    """Returns where the lot of an id stands. Raises BadRequest where it is none."""
    node, _, rest = lot_id.partition(".")
    log_number, _, offset = rest.partition(".")
    well_formed = node.isalnum() and log_number.isdigit() and offset.isdigit()
    if not well_formed or len(lot_id) > MAX_ID_LENGTH:
        raise BadRequest(f"{lot_id[:SHOWN_ID_LENGTH]!r} is not the id of a lot", code="bad_id", field="lot")
    return LotLocation(f"{LOT_LOG_PREFIX}{node}.{log_number}", int(offset))


def result_log(lot_id: str) -> str:
    """Returns the name of the log that holds a lot's results."""
    return f"{RESULT_LOG_PREFIX}{lot_id}"


def lot_of_result_log(log: str) -> str:
    """Returns the id of the lot whose results a log holds."""
    return log.removeprefix(RESULT_LOG_PREFIX)
