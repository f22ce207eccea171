"""Leader elections with a pre-vote. The hard state is synced before a vote is sent."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..timers import ZERO, RepeatingCall, ms, spawn
from ..wire.controller_pb2 import VoteRequest, VoteResponse
from .consensus_state import ConsensusState
from .durable_log import DurableLog
from .interfaces import ControllerCalls
from .leader_contact import LeaderContact
from .log_replication import LogReplication
from .vote_poll import VotePoll

__all__ = ["LEADER_STICKINESS", "Elections"]

TICK_INTERVAL = ms(50)
LEADER_STICKINESS = ms(600)
"""A voter grants no vote within this time of a leader's last message. Also the minimum election timeout."""
MAX_ELECTION_TIMEOUT = ms(1200)
"""Also the time after which a leader without contact to a majority steps down."""
FULL_RESTART_STEP = ms(60)
MAX_LEADER_CHECK_INTERVAL = ms(200)


class Elections:
    """Starts elections after an election timeout, grants votes, and steps down as a leader without a quorum.

    After a full restart, when all voters have just started and none has heard a leader, a controller need not wait for
    the election timeout. The voters start such elections at staggered times, so that they do not split the votes.
    """

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusState,
        durable_log: DurableLog,
        contact: LeaderContact,
        replication: LogReplication,
        calls: ControllerCalls,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._durable_log = durable_log
        self._contact = contact
        self._replication = replication
        self._calls = calls
        self._full_restart_over = False
        self._full_restart_election_at: timedelta | None = None
        self.election_timeout = MAX_ELECTION_TIMEOUT
        self._timer: RepeatingCall | None = None

    def open(self) -> None:
        """Registers the RPC handler for vote requests."""
        self.election_timeout = self._random_timeout()
        self._consensus.when_stepped_down(self._wake_timer)
        self._ctx.rpc.register_handler("controller.vote", VoteRequest, self._handle_vote_request)

    def start_timer(self) -> None:
        """Starts the timer of elections."""
        self._timer = self._ctx.timers.call_repeatedly(
            TICK_INTERVAL, self._tick, self._ctx.error_reporter("election"), idle_time=self._time_to_next_check
        )

    def _wake_timer(self) -> None:
        if self._timer is not None:
            self._timer.wake()

    def _random_timeout(self) -> timedelta:
        return LEADER_STICKINESS + (MAX_ELECTION_TIMEOUT - LEADER_STICKINESS) * self._ctx.rng.random()

    def _tick(self) -> defer.Deferred[Any] | None:
        now = self._ctx.timers.now()
        if self._consensus.is_leader:
            self._check_quorum(now)
            return None
        if not self._consensus.is_follower or not self._consensus.is_voter():
            return None
        if self._just_started() and now >= self._next_full_restart_election_at():
            self._full_restart_election_at = now + FULL_RESTART_STEP * len(self._consensus.voters())
            return self._start_election(full_restart=True)
        if now - self._contact.election_timer_reset_at > self.election_timeout:
            self.election_timeout = self._random_timeout()
            self._contact.reset_election_timer()
            return self._start_election(full_restart=False)
        return None

    def _check_quorum(self, now: timedelta) -> None:
        if now - self._quorum_or_election_at() > MAX_ELECTION_TIMEOUT:
            self._ctx.logger.info("quorum_lost", term=self._consensus.term)
            self._consensus.step_down()

    def _quorum_or_election_at(self) -> timedelta:
        return max(self._replication.quorum_contact_at(), self._replication.elected_at)

    def _time_to_next_check(self) -> timedelta:
        """Time until the next check.

        A leader checks at least every MAX_LEADER_CHECK_INTERVAL: a change of the voters can move the time of its last
        contact with a majority back.
        """
        now = self._ctx.timers.now()
        if self._consensus.is_follower and not self._just_started():
            return self._contact.election_timer_reset_at + self.election_timeout - now
        if self._consensus.is_leader:
            return min(MAX_LEADER_CHECK_INTERVAL, self._quorum_or_election_at() + MAX_ELECTION_TIMEOUT - now)
        return ZERO

    def _start_election(self, full_restart: bool) -> defer.Deferred[Any]:
        self._consensus.start_election()
        return spawn(self._run_election(full_restart)).addErrback(self._election_failed)

    def _election_failed(self, failure: Failure) -> None:
        self._ctx.logger.failure("election_failed", failure.value)
        self._consensus.step_down()

    def _just_started(self) -> bool:
        """Whether this controller started recently, and has neither heard a leader nor voted since."""
        if self._full_restart_over or self._contact.had_leader_since_start():
            return False
        return self._ctx.timers.now() - self._contact.started_at < LEADER_STICKINESS

    def _next_full_restart_election_at(self) -> timedelta:
        if self._full_restart_election_at is None:
            position = self._consensus.voters().index(self._ctx.node)
            self._full_restart_election_at = self._contact.started_at + FULL_RESTART_STEP * (1 + position)
        return self._full_restart_election_at

    async def _run_election(self, full_restart: bool) -> None:
        term = self._consensus.term + 1
        if not await self._poll_voters(term, pre_vote=True, full_restart=full_restart):
            self._consensus.step_down()
            return
        self._full_restart_over = True
        term = self._consensus.term + 1
        await self._durable_log.save_hard_state(term, self._ctx.node)
        if not self._is_candidate_in(term):
            return
        self._consensus.leader_id = ""
        elected = await self._poll_voters(term, pre_vote=False, full_restart=full_restart)
        if elected and self._is_candidate_in(term):
            self._consensus.win_election()
        elif self._consensus.is_candidate:
            self._consensus.step_down()

    def _is_candidate_in(self, term: int) -> bool:
        return self._consensus.term == term and self._consensus.is_candidate

    async def _poll_voters(self, term: int, *, pre_vote: bool, full_restart: bool) -> bool:
        """Returns whether a majority votes for this controller, or would do so in the case of a pre-vote."""
        request = VoteRequest(
            term=term,
            candidate=self._ctx.node,
            last_index=self._durable_log.last_index(),
            last_term=self._durable_log.last_term(),
            pre_vote=pre_vote,
            full_restart=full_restart,
            voters=self._consensus.voters() if full_restart else (),
        )
        return await VotePoll(self._ctx, self._consensus, self._calls, request).run()

    async def _handle_vote_request(self, _node: str, request: VoteRequest) -> VoteResponse:
        response = await self.vote(request)
        response.node = self._ctx.node
        return response

    async def vote(self, request: VoteRequest) -> VoteResponse:
        """Responds to a vote request. A vote is durable before it is granted."""
        if self._consensus.is_newcomer:
            return VoteResponse(term=self._consensus.term)
        full_restart = self._confirms_full_restart(request)
        outdated = request.term < self._consensus.term
        if outdated or self._has_sticky_leader(full_restart) or not self._log_up_to_date(request):
            return VoteResponse(term=self._consensus.term, full_restart=full_restart)
        if request.pre_vote:
            granted = request.term > self._consensus.term
            return VoteResponse(term=self._consensus.term, granted=granted, full_restart=full_restart)
        self._full_restart_over = True
        if request.term > self._consensus.term:
            self._consensus.step_down()
        elif self._durable_log.hard_state.voted_for not in ("", request.candidate):
            return VoteResponse(term=self._consensus.term)
        granted = await self._save_vote(request)
        return VoteResponse(term=self._consensus.term, granted=granted)

    async def _save_vote(self, request: VoteRequest) -> bool:
        """Makes a vote durable; returns whether it is still valid after the write."""
        await self._durable_log.save_hard_state(request.term, request.candidate)
        hard_state = self._durable_log.hard_state
        is_valid = (hard_state.term, hard_state.voted_for) == (request.term, request.candidate)
        if is_valid:
            self._contact.reset_election_timer()
        return is_valid

    def _confirms_full_restart(self, request: VoteRequest) -> bool:
        return request.full_restart and self._just_started() and tuple(request.voters) == self._consensus.voters()

    def _has_sticky_leader(self, full_restart: bool) -> bool:
        """Leader stickiness: whether this controller leads, or heard a leader too recently to vote for another."""
        if self._consensus.is_leader:
            return True
        recent_leader = self._ctx.timers.now() - self._contact.leader_message_at < LEADER_STICKINESS
        return recent_leader and not full_restart

    def _log_up_to_date(self, request: VoteRequest) -> bool:
        """Whether the candidate's log is at least as up to date as this controller's."""
        last = (self._durable_log.last_term(), self._durable_log.last_index())
        return (request.last_term, request.last_index) >= last
