"""The controller node: puts the parts of a controller together."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from google.protobuf.message import Message

from ..cluster import ClusterState
from ..context import Context
from ..dialect.control import ControlWords
from ..disk import Disk
from ..timers import ZERO, RepeatingCall, ms
from ..wire.cluster_pb2 import Command, Outcome
from .announcing import Announcing
from .bootstrap import Bootstrap
from .consensus_state import ConsensusState, ControllerRole
from .control import Control
from .controller_client import ControllerClient
from .durable_log import DurableLog
from .edits import Edits
from .elections import Elections
from .leader_contact import LeaderContact
from .load_hub import LoadHub
from .log_receiver import LogReceiver
from .log_replication import LogReplication
from .orders import Orders
from .placement import Placement
from .retiring import Retiring
from .snapshot_transfer import SnapshotManager
from .state_delivery import Follower, StateDelivery
from .voters import Voters

__all__ = ["ControllerNode"]

REPLICATION_INTERVAL = ms(100)
VOTERS_INTERVAL = ms(300)


class _Services(Edits, Orders, Retiring, Announcing, LoadHub, Placement, Voters):
    """The services as mixins, and the names under which they reach the consensus.

    Until the services are classes of their own.
    """

    _ctx: Context
    consensus: ConsensusState
    durable_log: DurableLog
    calls: ControllerClient
    log_replication: LogReplication
    state_delivery: StateDelivery

    @property
    def archive(self) -> DurableLog:
        return self.durable_log

    @property
    def cluster_state(self) -> ClusterState:
        return self.consensus.cluster_state

    @property
    def commit(self) -> int:
        return self.consensus.commit_index

    @property
    def leader(self) -> str:
        return self.consensus.leader_id

    @property
    def state(self) -> ControllerRole:
        return self.consensus.role

    @property
    def term(self) -> int:
        return self.consensus.term

    def voters(self) -> tuple[str, ...]:
        return self.consensus.voters()

    @property
    def followers(self) -> dict[str, Follower]:
        return self.state_delivery.followers

    @property
    def _elected_at(self) -> timedelta:
        return self.log_replication.elected_at

    @property
    def _match(self) -> dict[str, int]:
        return self.log_replication.known("match_index")

    @property
    def _acked_at(self) -> dict[str, timedelta]:
        return self.log_replication.known("last_response_at")

    async def _propose(self, command: Command) -> Outcome:
        return await self.log_replication.propose(command)

    async def confirm_leadership(self) -> None:
        await self.log_replication.confirm_leadership()

    def in_touch(self) -> bool:
        return self.log_replication.has_contact()

    def _in_effect(self, sequence: int) -> bool:
        return self.state_delivery.is_in_effect(sequence)

    def _order_limit(self) -> timedelta:
        return self.state_delivery.order_time_limit()

    async def edit(self, command: Command, *limit: timedelta) -> Outcome:
        return await self.state_delivery.edit(command, *limit)

    async def call_controller(
        self, node: str, method: str, request: Message, response_type: type[Message], limit: timedelta
    ) -> Message:
        return await self.calls.call(node, method, request, response_type, limit)


class ControllerNode(_Services):
    """A controller: takes part in the consensus on the cluster state, and serves it.

    - ConsensusState and DurableLog hold what is known and kept of the consensus.
    - Bootstrap names the first voters of a new cluster; Elections elects the leader; LogReplication replicates the log
      while this node leads, and LogReceiver takes the leader's entries while it follows; SnapshotManager compacts the
      log.
    - StateDelivery leases the cluster state to followers, and turns a committed command into an edit in effect.
    - The services serve operators, engines and gateways, and place placement groups and voters.
    """

    def __init__(self, ctx: Context, disk: Disk | None = None) -> None:
        self._ctx = ctx
        self.durable_log = DurableLog(ctx, Path(ctx.settings.data), disk or Disk())
        self.consensus = ConsensusState(ctx, self.durable_log)
        self.calls = ControllerClient(ctx)
        contact = self._contact = LeaderContact(ctx)
        self.snapshots = SnapshotManager(ctx, self.consensus, self.durable_log)
        self.bootstrap = Bootstrap(ctx, self.consensus, self.snapshots)
        self.log_replication = LogReplication(ctx, self.consensus, self.durable_log, contact, self.calls)
        self.log_receiver = LogReceiver(ctx, self.consensus, self.durable_log, contact, self.snapshots)
        self.elections = Elections(ctx, self.consensus, self.durable_log, contact, self.log_replication, self.calls)
        self.state_delivery = StateDelivery(ctx, self.consensus, self.durable_log, self.log_replication)
        self.lead_timers: list[RepeatingCall] = []

    def open(self) -> None:
        """Reads what is on disk and takes part from now on. Raises CorruptData."""
        self.durable_log.recover()
        self.consensus.restore(self.durable_log.snapshot)
        self._open_consensus()
        self._open_services()
        if self.durable_log.snapshot.cluster_state.voters:
            self.consensus.bootstrapped()
        self.elections.start_timer()
        self.bootstrap.start_timer()
        self._start_leader_timers()

    def _open_consensus(self) -> None:
        """Opens the parts in the order in which they are to learn of changes of the role and of the log."""
        self._contact.open()
        self.elections.open()
        self.log_replication.open()
        self.log_receiver.open()
        self.consensus.when_elected(self._wake_leader_timers)
        self.state_delivery.open()
        self.snapshots.open()
        self.bootstrap.open()

    def _open_services(self) -> None:
        self._open_edits()
        self._open_orders()
        self._open_placement()
        self._open_announcing()
        self._open_load_hub()

    def _start_leader_timers(self) -> None:
        self._start_leader_timer(REPLICATION_INTERVAL, self._replicate, "leading")
        self._start_leader_timer(VOTERS_INTERVAL, self._voters_beat, "voters")
        self._open_placement_timers()

    def _start_leader_timer(self, interval: timedelta, work: Callable[[], object], event: str) -> None:
        """Runs work repeatedly from now on while this controller leads."""
        timer = self._ctx.timers.call_repeatedly(
            interval, work, self._ctx.report(event), due=lambda: ZERO if self.consensus.is_leader else None
        )
        self.lead_timers.append(timer)

    def _wake_leader_timers(self) -> None:
        for timer in self.lead_timers:
            timer.wake()

    def _replicate(self) -> None:
        if self.consensus.is_leader:
            self.log_replication.send_to_all()
            self.state_delivery.forget_followers()

    def routes(self, add: Callable[..., Any]) -> None:
        """Adds the HTTP routes of the operators' interface."""
        super().routes(add)
        Control(self._ctx, self, ControlWords()).routes(add)

    def close(self) -> None:
        """Closes the files."""
        self.durable_log.close()

    async def end(self) -> None:
        """Steps down and leaves the membership."""
        if self.consensus.is_leader:
            self.consensus.step_down()
        await self._ctx.membership.leave()
