"""Rate and concurrency limits that apply across all gateways."""

from __future__ import annotations

import math
from functools import partial

from ..context import Context, random_id
from ..errors import RemoteError, ServiceUnavailable, WireError
from ..rendezvous import rank
from ..timers import ZERO, ms, secs
from ..wire.cluster_pb2 import Row
from ..wire.membership_pb2 import Loads, Permit, PermitRequest, PermitResponse
from ..wire.rpc import Address
from .engine_candidates import EngineCandidates
from .engine_slots import EngineSlots
from .request_record import RequestRecord
from .retry_after import RetryAfterEstimator
from .row_limits import RowLimits

__all__ = ["RateLimits"]

SETTLING_TIME = ms(600)
MAX_REPORT_DELAY = secs(1)
RECENT_LOSS_WINDOW = secs(60)
SUSPENSION_THRESHOLD = secs(1)
CALL_TIMEOUT = ms(400)
PERMIT_POLL_INTERVAL = ms(60)
MAX_PERMIT_WAIT = secs(1)
UNKNOWN_WAIT_MS = 1000
TOO_MANY_REQUESTS = 429


class RateLimits:
    """The limits of rows, which apply across the cluster: one gateway coordinates each row and grants all its permits.

    The coordinator is the live gateway with the highest rank by rendezvous hashing. Every gateway includes the permits
    that it holds in its load reports, so that a new coordinator learns them without asking.
    """

    def __init__(
        self, ctx: Context, slots: EngineSlots, candidates: EngineCandidates, retry_after: RetryAfterEstimator
    ) -> None:
        self._ctx = ctx
        self._slots = slots
        self._candidates = candidates
        self._retry_after = retry_after
        self._rows: dict[str, RowLimits] = {}
        self._permits: dict[str, str] = {}
        self._known_gateways: frozenset[str] = frozenset()
        self._gateways_changed_at = self._checked_at = ctx.timers.now()

    def open(self) -> None:
        """Registers the RPC handler of the coordinator, and adds the permits to the load reports."""
        self._ctx.rpc.register_handler("limits.take", PermitRequest, self._handle_permit_request)
        self._slots.add_contributor(self)

    def coordinator(self, row: str) -> str:
        """Returns the node that grants the permits of a row, as known at this gateway."""
        gateways = {member.node for member in self._ctx.membership.members("gateway", statuses=("alive",))}
        gateways.add(self._ctx.node)
        return max(gateways, key=lambda gateway: rank(row, gateway))

    async def check_rate(self, request: RequestRecord) -> None:
        """Takes a token of the request's row. Raises ServiceUnavailable with a retry time if there is none."""
        row = self._candidates.row_of(request.model, request.pool)
        if row is None or not row.rate:
            return
        response = await self._call_coordinator(PermitRequest(row=row.name))
        if not response.granted:
            raise ServiceUnavailable(
                f"row {row.name} allows {row.rate:g} requests a second",
                code="rate_limited",
                status=TOO_MANY_REQUESTS,
                retry_after=max(1, math.ceil(response.wait_ms / 1000)),
            )

    async def acquire_permit(self, request: RequestRecord) -> None:
        """Acquires a permit of the request's row if that has a concurrency limit; the request holds it until its end.

        Waits a short time for a permit. Raises ServiceUnavailable with a retry time if none becomes free.
        """
        row = self._candidates.row_of(request.model, request.pool)
        if row is None or not row.concurrency or request.release_permit:
            return
        permit_id = random_id()
        await self._wait_for_permit(request, row, permit_id)
        self._permits[permit_id] = row.name
        request.release_permit = partial(self._release_permit, permit_id)

    def add_to_report(self, loads: Loads) -> None:
        """Adds the permits that this gateway holds to its load report."""
        self._detect_gateway_changes()
        loads.permits.extend(Permit(row=row, id=permit_id) for permit_id, row in self._permits.items())

    def apply_report(self, loads: Loads) -> None:
        """Records the permits that another gateway reports; permits missing from the report were released.

        A permit that was granted a short time ago may be missing because the report was sent before the grant.
        """
        now = self._ctx.timers.now()
        reported = {permit.id for permit in loads.permits}
        for permit in loads.permits:
            self._limits_of(permit.row).record_permit(permit.id, loads.gateway, now)
        for row in self._rows.values():
            for permit_id, granted in list(row.permits.items()):
                if (
                    granted.gateway == loads.gateway
                    and permit_id not in reported
                    and now - granted.granted_at > MAX_REPORT_DELAY
                ):
                    del row.permits[permit_id]

    def _limits_of(self, row: str) -> RowLimits:
        return self._rows.setdefault(row, RowLimits())

    async def _wait_for_permit(self, request: RequestRecord, row: Row, permit_id: str) -> None:
        deadline = min(request.deadline, self._ctx.timers.now() + MAX_PERMIT_WAIT)
        while True:
            self._slots.keep_reporting()
            response = await self._call_coordinator(PermitRequest(row=row.name, id=permit_id))
            if response.granted:
                return
            if self._ctx.timers.now() + PERMIT_POLL_INTERVAL >= deadline:
                raise ServiceUnavailable(
                    f"row {row.name} allows {row.concurrency} concurrent requests",
                    code="concurrency_limited",
                    status=TOO_MANY_REQUESTS,
                    retry_after=self._retry_after.seconds(),
                )
            await self._ctx.timers.sleep(PERMIT_POLL_INTERVAL)

    def _release_permit(self, permit_id: str) -> None:
        row = self._permits.pop(permit_id)
        release = self._call_coordinator(PermitRequest(row=row, id=permit_id, release=True))
        self._ctx.run_in_background(release, "release_permit")

    async def _call_coordinator(self, request: PermitRequest) -> PermitResponse:
        coordinator = self.coordinator(request.row)
        if coordinator == self._ctx.node:
            return self._decide(coordinator, request)
        member = self._ctx.membership.find(coordinator)
        assert member is not None
        address = (member.host, member.port)
        try:
            return await self._ctx.rpc.call(address, "limits.take", request, PermitResponse, CALL_TIMEOUT)
        except (WireError, RemoteError):
            return PermitResponse(wait_ms=UNKNOWN_WAIT_MS)

    async def _handle_permit_request(self, node: str, request: PermitRequest) -> PermitResponse:
        return self._decide(node, request)

    def _decide(self, node: str, request: PermitRequest) -> PermitResponse:
        """Grants, rejects or releases a permit or a token as the coordinator of the row."""
        limits = self._limits_of(request.row)
        if request.release:
            limits.permits.pop(request.id, None)
            return PermitResponse()
        row = self._ctx.cluster.cluster_state.rows.get(request.row)
        if row is None:
            return PermitResponse(granted=True)
        now = self._ctx.timers.now()
        if not self._may_grant():
            return PermitResponse(wait_ms=UNKNOWN_WAIT_MS)
        if request.id:
            granted = not row.concurrency or limits.grant_permit(row.concurrency, request.id, node, now)
            return PermitResponse(granted=granted, wait_ms=UNKNOWN_WAIT_MS)
        wait = limits.take_token(row.rate, now, self._gateways_changed_at) if row.rate else ZERO
        return PermitResponse(granted=not wait, wait_ms=math.ceil(wait / ms(1)))

    def _detect_gateway_changes(self) -> None:
        """Records whether the live gateways changed, or this process was suspended, since the last call.

        After that, a coordinator may not know all permits that are held.
        """
        now = self._ctx.timers.now()
        gateways = frozenset(member.node for member in self._ctx.membership.members("gateway", statuses=("alive",)))
        if gateways != self._known_gateways or now - self._checked_at > SUSPENSION_THRESHOLD:
            self._known_gateways = gateways
            self._gateways_changed_at = now
        self._checked_at = now

    def _may_grant(self) -> bool:
        """Returns whether this coordinator may grant permits and tokens.

        It may not shortly after the gateways changed, on the smaller side of a partition, or with a stale cluster
        state.
        """
        self._detect_gateway_changes()
        alive = self._ctx.membership.members("gateway", statuses=("alive",))
        missing = self._missing_gateways({(member.host, member.port) for member in alive})
        return (
            self._ctx.cluster.ready()
            and len(alive) >= missing
            and self._ctx.timers.now() - self._gateways_changed_at >= SETTLING_TIME
        )

    def _missing_gateways(self, alive_addresses: set[Address]) -> int:
        """Returns how many gateways were lost recently and not replaced by a gateway at the same address."""
        membership = self._ctx.membership
        missing = 0
        for member in membership.members("gateway", statuses=("suspect", "gone"), include_self=False):
            replaced = (member.host, member.port) in alive_addresses
            if not replaced and membership.time_in_status(member.node) < RECENT_LOSS_WINDOW:
                missing += 1
        return missing
