"""Log replication on the leader: appends commands, sends entries and snapshots to followers, and commits."""

from __future__ import annotations

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..context import Context
from ..errors import NotLeader, StorageFull, Unconfirmed, WireError
from ..timers import ZERO, ms, secs, to_ms
from ..wire.cluster_pb2 import Command, Outcome
from ..wire.controller_pb2 import AppendRequest, AppendResponse, ControllerEntry
from .consensus_state import ConsensusState
from .durable_log import DurableLog
from .follower_progress import FollowerProgress
from .interfaces import ControllerCalls
from .leader_contact import LeaderContact

__all__ = ["LogReplication", "SenderKey"]

HEARTBEAT_INTERVAL = ms(100)
CALL_TIMEOUT = ms(500)
"""Timeout of an append call, in addition to the time for its bytes at MIN_BYTES_PER_S."""
MIN_BYTES_PER_S = 250_000
CONTACT_TIMEOUT = ms(700)
CONFIRMATION_INTERVAL = ms(10)


@attrs.frozen
class SenderKey:
    """Identifies the sender of entries to one node in one term.

    Each term has its own senders, so that a call of an earlier term that does not return cannot block them.
    """

    node: str
    term: int


@attrs.frozen
class _Proposal:
    """A proposed entry whose outcome is awaited.

    `result` fires with an error as a value, since a failure that nobody awaits any more would be reported as unhandled.
    """

    term: int
    result: defer.Deferred[Outcome | Unconfirmed]


class LogReplication:
    """Replicates the log while this controller leads, with one sender per other controller."""

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusState,
        durable_log: DurableLog,
        contact: LeaderContact,
        calls: ControllerCalls,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._durable_log = durable_log
        self._contact = contact
        self._calls = calls
        self._followers: dict[str, FollowerProgress] = {}
        self._senders: set[SenderKey] = set()
        self._idle_senders: dict[str, defer.Deferred[None]] = {}
        self.proposals: dict[int, _Proposal] = {}
        self.synced_index = 0
        self.elected_at = ZERO

    def open(self) -> None:
        """Registers the callbacks for role changes and applied entries."""
        self._consensus.when_elected(self._begin_leadership)
        self._consensus.when_stepped_down(self._end_leadership)
        self._consensus.when_applied(self._resolve_proposal)

    def _begin_leadership(self) -> None:
        self.elected_at = self._ctx.timers.now()
        self._followers = {}
        self.synced_index = 0
        self._ctx.logger.info("leader_elected", term=self._consensus.term, voters=",".join(self._consensus.voters()))
        self._ctx.run_in_background(self.propose(Command(no_op=True)), "commit_no_op")

    def _end_leadership(self) -> None:
        proposals, self.proposals = self.proposals, {}
        for proposal in proposals.values():
            proposal.result.callback(Unconfirmed("the leader changed before the outcome was known"))
        self._wake_senders()

    def match_index(self, node: str) -> int | None:
        """Returns the index up to which a controller's log is known to match this leader's, or None."""
        progress = self._followers.get(node)
        return progress.match_index if progress is not None else None

    def last_response_at(self, node: str) -> timedelta | None:
        """Returns when the newest call with a response from a controller in this term was sent, or None."""
        progress = self._followers.get(node)
        return progress.last_response_at if progress is not None else None

    def quorum_contact_at(self) -> timedelta:
        """Returns the latest time at which a majority of the voters is known to have followed this leader."""
        now = self._ctx.timers.now()
        contacts = [
            now if voter == self._ctx.node else self.last_response_at(voter) or ZERO
            for voter in self._consensus.voters()
        ]
        contacts.sort(reverse=True)
        return contacts[len(contacts) // 2] if contacts else ZERO

    def has_contact(self) -> bool:
        """Returns whether there was a recent round trip: on the leader with a majority, elsewhere with the leader."""
        if self._consensus.is_leader:
            contact_at = max(self.quorum_contact_at(), self.elected_at)
        elif self._consensus.leader_id:
            contact_at = self._contact.round_trip_at
        else:
            return False
        return self._ctx.timers.now() - contact_at < CONTACT_TIMEOUT

    def send_to_all(self) -> None:
        """Starts a sender for each controller in the membership that has none in this term."""
        for member in self._ctx.membership.members("controller", include_self=False):
            key = self._sender_key(member.node)
            if key not in self._senders:
                self._senders.add(key)
                self._ctx.run_in_background(self._send(member.node, self._consensus.term), "send_entries")

    def _sender_key(self, node: str) -> SenderKey:
        return SenderKey(node, self._consensus.term)

    async def _send(self, node: str, term: int) -> None:
        """Sends entries or a snapshot to a follower while this term is led and the follower is a member."""
        key = self._sender_key(node)
        last_index = self._durable_log.last_index()
        progress = self._followers.setdefault(node, FollowerProgress(last_index + 1))
        progress.restart(last_index)
        try:
            while self._consensus.leads_in(term) and self._ctx.membership.status(node) != "gone":
                sent_at = self._ctx.timers.now()
                response = await self._call_append(node, progress)
                if response is None:
                    await self._ctx.timers.sleep(HEARTBEAT_INTERVAL)
                    continue
                if response.term > self._consensus.term:
                    await self._consensus.observe_term(response.term)
                    return
                if not self._consensus.leads_in(term):
                    return
                progress.last_response_at = sent_at
                await self._take_response(node, progress, response)
        finally:
            self._senders.discard(key)

    async def _call_append(self, node: str, progress: FollowerProgress) -> AppendResponse | None:
        """Sends the follower its next entries or chunk; returns its response, or None if the call failed."""
        if progress.outgoing is None and self._needs_snapshot(progress):
            progress.begin_snapshot(self._durable_log.snapshot)
        request = self._append_request(node, progress)
        timeout = CALL_TIMEOUT + secs(request.ByteSize() / MIN_BYTES_PER_S)
        try:
            return await self._calls.call(node, "controller.append", request, AppendResponse, timeout)
        except WireError:
            return None

    def _needs_snapshot(self, progress: FollowerProgress) -> bool:
        """Whether the log no longer has the entries the follower needs, or the follower may lack the initial voters."""
        if self._durable_log.term_at(progress.previous_index) is None:
            return True
        return progress.previous_index == 0 and progress.match_index is None

    def _append_request(self, node: str, progress: FollowerProgress) -> AppendRequest:
        request = AppendRequest(
            term=self._consensus.term, leader=self._ctx.node, commit_index=self._consensus.commit_index
        )
        request.last_response_age_ms = self._last_response_age_ms(node)
        if progress.outgoing is not None:
            request.chunk.CopyFrom(progress.outgoing.next_chunk())
            request.prev_index, request.prev_term = progress.outgoing.index, progress.outgoing.term
            return request
        previous_term = self._durable_log.term_at(progress.previous_index)
        assert previous_term is not None
        request.prev_index, request.prev_term = progress.previous_index, previous_term
        request.entries.extend(self._durable_log.entries_after(progress.previous_index))
        return request

    def _last_response_age_ms(self, node: str) -> int:
        """Age of the latest call that a controller responded to, or of this leadership if that is shorter."""
        response_at = max(self.elected_at, self.last_response_at(node) or ZERO)
        return to_ms(self._ctx.timers.now() - response_at)

    async def _take_response(self, node: str, progress: FollowerProgress, response: AppendResponse) -> None:
        """Processes a response; returns once there is more to send to the follower or a heartbeat is due."""
        if response.success:
            progress.accepted(response.last_index)
            self._advance_commit_index()
            if progress.previous_index >= self._durable_log.last_index():
                await self._wait_for_entries(node)
        elif progress.outgoing is None:
            progress.rejected(response.last_index)
        elif not progress.chunk_received(progress.outgoing, response):
            await self._wait_for_entries(node)

    async def _wait_for_entries(self, node: str) -> None:
        woken: defer.Deferred[None] = defer.Deferred()
        self._idle_senders[node] = woken
        await self._ctx.timers.wait_at_most(woken, HEARTBEAT_INTERVAL)

    def _wake_senders(self) -> None:
        idle, self._idle_senders = self._idle_senders, {}
        for woken in idle.values():
            if not woken.called:
                woken.callback(None)

    async def propose(self, command: Command) -> Outcome:
        """Appends a command and returns its outcome once it is committed and applied.

        Raises NotLeader if this controller does not lead, Unconfirmed if the outcome stays unknown.
        """
        self._require_leader()
        term = self._consensus.term
        index = self._durable_log.last_index() + 1
        proposal = _Proposal(term, defer.Deferred())
        self.proposals[index] = proposal
        synced = self._durable_log.append(ControllerEntry(index=index, term=term, command=command))
        self._wake_senders()
        try:
            await synced
        except StorageFull as error:
            self._consensus.step_down()
            raise Unconfirmed(
                f"the leader's disk rejected the entry, but other controllers may have it: {error}"
            ) from error
        if self._consensus.term == term:
            self.synced_index = max(self.synced_index, index)
            self._advance_commit_index()
        outcome = await proposal.result
        if isinstance(outcome, Unconfirmed):
            raise outcome
        return outcome

    def _require_leader(self) -> None:
        if not self._consensus.is_leader:
            raise NotLeader(self._consensus.leader_id, self._consensus.leader_id)

    def _advance_commit_index(self) -> None:
        """Commits up to the index that a majority of the voters has synced, if that entry is of the current term."""
        if not self._consensus.is_leader:
            return
        synced = [
            self.synced_index if voter == self._ctx.node else self.match_index(voter) or 0
            for voter in self._consensus.voters()
        ]
        if not synced:
            return
        synced.sort(reverse=True)
        quorum_index = synced[len(synced) // 2]
        if quorum_index <= self._consensus.commit_index:
            return
        if self._durable_log.term_at(quorum_index) == self._consensus.term:
            self._consensus.commit(quorum_index)
            self._wake_senders()

    def _resolve_proposal(self, index: int, term: int, outcome: Outcome) -> None:
        proposal = self.proposals.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            proposal.result.callback(outcome)
        else:
            proposal.result.callback(Unconfirmed("another leader's entry replaced it in the log"))

    async def confirm_leadership(self) -> None:
        """Returns once a majority has responded since the start of the call and the term has a committed entry.

        Raises NotLeader or Unconfirmed: at once if there was no recent contact with a majority, else after
        CONTACT_TIMEOUT at most.
        """
        self._require_leader()
        started_at = self._ctx.timers.now()
        term = self._consensus.term
        deadline = started_at + CONTACT_TIMEOUT
        while True:
            if not self._consensus.leads_in(term):
                raise NotLeader(self._consensus.leader_id, self._consensus.leader_id)
            if self.quorum_contact_at() >= started_at and self._consensus.term_is_committed():
                return
            if not self.has_contact() or self._ctx.timers.now() > deadline:
                raise Unconfirmed("a majority of the controllers did not respond")
            self._wake_senders()
            await self._ctx.timers.sleep(CONFIRMATION_INTERVAL)
