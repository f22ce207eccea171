"""The ids of batches, and the names of their logs."""

from __future__ import annotations

import attrs

from ..errors import BadRequest

__all__ = [
    "BATCH_LOG_PREFIX",
    "KEYED_LOG_PREFIX",
    "BatchLocation",
    "batch_id_at",
    "batch_of_result_log",
    "parse_batch_id",
    "result_log",
]

BATCH_LOG_PREFIX = "lots/"
RESULT_LOG_PREFIX = "results/"
KEYED_LOG_PREFIX = "keyed"
MAX_ID_LENGTH = 79
SHOWN_ID_LENGTH = 80


@attrs.frozen
class BatchLocation:
    """The log that holds a batch, and its offset there."""

    log: str
    offset: int


def batch_id_at(log: str, offset: int) -> str:
    """Returns the id of the batch at an offset of a batch log."""
    return f"{log.removeprefix(BATCH_LOG_PREFIX)}.{offset}"


def parse_batch_id(batch_id: str) -> BatchLocation:
    """Returns the location of the batch with an id. Raises BadRequest if the id is malformed."""
    node, _, rest = batch_id.partition(".")
    log_number, _, offset = rest.partition(".")
    well_formed = node.isalnum() and log_number.isdigit() and offset.isdigit()
    if not well_formed or len(batch_id) > MAX_ID_LENGTH:
        raise BadRequest(f"{batch_id[:SHOWN_ID_LENGTH]!r} is not a batch id", code="bad_id", field="lot")
    return BatchLocation(f"{BATCH_LOG_PREFIX}{node}.{log_number}", int(offset))


def result_log(batch_id: str) -> str:
    """Returns the name of the log that holds a batch's results."""
    return f"{RESULT_LOG_PREFIX}{batch_id}"


def batch_of_result_log(log: str) -> str:
    """Returns the id of the batch whose results a log holds."""
    return log.removeprefix(RESULT_LOG_PREFIX)
