"""Changes of the voters: how many there are, who takes the place of a lost one, and over which zones they lie."""

from collections import Counter

from ..timers import secs
from ..wire.cluster_pb2 import Command, Controllers

__all__ = ["Voters"]

CAUGHT_UP_SPAN = secs(1)
CAUGHT_UP_ENTRIES = 50
LOST_AFTER = {"gone": secs(1), "unknown": secs(2), "suspect": secs(3)}
"""How long a voter must be unheard, by what the membership says of it, until its place is given away."""


class Voters:
    """Mixin: as many voters as the losses to bear need, over as many zones as can be, one change at a time.

    A lost voter is taken off before another is added: the number of votes that is needed never rises on the way.

    Offers `_voters_beat` for the leader's timers.
    Needs of the node: `_ctx`, `archive`, `cluster_state`, `commit`, `voters`, `state`; of Leading and Voting:
    `_propose`, `_match`, `_acked_at`, `_elected_at`, `term`; of Moves: `_zone`.
    Owns no attributes.
    """

    def _caught_up(self, node: str) -> bool:
        now = self._ctx.timers.now()
        heard = self._acked_at.get(node, -CAUGHT_UP_SPAN)
        return self._match.get(node, -1) >= self.commit - CAUGHT_UP_ENTRIES and now - heard < CAUGHT_UP_SPAN

    def _lost_voter(self, node: str) -> bool:
        status = self._ctx.membership.status(node)
        if node == self._ctx.node or status == "alive":
            return False
        if self._ctx.membership.is_replaced(node):
            return True
        now = self._ctx.timers.now()
        heard = max(self._acked_at.get(node, self._elected_at), self._elected_at)
        if status == "gone" and self._ctx.membership.time_in_status(node) <= LOST_AFTER["gone"]:
            return False
        return now - heard > LOST_AFTER[status]

    async def _voters_beat(self):
        while (
            self.state == "leader"
            and self.archive.term_at(self.commit) == self.term
            and self.voters() == self.cluster_state.voters
        ):
            change = self._next_voters(self.voters())
            if change is None:
                return
            self._ctx.logger.info("voters", was=",".join(self.voters()), next=",".join(change))
            await self._propose(Command(controllers=Controllers(voters=change)))

    def _next_voters(self, voters: tuple[str, ...]) -> tuple[str, ...] | None:
        """The next set of voters, one more or one less, or None where nothing is to be changed or can be now."""
        want = self._ctx.settings.replica_count
        lost = [v for v in voters if self._lost_voter(v)]
        live = [v for v in voters if v not in lost]
        if len(voters) > want:
            return self._without(voters, live, lost[0] if lost else self._spare_voter(voters))
        standbys = self._standbys(voters, live)
        if lost and standbys and len(voters) % 2:
            return self._without(voters, live, lost[0])
        if standbys and (len(voters) < want or self._spreads(live, standbys[0])):
            return self._with(voters, live, standbys[0])
        return None

    def _without(self, voters, live, leaving: str) -> tuple[str, ...] | None:
        rest = tuple(v for v in voters if v != leaving)
        return rest if 2 * sum(v in live for v in rest) > len(rest) else None

    def _with(self, voters, live, joining: str) -> tuple[str, ...] | None:
        return tuple(sorted((*voters, joining))) if 2 * (len(live) + 1) > len(voters) + 1 else None

    def _standbys(self, voters, live) -> list[str]:
        """Controllers that could vote at once, those from zones with the fewest voters first."""
        zones = self._voter_zones(live)
        found = [
            m
            for m in self._ctx.membership.members("controller", statuses=("alive",), include_self=False)
            if m.node not in voters and self._caught_up(m.node)
        ]
        return [m.node for m in sorted(found, key=lambda m: (zones[m.zone], m.node))]

    def _voter_zones(self, voters) -> Counter:
        return Counter(self._zone(v) for v in voters)

    def _spreads(self, voters, standby: str) -> bool:
        """Whether some zone has fewer voters once this standby has taken the place of one of them."""
        zones = self._voter_zones(voters)
        return max(zones.values()) > zones[self._zone(standby)] + 1

    def _spare_voter(self, voters) -> str:
        zones = self._voter_zones(voters)
        return max((v for v in voters if v != self._ctx.node), key=lambda v: (zones[self._zone(v)], v))
