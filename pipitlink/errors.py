"""The exceptions of pipitlink, one tree for each layer. `code` is the name that goes over the wire and to callers.

- SettingsError: at the start, before anything is opened.
- WireError: RPC between nodes. CutOff and Overdue leave open what the peer did, unless CutOff says `sent=False`;
  Refused means that it answered; Unmet is raised at the node that was called.
- ReplicatedLogError: storage nodes and the clients of their logs. Fenced and NotHeld end a leaseholder's work;
  NoMajority and NoRoom may pass; after OldPlacementGroup the writer looks up the placement again; Damaged is for bytes
  that cannot be read back.
- GatewayError: what callers and operators are told over HTTP, with status, outcome and the time to come back after.
- ControllerError: the agreement on the cluster state, and edits of it.

An error that a handler raises reaches the calling node as Refused, by its `code`. `web.send_fault` maps errors of the
lower layers to a GatewayError.
"""

__all__ = [
    "PipitlinkError",
    "SettingsError",
    "WireError",
    "CutOff",
    "WrongPeer",
    "Overdue",
    "Refused",
    "Unmet",
    "ReplicatedLogError",
    "Fenced",
    "NoMajority",
    "NoRoom",
    "NotHeld",
    "OldPlacementGroup",
    "Damaged",
    "GatewayError",
    "BadRequest",
    "Crowded",
    "NotFound",
    "BackEndError",
    "ControllerError",
    "WrongBase",
    "BadRows",
    "NotLeading",
    "Unproven",
]


class PipitlinkError(Exception):
    """The root of all exceptions here; never raised itself."""

    code = "fault"


class SettingsError(PipitlinkError):
    """Settings that cannot be used, one line for each. Raised where settings are read and a data folder opened."""

    code = "bad_settings"

    def __init__(self, lines: list[str]):
        super().__init__("; ".join(lines))
        self.lines = lines


class WireError(PipitlinkError):
    """The RPC layer cannot make a call or understand a peer: no known address, another fleet or wire version."""

    code = "wire"


class CutOff(WireError):
    """The peer could not be reached or the connection broke. `sent` is False where the call surely never left."""

    code = "cut_off"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class WrongPeer(CutOff):
    """Another node answers at the place of the one that was meant: the call was not carried out."""

    code = "wrong_peer"

    def __init__(self, meant: str, answering: str):
        super().__init__(f"node {meant} was meant, {answering} answers there", sent=False)


class Overdue(WireError):
    """No result within the time limit; what was asked for may still happen. Raised by Timers, RPC and edits."""

    code = "overdue"


class Refused(WireError):
    """The peer took the call and answered with an error: `fault` is its code, `note` its text."""

    code = "refused"

    def __init__(self, fault: str, note: str):
        super().__init__(f"{fault}: {note}")
        self.fault = fault
        self.note = note


class Unmet(WireError):
    """The RPC endpoint has no handler for the call that a peer makes."""

    code = "unmet"


class ReplicatedLogError(PipitlinkError):
    """The root of the errors of storage nodes and their logs; never raised itself."""

    code = "replicated_log"


class Fenced(ReplicatedLogError):
    """A storage node has promised a higher epoch or committed these bytes, or the log has ended: nothing is written."""

    code = "fenced"


class NoMajority(ReplicatedLogError):
    """Too few storage nodes answered a leaseholder or reader to be sure of a log."""

    code = "no_majority"


class NoRoom(ReplicatedLogError):
    """A disk, or the budget of a data folder, takes no more. `sent` is False where surely nothing was written."""

    code = "no_room"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class OldPlacementGroup(ReplicatedLogError):
    """A storage node knows a newer placement than the writer that asks it."""

    code = "old_placement_group"


class NotHeld(ReplicatedLogError):
    """This process does not, or no longer, hold the log's lease. `leaseholder` is the node that does, if known."""

    code = "not_held"

    def __init__(self, text: str, leaseholder: str = ""):
        super().__init__(text)
        self.leaseholder = leaseholder


class Damaged(ReplicatedLogError):
    """Bytes on disk, or of a log, fail their checksum or are missing. Raised by segments, archive and cache reads."""

    code = "damaged"


class GatewayError(PipitlinkError):
    """What a caller is told, raised by gateways and by controllers' HTTP handlers.

    `outcome` is `not_run`, `failed` or `unknown`; `retry_after` is in seconds, 0 for none; `field` names a wrong field.
    """

    code = "gateway"
    status = 500
    outcome = "failed"

    def __init__(
        self, text: str, *, code: str = "", field: str = "", status: int = 0, outcome: str = "", retry_after: int = 0
    ):
        super().__init__(text)
        self.code = code or type(self).code
        self.field = field
        self.status = status or type(self).status
        self.outcome = outcome or type(self).outcome
        self.retry_after = retry_after


class BadRequest(GatewayError):
    """A caller's request is malformed. Raised by HTTP handlers and dialects before anything runs."""

    code = "bad_request"
    status = 400
    outcome = "not_run"


class NotFound(GatewayError):
    """What a caller names does not exist. Raised by HTTP handlers."""

    code = "not_found"
    status = 404
    outcome = "not_run"


class Crowded(GatewayError):
    """No room or no proof just now; send again in `retry_after` s. Nothing ran unless `outcome` differs."""

    code = "crowded"
    status = 503
    outcome = "not_run"

    def __init__(self, text: str, *, retry_after: int = 1, **words):
        super().__init__(text, retry_after=retry_after, **words)


class BackEndError(GatewayError):
    """An engine failed or broke off during an exchange. Raised by gateways; it may have run the request."""

    code = "back_end"
    status = 502
    outcome = "unknown"


class ControllerError(PipitlinkError):
    """The root of the errors of the agreement; never raised itself."""

    code = "controller"


class NotLeading(ControllerError):
    """This controller does not lead. `leader` is the node that does, if known."""

    code = "not_leading"

    def __init__(self, text: str, leader: str = ""):
        super().__init__(text)
        self.leader = leader


class Unproven(ControllerError):
    """A leader cannot show an edit's outcome, or that it still leads: the edit may yet take effect."""

    code = "unproven"


class WrongBase(ControllerError):
    """An edit builds on an older table than the newest, whose sequence is `sequence`. Raised by edits."""

    code = "wrong_base"

    def __init__(self, sequence: int):
        super().__init__(f"the table is at sequence {sequence}")
        self.sequence = sequence


class BadRows(ControllerError):
    """Rows of an edit are wrong; `faults` has row, field and message of each. Raised while they are read."""

    code = "bad_rows"

    def __init__(self, faults: list[dict]):
        super().__init__("; ".join(f"{f['row']}.{f['field']}: {f['message']}" for f in faults))
        self.faults = faults
