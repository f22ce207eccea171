"""One controller's view of the consensus: its role, the term, the leader, and the committed cluster state."""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import StrEnum

from ..cluster import ClusterState
from ..context import Context
from ..state_machines import StateMachineMixin
from ..wire.cluster_pb2 import Outcome
from ..wire.controller_pb2 import Snapshot
from .durable_log import DurableLog

__all__ = ["ConsensusState", "ControllerRole"]


class ControllerRole(StrEnum):
    """A controller's role in the consensus; the values are the states of `controller_role.toml`."""

    NEWCOMER = "newcomer"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ConsensusState(StateMachineMixin):
    """A controller's role, the leader it knows, the commit index, and the cluster state with all committed entries.

    Term, vote, entries and voters are kept in the durable log. Other components register callbacks for role changes and
    for applied entries. Callbacks run in the order of their registration.
    """

    state_machine = "controller_role"

    def __init__(self, ctx: Context, durable_log: DurableLog) -> None:
        self._ctx = ctx
        self._durable_log = durable_log
        self.cluster_state = ClusterState()
        self.commit_index = 0
        self.leader_id = ""
        self.initial_voters: tuple[str, ...] = ()
        self._on_elected: list[Callable[[], None]] = []
        self._on_stepped_down: list[Callable[[], None]] = []
        self._on_applied: list[Callable[[int, int, Outcome], None]] = []
        self._on_advanced: list[Callable[[], None]] = []
        self._init_state_machine()

    def when_elected(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each time this controller becomes the leader."""
        self._on_elected.append(callback)

    def when_stepped_down(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each time this controller ceases to be the leader."""
        self._on_stepped_down.append(callback)

    def when_applied(self, callback: Callable[[int, int, Outcome], None]) -> None:
        """Registers a callback that gets the index, term and outcome of each applied entry."""
        self._on_applied.append(callback)

    def when_advanced(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after committed entries were applied."""
        self._on_advanced.append(callback)

    @property
    def role(self) -> ControllerRole:
        """This controller's current role."""
        return ControllerRole(self.state)

    @property
    def is_newcomer(self) -> bool:
        """Whether this controller has no cluster state yet."""
        return self.state == ControllerRole.NEWCOMER

    @property
    def is_follower(self) -> bool:
        """Whether this controller follows a leader or waits for one."""
        return self.state == ControllerRole.FOLLOWER

    @property
    def is_candidate(self) -> bool:
        """Whether this controller is a candidate in an election."""
        return self.state == ControllerRole.CANDIDATE

    @property
    def is_leader(self) -> bool:
        """Whether this controller believes that it is the leader."""
        return self.state == ControllerRole.LEADER

    def leads_in(self, term: int) -> bool:
        """Returns whether this controller leads in the given term."""
        return self.is_leader and self.term == term

    @property
    def term(self) -> int:
        """The newest term that this controller has seen."""
        return self._durable_log.hard_state.term

    def voters(self) -> tuple[str, ...]:
        """Returns the voters according to the newest log entry that sets them, committed or not."""
        return self._durable_log.voters()

    def is_voter(self) -> bool:
        """Returns whether this controller is one of the voters."""
        return self._ctx.node in self.voters()

    def is_majority(self, nodes: Collection[str]) -> bool:
        """Returns whether more than half of the voters are among these nodes."""
        voters = self.voters()
        return 2 * sum(voter in nodes for voter in voters) > len(voters)

    def term_is_committed(self) -> bool:
        """Returns whether an entry of the current term is committed."""
        return self._durable_log.term_at(self.commit_index) == self.term

    async def observe_term(self, term: int) -> None:
        """If the term is newer than the current one, steps down and adopts it; returns once it is durable."""
        if term > self.term:
            self.step_down()
            await self._durable_log.save_hard_state(term, "")

    def mark_bootstrapped(self) -> None:
        """Turns a newcomer into a follower, once it has its first cluster state."""
        self.trigger("bootstrapped")

    def start_election(self) -> None:
        """Turns a follower into a candidate."""
        self.trigger("start_election")

    def win_election(self) -> None:
        """Turns a candidate into the leader."""
        self.trigger("win_election")

    def step_down(self) -> None:
        """Turns a leader or candidate into a follower."""
        self.trigger("step_down")

    def _join(self) -> None:
        last_index = self._durable_log.last_index()
        self._ctx.logger.info("cluster_joined", term=self.term, last_index=last_index)

    def _become_leader(self) -> None:
        self.leader_id = self._ctx.node
        for callback in self._on_elected:
            callback()

    def _leave_leadership(self) -> None:
        self._ctx.logger.info("stepped_down", term=self.term)
        self.leader_id = ""
        for callback in self._on_stepped_down:
            callback()

    def commit(self, index: int) -> None:
        """Sets the commit index and applies the entries up to it."""
        self.commit_index = index
        self.apply_committed()

    def apply_committed(self) -> None:
        """Applies all committed entries that have not been applied yet."""
        while self.cluster_state.sequence < self.commit_index:
            entry = self._durable_log.entries[self.cluster_state.sequence - self._durable_log.snapshot.index]
            outcome = self.cluster_state.apply(entry.index, entry.command)
            for callback in self._on_applied:
                callback(entry.index, entry.term, outcome)
        for listener in self._on_advanced:
            listener()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the cluster state by that of a snapshot, which is committed."""
        self.cluster_state = ClusterState(snapshot.cluster_state)
        self.cluster_state.sequence = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)
        self.initial_voters = self.initial_voters or tuple(snapshot.cluster_state.voters)
