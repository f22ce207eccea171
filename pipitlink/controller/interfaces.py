"""Interfaces between the components of a controller."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol, TypeVar

from google.protobuf.message import Message

from ..cluster import ClusterState
from ..wire.cluster_pb2 import Command, Outcome

__all__ = ["ConsensusView", "ControllerCalls", "EditDelivery", "FollowerView", "LeaderLog"]

ResponseT = TypeVar("ResponseT", bound=Message)


class ConsensusView(Protocol):
    """This controller's view of the consensus; read by all components, changed by elections and replication."""

    @property
    def is_leader(self) -> bool:
        """Whether this controller believes that it is the leader."""

    @property
    def leader_id(self) -> str:
        """The known leader, or an empty string."""

    @property
    def term(self) -> int:
        """The newest term that this controller has seen."""

    @property
    def commit_index(self) -> int:
        """The highest index known to be committed."""

    @property
    def cluster_state(self) -> ClusterState:
        """The cluster state with all committed entries applied."""

    def voters(self) -> tuple[str, ...]:
        """Returns the voters according to the newest log entry that sets them, committed or not."""

    def term_is_committed(self) -> bool:
        """Returns whether an entry of the current term is committed."""


class LeaderLog(Protocol):
    """The consensus log, as other components use it."""

    @property
    def elected_at(self) -> timedelta:
        """When this controller last became the leader, on its timers' clock."""

    async def propose(self, command: Command) -> Outcome:
        """Appends a command and returns its outcome once it is committed and applied.

        Raises NotLeader if this controller does not lead, Unconfirmed if the outcome stays unknown.
        """

    async def confirm_leadership(self) -> None:
        """Returns once a majority has responded to this leader since the start of the call.

        Raises NotLeader or Unconfirmed.
        """

    def has_contact(self) -> bool:
        """Returns whether there was recent contact: on the leader with a majority, elsewhere with the leader."""

    def match_index(self, node: str) -> int | None:
        """Returns the index up to which a controller's log is known to match this leader's, or None."""

    def last_response_at(self, node: str) -> timedelta | None:
        """Returns when the newest call with a response from a controller in this term was sent, or None."""


class FollowerView(Protocol):
    """The leader's record of a process that follows the cluster state."""

    role: str
    sequence: int


class EditDelivery(Protocol):
    """Proposes edits and waits until they are in effect at the followers of the cluster state."""

    @property
    def followers(self) -> Mapping[str, FollowerView]:
        """The followers that have sent requests to this leader, by node."""

    async def edit(self, command: Command, timeout: timedelta = ...) -> Outcome:
        """Proposes an edit; returns once it is committed and in effect everywhere."""

    def is_in_effect(self, sequence: int) -> bool:
        """Returns whether no live gateway uses a cluster state older than `sequence`."""

    def operator_edit_timeout(self) -> timedelta:
        """Returns how long an operator's edit may take."""


class ControllerCalls(Protocol):
    """RPC calls to other controllers, by node."""

    async def call(
        self, node: str, method: str, request: Message, response_type: type[ResponseT], timeout: timedelta
    ) -> ResponseT:
        """Calls a method at a controller. Raises WireError."""
