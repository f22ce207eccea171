"""Changes of the voters: a standby takes the place of a lost one."""

from ..timers import secs
from ..wire.cluster_pb2 import Command, Controllers

__all__ = ["Voters"]

GONE_SPAN = secs(3)
VOTERS = 3


class Voters:
    """Mixin: a lost voter's place goes to a standby, one membership change at a time.

    Offers `_voters_beat` for the leader's timers.
    Needs of the node: `_ctx`, `archive`, `cluster_state`, `commit`, `voters`, `state`; of Leading and Voting:
    `_propose`, `_match`, `_acked_at`, `_elected_at`, `term`.
    Owns no attributes.
    """

    def _caught_up(self, node: str) -> bool:
        now = self._ctx.timers.now()
        return self._match.get(node, -1) >= self.commit - 50 and now - self._acked_at.get(node, -GONE_SPAN) < secs(1)

    def _lost_voter(self, node: str) -> bool:
        now = self._ctx.timers.now()
        heard = max(self._acked_at.get(node, self._elected_at), self._elected_at)
        return node != self._ctx.node and now - heard > GONE_SPAN and self._ctx.membership.status(node) != "alive"

    async def _voters_beat(self):
        if self.state != "leader" or self.archive.term_at(self.commit) != self.term:
            return
        voters = self.voters()
        if voters != self.cluster_state.voters:
            return
        change = self._next_voters(voters)
        if change is not None:
            self._ctx.journal.note("voters", was=",".join(voters), next=",".join(change))
            await self._propose(Command(controllers=Controllers(voters=change)))

    def _next_voters(self, voters: tuple[str, ...]) -> tuple[str, ...] | None:
        lost = [v for v in voters if self._lost_voter(v)]
        live = [v for v in voters if v not in lost]
        if len(voters) > VOTERS:
            extra = lost[0] if lost else max(v for v in voters if v != self._ctx.node)
            rest = tuple(v for v in voters if v != extra)
            return rest if 2 * len([v for v in rest if v in live]) > len(rest) else None
        if lost or len(voters) < VOTERS:
            standbys = [
                m
                for m in self._ctx.membership.members("controller", status=("alive",), me=False)
                if m.node not in voters and self._caught_up(m.node)
            ]
            zones = {m.zone for v in live if (m := self._ctx.membership.find(v))}
            standbys.sort(key=lambda m: (m.zone in zones, m.node))
            if standbys and 2 * (len(live) + 1) > len(voters) + 1:
                return tuple(sorted((*voters, standbys[0].node)))
        return None
