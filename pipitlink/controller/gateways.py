"""Delivers the cluster state to its followers, leases it, and confirms when an edit is in effect."""

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..cluster.currency import LEASE_SPAN
from ..cluster.follower import MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT
from ..cluster.state_transfer import StateTransfer
from ..errors import DeadlineExceeded, NotLeader, StorageFull, Unconfirmed
from ..timers import SingleFlight, ms, secs, to_ms
from ..wire.cluster_pb2 import Command, Delta, FollowRequest, FollowResponse, Outcome, StateChunk

__all__ = ["Gateways"]

FRESH_SPAN = ms(500)
EDIT_LIMIT = secs(5)
ORDER_LIMIT = ms(900)
SETTLE_SPAN = ms(500)
LOOK_INTERVAL = ms(50)
ROOM_SHARE = 0.9
MOST_DELTAS = 4096
MOST_BEHIND = 50
MOST_TRANSFERS = 4


@attrs.define
class _Follower:
    role: str
    sequence: int
    until: timedelta


def _wake(waiting: dict):
    now = list(waiting)
    waiting.clear()
    for d in now:
        if not d.called:
            d.callback(None)


class Gateways:
    """Mixin: delivers the cluster state, leases it to gateways, and knows when an edit is in effect everywhere.

    Offers `edit` for commands whose effect is waited for, `_order_limit`, `wake_news`, `_in_effect`,
    `_forget_followers`, and answers `controller.follow`.
    Needs of the node: `_ctx`, `archive`, `cluster_state`, `leader`, `state`; of Leading: `_propose`,
    `confirm_leadership`,
    `heard_majority_at`, `in_touch`, `_elected_at`.
    Owns `followers`, `_news`, `_confirmations` and `_proposals`.
    """

    def _open_gateways(self):
        self.followers: dict[str, _Follower] = {}
        self._transfers: list[StateTransfer] = []
        self._news: dict[defer.Deferred, None] = {}
        self._confirmations: dict[defer.Deferred, None] = {}
        self._proposals = SingleFlight()
        self._ctx.rpc.register_handler("controller.follow", FollowRequest, self._follow)

    def _fresh(self) -> bool:
        return self.state == "leader" and self._ctx.timers.now() - self.heard_majority_at() < FRESH_SPAN

    async def _follow(self, node, ask: FollowRequest) -> FollowResponse:
        if not self._fresh():
            raise NotLeader(self.leader if self.leader != self._ctx.node else "", self.leader)
        asked = self._ctx.timers.now()
        self.followers[ask.node] = _Follower(ask.role, ask.sequence, asked + LEASE_SPAN)
        _wake(self._confirmations)
        if ask.sequence >= self.cluster_state.sequence and not ask.no_wait:
            await self._hold_question(ask)
        if not self._fresh():
            raise NotLeader(self.leader if self.leader != self._ctx.node else "", self.leader)
        out = self._follow_response(ask)
        out.waited_ms = self._lease_from_now(ask.node, asked)
        return out

    def _follow_response(self, ask: FollowRequest) -> FollowResponse:
        """What follows on the asker's sequence; a piece of the whole state where the log no longer reaches back."""
        out = FollowResponse(sequence=self.cluster_state.sequence, leased=True, controller=self._ctx.node)
        base = ask.sequence
        deltas = self._deltas_after(base)
        if base == 0 or base < self.cluster_state.sequence and not deltas:
            out.chunk.CopyFrom(self._state_piece(ask.received))
            if out.chunk.offset + len(out.chunk.data) < out.chunk.total:
                return out
            base = out.chunk.sequence
            deltas = self._deltas_after(base)
        out.deltas.extend(deltas)
        out.leased = base + len(deltas) >= self.cluster_state.sequence
        return out

    def _deltas_after(self, base: int) -> list[Delta]:
        """The first agreed commands that follow a sequence; none where the log no longer reaches back to it."""
        agreed = [e for e in self.archive.after(base, MOST_DELTAS) if e.index <= self.cluster_state.sequence]
        if not agreed or agreed[0].index != base + 1:
            return []
        return [Delta(sequence=e.index, command=e.command) for e in agreed]

    def _state_piece(self, have: StateChunk) -> StateChunk:
        """The next piece of the state that the asker has a part of, or else of one that is not far behind."""
        kept = [t for t in self._transfers if t.term == self.term and t.sequence >= self.archive.snapshot.index]
        going_on = next((t for t in kept if t.matches(have)), None)
        if going_on is None:
            if not kept or self.cluster_state.sequence - kept[-1].sequence > MOST_BEHIND:
                kept.append(StateTransfer.of(self.cluster_state, self.term))
            going_on = kept[-1]
        self._transfers = kept[-MOST_TRANSFERS:]
        return going_on.chunk_after(have)

    async def _hold_question(self, ask: FollowRequest):
        span = min(ms(ask.max_wait_ms) or MIN_FOLLOW_WAIT, MAX_FOLLOW_WAIT)
        await self._wait(self._news, span, lambda: self.cluster_state.sequence > ask.sequence or self.state != "leader")

    def _lease_from_now(self, node: str, asked: timedelta) -> int:
        """The lease is counted anew from the answer: both sides take it to begin after the time the question was held.

        Returns that time in whole milliseconds, rounded down, so that the node's own end of it is never the later one.
        """
        now = self._ctx.timers.now()
        f = self.followers.get(node)
        if f is not None:
            f.until = max(f.until, now + LEASE_SPAN)
        return to_ms(now - asked)

    def wake_news(self):
        """The cluster state has moved: those that follow it hear of it, and those that wait for its effect look
        again.
        """
        _wake(self._news)
        _wake(self._confirmations)

    async def _wait(self, waiting: dict, limit: timedelta, until):
        end = self._ctx.timers.now() + limit
        while not until():
            left = end - self._ctx.timers.now()
            if left <= ms(0):
                return False
            d = defer.Deferred()
            waiting[d] = None
            try:
                await self._ctx.timers.wait_at_most(d, left)
            finally:
                waiting.pop(d, None)
        return True

    def _in_effect(self, sequence: int) -> bool:
        """Every gateway with a live lease has it, no lease of an earlier leader is left, and enough storage nodes have
        it.

        A gateway proves its cluster state by more than half of the witnesses, so half of them are enough here, once
        the last change
        of the witnesses is known to be with more than half.
        """
        now = self._ctx.timers.now()
        if now < self._elected_at + LEASE_SPAN:
            return False
        if any(f.role == "gateway" and f.until > now and f.sequence < sequence for f in self.followers.values()):
            return False
        witnesses = self.cluster_state.witnesses()
        have = sum(self._shows(w, sequence) for w in witnesses)
        return (
            2 * have > len(witnesses)
            or not witnesses
            or 2 * have == len(witnesses)
            and self.cluster_state.confirmed_witness_change == self.cluster_state.witnesses_changed_at
        )

    def _shows(self, storage_node: str, sequence: int) -> bool:
        f = self.followers.get(storage_node)
        return f is not None and f.sequence >= sequence

    def _order_limit(self) -> timedelta:
        """How long an order may be held: until leases of the leader before have ended, else no more than a second."""
        now = self._ctx.timers.now()
        return max(ORDER_LIMIT, self._elected_at + LEASE_SPAN + SETTLE_SPAN - now)

    async def edit(self, c: Command, limit: timedelta = EDIT_LIMIT) -> Outcome:
        """Proposes an edit and returns once it is agreed and in effect everywhere.

        Where no majority was heard of late it is refused, not run; where none is heard any more, its outcome is open.
        A proposal runs to its end also where its caller has left: the leader's own disk counts for it.
        """
        if self.state == "leader" and not self.in_touch():
            raise NotLeader("a majority of the controllers was not heard")
        end = self._ctx.timers.now() + limit
        if self.archive.used() + 3 * c.ByteSize() > self._ctx.settings.budget_mb * 1024 * 1024 * ROOM_SHARE:
            raise StorageFull("the controller's data folder has no room for this edit", sent=False)
        out = self.cluster_state.recorded_outcome(c)
        known = out is not None
        if not known:
            out = await self._ctx.timers.with_timeout(limit, self._agreed(c))
        if known or out.code != "done":
            await self.confirm_leadership()
        if out.code != "done":
            return out
        sequence = self.cluster_state.sequence
        while not self._in_effect(sequence):
            if self.state != "leader":
                raise Unconfirmed("the edit is agreed, but this controller no longer leads to see it in effect")
            if not self.in_touch():
                raise Unconfirmed("the edit is agreed, but a majority of the controllers is not heard any more")
            if self._ctx.timers.now() >= end:
                raise DeadlineExceeded("the edit is agreed but not yet shown to be in effect everywhere")
            await self._wait(self._confirmations, ms(50), lambda: self._in_effect(sequence))
        return out

    async def _agreed(self, c: Command) -> Outcome:
        """Waits for the agreement as long as a majority is heard; the entry may be agreed later all the same."""
        try:
            proposed = self._proposals.run(object(), lambda: self._propose(c))
            return await self._ctx.timers.run_while(self.in_touch, LOOK_INTERVAL, proposed)
        except defer.CancelledError:
            raise Unconfirmed("a majority of the controllers was not heard before the edit was agreed") from None

    def _forget_followers(self):
        now = self._ctx.timers.now()
        for node, f in list(self.followers.items()):
            if f.until + secs(60) < now:
                del self.followers[node]
