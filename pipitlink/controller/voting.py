"""Elections of the controllers, and the founding of a new fleet."""

from datetime import timedelta

from twisted.internet import defer

from ..errors import WireError, WrongPeer
from ..timers import ZERO, ms, spawn
from ..wire.cluster_pb2 import ClusterStateData
from ..wire.controller_pb2 import FoundResponse, Snapshot, VoteRequest, VoteResponse
from ..wire.frame_pb2 import Empty

__all__ = ["Voting", "Founding", "STICKY_SPAN"]

STICKY_SPAN = ms(600)
FRESH_STEP = ms(60)
LONGEST = ms(1200)
LOOK_SPAN = ms(200)
ASK_LIMIT = ms(400)


class Founding:
    """Mixin: the first voters, from an explicit list that is used only if every one of them is empty.

    Offers `_found_beat`, run repeatedly until founded, and `_empty`, the answer to `controller.empty`.
    Needs of the node: `_ctx`, `founders`, `adopt`, and `state` of its state machine.
    Owns no attributes.
    """

    async def _found_beat(self):
        if self.state != "newcomer" or not self._ctx.settings.founders:
            return
        got = []
        for founder in self._ctx.settings.founders:
            host, _, port = founder.rpartition(":")
            try:
                got.append(
                    await self._ctx.rpc.call((host, int(port)), "controller.empty", Empty(), FoundResponse, ASK_LIMIT)
                )
            except WireError:
                got.append(None)
        for r in got:
            if r is not None and self._ctx.node in r.voters:
                await self._found(tuple(r.voters))
                return
        first_host, _, first_port = self._ctx.settings.founders[0].rpartition(":")
        first = (first_host, int(first_port)) == self._ctx.rpc.address
        if first and all(r is not None and not r.founded for r in got):
            await self._found(tuple(sorted(r.node for r in got)))

    async def _empty(self, node, _) -> FoundResponse:
        founded = self.state != "newcomer"
        return FoundResponse(node=self._ctx.node, founded=founded, voters=self.founders if founded else ())

    async def _found(self, voters: tuple[str, ...]):
        if self.state != "newcomer" or self._ctx.node not in voters:
            return
        s = Snapshot(index=0, term=0, cluster_state=ClusterStateData(voters=voters))
        await self.adopt(s)
        self._ctx.logger.info("founded", voters=",".join(voters))


class Voting:
    """Mixin: elections with a pre-vote. Ballots are synced before they are answered.

    Offers `term`, `is_majority`, `meet_term`, `step_down`, and for the node's timers `_election_beat` and
    `_election_due`.
    Needs of the node: `_ctx`, `archive`, `call_controller`, `voters`, `state` and `trigger`; of Leading:
    `heard_majority_at`, `_elected_at`.
    Owns `_started_at`, `_fresh_spent`, `_fresh_at` and `_patience`, and alone writes ballots. Shares `leader`,
    `_heard_at` and `_led_at` with Leading, which sets them when a leader is heard.
    """

    def _open_voting(self):
        now = self._ctx.timers.now()
        self._heard_at = self._led_at = now
        self._started_at = now
        self._fresh_spent = False
        self._fresh_at: timedelta | None = None
        self._patience = self._new_patience()
        self._ctx.rpc.register_handler("controller.vote", VoteRequest, self._vote_by_name)

    def _new_patience(self) -> timedelta:
        return STICKY_SPAN + (LONGEST - STICKY_SPAN) * self._ctx.rng.random()

    def _election_beat(self):
        now = self._ctx.timers.now()
        if self.state == "leader":
            if now - max(self.heard_majority_at(), self._elected_at) > LONGEST:
                self._ctx.logger.info("majority_unheard", term=self.term)
                self.step_down()
            return
        if self.state != "follower" or self._ctx.node not in self.voters():
            return
        if self._just_started() and now >= self._fresh_turn(now):
            self._fresh_at = now + FRESH_STEP * len(self.voters())
            self.trigger("stand")
            return spawn(self._stand(fresh=True)).addErrback(self._stood_badly)
        if now - self._heard_at > self._patience:
            self.trigger("stand")
            self._patience = self._new_patience()
            self._heard_at = now
            return spawn(self._stand()).addErrback(self._stood_badly)

    def _election_due(self) -> timedelta:
        """How long no election can be due. A leader looks often: the voters, and so who was heard, may change."""
        now = self._ctx.timers.now()
        if self.state == "follower" and not self._just_started():
            return self._heard_at + self._patience - now
        if self.state == "leader":
            return min(LOOK_SPAN, max(self.heard_majority_at(), self._elected_at) + LONGEST - now)
        return ZERO

    def _stood_badly(self, f):
        self._ctx.logger.failure("election_failed", f.value)
        self.trigger("yield")

    def _just_started(self) -> bool:
        """Started a short while ago, and since then neither heard a leader nor voted."""
        return (
            not self._fresh_spent
            and self._led_at == self._started_at
            and self._ctx.timers.now() - self._started_at < STICKY_SPAN
        )

    def _fresh_turn(self, now: timedelta) -> timedelta:
        """Voters that start together stand one after another, so that none takes the vote of the one before."""
        if self._fresh_at is None:
            self._fresh_at = self._started_at + FRESH_STEP * (1 + self.voters().index(self._ctx.node))
        return self._fresh_at

    async def _stand(self, fresh: bool = False):
        if not await self._poll(self.term + 1, pre=True, fresh=fresh):
            self.trigger("yield")
            return
        self._fresh_spent = True
        term = self.term + 1
        await self.archive.put_ballot(term, self._ctx.node)
        if self.term != term or self.state != "candidate":
            return
        self.leader = ""
        if await self._poll(term, pre=False, fresh=fresh) and self.term == term and self.state == "candidate":
            self.trigger("won")
        elif self.state == "candidate":
            self.trigger("yield")

    async def _poll(self, term: int, pre: bool, fresh: bool = False) -> bool:
        """Whether a majority would vote, or votes, for this controller.

        Where all voters just started, or another node answers at their place, none of them leads and whoever led has
        ended,
        so nobody's leader has to be waited out. That is asked first, of every single voter, and each must know the same
        voters.
        """
        voters = self.voters()
        last = self.archive.last_index()
        ask = VoteRequest(
            term=term,
            candidate=self._ctx.node,
            last_index=last,
            last_term=self.archive.term_at(last),
            pre=pre,
            fresh=fresh,
            voters=voters if fresh else (),
        )
        granted = {self._ctx.node}
        started = {self._ctx.node}
        done = defer.Deferred()
        left = len(voters) - 1

        async def one(node):
            nonlocal left
            try:
                r = await self.call_controller(node, "controller.vote", ask, VoteResponse, ASK_LIMIT)
                if r.fresh:
                    started.add(node)
                if r.granted and r.node == node:
                    granted.add(node)
                elif r.term > self.term and not pre:
                    await self.meet_term(r.term)
            except WrongPeer:
                started.add(node)
            except WireError:
                pass
            left -= 1
            if not done.called and (left == 0 or self.is_majority(granted) and not (fresh and pre)):
                done.callback(None)

        for n in voters:
            if n != self._ctx.node:
                self._ctx.run_in_background(one(n), "poll")
        if left:
            await done
        if fresh and pre and not started.issuperset(voters):
            return False
        return self.is_majority(granted)

    async def _vote_by_name(self, node, ask: VoteRequest) -> VoteResponse:
        r = await self._vote(node, ask)
        r.node = self._ctx.node
        return r

    async def _vote(self, node, ask: VoteRequest) -> VoteResponse:
        if self.state == "newcomer":
            return VoteResponse(term=self.term)
        now = self._ctx.timers.now()
        last = self.archive.last_index()
        whole = (ask.last_term, ask.last_index) >= (self.archive.term_at(last), last)
        fresh = ask.fresh and self._just_started() and tuple(ask.voters) == self.voters()
        content = self.state == "leader" or now - self._led_at < STICKY_SPAN and not fresh
        if ask.term < self.term or content or not whole:
            return VoteResponse(term=self.term, fresh=fresh)
        if ask.pre:
            return VoteResponse(term=self.term, granted=ask.term > self.term, fresh=fresh)
        self._fresh_spent = True
        if ask.term > self.term:
            self.step_down()
        elif self.archive.ballot.vote not in ("", ask.candidate):
            return VoteResponse(term=self.term)
        await self.archive.put_ballot(ask.term, ask.candidate)
        kept = (self.term, self.archive.ballot.vote) == (ask.term, ask.candidate)
        if kept:
            self._heard_at = self._ctx.timers.now()
        return VoteResponse(term=self.term, granted=kept)

    async def meet_term(self, term: int):
        """A higher term was seen: this controller follows from now on, and keeps the term first."""
        if term > self.term:
            self.step_down()
            await self.archive.put_ballot(term, "")

    @property
    def term(self) -> int:
        return self.archive.ballot.term

    def step_down(self):
        self.trigger("yield")

    def is_majority(self, nodes) -> bool:
        voters = self.voters()
        return 2 * sum(v in nodes for v in voters) > len(voters)
