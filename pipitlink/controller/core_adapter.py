"""Interim: offers the consensus core, as long as it is mixins of the node, under the names of `interfaces`."""

from datetime import timedelta
from typing import TypeVar

from google.protobuf.message import Message

from ..wire.cluster_pb2 import Command, Outcome

__all__ = ["CoreAdapter"]

ResponseT = TypeVar("ResponseT", bound=Message)


class CoreAdapter:
    """The node as ConsensusView, LeaderLog, EditDelivery and ControllerCalls, as far as the mixins' names differ."""

    @property
    def is_leader(self) -> bool:
        """As in ConsensusView."""
        return self.state == "leader"

    @property
    def leader_id(self) -> str:
        """As in ConsensusView."""
        return self.leader

    @property
    def commit_index(self) -> int:
        """As in ConsensusView."""
        return self.commit

    def term_is_committed(self) -> bool:
        """As in ConsensusView."""
        return self.archive.term_at(self.commit) == self.term

    @property
    def elected_at(self) -> timedelta:
        """As in LeaderLog."""
        return self._elected_at

    async def propose(self, command: Command) -> Outcome:
        """As in LeaderLog."""
        return await self._propose(command)

    def has_contact(self) -> bool:
        """As in LeaderLog."""
        return self.in_touch()

    def match_index(self, node: str) -> int | None:
        """As in LeaderLog."""
        return self._match.get(node)

    def last_response_at(self, node: str) -> timedelta | None:
        """As in LeaderLog."""
        return self._acked_at.get(node)

    def is_in_effect(self, sequence: int) -> bool:
        """As in EditDelivery."""
        return self._in_effect(sequence)

    def order_time_limit(self) -> timedelta:
        """As in EditDelivery."""
        return self._order_limit()

    async def call(
        self, node: str, method: str, request: Message, response_type: type[ResponseT], limit: timedelta
    ) -> ResponseT:
        """As in ControllerCalls."""
        return await self.call_controller(node, method, request, response_type, limit)
