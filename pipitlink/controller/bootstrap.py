"""Bootstraps a new cluster from the initial voters that the settings name."""

from __future__ import annotations

from ..context import Context
from ..errors import WireError
from ..timers import ZERO, ms
from ..wire.cluster_pb2 import ClusterStateData
from ..wire.controller_pb2 import BootstrapResponse, Snapshot
from ..wire.frame_pb2 import Empty
from ..wire.rpc import Address
from .consensus_state import ConsensusState
from .snapshot_transfer import SnapshotManager

__all__ = ["Bootstrap"]

CALL_TIMEOUT = ms(400)
BOOTSTRAP_INTERVAL = ms(300)


class Bootstrap:
    """Makes the controllers in the setting `founders` the initial voters, if none of them has a cluster state yet.

    The first controller in the list decides, once all of them have responded to it. The others learn the set of voters
    from any controller that has it.
    """

    def __init__(self, ctx: Context, consensus: ConsensusState, snapshots: SnapshotManager) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._snapshots = snapshots

    def open(self) -> None:
        """Registers the RPC handler."""
        self._ctx.rpc.register_handler("controller.empty", Empty, self._handle_empty)

    def start_timer(self) -> None:
        """Starts to attempt the bootstrap at intervals, until this controller has a cluster state."""
        self._ctx.timers.call_repeatedly(
            BOOTSTRAP_INTERVAL,
            self._attempt_bootstrap,
            self._ctx.error_reporter("bootstrap"),
            idle_time=lambda: ZERO if self._consensus.is_newcomer else None,
        )

    async def _attempt_bootstrap(self) -> None:
        founders = self._ctx.settings.founders
        if not self._consensus.is_newcomer or not founders:
            return
        responses = [await self._request_bootstrap(_address(founder)) for founder in founders]
        received = [response for response in responses if response is not None]
        for response in received:
            if self._ctx.node in response.voters:
                await self._install_voters(tuple(response.voters))
                return
        decides = _address(founders[0]) == self._ctx.rpc.address
        all_empty = len(received) == len(responses) and not any(response.bootstrapped for response in received)
        if decides and all_empty:
            await self._install_voters(tuple(sorted(response.node for response in received)))

    async def _request_bootstrap(self, address: Address) -> BootstrapResponse | None:
        try:
            response: BootstrapResponse = await self._ctx.rpc.call(
                address, "controller.empty", Empty(), BootstrapResponse, CALL_TIMEOUT
            )
        except WireError:
            return None
        return response

    async def _handle_empty(self, _node: str, _request: Empty) -> BootstrapResponse:
        bootstrapped = not self._consensus.is_newcomer
        voters = self._consensus.initial_voters if bootstrapped else ()
        return BootstrapResponse(node=self._ctx.node, bootstrapped=bootstrapped, voters=voters)

    async def _install_voters(self, voters: tuple[str, ...]) -> None:
        if not self._consensus.is_newcomer or self._ctx.node not in voters:
            return
        await self._snapshots.install(Snapshot(index=0, term=0, cluster_state=ClusterStateData(voters=voters)))
        self._ctx.logger.info("bootstrapped", voters=",".join(voters))


def _address(founder: str) -> Address:
    """Parses a HOST:PORT address."""
    host, _, port = founder.rpartition(":")
    return host, int(port)
