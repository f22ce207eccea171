"""Polls the voters in one round of an election or pre-vote."""

from __future__ import annotations

from twisted.internet import defer

from ..context import Context
from ..errors import WireError, WrongPeer
from ..timers import ms
from ..wire.controller_pb2 import VoteRequest, VoteResponse
from .consensus_state import ConsensusState
from .interfaces import ControllerCalls

__all__ = ["VotePoll"]

CALL_TIMEOUT = ms(400)


class VotePoll:
    """Sends a vote request to all voters at once, and collects the votes until the result is known.

    After a full restart a candidate need not wait until a former leader would have stepped down, if the pre-vote proves
    that no voter leads: each one must confirm that it started recently and knows the same set of voters, or another
    node must respond at its address.
    """

    def __init__(self, ctx: Context, consensus: ConsensusState, calls: ControllerCalls, request: VoteRequest) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._calls = calls
        self._request = request
        self._proves_full_restart = request.pre_vote and request.full_restart
        self._voters = consensus.voters()
        self._granted = {ctx.node}
        self._just_started = {ctx.node}
        self._outstanding = len(self._voters) - 1
        self._result_known: defer.Deferred[None] = defer.Deferred()

    async def run(self) -> bool:
        """Returns whether a majority granted its vote and, for the proof of a full restart, all voters just started."""
        for voter in self._voters:
            if voter != self._ctx.node:
                self._ctx.run_in_background(self._request_vote(voter), "vote_request")
        if self._outstanding:
            await self._result_known
        if self._proves_full_restart and not self._just_started.issuperset(self._voters):
            return False
        return self._consensus.is_majority(self._granted)

    async def _request_vote(self, voter: str) -> None:
        try:
            response = await self._calls.call(voter, "controller.vote", self._request, VoteResponse, CALL_TIMEOUT)
            await self._take_response(voter, response)
        except WrongPeer:
            self._just_started.add(voter)
        except WireError:
            pass
        self._outstanding -= 1
        if not self._result_known.called and self._is_decided():
            self._result_known.callback(None)

    async def _take_response(self, voter: str, response: VoteResponse) -> None:
        if response.full_restart:
            self._just_started.add(voter)
        if response.granted and response.node == voter:
            self._granted.add(voter)
        elif response.term > self._consensus.term and not self._request.pre_vote:
            await self._consensus.observe_term(response.term)

    def _is_decided(self) -> bool:
        if self._outstanding == 0:
            return True
        return not self._proves_full_restart and self._consensus.is_majority(self._granted)
