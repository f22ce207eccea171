__all__ = [
    "PipitFault", "SettingsFault", "WireFault", "CutOff", "Overdue", "Refused", "Unmet",
    "ReplicatedLogFault", "Fenced", "NoMajority", "NoRoom", "NotHeld", "OldPlacementGroup", "Damaged",
    "GatewayFault", "BadRequest", "Crowded", "NotFound", "BackEndFault",
    "ControllerFault", "WrongBase", "BadRows", "NotLeading", "Unproven",
]


class PipitFault(Exception):
    code = "fault"


class SettingsFault(PipitFault):
    code = "bad_settings"

    def __init__(self, lines: list[str]):
        super().__init__("; ".join(lines))
        self.lines = lines


class WireFault(PipitFault):
    code = "wire"


class CutOff(WireFault):
    """The peer could not be asked: nothing was sent, or no response will come."""

    code = "cut_off"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class Overdue(WireFault):
    code = "overdue"


class Refused(WireFault):
    """The peer took the call and answered with a fault."""

    code = "refused"

    def __init__(self, fault: str, note: str):
        super().__init__(f"{fault}: {note}")
        self.fault = fault
        self.note = note


class Unmet(WireFault):
    code = "unmet"


class ReplicatedLogFault(PipitFault):
    code = "replicated_log"


class Fenced(ReplicatedLogFault):
    code = "fenced"


class NoMajority(ReplicatedLogFault):
    code = "no_majority"


class NoRoom(ReplicatedLogFault):
    code = "no_room"

    def __init__(self, text: str, sent: bool = True):
        super().__init__(text)
        self.sent = sent


class OldPlacementGroup(ReplicatedLogFault):
    code = "old_placement_group"


class NotHeld(ReplicatedLogFault):
    code = "not_held"

    def __init__(self, text: str, leaseholder: str = ""):
        super().__init__(text)
        self.leaseholder = leaseholder


class Damaged(ReplicatedLogFault):
    code = "damaged"


class GatewayFault(PipitFault):
    code = "gateway"
    status = 500
    outcome = "failed"

    def __init__(self, text: str, *, code: str = "", field: str = "", status: int = 0,
                 outcome: str = "", retry_after: int = 0):
        super().__init__(text)
        self.code = code or type(self).code
        self.field = field
        self.status = status or type(self).status
        self.outcome = outcome or type(self).outcome
        self.retry_after = retry_after


class BadRequest(GatewayFault):
    code = "bad_request"
    status = 400
    outcome = "not_run"


class NotFound(GatewayFault):
    code = "not_found"
    status = 404
    outcome = "not_run"


class Crowded(GatewayFault):
    code = "crowded"
    status = 503
    outcome = "not_run"

    def __init__(self, text: str, *, retry_after: int = 1, **words):
        super().__init__(text, retry_after=retry_after, **words)


class BackEndFault(GatewayFault):
    code = "back_end"
    status = 502
    outcome = "unknown"


class ControllerFault(PipitFault):
    code = "controller"


class NotLeading(ControllerFault):
    code = "not_leading"

    def __init__(self, text: str, leader: str = ""):
        super().__init__(text)
        self.leader = leader


class Unproven(ControllerFault):
    code = "unproven"


class WrongBase(ControllerFault):
    code = "wrong_base"

    def __init__(self, sequence: int):
        super().__init__(f"the table is at sequence {sequence}")
        self.sequence = sequence


class BadRows(ControllerFault):
    code = "bad_rows"

    def __init__(self, faults: list[dict]):
        super().__init__("; ".join(f"{f['row']}.{f['field']}: {f['message']}" for f in faults))
        self.faults = faults
