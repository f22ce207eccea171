"""What the parts of a controller offer to each other."""

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
    """What is known at this controller of the consensus; read by all parts, changed by elections and replication."""

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads, as far as it knows."""

    @property
    def leader_id(self) -> str:
        """The node that leads, as far as is known here, or an empty string."""

    @property
    def term(self) -> int:
        """The newest term that this controller has seen."""

    @property
    def commit_index(self) -> int:
        """The index up to which entries are known to be committed."""

    @property
    def cluster_state(self) -> ClusterState:
        """The cluster state with all committed entries applied."""

    def voters(self) -> tuple[str, ...]:
        """Returns the voters by the newest entry of the log, committed or not."""

    def term_is_committed(self) -> bool:
        """Returns whether an entry of the present term is committed."""


class LeaderLog(Protocol):
    """The replicated log of the consensus, as far as other parts use it."""

    @property
    def elected_at(self) -> timedelta:
        """When this controller became the leader last, by its timers."""

    async def propose(self, command: Command) -> Outcome:
        """Appends a command; returns its outcome once it is committed and applied.

        Raises NotLeader where this controller does not lead, Unconfirmed where the outcome stays open.
        """

    async def confirm_leadership(self) -> None:
        """Returns once a majority has answered this leader after the call began.

        Raises NotLeader or Unconfirmed.
        """

    def has_contact(self) -> bool:
        """Returns whether a majority, as the leader, or the leader was in touch a short while ago."""

    def match_index(self, node: str) -> int | None:
        """Returns up to which index a controller's log is known to match this leader's, or None."""

    def last_response_at(self, node: str) -> timedelta | None:
        """Returns when the newest call was sent that a controller has answered in this term, or None."""


class FollowerView(Protocol):
    """A process that follows the cluster state, as the leader knows it."""

    role: str
    sequence: int


class EditDelivery(Protocol):
    """Edits that are followed until they are in effect at all followers of the cluster state."""

    @property
    def followers(self) -> Mapping[str, FollowerView]:
        """The followers that have asked this leader, by node."""

    async def edit(self, command: Command, timeout: timedelta = ...) -> Outcome:
        """Proposes an edit; returns once it is committed and in effect everywhere."""

    def is_in_effect(self, sequence: int) -> bool:
        """Returns whether no live gateway works by a cluster state older than `sequence`."""

    def operator_edit_timeout(self) -> timedelta:
        """Returns how long an operator's edit may be held."""


class ControllerCalls(Protocol):
    """RPC calls to other controllers, by node."""

    async def call(
        self, node: str, method: str, request: Message, response_type: type[ResponseT], timeout: timedelta
    ) -> ResponseT:
        """Calls a method at a controller. Raises WireError."""
