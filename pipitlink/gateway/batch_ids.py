"""Ids of batch jobs, and the logs that belong to them."""

from __future__ import annotations

import attrs

from ..errors import BadRequest

__all__ = ["BATCH_LOG_PREFIX", "BatchLocation", "batch_id_at", "batch_of_result_log", "parse_batch_id", "result_log"]

BATCH_LOG_PREFIX = "lots/"
RESULT_LOG_PREFIX = "results/"
MAX_ID_LENGTH = 79
SHOWN_ID_LENGTH = 80


@attrs.frozen
class BatchLocation:
    """The log that a job stands in, and its offset there."""

    log: str
    offset: int


def batch_id_at(log: str, offset: int) -> str:
    """Returns the id of the job at an offset of a job log."""
    return f"{log.removeprefix(BATCH_LOG_PREFIX)}.{offset}"


def parse_batch_id(batch_id: str) -> BatchLocation:
    """Returns where the job of an id stands. Raises BadRequest where it is none."""
    node, _, rest = batch_id.partition(".")
    log_number, _, offset = rest.partition(".")
    well_formed = node.isalnum() and log_number.isdigit() and offset.isdigit()
    if not well_formed or len(batch_id) > MAX_ID_LENGTH:
        raise BadRequest(f"{batch_id[:SHOWN_ID_LENGTH]!r} is not the id of a lot", code="bad_id", field="lot")
    return BatchLocation(f"{BATCH_LOG_PREFIX}{node}.{log_number}", int(offset))


def result_log(batch_id: str) -> str:
    """Returns the name of the log that holds a job's results."""
    return f"{RESULT_LOG_PREFIX}{batch_id}"


def batch_of_result_log(log: str) -> str:
    """Returns the id of the job whose results a log holds."""
    return log.removeprefix(RESULT_LOG_PREFIX)
