__all__ = [
    "PipitlinkError",
    "SettingsError",
    "WireError",
    "CutOff",
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
    code = "fault"


class SettingsError(PipitlinkError):
    code = "bad_settings"

    def __init__(self, lines: list[str]):
        super().__init__("; ".join(lines))
        self.lines = lines


class WireError(PipitlinkError):
    code = "wire"


class CutOff(WireError):
    """The peer could not be asked: nothing was sent, or no response will come."""

    code = "cut_off"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class Overdue(WireError):
    code = "overdue"


class Refused(WireError):
    """The peer took the call and answered with a fault."""

    code = "refused"

    def __init__(self, fault: str, note: str):
        super().__init__(f"{fault}: {note}")
        self.fault = fault
        self.note = note


class Unmet(WireError):
    code = "unmet"


class ReplicatedLogError(PipitlinkError):
    code = "replicated_log"


class Fenced(ReplicatedLogError):
    code = "fenced"


class NoMajority(ReplicatedLogError):
    code = "no_majority"


class NoRoom(ReplicatedLogError):
    code = "no_room"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class OldPlacementGroup(ReplicatedLogError):
    code = "old_placement_group"


class NotHeld(ReplicatedLogError):
    code = "not_held"

    def __init__(self, text: str, leaseholder: str = ""):
        super().__init__(text)
        self.leaseholder = leaseholder


class Damaged(ReplicatedLogError):
    code = "damaged"


class GatewayError(PipitlinkError):
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
    code = "bad_request"
    status = 400
    outcome = "not_run"


class NotFound(GatewayError):
    code = "not_found"
    status = 404
    outcome = "not_run"


class Crowded(GatewayError):
    code = "crowded"
    status = 503
    outcome = "not_run"

    def __init__(self, text: str, *, retry_after: int = 1, **words):
        super().__init__(text, retry_after=retry_after, **words)


class BackEndError(GatewayError):
    code = "back_end"
    status = 502
    outcome = "unknown"


class ControllerError(PipitlinkError):
    code = "controller"


class NotLeading(ControllerError):
    code = "not_leading"

    def __init__(self, text: str, leader: str = ""):
        super().__init__(text)
        self.leader = leader


class Unproven(ControllerError):
    code = "unproven"


class WrongBase(ControllerError):
    code = "wrong_base"

    def __init__(self, sequence: int):
        super().__init__(f"the table is at sequence {sequence}")
        self.sequence = sequence


class BadRows(ControllerError):
    code = "bad_rows"

    def __init__(self, faults: list[dict]):
        super().__init__("; ".join(f"{f['row']}.{f['field']}: {f['message']}" for f in faults))
        self.faults = faults
