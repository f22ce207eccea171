"""The controller node: creates and connects the components of a controller."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from ..cluster import ClusterState
from ..context import Context
from ..dialect.control import ControlFormat
from ..disk import Disk
from ..timers import ZERO, RepeatingCall, ms
from .bootstrap import Bootstrap
from .consensus_state import ConsensusState
from .control_api import ControlApi
from .controller_client import ControllerClient
from .durable_log import DurableLog
from .edit_fencing import EditFencing
from .edit_submission import EditSubmission
from .elections import Elections
from .engine_announcements import EngineAnnouncements
from .leader_contact import LeaderContact
from .load_aggregator import LoadAggregator
from .log_receiver import LogReceiver
from .log_replication import LogReplication
from .placement import PlacementController
from .placement_planner import PlacementPlanner
from .snapshot_transfer import SnapshotManager
from .state_delivery import StateDelivery
from .storage_nodes import StorageNodeView
from .storage_retirement import StorageRetirement
from .table_api import TableApi
from .voter_changes import VoterChanges
from .witness_changes import WitnessChanges

__all__ = ["ControllerNode"]

REPLICATION_INTERVAL = ms(100)
VOTERS_INTERVAL = ms(300)


class ControllerNode:
    """A controller: takes part in the consensus on the cluster state, and serves the cluster state.

    - ConsensusState and DurableLog hold the state of the consensus in memory and on disk.
    - Bootstrap sets the initial voters of a new cluster; Elections elects the leader; LogReplication replicates the log
      while this node leads, and LogReceiver receives the leader's entries while it follows; SnapshotManager compacts
      the log.
    - StateDelivery leases the cluster state to followers, and waits until a committed edit is in effect at them.
    - EditSubmission forwards edits and reads to the leader. EditFencing prevents delayed copies of an operator's edit
      from taking effect. StorageRetirement, TableApi and ControlApi serve operators, at any controller.
    - EngineAnnouncements forwards announcements of engines to gateways, and LoadAggregator sends them the sums of
      their loads. Both work without a leader or a majority.
    - PlacementController, WitnessChanges and VoterChanges run on the leader's timers and propose changes of placement
      groups, storage nodes and voters.
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
        self.leader_timers: list[RepeatingCall] = []
        self._create_services()

    def _create_services(self) -> None:
        """Creates the components that serve operators, engines and gateways, at any controller."""
        ctx, consensus, log, delivery = self._ctx, self.consensus, self.log_replication, self.state_delivery
        storage_nodes = StorageNodeView(ctx, consensus, log)
        self.submission = EditSubmission(ctx, consensus, log, delivery, self.calls)
        self.edit_fencing = EditFencing(ctx, consensus, self.submission)
        self.retirement = StorageRetirement(ctx, self.submission, self.edit_fencing, storage_nodes)
        self.table_api = TableApi(ctx, self.submission, self.edit_fencing)
        self.announcements = EngineAnnouncements(ctx, log)
        self.load_aggregator = LoadAggregator(ctx)
        self.placement = PlacementController(
            ctx, consensus, log, storage_nodes, PlacementPlanner(ctx, consensus, storage_nodes)
        )
        self.witnesses = WitnessChanges(ctx, consensus, log, delivery, storage_nodes)
        self.voter_changes = VoterChanges(ctx, consensus, log)

    def open(self) -> None:
        """Recovers the state from disk and starts all components. Raises CorruptData."""
        self.durable_log.recover()
        self.consensus.restore(self.durable_log.snapshot)
        self._open_consensus()
        self._open_services()
        if self.durable_log.snapshot.cluster_state.voters:
            self.consensus.mark_bootstrapped()
        self.elections.start_timer()
        self.bootstrap.start_timer()
        self._start_leader_timers()

    def _open_consensus(self) -> None:
        """Opens the components in the order in which their callbacks for role and log changes must run."""
        self._contact.open()
        self.elections.open()
        self.log_replication.open()
        self.log_receiver.open()
        self.consensus.when_elected(self._wake_leader_timers)
        self.state_delivery.open()
        self.snapshots.open()
        self.bootstrap.open()

    def _open_services(self) -> None:
        self.submission.open()
        self.edit_fencing.open()
        self.placement.open()
        self.announcements.open()
        self.load_aggregator.open()

    def _start_leader_timers(self) -> None:
        self._start_leader_timer(REPLICATION_INTERVAL, self._replicate, "replicate")
        self._start_leader_timer(VOTERS_INTERVAL, self.voter_changes.update_voters, "check_voters")
        self.leader_timers += [self.placement.start_timer(), self.witnesses.start_timer()]

    def _start_leader_timer(self, interval: timedelta, work: Callable[[], object], event: str) -> None:
        """Starts to run `work` repeatedly while this controller leads."""
        timer = self._ctx.timers.call_repeatedly(
            interval,
            work,
            self._ctx.error_reporter(event),
            idle_time=lambda: ZERO if self.consensus.is_leader else None,
        )
        self.leader_timers.append(timer)

    def _wake_leader_timers(self) -> None:
        for timer in self.leader_timers:
            timer.wake()

    def _replicate(self) -> None:
        if self.consensus.is_leader:
            self.log_replication.send_to_all()
            self.state_delivery.remove_expired_followers()

    @property
    def cluster_state(self) -> ClusterState:
        """The cluster state with all committed entries applied, for the operator interface."""
        return self.consensus.cluster_state

    def add_routes(self, add: Callable[..., Any]) -> None:
        """Adds the HTTP routes of the operator interface."""
        self.table_api.add_routes(add)
        ControlApi(self._ctx, self, ControlFormat()).add_routes(add)

    def readiness(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether a leader is known, with details to show."""
        consensus = self.consensus
        return bool(consensus.leader_id), {
            "leader": consensus.leader_id,
            "state": consensus.role,
            "term": consensus.term,
        }

    def reported_state(self) -> dict[str, Any]:
        """Returns role-specific details for the status report; a controller has none."""
        return {}

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns help text and value of each metric."""
        return {
            "term": ("The agreement's term", self.consensus.term),
            "leading": ("1 where this controller leads", int(self.consensus.is_leader)),
            "agreed": ("The agreed log's index", self.consensus.commit_index),
        }

    def close(self) -> None:
        """Closes the files."""
        self.durable_log.close()

    async def shut_down(self) -> None:
        """Steps down and leaves the membership."""
        if self.consensus.is_leader:
            self.consensus.step_down()
        await self._ctx.membership.leave()
