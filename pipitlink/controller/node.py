"""The controller node, put together from its mixins."""

from pathlib import Path

from ..cluster import ClusterState
from ..dialect.control import ControlWords
from ..disk import Disk
from ..errors import WireError
from ..state_machines import StateMachineMixin
from ..timers import ZERO, RepeatingCall, ms
from ..wire.controller_pb2 import Snapshot
from ..wire.frame_pb2 import Empty
from .archive import Archive
from .control_api import ControlApi
from .core_adapter import CoreAdapter
from .edit_submission import EditSubmission
from .engine_announcements import EngineAnnouncements
from .gateways import Gateways
from .leading import Leading
from .load_aggregator import LoadAggregator
from .order_fencing import OrderFencing
from .placement import PlacementController
from .placement_planner import PlacementPlanner
from .snapshots import Snapshots
from .storage_nodes import StorageNodeView
from .storage_retirement import StorageRetirement
from .table_api import TableApi
from .voter_changes import VoterChanges
from .voting import Founding, Voting
from .witness_changes import WitnessChanges

__all__ = ["ControllerNode"]

ELECTION_INTERVAL = ms(50)


class ControllerNode(
    Founding,
    Voting,
    Leading,
    Gateways,
    Snapshots,
    CoreAdapter,
    StateMachineMixin,
):
    """A controller: takes part in the agreement on the cluster state, and serves it.

    The mixins share one archive (ballot, log, snapshot), one cluster state and one state machine (`voter.toml`):

    - Founding names the first voters of a new fleet; Voting holds elections and writes the ballots.
    - Leading replicates the log while this node leads, and takes in the leader's entries while it follows.
    - Gateways leases the cluster state to followers and turns an agreed command into an edit that is in effect.
    - CoreAdapter offers these to the other parts under the names of `interfaces`.

    The other parts are objects that this class composes:

    - EditSubmission forwards edits and reads to the leader, by way of its Gateways and Leading. OrderFencing sees to it
      that no copy of an operator's order takes effect late. StorageRetirement, TableApi and ControlApi serve operators,
      at any controller.
    - EngineAnnouncements passes announcements of engines on to gateways, and LoadAggregator sums of loads; both depend
      on neither leader nor majority.
    - PlacementController, WitnessChanges and VoterChanges run on the leader's timers and propose changes of placement
      groups, storage nodes and voters.

    This class owns archive, applied cluster state and timers, applies what is committed, and takes snapshots.
    """

    state_machine = "voter"

    def __init__(self, ctx, disk: Disk | None = None):
        self._ctx = ctx
        self.archive = Archive(ctx, Path(ctx.settings.data), disk or Disk())
        self.cluster_state = ClusterState()
        self.commit = 0
        self.leader = ""
        self.founders: tuple[str, ...] = ()
        self.lead_timers: list[RepeatingCall] = []
        self._elections: RepeatingCall | None = None
        self._init_state_machine()
        self.submission = EditSubmission(ctx, consensus=self, leader_log=self, delivery=self, calls=self)
        self.orders = OrderFencing(ctx, consensus=self, submission=self.submission)
        self.table_api = TableApi(ctx, self.submission, self.orders)
        self.announcements = EngineAnnouncements(ctx, leader_log=self)
        self.load_aggregator = LoadAggregator(ctx)
        self.voter_changes = VoterChanges(ctx, consensus=self, leader_log=self)
        self._compose_placement()

    def _compose_placement(self):
        ctx = self._ctx
        storage_nodes = StorageNodeView(ctx, consensus=self, leader_log=self)
        planner = PlacementPlanner(ctx, self, storage_nodes)
        self.placement = PlacementController(ctx, self, self, storage_nodes, planner)
        self.witnesses = WitnessChanges(ctx, self, self, delivery=self, storage_nodes=storage_nodes)
        self.retirement = StorageRetirement(ctx, self.submission, self.orders, storage_nodes)

    def open(self):
        self.archive.recover()
        self._take_cluster_state(self.archive.snapshot)
        self._open_snapshots()
        self._open_voting()
        self._open_leading()
        self._open_gateways()
        self.submission.open()
        self.orders.open()
        self.placement.open()
        self.announcements.open()
        self.load_aggregator.open()
        self._ctx.rpc.register_handler("controller.empty", Empty, self._empty)
        if self.archive.snapshot.cluster_state.voters:
            self.trigger("founded")
        b, report = self._ctx.timers, self._ctx.report
        self._elections = b.call_repeatedly(
            ELECTION_INTERVAL, self._election_beat, report("election"), due=self._election_due
        )
        b.call_repeatedly(
            ms(300), self._found_beat, report("founding"), due=lambda: ZERO if self.state == "newcomer" else None
        )
        for span, do, what in (
            (ms(100), self._lead_beat, "leading"),
            (ms(300), self.voter_changes.update_voters, "voters"),
        ):
            self.lead_timers.append(
                b.call_repeatedly(span, do, report(what), due=lambda: ZERO if self.state == "leader" else None)
            )
        self.lead_timers += [self.placement.start_timer(), self.witnesses.start_timer()]

    def _say(self):
        self._ctx.logger.info("controller_founded", term=self.term, last=self.archive.last_index())

    def routes(self, add):
        self.table_api.routes(add)
        ControlApi(self._ctx, self, ControlWords()).routes(add)

    def readiness(self):
        return bool(self.leader), {"leader": self.leader, "state": self.state, "term": self.term}

    def beliefs(self) -> dict:
        return {}

    def metrics(self) -> dict:
        return {
            "term": ("The agreement's term", self.term),
            "leading": ("1 where this controller leads", int(self.state == "leader")),
            "agreed": ("The agreed log's index", self.commit),
        }

    def _take_cluster_state(self, s: Snapshot):
        self.cluster_state = ClusterState(s.cluster_state)
        self.cluster_state.sequence = s.index
        self.commit = max(self.commit, s.index)
        self.founders = self.founders or tuple(s.cluster_state.voters)

    def voters(self) -> tuple[str, ...]:
        return self.archive.voters()

    async def call_controller(self, node: str, method: str, what, kind, limit):
        m = self._ctx.membership.find(node)
        if m is None:
            raise WireError(f"controller {node} is not on the membership")
        return await self._ctx.rpc.call((m.host, m.port), method, what, kind, limit, node=node)

    def apply(self):
        while self.cluster_state.sequence < self.commit:
            e = self.archive.entries[self.cluster_state.sequence - self.archive.snapshot.index]
            outcome = self.cluster_state.apply(e.index, e.command)
            self.settle(e.index, e.term, outcome)
        self.wake_news()
        self.trim_when_long()

    def _lead_beat(self):
        if self.state == "leader":
            self._send_to_all()
            self._forget_followers()

    def close(self):
        self.archive.close()

    async def end(self):
        if self.state == "leader":
            self.step_down()
        await self._ctx.membership.leave()
