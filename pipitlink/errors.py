"""The exceptions of pipitlink, one class hierarchy for each layer.

`code` identifies an error on the wire and in responses to clients; it stays the same if a class is renamed.

- SettingsError: raised at start-up, before anything is opened.
- WireError: RPC between nodes. After ConnectionFailed (unless `sent` is False) and DeadlineExceeded it is unknown
  whether the peer ran the call. RemoteError means that the peer responded with an error. UnknownMethod is raised at the
  node that received the call.
- MalformedResponse: bytes of an HTTP response that break its grammar. Whether the request was run is unknown.
- ReplicatedLogError: storage nodes and the clients of their logs. StaleEpoch and LeaseNotHeld are final for a
  leaseholder; NoQuorum and StorageFull may be transient; after StalePlacement the writer looks up the placement again;
  CorruptData means bytes that cannot be read back.
- ApiError: HTTP error responses to clients and operators, with status, outcome and retry delay.
- ControllerError: the consensus on the cluster state, and edits of that state.

An error raised by an RPC handler reaches the calling node as a RemoteError with the same code. `web.send_error` maps
errors of the lower layers to an ApiError.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

__all__ = [
    "NOT_RUN_STATUSES",
    "ExecutionOutcome",
    "PipitlinkError",
    "SettingsError",
    "WireError",
    "ConnectionFailed",
    "WrongPeer",
    "DeadlineExceeded",
    "RemoteError",
    "UnknownMethod",
    "MalformedResponse",
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


NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which clients infer that a request did not run, and may be sent again."""


class ExecutionOutcome(StrEnum):
    """Whether a failed request was run, as reported to clients."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class PipitlinkError(Exception):
    """The base class of all exceptions of pipitlink; never raised itself."""

    code = "fault"


class SettingsError(PipitlinkError):
    """Settings are invalid, with a line for each problem. Raised when reading settings or opening a data folder."""

    code = "bad_settings"

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


class WireError(PipitlinkError):
    """The RPC layer cannot call a peer or decode its messages: unknown address, another cluster or wire version."""

    code = "wire"


class ConnectionFailed(WireError):
    """The peer could not be reached or the connection broke. `sent` is False if the call was certainly not sent."""

    code = "cut_off"

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class WrongPeer(ConnectionFailed):
    """A different node responds at the address of the node that was called. The call was not run."""

    code = "wrong_peer"

    def __init__(self, expected: str, actual: str) -> None:
        super().__init__(f"expected node {expected} at this address, found node {actual}", sent=False)


class DeadlineExceeded(WireError):
    """No result within the time limit; the operation may still take effect. Raised by Timers, RPC and edits."""

    code = "overdue"


class RemoteError(WireError):
    """The peer responded to a call with an error: `remote_code` is its code, `message` its text."""

    code = "refused"

    def __init__(self, remote_code: str, message: str) -> None:
        super().__init__(f"{remote_code}: {message}")
        self.remote_code = remote_code
        self.message = message


class UnknownMethod(WireError):
    """The RPC endpoint has no handler for the method that a peer called."""

    code = "unmet"


class MalformedResponse(PipitlinkError):
    """The bytes of an HTTP response break its grammar, so that no part of it may be believed."""

    code = "malformed_response"


class ReplicatedLogError(PipitlinkError):
    """The base class of the errors of storage nodes and their logs; never raised itself."""

    code = "replicated_log"


class StaleEpoch(ReplicatedLogError):
    """Nothing was written: the log has a newer epoch, other committed bytes at this offset, or is final."""

    code = "fenced"


class NoQuorum(ReplicatedLogError):
    """Too few storage nodes responded to a leaseholder or reader of a log."""

    code = "no_majority"


class StorageFull(ReplicatedLogError):
    """A disk or the budget of a data folder is full. `sent` is False if certainly nothing was written."""

    code = "no_room"

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class StalePlacement(ReplicatedLogError):
    """A storage node knows a newer placement than the writer that called it."""

    code = "old_placement_group"


class LeaseNotHeld(ReplicatedLogError):
    """This process never held the log's lease or has lost it. `leaseholder` is the node that holds it, if known."""

    code = "not_held"

    def __init__(self, text: str, leaseholder: str = "") -> None:
        super().__init__(text)
        self.leaseholder = leaseholder


class CorruptData(ReplicatedLogError):
    """Bytes on disk or of a log are missing or fail their checksum. Raised by segments, archive and cache reads."""

    code = "damaged"


class ApiError(PipitlinkError):
    """An error response to an HTTP client, raised by gateways and by HTTP handlers of controllers.

    `outcome` is a value of ExecutionOutcome; `retry_after` is in seconds, 0 for none; `field` names the invalid field.
    If `code`, `status` or `outcome` is omitted, the class attribute of that name is used.
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
    """A client's request is malformed. Raised by HTTP handlers and dialects before anything runs."""

    code = "bad_request"
    status = 400
    outcome = ExecutionOutcome.NOT_RUN


class NotFound(ApiError):
    """The requested resource does not exist. Raised by HTTP handlers."""

    code = "not_found"
    status = 404
    outcome = ExecutionOutcome.NOT_RUN


class ServiceUnavailable(ApiError):
    """The request cannot be served now; the client may retry after `retry_after` s. Default outcome: not run."""

    code = "crowded"
    status = 503
    outcome = ExecutionOutcome.NOT_RUN

    def __init__(self, text: str, *, retry_after: float = 1, **fields: Any) -> None:
        super().__init__(text, retry_after=retry_after, **fields)


class EngineError(ApiError):
    """An engine failed while handling a request, and may have run it. Raised by gateways."""

    code = "back_end"
    status = 502
    outcome = ExecutionOutcome.UNKNOWN


class ControllerError(PipitlinkError):
    """The base class of the errors of the consensus and of edits; never raised itself."""

    code = "controller"


class NotLeader(ControllerError):
    """This controller is not the leader. `leader` is the node that is, if known."""

    code = "not_leading"

    def __init__(self, text: str, leader: str = "") -> None:
        super().__init__(text)
        self.leader = leader


class Unconfirmed(ControllerError):
    """The leader cannot confirm an edit's outcome or its own leadership; the edit may still take effect."""

    code = "unproven"


class VersionConflict(ControllerError):
    """An edit is not based on the current version of the table, which is `sequence`. Raised by edits."""

    code = "wrong_base"

    def __init__(self, sequence: int) -> None:
        super().__init__(f"the table is at sequence {sequence}")
        self.sequence = sequence


class InvalidRows(ControllerError):
    """Rows of an edit are invalid; `faults` has the row, field and message of each problem. Raised during parsing."""

    code = "bad_rows"

    def __init__(self, faults: list[dict[str, str]]) -> None:
        super().__init__("; ".join(f"{fault['row']}.{fault['field']}: {fault['message']}" for fault in faults))
        self.faults = faults
