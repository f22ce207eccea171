"""Follows the cluster state outside the controllers."""

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

# A leader answers a request of a node that has the newest state after a wait, which is longer in a larger cluster.
MIN_FOLLOW_WAIT = ms(250)
MAX_FOLLOW_WAIT = ms(600)
NODES_PER_FOLLOW_WAIT = 24
FOLLOW_TIMEOUT = ms(450)
RETRY_PAUSE = ms(100)
CATCH_UP_POLL_INTERVAL = ms(20)
# While the controller that was followed does not answer, each third attempt goes by way of a peer.
ATTEMPTS_PER_PEER_ATTEMPT = 3

FOLLOW_CONTROLLER = "controller.follow"
FOLLOW_PEER = "cluster.pass_on"


@attrs.frozen
class _Source:
    """A member that is asked for the cluster state, and the RPC method for that."""

    member: Member
    method: str


class ClusterFollower:
    """The cluster state as a node outside the controllers has it: only ever replaced by one of a higher sequence.

    `currency` tells whether the state is proved to be the newest.
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
        self._retry_pause: defer.Deferred[None] | None = None

    def open(self) -> None:
        """Follows the cluster state from now on, and answers peers; membership must be open."""
        self._ctx.rpc.register_handler(FOLLOW_PEER, FollowRequest, self._forward_follow)
        self._witnesses.open()
        self._ctx.membership.add_gossip_extension(self)
        self._ctx.run_in_background(self._follow(), "follow_cluster")
        if self._ctx.role == "gateway":
            self._witnesses.start_polling()

    @property
    def sequence(self) -> int:
        """The sequence of the last command that was applied to the state, 0 before the first."""
        return self.cluster_state.sequence

    @property
    def state(self) -> str:
        """By what the cluster state was proved to be current when that was last asked."""
        return self.currency.state

    @property
    def caught_up(self) -> bool:
        """Whether a leader has confirmed since this node started that it has the newest cluster state."""
        return self._caught_up

    async def wait_until_caught_up(self, timeout: timedelta) -> bool:
        """Waits a while for `caught_up` on a node that has just started, and returns it."""
        end = self._ctx.timers.now() + timeout
        while not self.caught_up and self._ctx.timers.now() < end:
            await self._ctx.timers.sleep(CATCH_UP_POLL_INTERVAL)
        return self.caught_up

    def add_listener(self, listener: Callable[[], object]) -> None:
        """Has `listener` called after each change of the cluster state from now on."""
        self._listeners.append(listener)

    def ready(self) -> bool:
        """Whether new work may be admitted: checked at the moment of use, so a node that woke looks at its proofs."""
        if self.sequence == 0 or not self.cluster_state.placement_groups:
            return False
        return self.currency.refresh(self.sequence)

    def has_live_lease(self) -> bool:
        """Whether a leader answered lately that this node has all that is agreed."""
        return self.currency.has_live_lease()

    def usable(self) -> bool:
        """Whether requests may be served: proved, or without proof for as long as the settings allow that."""
        if self.ready():
            return True
        grace_s = self._ctx.settings.unproved_s
        if not grace_s or not self.sequence:
            return False
        return self.currency.was_proved_within(secs(grace_s))

    def placement_group(self, number: int) -> PlacementGroup:
        """Returns a placement group; one without storage nodes where it is not placed yet."""
        return self.cluster_state.placement_group(number)

    def row(self, model: str, pool: str) -> Row | None:
        """Returns the row of the weight table for a model in a pool, or None."""
        return self.cluster_state.row(model, pool)

    def zone_empty(self, zone: str) -> bool:
        """Whether a zone is to get no work."""
        return zone in self.cluster_state.empty_zones

    def max_follow_wait(self) -> timedelta:
        """How long a leader may wait before it answers: longer where many ask it, within what a lease allows."""
        nodes = len(self._ctx.membership.members())
        return max(MIN_FOLLOW_WAIT, min(MAX_FOLLOW_WAIT, MIN_FOLLOW_WAIT * nodes / NODES_PER_FOLLOW_WAIT))

    def apply_response(self, response: FollowResponse) -> bool:
        """Takes over what is newer in a response; returns whether this node now has all that its sender has."""
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
        """Adds the sequence of this node's cluster state to a message."""
        gossip.cluster_sequence = self.sequence

    def merge_gossip(self, gossip: Gossip) -> None:
        """Ends the pause before the next attempt where a peer has a newer cluster state."""
        if gossip.cluster_sequence > self.sequence and self._retry_pause is not None:
            pause, self._retry_pause = self._retry_pause, None
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
        """Follows the cluster state from a controller, or by way of a peer where no controller answers."""
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
        self._retry_pause = defer.Deferred()
        await self._ctx.timers.with_timeout(RETRY_PAUSE, self._retry_pause).addErrback(lambda _: None)

    async def _follow_once(self, failures: int) -> None:
        source = self._choose_source(failures)
        asked_at = self._ctx.timers.now()
        request = FollowRequest(
            node=self._ctx.node,
            role=self._ctx.role,
            sequence=self.sequence,
            no_wait=self.currency.leased_at is None,
            received=self._receiver.received(),
            max_wait_ms=to_ms(self.max_follow_wait()),
        )
        response = await self._ask(source.member, source.method, request)
        if response.controller and source.method == FOLLOW_CONTROLLER:
            self._controller = response.controller
        if not self.apply_response(response):
            return
        if response.leased:
            self.currency.leased_at = min(asked_at + ms(response.waited_ms), self._ctx.timers.now())
            self._caught_up = True
            self.ready()

    async def _ask(self, member: Member, method: str, request: FollowRequest) -> FollowResponse:
        timeout = FOLLOW_TIMEOUT + ms(request.max_wait_ms)
        address = (member.host, member.port)
        response: FollowResponse = await self._ctx.rpc.call(
            address, method, request, FollowResponse, timeout, node=member.node
        )
        return response

    def _choose_source(self, failures: int) -> _Source:
        """Chooses the controller that was followed last, after failures another one or a peer.

        Raises WireError where none is known.
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
        """Forwards the request of a peer that no controller answers."""
        controller = self._ctx.membership.find(self._controller) if self._controller else None
        if controller is None:
            raise WireError("no controller is heard here either")
        return await self._ask(controller, FOLLOW_CONTROLLER, request)


def _leader_from_error(error: WireError) -> str:
    """The leader that a controller names which does not lead itself; "" where it knows none."""
    if isinstance(error, RemoteError) and error.remote_code == "not_leading":
        return error.message
    return ""
