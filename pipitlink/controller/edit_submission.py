"""Edits and reads of the cluster state, handled locally on the leader and forwarded to it elsewhere."""

from __future__ import annotations

from functools import partial
from typing import TypeVar

from google.protobuf.message import Message
from twisted.internet import defer

from ..cluster import ClusterState
from ..context import Context
from ..errors import (
    ApiError,
    ConnectionFailed,
    DeadlineExceeded,
    NotLeader,
    RemoteError,
    StorageFull,
    Unconfirmed,
    WireError,
)
from ..timers import ms, secs
from ..wire.cluster_pb2 import ClusterStateData, Command, Outcome
from ..wire.controller_pb2 import EditRequest, EditResponse, ReadTableRequest
from .interfaces import ConsensusView, ControllerCalls, EditDelivery, LeaderLog

__all__ = ["EditSubmission"]

FORWARD_TIMEOUT = secs(7)
LEADER_CHECK_INTERVAL = ms(50)
STORAGE_FULL_CODE = "no_room"
NOT_RUN_CODES = ("not_leading", STORAGE_FULL_CODE)
"""Error codes with which the leader reports that an edit was not proposed."""

ResponseT = TypeVar("ResponseT", bound=Message)


class EditSubmission:
    """Edits and reads of the newest cluster state at any controller, which forwards them if it is not the leader."""

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusView,
        leader_log: LeaderLog,
        delivery: EditDelivery,
        calls: ControllerCalls,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._leader_log = leader_log
        self._delivery = delivery
        self._calls = calls

    def open(self) -> None:
        """Registers the RPC handlers for requests that other controllers forward."""
        self._ctx.rpc.register_handler("controller.edit", EditRequest, self._handle_edit)
        self._ctx.rpc.register_handler("controller.read", ReadTableRequest, self._handle_read)

    async def _handle_edit(self, _node: str, request: EditRequest) -> EditResponse:
        return EditResponse(outcome=await self._edit_here(request.command))

    async def _handle_read(self, _node: str, _request: ReadTableRequest) -> ClusterStateData:
        await self._leader_log.confirm_leadership()
        return self._consensus.cluster_state.data()

    async def _edit_here(self, command: Command) -> Outcome:
        return await self._delivery.edit(command, self._delivery.operator_edit_timeout())

    async def newest_cluster_state(self) -> ClusterState:
        """Returns the newest committed cluster state, as confirmed by the leader.

        Raises ApiError if no leader confirms it.
        """
        try:
            if self._consensus.is_leader:
                await self._leader_log.confirm_leadership()
                return self._consensus.cluster_state
            return ClusterState(await self._call_leader("controller.read", ReadTableRequest(), ClusterStateData))
        except (WireError, NotLeader, Unconfirmed) as error:
            raise ApiError(
                f"no leader confirmed the newest cluster state: {error}",
                code="no_leader",
                status=503,
                outcome="failed",
                retry_after=1,
            ) from error

    async def submit(self, command: Command) -> Outcome:
        """Submits an edit here or at the leader, and returns its outcome.

        Raises StorageFull, or ApiError, whose outcome says whether the edit may have taken effect.
        """
        try:
            if self._consensus.is_leader:
                return await self._edit_here(command)
            request = EditRequest(command=command)
            response = await self._call_leader("controller.edit", request, EditResponse)
            return response.outcome
        except (DeadlineExceeded, Unconfirmed, ConnectionFailed, RemoteError, NotLeader) as error:
            if isinstance(error, RemoteError) and error.remote_code == STORAGE_FULL_CODE:
                raise StorageFull(error.message, sent=False) from error
            raise self._api_error(error, command.edit) from error

    def _api_error(self, error: Exception, edit: str) -> ApiError:
        """Returns the client's error for an edit that failed or whose outcome is unknown."""
        if self._was_not_run(error):
            return ApiError(
                f"there is no leader at present: {error}",
                code="no_leader",
                status=503,
                outcome="not_run",
                retry_after=1,
            )
        return ApiError(
            f"{error}; send it again with Edit-Id {edit} to learn its outcome",
            code="unproven",
            status=503,
            outcome="unknown",
            retry_after=1,
        )

    def _was_not_run(self, error: Exception) -> bool:
        """Returns whether an error proves that no leader has proposed the edit."""
        if isinstance(error, NotLeader):
            return True
        if isinstance(error, ConnectionFailed):
            return not error.sent
        return isinstance(error, RemoteError) and error.remote_code in NOT_RUN_CODES

    async def _call_leader(self, method: str, request: Message, response_type: type[ResponseT]) -> ResponseT:
        """Forwards a call to the leader, and waits only while it stays the leader and in contact.

        Raises NotLeader if no leader is known, Unconfirmed if contact with the leader was lost, or WireError.
        """
        leader = self._consensus.leader_id
        if not leader or leader == self._ctx.node or not self._leader_log.has_contact():
            raise NotLeader("no leader is known")
        work = self._calls.call(leader, method, request, response_type, FORWARD_TIMEOUT)
        try:
            return await self._ctx.timers.run_while(
                partial(self._is_in_contact_with, leader), LEADER_CHECK_INTERVAL, work
            )
        except defer.CancelledError:
            raise Unconfirmed("the leader changed or was lost before it responded") from None

    def _is_in_contact_with(self, leader: str) -> bool:
        """Returns whether a node is still the known leader, with recent contact."""
        return self._consensus.leader_id == leader and self._leader_log.has_contact()
