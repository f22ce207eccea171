"""Keeps a copy of the cluster state up to date on nodes that are not controllers."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import attrs
from twisted.internet import defer

from ..context import Context
from ..errors import RemoteError, WireError
from ..replicated_log.placement_group import PlacementGroup
from ..timers import ms, secs, to_ms
from ..wire.cluster_pb2 import FollowRequest, FollowResponse, Row
from ..wire.membership_pb2 import Gossip, Member
from .cluster_state import ClusterState
from .currency import Currency
from .state_transfer import StateReceiver
from .witnesses import Witnesses

__all__ = ["MAX_FOLLOW_WAIT", "MIN_FOLLOW_WAIT", "ClusterFollower"]

# Long polling: a leader holds the request of an up-to-date node for this long, and longer in larger clusters.
MIN_FOLLOW_WAIT = ms(250)
MAX_FOLLOW_WAIT = ms(600)
NODES_PER_FOLLOW_WAIT = 24
FOLLOW_TIMEOUT = ms(450)
RETRY_INTERVAL = ms(100)
CATCH_UP_POLL_INTERVAL = ms(20)
# While the followed controller does not respond, every third attempt goes through a peer.
ATTEMPTS_PER_PEER_ATTEMPT = 3

FOLLOW_CONTROLLER = "controller.follow"
FOLLOW_PEER = "cluster.pass_on"


@attrs.frozen
class _Source:
    """A member from which the cluster state is requested, and the RPC method to call."""

    member: Member
    method: str


class ClusterFollower:
    """A node's copy of the cluster state, whose sequence never decreases.

    `currency` tells whether the copy is proven to be current.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.cluster_state = ClusterState()
        self.currency = Currency(ctx)
        self.placement_groups = ctx.settings.placement_groups
        self._witnesses = Witnesses(ctx, self)
        self._controller = ""
        self._caught_up = False
        self._listeners: list[Callable[[], object]] = []
        self._receiver = StateReceiver()
        self._retry_delay: defer.Deferred[None] | None = None

    def open(self) -> None:
        """Starts to follow the cluster state and to serve peers. The membership must be open."""
        self._ctx.rpc.register_handler(FOLLOW_PEER, FollowRequest, self._forward_follow)
        self._witnesses.open()
        self._ctx.membership.add_gossip_extension(self)
        self._ctx.run_in_background(self._follow(), "follow_cluster")
        if self._ctx.role == "gateway":
            self._witnesses.start_polling()

    @property
    def sequence(self) -> int:
        """The sequence number of the last applied command, or 0 before the first."""
        return self.cluster_state.sequence

    @property
    def state(self) -> str:
        """What proved the cluster state to be current at the last check."""
        return self.currency.state

    @property
    def caught_up(self) -> bool:
        """Whether a leader has confirmed, since this node started, that its cluster state is the newest."""
        return self._caught_up

    async def wait_until_caught_up(self, timeout: timedelta) -> bool:
        """Waits until the node is caught up or the timeout expires; returns `caught_up`."""
        deadline = self._ctx.timers.now() + timeout
        while not self.caught_up and self._ctx.timers.now() < deadline:
            await self._ctx.timers.sleep(CATCH_UP_POLL_INTERVAL)
        return self.caught_up

    def add_listener(self, listener: Callable[[], object]) -> None:
        """Registers a listener that is called after each change of the cluster state."""
        self._listeners.append(listener)

    def ready(self) -> bool:
        """Whether new work may be admitted; checked at each use, since proofs expire while a process is suspended."""
        if self.sequence == 0 or not self.cluster_state.placement_groups:
            return False
        return self.currency.refresh(self.sequence)

    def has_live_lease(self) -> bool:
        """Whether the lease is live: a leader recently confirmed that this node has every committed command."""
        return self.currency.has_live_lease()

    def usable(self) -> bool:
        """Whether requests may be served: with a proof, or after its expiry for as long as the settings allow."""
        if self.ready():
            return True
        grace_s = self._ctx.settings.unproved_s
        if not grace_s or not self.sequence:
            return False
        return self.currency.was_proven_within(secs(grace_s))

    def placement_group(self, number: int) -> PlacementGroup:
        """Returns a placement group, without storage nodes if it has not been placed yet."""
        return self.cluster_state.placement_group(number)

    def row(self, model: str, pool: str) -> Row | None:
        """Returns the weight table's row for a model in a pool, or None."""
        return self.cluster_state.row(model, pool)

    def zone_empty(self, zone: str) -> bool:
        """Whether a zone is emptied, so that no work may be sent to it."""
        return zone in self.cluster_state.empty_zones

    def max_follow_wait(self) -> timedelta:
        """How long a leader may hold a request: longer in a large cluster, within the limit that the lease sets."""
        nodes = len(self._ctx.membership.members())
        return max(MIN_FOLLOW_WAIT, min(MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT * nodes / NODES_PER_FOLLOW_WAIT))

    def apply_response(self, response: FollowResponse) -> bool:
        """Applies newer state from a response. Returns whether this node is now up to date with the sender."""
        before = self.sequence
        self._install_state(response)
        for delta in response.deltas:
            if delta.sequence == self.sequence + 1:
                self.cluster_state.apply(delta.sequence, delta.command)
        if self.sequence != before:
            self._ctx.logger.info(
                "cluster_state_applied", sequence=self.sequence, table=self.cluster_state.table_sequence
            )
            for listener in self._listeners:
                listener()
        return self.sequence >= response.sequence

    def extend_gossip(self, gossip: Gossip) -> None:
        """Adds the sequence of this node's cluster state to a gossip message."""
        gossip.cluster_sequence = self.sequence

    def merge_gossip(self, gossip: Gossip) -> None:
        """Retries at once if a peer has a newer cluster state."""
        if gossip.cluster_sequence > self.sequence and self._retry_delay is not None:
            pause, self._retry_delay = self._retry_delay, None
            pause.callback(None)

    def _install_state(self, response: FollowResponse) -> None:
        if response.HasField("cluster_state") and response.cluster_state.sequence > self.sequence:
            self.cluster_state = ClusterState(response.cluster_state)
        if not response.HasField("chunk"):
            return
        state = self._receiver.add(response.chunk)
        if state is not None and (state.sequence > self.sequence or not self.sequence):
            self.cluster_state = state

    async def _follow(self) -> None:
        """Follows the cluster state from a controller, or through a peer if no controller responds."""
        failures = 0
        while not self._ctx.timers.stopped:
            try:
                await self._follow_once(failures)
                failures = 0
            except WireError as error:
                failures += 1
                leader = _leader_from_error(error)
                if leader and leader != self._controller:
                    self._controller = leader
                    failures = 0
                    continue
                self._controller = ""
                self._ctx.logger.debug("controller_unreachable", text=error)
                await self._pause()

    async def _pause(self) -> None:
        self._retry_delay = defer.Deferred()
        await self._ctx.timers.with_timeout(RETRY_INTERVAL, self._retry_delay).addErrback(lambda _: None)

    async def _follow_once(self, failures: int) -> None:
        source = self._choose_source(failures)
        requested_at = self._ctx.timers.now()
        request = FollowRequest(
            node=self._ctx.node,
            role=self._ctx.role,
            sequence=self.sequence,
            no_wait=self.currency.leased_at is None,
            received=self._receiver.received(),
            max_wait_ms=to_ms(self.max_follow_wait()),
        )
        response = await self._call(source.member, source.method, request)
        if response.controller and source.method == FOLLOW_CONTROLLER:
            self._controller = response.controller
        if not self.apply_response(response):
            return
        if response.leased:
            self.currency.leased_at = min(requested_at + ms(response.waited_ms), self._ctx.timers.now())
            self._caught_up = True
            self.ready()

    async def _call(self, member: Member, method: str, request: FollowRequest) -> FollowResponse:
        timeout = FOLLOW_TIMEOUT + ms(request.max_wait_ms)
        address = (member.host, member.port)
        response: FollowResponse = await self._ctx.rpc.call(
            address, method, request, FollowResponse, timeout, node=member.node
        )
        return response

    def _choose_source(self, failures: int) -> _Source:
        """Returns the controller followed last or, after failures, another controller or a peer.

        Raises WireError if none is known.
        """
        controllers = self._ctx.membership.members("controller", include_self=False)
        followed = [member for member in controllers if member.node == self._controller]
        if followed and not failures:
            return _Source(followed[0], FOLLOW_CONTROLLER)
        peers = self._ctx.membership.members("gateway", statuses=("alive",), include_self=False)
        if controllers and (failures % ATTEMPTS_PER_PEER_ATTEMPT or not peers):
            return _Source(self._ctx.rng.choice(controllers), FOLLOW_CONTROLLER)
        if not peers:
            raise WireError("neither a controller nor a peer is known")
        return _Source(self._ctx.rng.choice(peers), FOLLOW_PEER)

    async def _forward_follow(self, _node: str, request: FollowRequest) -> FollowResponse:
        """Forwards the request of a peer that cannot reach a controller."""
        controller = self._ctx.membership.find(self._controller) if self._controller else None
        if controller is None:
            raise WireError("this peer cannot reach a controller either")
        return await self._call(controller, FOLLOW_CONTROLLER, request)


def _leader_from_error(error: WireError) -> str:
    """Returns the leader named by a controller that is not leading itself, or "" if it knows none."""
    if isinstance(error, RemoteError) and error.remote_code == "not_leading":
        return error.message
    return ""
