"""Changes of the set of voters: their number, the replacement of lost voters, and the spread over zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..context import Context
from ..timers import secs
from ..wire.cluster_pb2 import Command, Controllers
from ..wire.membership_pb2 import Member
from .interfaces import ConsensusView, LeaderLog
from .zones import count_by_zone, zone_of

__all__ = ["VoterChanges"]

Voters = tuple[str, ...]

MAX_RESPONSE_AGE = secs(1)
MAX_CAUGHT_UP_LAG_ENTRIES = 50
NO_MATCH_INDEX = -1
LOSS_TIMEOUTS = {"gone": secs(1), "unknown": secs(2), "suspect": secs(3)}
"""How long a voter must be silent before it is replaced, by its status in the membership."""


class VoterChanges:
    """Runs on the leader: keeps the configured number of voters, spread over as many zones as possible.

    One voter changes at a time. A lost voter is removed before another is added, so that the size of a majority does
    not grow in between. Nothing is proposed without contact to a majority: a change that cannot be committed would make
    this leader's log longer than that of the other voters, who could then not be elected without its vote.
    """

    def __init__(self, ctx: Context, consensus: ConsensusView, leader_log: LeaderLog) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._leader_log = leader_log

    async def update_voters(self) -> None:
        """Proposes changes one after another, each once the previous one is committed. Called by a timer."""
        while self._may_change():
            voters = self._consensus.voters()
            change = self._next_voters(voters)
            if change is None:
                return
            self._ctx.logger.info("voters_changed", was=",".join(voters), next=",".join(change))
            await self._leader_log.propose(Command(controllers=Controllers(voters=change)))

    def _may_change(self) -> bool:
        """Returns whether this leader has contact and has committed an entry of its term and the last voter change."""
        if not self._consensus.is_leader or not self._consensus.term_is_committed():
            return False
        if not self._leader_log.has_contact():
            return False
        return self._consensus.voters() == self._consensus.cluster_state.voters

    def _next_voters(self, voters: Voters) -> Voters | None:
        """Returns the next set of voters, one larger or smaller, or None if no change is needed or possible."""
        target_count = self._ctx.settings.replica_count
        lost = [voter for voter in voters if self._is_lost(voter)]
        live = [voter for voter in voters if voter not in lost]
        if len(voters) > target_count:
            return self._remove_voter(voters, live, lost[0] if lost else self._removable_voter(voters))
        standbys = self._standbys(voters, live)
        if lost and standbys and len(voters) % 2:
            return self._remove_voter(voters, live, lost[0])
        if standbys and (len(voters) < target_count or self._improves_zone_balance(live, standbys[0])):
            return self._add_voter(voters, live, standbys[0])
        return None

    def _is_caught_up(self, node: str) -> bool:
        """Returns whether a controller has responded recently and its log is not far behind."""
        responded_at = self._leader_log.last_response_at(node)
        if responded_at is None or self._ctx.timers.now() - responded_at >= MAX_RESPONSE_AGE:
            return False
        match_index = self._leader_log.match_index(node)
        if match_index is None:
            match_index = NO_MATCH_INDEX
        return match_index >= self._consensus.commit_index - MAX_CAUGHT_UP_LAG_ENTRIES

    def _is_lost(self, voter: str) -> bool:
        status = self._ctx.membership.status(voter)
        if voter == self._ctx.node or status == "alive":
            return False
        if self._ctx.membership.is_replaced(voter):
            return True
        if status == "gone" and self._ctx.membership.time_in_status(voter) <= LOSS_TIMEOUTS["gone"]:
            return False
        elected_at = self._leader_log.elected_at
        responded_at = self._leader_log.last_response_at(voter)
        last_contact_at = elected_at if responded_at is None else max(responded_at, elected_at)
        lost: bool = self._ctx.timers.now() - last_contact_at > LOSS_TIMEOUTS[status]
        return lost

    def _remove_voter(self, voters: Voters, live: list[str], leaving: str) -> Voters | None:
        """Returns the voters without `leaving`, or None if no majority of these remaining voters is live."""
        remaining = tuple(voter for voter in voters if voter != leaving)
        return remaining if 2 * sum(voter in live for voter in remaining) > len(remaining) else None

    def _add_voter(self, voters: Voters, live: list[str], joining: str) -> Voters | None:
        """Returns the voters with `joining`, which is live, or None if no majority of this larger set is live."""
        return tuple(sorted((*voters, joining))) if 2 * (len(live) + 1) > len(voters) + 1 else None

    def _standbys(self, voters: Voters, live: list[str]) -> list[str]:
        """Returns the controllers that are ready to become voters, those in the zones with the fewest voters first."""
        zones = self._zone_counts(live)
        members: list[Member] = [
            member
            for member in self._ctx.membership.members("controller", statuses=("alive",), include_self=False)
            if member.node not in voters and self._is_caught_up(member.node)
        ]
        members.sort(key=lambda member: (zones[member.zone], member.node))
        return [member.node for member in members]

    def _improves_zone_balance(self, voters: list[str], standby: str) -> bool:
        """Returns whether the voters are spread more evenly if this standby replaces one in the most crowded zone."""
        zones = self._zone_counts(voters)
        return max(zones.values()) > zones[self._zone(standby)] + 1

    def _removable_voter(self, voters: Voters) -> str:
        """Returns the voter to remove: not this leader, and in the zone with the most voters."""
        zones = self._zone_counts(voters)
        others = [voter for voter in voters if voter != self._ctx.node]
        return max(others, key=lambda voter: (zones[self._zone(voter)], voter))

    def _zone(self, node: str) -> str:
        return zone_of(self._ctx.membership, node)

    def _zone_counts(self, nodes: Iterable[str]) -> Counter[str]:
        return count_by_zone(self._ctx.membership, nodes)
