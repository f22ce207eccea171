"""The controller node, put together from its mixins."""

from pathlib import Path

from ..cluster import ClusterState
from ..dialect.control import ControlFormat
from ..disk import Disk
from ..errors import WireError
from ..state_machines import StateMachineMixin
from ..timers import ZERO, RepeatingCall, ms
from ..wire.controller_pb2 import Snapshot
from ..wire.frame_pb2 import Empty
from .announcing import Announcing
from .archive import Archive
from .control import Control
from .edits import Edits
from .gateways import Gateways
from .leading import Leading
from .load_hub import LoadHub
from .orders import Orders
from .placement import Placement
from .retiring import Retiring
from .snapshots import Snapshots
from .voters import Voters
from .voting import Founding, Voting

__all__ = ["ControllerNode"]

ELECTION_INTERVAL = ms(50)


class ControllerNode(
    Founding,
    Voting,
    Leading,
    Gateways,
    Edits,
    Orders,
    Retiring,
    Announcing,
    LoadHub,
    Placement,
    Voters,
    Snapshots,
    StateMachineMixin,
):
    """A controller: takes part in the agreement on the cluster state, and serves it.

    The mixins share one archive (ballot, log, snapshot), one cluster state and one state machine (`voter.toml`):

    - Founding names the first voters of a new fleet; Voting holds elections and writes the ballots.
    - Leading replicates the log while this node leads, and takes in the leader's entries while it follows.
    - Gateways leases the cluster state to followers and turns an agreed command into an edit that is in effect.
    - Edits and Retiring serve operators, at any controller, by way of the leader's Gateways and Leading; Orders fences
      what operators order, so that no copy takes effect late.
    - Announcing passes news of engines on to gateways, and LoadHub sums of loads; both depend on neither leader nor
      majority.
    - Placement and Voters run on the leader's timers and propose changes of placement groups and of voters.

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

    def open(self):
        self.archive.recover()
        self._take_cluster_state(self.archive.snapshot)
        self._open_snapshots()
        self._open_voting()
        self._open_leading()
        self._open_gateways()
        self._open_edits()
        self._open_orders()
        self._open_placement()
        self._open_announcing()
        self._open_load_hub()
        self._ctx.rpc.register_handler("controller.empty", Empty, self._empty)
        if self.archive.snapshot.cluster_state.voters:
            self.trigger("founded")
        b, report = self._ctx.timers, self._ctx.error_reporter
        self._elections = b.call_repeatedly(
            ELECTION_INTERVAL, self._election_beat, report("election"), idle_time=self._election_due
        )
        b.call_repeatedly(
            ms(300), self._found_beat, report("founding"), idle_time=lambda: ZERO if self.state == "newcomer" else None
        )
        for span, do, what in (
            (ms(100), self._lead_beat, "leading"),
            (ms(300), self._voters_beat, "voters"),
        ):
            self.lead_timers.append(
                b.call_repeatedly(span, do, report(what), idle_time=lambda: ZERO if self.state == "leader" else None)
            )

        self._open_placement_timers()

    def _say(self):
        self._ctx.logger.info("controller_founded", term=self.term, last=self.archive.last_index())

    def add_routes(self, add):
        super().add_routes(add)
        ControlApi(self._ctx, self, ControlFormat()).add_routes(add)

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
