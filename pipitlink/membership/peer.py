"""Another member of the cluster, with its status."""

from __future__ import annotations

from datetime import timedelta

from ..state_machines import StateMachineMixin
from ..structured_log import StructuredLogger
from ..wire.membership_pb2 import Member
from .member_status import MemberStatus

__all__ = ["Peer"]


class Peer(StateMachineMixin):
    """Another member, its status, and when it changed; times are on the timers' clock.

    `first_seen_at` is when this node first heard of the member, `status_since` when its status last changed, and
    `changed_at` when any field that gossip carries last changed.
    """

    state_machine = "member"

    def __init__(self, member: Member, now: timedelta, logger: StructuredLogger) -> None:
        self.member = member
        self.first_seen_at = self.status_since = self.changed_at = now
        self._logger = logger
        self._init_state_machine()
        if member.status == MemberStatus.SUSPECT:
            self.trigger("suspect")
        elif member.status == MemberStatus.GONE:
            self.trigger("confirm_gone")

    @property
    def status(self) -> MemberStatus:
        """The peer's status as seen by this node."""
        return MemberStatus(self.state)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the peer's RPC endpoint."""
        return self.member.host, self.member.port

    def transition(self, event: str, now: timedelta) -> None:
        """Applies an event of the state machine `member`."""
        before = self.state
        self.trigger(event)
        self.member.status = self.state
        if self.state != before:
            self.status_since = now

    def _log_status(self) -> None:
        self._logger.info(
            "member_status_changed",
            peer=self.member.node,
            role=self.member.role,
            status=self.state,
            incarnation=self.member.incarnation,
        )
