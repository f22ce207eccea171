"""Log replication of the controllers' consensus, for leader and followers."""

from datetime import timedelta

from twisted.internet import defer

from ..errors import NotLeader, StorageFull, Unconfirmed, WireError
from ..timers import ZERO, ms, secs, to_ms
from ..wire.cluster_pb2 import Command, Outcome
from ..wire.controller_pb2 import AppendRequest, AppendResponse, ControllerEntry
from .archive import told_by_the_last
from .snapshots import OutgoingSnapshot

__all__ = ["Leading"]

HEART_INTERVAL = ms(100)
APPEND_LIMIT = ms(500)
CONTACT_SPAN = ms(700)
SLOWEST_BYTES_PER_S = 250_000


class Leading:
    """Mixin: log replication of the agreement: one task for each other controller while this one leads.

    Offers `_propose` for commands, `confirm_leadership` and `heard_majority_at` as proofs of leadership, `in_touch` for
    whether orders can be decided now, `settle` for outcomes of applied entries, `_send_to_all`; answers
    `controller.append` as a follower. The state machine calls `_lead` and `_yielded`.
    Needs of the node: `_ctx`, `archive`, `voters`, `call_controller`, `adopt`, `apply`, `lead_timers`, `_elections`,
    `state` and `trigger`; of Voting: `term`, `meet_term`, `step_down`.
    Owns `_match`, `_acked_at`, `_senders`, `_wakes`, `_proposed`, `_synced`, `_elected_at` and `_contact_at`, and alone
    appends entries. Shares `commit` with the node, which moves it past adopted snapshots, and `leader`, `_heard_at`,
    `_led_at` with Voting.
    """

    def _open_leading(self):
        self._match: dict[str, int] = {}
        self._acked_at: dict[str, timedelta] = {}
        self._senders: set[tuple[str, int]] = set()
        self._wakes: dict[str, defer.Deferred] = {}
        self._proposed: dict[int, tuple[int, defer.Deferred]] = {}
        self._synced = 0
        self._elected_at = timedelta(0)
        self._contact_at = self._ctx.timers.now()
        self._ctx.rpc.register_handler("controller.append", AppendRequest, self._append)

    def _lead(self):
        self.leader = self._ctx.node
        self._elected_at = self._ctx.timers.now()
        self._match, self._acked_at, self._synced = {}, {}, 0
        self._ctx.logger.info("leading", term=self.term, voters=",".join(self.voters()))
        self._ctx.run_in_background(self._propose(Command(no_op=True)), "first_entry")
        for b in self.lead_timers:
            b.wake()

    def _yielded(self):
        self._ctx.logger.info("yielded", term=self.term)
        self.leader = ""
        self._elections.wake()
        proposed, self._proposed = self._proposed, {}
        for _, d in proposed.values():
            d.callback(Unconfirmed("the leader changed before the outcome was known"))
        self._wake_all()
        self.wake_news()

    def heard_majority_at(self) -> timedelta:
        """The latest time for which a majority of the voters is known to have followed this leader."""
        now = self._ctx.timers.now()
        at = sorted((now if v == self._ctx.node else self._acked_at.get(v, ZERO) for v in self.voters()), reverse=True)
        return at[len(at) // 2] if at else ZERO

    def in_touch(self) -> bool:
        """Whether calls went both ways a short while ago: with a majority as the leader, else with the leader."""
        if self.state == "leader":
            at = max(self.heard_majority_at(), self._elected_at)
        elif self.leader:
            at = self._contact_at
        else:
            return False
        return self._ctx.timers.now() - at < CONTACT_SPAN

    def _send_to_all(self):
        for m in self._ctx.membership.members("controller", include_self=False):
            key = self._sender_key(m.node)
            if key not in self._senders:
                self._senders.add(key)
                self._ctx.run_in_background(self._send(m.node, self.term), "send_entries")

    def _sender_key(self, node: str) -> tuple[str, int]:
        """A call of an earlier term that hangs must not hold up this term's sender."""
        return node, self.term

    async def _send(self, node: str, term: int):
        key = self._sender_key(node)
        after = self.archive.last_index()
        outgoing: OutgoingSnapshot | None = None
        try:
            while self._leads(term) and self._ctx.membership.status(node) != "gone":
                sent = self._ctx.timers.now()
                if outgoing is None and self._needs_snapshot(node, after):
                    outgoing = OutgoingSnapshot.of(self.archive.snapshot)
                ask = self._append_request(node, after, outgoing)
                limit = APPEND_LIMIT + secs(ask.ByteSize() / SLOWEST_BYTES_PER_S)
                try:
                    r = await self.call_controller(node, "controller.append", ask, AppendResponse, limit)
                except WireError:
                    await self._ctx.timers.sleep(HEART_INTERVAL)
                    continue
                if r.term > self.term:
                    await self.meet_term(r.term)
                    return
                if not self._leads(term):
                    return
                self._acked_at[node] = sent
                if r.done:
                    outgoing = None
                    after = self._match[node] = r.last
                    self._advance()
                elif outgoing is None:
                    after = min(r.last, max(0, after - 1))
                else:
                    progress, outgoing = self._sent_on(outgoing, r.received)
                    if not progress:
                        await self._wait_wake(node)
                if after >= self.archive.last_index() and r.done:
                    await self._wait_wake(node)
        finally:
            self._senders.discard(key)

    def _leads(self, term: int) -> bool:
        return self.state == "leader" and self.term == term

    def _sent_on(self, outgoing: OutgoingSnapshot, received: int) -> tuple[bool, OutgoingSnapshot | None]:
        """Goes on where the follower is. One that has nothing of it gets whichever snapshot is the newest now."""
        progress = received > outgoing.offset
        outgoing.offset = min(received, len(outgoing.data))
        return progress, outgoing if received else None

    def _needs_snapshot(self, node: str, after: int) -> bool:
        """Where the log no longer reaches back; and a newcomer, which has none, needs the first voters."""
        return self.archive.term_at(after) is None or after == 0 and node not in self._match

    def _append_request(self, node: str, after: int, outgoing: OutgoingSnapshot | None) -> AppendRequest:
        ask = AppendRequest(term=self.term, leader=self._ctx.node, commit=self.commit)
        ask.acked_ms = self._silent_ms(node)
        if outgoing is not None:
            ask.piece.CopyFrom(outgoing.piece())
            ask.prev_index, ask.prev_term = outgoing.index, outgoing.term
        else:
            ask.prev_index, ask.prev_term = after, self.archive.term_at(after)
            ask.entries.extend(self.archive.after(after))
        return ask

    def _silent_ms(self, node: str) -> int:
        """How long ago the latest call that this controller answered was sent, or since when this one leads."""
        acked_at = max(self._elected_at, self._acked_at.get(node, ZERO))
        return to_ms(self._ctx.timers.now() - acked_at)

    async def _wait_wake(self, node: str):
        d = self._wakes[node] = defer.Deferred()
        await self._ctx.timers.wait_at_most(d, HEART_INTERVAL)

    def _wake_all(self):
        wakes, self._wakes = self._wakes, {}
        for d in wakes.values():
            if not d.called:
                d.callback(None)

    async def _propose(self, c: Command) -> Outcome:
        """Appends a command; returns its outcome once it is agreed and applied.

        An error is handed over as a value, since nobody may be left to wait for it.
        """
        if self.state != "leader":
            raise NotLeader(self.leader, self.leader)
        term = self.term
        index = self.archive.last_index() + 1
        d = defer.Deferred()
        self._proposed[index] = (term, d)
        synced = self.archive.put_entry(ControllerEntry(index=index, term=term, command=c))
        self._wake_all()
        try:
            await synced
        except StorageFull as e:
            self.step_down()
            raise Unconfirmed(f"the leader's disk refused the entry, and others may have it: {e}") from e
        if self.term == term:
            self._synced = max(self._synced, index)
            self._advance()
        outcome = await d
        if isinstance(outcome, Unconfirmed):
            raise outcome
        return outcome

    def _advance(self):
        if self.state != "leader":
            return
        marks = sorted(
            (self._synced if v == self._ctx.node else self._match.get(v, 0) for v in self.voters()), reverse=True
        )
        if not marks:
            return
        reached = marks[len(marks) // 2]
        if reached > self.commit and self.archive.term_at(reached) == self.term:
            self.commit = reached
            self.apply()
            self._wake_all()

    def settle(self, index: int, term: int, outcome: Outcome):
        got = self._proposed.pop(index, None)
        if got is not None:
            proven = got[0] == term
            got[1].callback(outcome if proven else Unconfirmed("another leader's entry stands in its place"))

    async def confirm_leadership(self):
        """Returns once a majority has answered this leader after the call began, and its term has an agreed entry.

        Refuses at once where none was heard of late, and waits for one no longer than that.
        """
        if self.state != "leader":
            raise NotLeader(self.leader, self.leader)
        asked = self._ctx.timers.now()
        term = self.term
        until = asked + CONTACT_SPAN
        while True:
            if self.state != "leader" or self.term != term:
                raise NotLeader(self.leader, self.leader)
            if self.heard_majority_at() >= asked and self.archive.term_at(self.commit) == term:
                return
            if not self.in_touch() or self._ctx.timers.now() > until:
                raise Unconfirmed("a majority of the controllers was not heard")
            self._wake_all()
            await self._ctx.timers.sleep(ms(10))

    async def _append(self, node, ask: AppendRequest) -> AppendResponse:
        if ask.term < self.term:
            return AppendResponse(term=self.term)
        await self.meet_term(ask.term)
        if self.state == "candidate":
            self.trigger("yield")
        if self.term != ask.term or self.state == "leader":
            return AppendResponse(term=self.term)
        now = self._ctx.timers.now()
        self._heard_at = self._led_at = now
        self._contact_at = max(self._contact_at, now - ms(ask.acked_ms))
        self.leader = ask.leader
        if ask.HasField("piece") and self.lacks(ask.piece):
            return AppendResponse(term=self.term, received=self.take_piece(ask))
        if self.state == "newcomer" or self.archive.term_at(ask.prev_index) != ask.prev_term:
            return AppendResponse(term=self.term, last=min(self.archive.last_index(), max(0, ask.prev_index - 1)))
        for e in ask.entries:
            if self.archive.term_at(e.index) != e.term and e.index > self.archive.snapshot.index:
                self.archive.put_entry(e).addErrback(told_by_the_last)
        await self.archive.all_synced()
        if self.term != ask.term:
            return AppendResponse(term=self.term)
        last = ask.prev_index + len(ask.entries)
        if min(ask.commit, last) > self.commit:
            self.commit = min(ask.commit, last)
            self.apply()
        return AppendResponse(term=self.term, done=True, last=last)
