"""The exceptions of pipitlink, one tree for each layer.

`code` is the name of an error on the wire and in answers to callers; it stays the same when a class is renamed.

- SettingsError: at the start, before anything is opened.
- WireError: RPC between nodes. ConnectionFailed and DeadlineExceeded leave open what the peer did, unless
  ConnectionFailed says `sent=False`; RemoteError means that the peer answered with an error; UnknownMethod is raised at
  the node that was called.
- ReplicatedLogError: storage nodes and the clients of their logs. StaleEpoch and LeaseNotHeld end a leaseholder's work;
  NoQuorum and StorageFull may pass; after StalePlacement the writer looks up the placement again; CorruptData is for
  bytes that cannot be read back.
- ApiError: what callers and operators get over HTTP, with status, outcome and the time after which to retry.
- ControllerError: the consensus on the cluster state, and edits of it.

An error that a handler raises reaches the calling node as a RemoteError with its `code`. `web.send_error` maps errors
of the lower layers to an ApiError.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

__all__ = [
    "ExecutionOutcome",
    "PipitlinkError",
    "SettingsError",
    "WireError",
    "ConnectionFailed",
    "WrongPeer",
    "DeadlineExceeded",
    "RemoteError",
    "UnknownMethod",
    "ReplicatedLogError",
    "StaleEpoch",
    "NoQuorum",
    "StorageFull",
    "LeaseNotHeld",
    "StalePlacement",
    "CorruptData",
    "ApiError",
    "BadRequest",
    "ServiceUnavailable",
    "NotFound",
    "EngineError",
    "ControllerError",
    "VersionConflict",
    "InvalidRows",
    "NotLeader",
    "Unconfirmed",
]


class ExecutionOutcome(StrEnum):
    """What is known of a request that failed, as callers read it."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class PipitlinkError(Exception):
    """The base class of all exceptions here; never raised itself."""

    code = "fault"


class SettingsError(PipitlinkError):
    """Settings that cannot be used, one line for each. Raised where settings are read and a data folder opened."""

    code = "bad_settings"

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


class WireError(PipitlinkError):
    """The RPC layer cannot make a call or understand a peer: no known address, another fleet or wire version."""

    code = "wire"


class ConnectionFailed(WireError):
    """The peer could not be reached or the connection broke. `sent` is False where the call certainly never left."""

    code = "cut_off"

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class WrongPeer(ConnectionFailed):
    """Another node answers at the address of the one that the call names: the call was not run."""

    code = "wrong_peer"

    def __init__(self, expected: str, actual: str) -> None:
        super().__init__(f"node {expected} was meant, {actual} answers there", sent=False)


class DeadlineExceeded(WireError):
    """No result within the time limit; the work may still take effect. Raised by Timers, RPC and edits."""

    code = "overdue"


class RemoteError(WireError):
    """The peer answered a call with an error: `remote_code` is its code, `message` its text."""

    code = "refused"

    def __init__(self, remote_code: str, message: str) -> None:
        super().__init__(f"{remote_code}: {message}")
        self.remote_code = remote_code
        self.message = message


class UnknownMethod(WireError):
    """The RPC endpoint has no handler for the call that a peer makes."""

    code = "unmet"


class ReplicatedLogError(PipitlinkError):
    """The base class of the errors of storage nodes and their logs; never raised itself."""

    code = "replicated_log"


class StaleEpoch(ReplicatedLogError):
    """The log has a newer epoch, holds other committed bytes here, or has ended: nothing is written."""

    code = "fenced"


class NoQuorum(ReplicatedLogError):
    """Too few storage nodes answered a leaseholder or reader of a log."""

    code = "no_majority"


class StorageFull(ReplicatedLogError):
    """A disk or the budget of a data folder is full. `sent` is False where certainly nothing was written."""

    code = "no_room"

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class StalePlacement(ReplicatedLogError):
    """A storage node knows a newer placement than the writer that calls it."""

    code = "old_placement_group"


class LeaseNotHeld(ReplicatedLogError):
    """This process does not, or no longer, hold the log's lease. `leaseholder` is the node that does, if known."""

    code = "not_held"

    def __init__(self, text: str, leaseholder: str = "") -> None:
        super().__init__(text)
        self.leaseholder = leaseholder


class CorruptData(ReplicatedLogError):
    """Bytes on disk, or of a log, fail their checksum or are missing. Raised by segments, archive and cache reads."""

    code = "damaged"


class ApiError(PipitlinkError):
    """An error response to a caller, raised by gateways and by HTTP handlers of controllers.

    `outcome` is a value of ExecutionOutcome; `retry_after` is in seconds, 0 for none; `field` names the invalid field.
    Arguments that are left out have the value of the class.
    """

    code = "gateway"
    status = 500
    outcome: str = ExecutionOutcome.FAILED

    def __init__(
        self, text: str, *, code: str = "", field: str = "", status: int = 0, outcome: str = "", retry_after: float = 0
    ) -> None:
        super().__init__(text)
        self.code = code or type(self).code
        self.field = field
        self.status = status or type(self).status
        self.outcome = outcome or type(self).outcome
        self.retry_after = retry_after


class BadRequest(ApiError):
    """A caller's request is malformed. Raised by HTTP handlers and dialects before anything runs."""

    code = "bad_request"
    status = 400
    outcome = ExecutionOutcome.NOT_RUN


class NotFound(ApiError):
    """The resource that a caller names does not exist. Raised by HTTP handlers."""

    code = "not_found"
    status = 404
    outcome = ExecutionOutcome.NOT_RUN


class ServiceUnavailable(ApiError):
    """The request cannot be served now; the caller may retry after `retry_after` s. It was not run by default."""

    code = "crowded"
    status = 503
    outcome = ExecutionOutcome.NOT_RUN

    def __init__(self, text: str, *, retry_after: float = 1, **fields: Any) -> None:
        super().__init__(text, retry_after=retry_after, **fields)


class EngineError(ApiError):
    """An engine failed during an exchange, and may have run the request. Raised by gateways."""

    code = "back_end"
    status = 502
    outcome = ExecutionOutcome.UNKNOWN


class ControllerError(PipitlinkError):
    """The base class of the errors of the consensus and of edits; never raised itself."""

    code = "controller"


class NotLeader(ControllerError):
    """This controller does not lead. `leader` is the node that does, if known."""

    code = "not_leading"

    def __init__(self, text: str, leader: str = "") -> None:
        super().__init__(text)
        self.leader = leader


class Unconfirmed(ControllerError):
    """The leader cannot confirm the outcome of an edit, or its leadership; the edit may still take effect."""

    code = "unproven"


class VersionConflict(ControllerError):
    """An edit is based on a version of the table older than the current one, which is `sequence`. Raised by edits."""

    code = "wrong_base"

    def __init__(self, sequence: int) -> None:
        super().__init__(f"the table is at sequence {sequence}")
        self.sequence = sequence


class InvalidRows(ControllerError):
    """Rows of an edit are invalid; `faults` has row, field and message of each. Raised while they are parsed."""

    code = "bad_rows"

    def __init__(self, faults: list[dict[str, str]]) -> None:
        super().__init__("; ".join(f"{fault['row']}.{fault['field']}: {fault['message']}" for fault in faults))
        self.faults = faults
