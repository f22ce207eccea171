"""Follows the cluster state outside the controllers and proves that it is the newest."""

from datetime import timedelta

from twisted.internet import defer

from ..errors import RemoteError, WireError
from ..replicated_log.placement_group import PlacementGroup
from ..state_machines import StateMachineMixin
from ..timers import ms, secs, to_ms
from ..wire.cluster_pb2 import FollowRequest, FollowResponse, WitnessResponse
from ..wire.frame_pb2 import Empty
from ..wire.membership_pb2 import Member
from .cluster_state import ClusterState
from .state_transfer import StateReceipt

__all__ = ["Cluster", "LEASE_SPAN", "FOLLOWER_LEASE_SPAN", "MIN_FOLLOW_WAIT", "MAX_FOLLOW_WAIT"]

LEASE_SPAN = secs(1.5)
FOLLOWER_LEASE_SPAN = secs(1.2)
MIN_FOLLOW_WAIT = ms(250)
MAX_FOLLOW_WAIT = ms(600)
HOLD_NODES = 24
FOLLOW_LIMIT = ms(450)
WITNESS_AFTER = ms(300)
WITNESS_INTERVAL = ms(300)
WITNESS_SPAN = secs(1)
PAUSE = ms(100)
START_INTERVAL = ms(20)


class Cluster(StateMachineMixin):
    """The cluster state as a node outside the controllers follows it: higher sequences only, and a proof that it is
    the newest.
    """

    state_machine = "currency"

    def __init__(self, ctx):
        self._ctx = ctx
        self.cluster_state = ClusterState()
        self.placement_groups = ctx.settings.placement_groups
        self._leased_at: timedelta | None = None
        self._proved_at: timedelta | None = None
        self._controller = ""
        self._followed = False
        self._watchers: list = []
        self._receipt = StateReceipt()
        self._nudged: defer.Deferred | None = None
        self._init_state_machine()

    def open(self):
        d = self._ctx.rpc
        d.register_handler("cluster.pass_on", FollowRequest, self._pass_on)
        d.register_handler("cluster.witness", Empty, self._witness)
        d.register_handler("cluster.cluster_state", Empty, self._whole)
        self._ctx.membership.add_gossip_carrier(self)
        self._ctx.run_in_background(self._follow(), "follow_cluster")
        if self._ctx.role == "gateway":
            self._ctx.timers.call_repeatedly(WITNESS_INTERVAL, self._ask_witnesses, self._ctx.error_reporter("witness"))

    @property
    def sequence(self) -> int:
        return self.cluster_state.sequence

    @property
    def followed(self) -> bool:
        """Whether the newest cluster state was heard from a leader since this node started."""
        return self._followed

    async def wait_followed(self, span: timedelta) -> bool:
        """Waits a while for `followed` on a node that has just started."""
        end = self._ctx.timers.now() + span
        while not self.followed and self._ctx.timers.now() < end:
            await self._ctx.timers.sleep(START_INTERVAL)
        return self.followed

    def watch(self, do) -> None:
        self._watchers.append(do)

    def ready(self) -> bool:
        """Whether new work may be admitted: checked at the moment of use, so a node that woke asks afresh."""
        now = self._ctx.timers.now()
        if self.sequence == 0 or not self.cluster_state.placement_groups:
            return False
        if self.led():
            state, what = "led", "leased"
        elif self._proved_at is not None and now - self._proved_at < WITNESS_SPAN:
            state, what = "witnessed", "proved"
        else:
            state, what = "lapsed", "lapse"
        if self.state != state:
            self.trigger(what)
        return self.state in ("led", "witnessed")

    def led(self) -> bool:
        """Whether a leader answered lately that this node has all that is agreed."""
        return self._leased_at is not None and self._ctx.timers.now() - self._leased_at < FOLLOWER_LEASE_SPAN

    def usable(self) -> bool:
        """Whether requests may be served: proved, or without proof for as long as the settings allow that."""
        if self.ready():
            return True
        span = self._ctx.settings.unproved_s
        proofs = [at for at in (self._leased_at, self._proved_at) if at is not None]
        return bool(span and proofs and self.sequence) and self._ctx.timers.now() - max(proofs) < secs(span)

    def _say(self):
        self._ctx.logger.info("currency", state=self.state, sequence=self.sequence)

    def placement_group(self, n: int) -> PlacementGroup:
        return self.cluster_state.placement_group(n)

    def row(self, model: str, pool: str):
        return self.cluster_state.row(model, pool)

    def zone_empty(self, zone: str) -> bool:
        return zone in self.cluster_state.empty_zones

    def _fill(self, g):
        g.cluster_sequence = self.sequence

    def _take(self, g):
        if g.cluster_sequence > self.sequence and self._nudged is not None:
            d, self._nudged = self._nudged, None
            d.callback(None)

    def _absorb(self, r: FollowResponse) -> bool:
        before = self.sequence
        if r.HasField("cluster_state") and r.cluster_state.sequence > self.sequence:
            self.cluster_state = ClusterState(r.cluster_state)
        if r.HasField("piece"):
            state = self._receipt.add(r.piece)
            if state is not None and (state.sequence > self.sequence or not self.sequence):
                self.cluster_state = state
        for delta in r.deltas:
            if delta.sequence == self.sequence + 1:
                self.cluster_state.apply(delta.sequence, delta.command)
        if self.sequence != before:
            self._ctx.logger.info("cluster", sequence=self.sequence, table=self.cluster_state.table_sequence)
            for do in self._watchers:
                do()
        return self.sequence >= r.sequence

    async def _follow(self):
        """One task that follows the cluster state from a controller, or through a peer where no controller is heard."""
        failures = 0
        while not self._ctx.timers.stopped:
            try:
                await self._follow_once(failures)
                failures = 0
            except (WireError, RemoteError) as e:
                failures += 1
                leader = e.message if isinstance(e, RemoteError) and e.remote_code == "not_leading" else ""
                if leader and leader != self._controller:
                    self._controller, failures = leader, 0
                    continue
                self._controller = ""
                self._ctx.logger.debug("no_controller", text=e)
                self._nudged = defer.Deferred()
                await self._ctx.timers.with_timeout(PAUSE, self._nudged).addErrback(lambda f: None)

    async def _follow_once(self, failures: int):
        m, method = self._whom(failures)
        asked = self._ctx.timers.now()
        ask = FollowRequest(
            node=self._ctx.node,
            role=self._ctx.role,
            sequence=self.sequence,
            at_once=self._leased_at is None,
            have=self._receipt.have(),
            max_wait_ms=to_ms(self._hold()),
        )
        limit = FOLLOW_LIMIT + ms(ask.max_wait_ms)
        r = await self._ctx.rpc.call((m.host, m.port), method, ask, FollowResponse, limit, node=m.node)
        if r.controller and method == "controller.follow":
            self._controller = r.controller
        if not self._absorb(r):
            return
        if r.leased:
            self._leased_at = min(asked + ms(r.waited_ms), self._ctx.timers.now())
            self._followed = True
            self.ready()

    def _hold(self) -> timedelta:
        """How long the leader may hold this node's question: longer where many ask it, within what a lease allows."""
        nodes = len(self._ctx.membership.members())
        return max(MIN_FOLLOW_WAIT, min(MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT * nodes / HOLD_NODES))

    def _whom(self, failures: int) -> tuple[Member, str]:
        controllers = self._ctx.membership.members("controller", include_self=False)
        known = [m for m in controllers if m.node == self._controller]
        if known and not failures:
            return known[0], "controller.follow"
        peers = self._ctx.membership.members("gateway", statuses=("alive",), include_self=False)
        if controllers and (failures % 3 or not peers):
            return self._ctx.rng.choice(controllers), "controller.follow"
        if not peers:
            raise WireError("neither a controller nor a peer is known")
        return self._ctx.rng.choice(peers), "cluster.pass_on"

    async def _pass_on(self, node, ask: FollowRequest) -> FollowResponse:
        """A peer that hears no controller follows through this node."""
        m = self._ctx.membership.find(self._controller) if self._controller else None
        if m is None:
            raise WireError("no controller is heard here either")
        return await self._ctx.rpc.call(
            (m.host, m.port), "controller.follow", ask, FollowResponse, FOLLOW_LIMIT + ms(ask.max_wait_ms), node=m.node
        )

    async def _witness(self, node, _) -> WitnessResponse:
        return WitnessResponse(current=self.followed, sequence=self.sequence)

    async def _whole(self, node, _) -> FollowResponse:
        return FollowResponse(sequence=self.sequence, cluster_state=self.cluster_state.data())

    async def _ask_witnesses(self):
        """Proof without a controller: an edit is only acknowledged when a majority of the storage nodes has it."""
        self.ready()
        witnesses = self.cluster_state.witnesses()
        now = self._ctx.timers.now()
        if not witnesses or (self._leased_at is not None and now - self._leased_at < self._hold() + WITNESS_AFTER):
            return
        got = await self._ctx.replicated_log.call_each(witnesses, "cluster.witness", Empty(), WitnessResponse, ms(500))
        sure = {n: r.sequence for n, r in got.items() if r.current}
        newest = max(sure, key=sure.get, default="")
        if newest and sure[newest] > self.sequence:
            self._absorb(await self._ctx.replicated_log.call(newest, "cluster.cluster_state", Empty(), FollowResponse))
        if (
            2 * len(sure) > len(witnesses)
            and self.sequence >= max(sure.values())
            and witnesses == self.cluster_state.witnesses()
        ):
            self._proved_at = now
            self.ready()
