"""The status of one other member."""

from datetime import timedelta

from ..state_machines import StateMachineMixin
from ..wire.membership_pb2 import Member

__all__ = ["Entry"]


class Entry(StateMachineMixin):
    """One other member: alive, suspect or gone, and since when on the timers' clock."""

    state_machine = "status"

    def __init__(self, member: Member, now: timedelta, logger):
        self.member = member
        self.met = self.since = self.changed = now
        self._logger = logger
        self._init_state_machine()
        if member.status == "suspect":
            self.trigger("missed")
        elif member.status == "gone":
            self.trigger("lapsed")

    @property
    def place(self):
        return self.member.host, self.member.port

    def turn(self, input_: str, now: timedelta):
        before = self.state
        self.trigger(input_)
        self.member.status = self.state
        if self.state != before:
            self.since = now

    def _suspected(self):
        self._say("suspect")

    def _returned(self):
        self._say("alive")

    def _lost(self):
        self._say("gone")

    def _say(self, status):
        self._logger.info(
            "status", peer=self.member.node, role=self.member.role, status=status, incarnation=self.member.incarnation
        )
