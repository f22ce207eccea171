"""The waiting tokens of all unfinished batches, as the gateways report them."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import attrs

from ..context import Context
from ..timers import secs
from ..wire.membership_pb2 import Loads, WaitingLot
from .batch_table import BatchListener, BatchTable
from .gateway_watch import GatewayWatch
from .owned_batch import OwnedBatch

__all__ = ["ReportedBatch", "RouteBacklog", "TokenGrant", "TokenReservation", "WaitingTokens"]

# A batch that was reported less than this before a listing of the open logs was requested may be missing from it.
LISTING_DELAY = secs(1)
# How long the end of a batch is reported, so that every gateway receives it.
REPORT_FINISHED_FOR = secs(3)


@attrs.define
class ReportedBatch:
    """The unfinished tokens of a batch, as its owner last reported them.

    `gateway` is empty where no gateway reports the batch now.
    """

    route: str
    tokens: int
    gateway: str
    reported_at: timedelta


class TokenReservation(NamedTuple):
    """Tokens of a route that were granted to this gateway for a batch that it is accepting."""

    route: str
    tokens: int


class TokenGrant(NamedTuple):
    """Tokens of a route that this gateway, as the route's coordinator, has granted to a gateway for a batch."""

    route: str
    tokens: int
    gateway: str
    valid_until: timedelta


class RouteBacklog(NamedTuple):
    """The unfinished tokens of a route: those of this gateway's batches, and those of all gateways."""

    own_tokens: int
    total_tokens: int


class _FinishedBatch(NamedTuple):
    route: str
    report_until: timedelta


class _ReportContent(NamedTuple):
    """The gateways that the last report was for, and the tokens of each batch in it."""

    gateways: frozenset[str]
    tokens: dict[str, int]


class WaitingTokens(BatchListener):
    """The unfinished tokens of each batch, of this gateway and of its peers.

    Owners report them together with their engine loads, so that every gateway has the total. `reservations` are the
    grants that this gateway received for batches that it is accepting, `grants` those that it issued as coordinator
    and that no gateway has reported yet. `uncounted` maps open batches that no gateway has reported to the time at
    which they were first listed.
    """

    def __init__(self, ctx: Context, table: BatchTable, gateway_watch: GatewayWatch) -> None:
        self._ctx = ctx
        self._table = table
        self._gateway_watch = gateway_watch
        self.reported: dict[str, ReportedBatch] = {}
        self.uncounted: dict[str, timedelta] = {}
        self.grants: dict[str, TokenGrant] = {}
        self.reservations: dict[str, TokenReservation] = {}
        self._finished: dict[str, _FinishedBatch] = {}
        self._last_report = _ReportContent(frozenset(), {})
        self.listed_at: timedelta | None = None

    def batch_closed(self, batch: OwnedBatch) -> None:
        """Reports for a while that a batch has no waiting tokens."""
        report_until = self._ctx.timers.now() + REPORT_FINISHED_FOR
        self._finished[batch.id] = _FinishedBatch(batch.content.route, report_until)

    def own_report(self) -> list[WaitingLot]:
        """Returns what this gateway reports: its reservations, its batches, and those that ended recently."""
        now = self._ctx.timers.now()
        entries = {
            batch_id: WaitingLot(lot=batch_id, route=reservation.route, tokens=reservation.tokens)
            for batch_id, reservation in self.reservations.items()
        }
        for batch_id, finished in list(self._finished.items()):
            if finished.report_until <= now:
                del self._finished[batch_id]
            else:
                entries[batch_id] = WaitingLot(lot=batch_id, route=finished.route)
        for batch_id, batch in self._table.batches.items():
            if not batch.leaseholder.lost:
                tokens = 0 if batch.leaseholder.final else batch.unfinished_tokens
                entries[batch_id] = WaitingLot(lot=batch_id, route=batch.content.route, tokens=tokens)
        return list(entries.values())

    def add_to_report(self, report: Loads) -> bool:
        """Adds this gateway's entries to a report.

        Returns whether any entry has changed since the last report, or there are gateways that did not receive it.
        """
        self._gateway_watch.check()
        entries = self.own_report()
        report.lots.extend(entries)
        content = _ReportContent(self._gateway_watch.gateways, {entry.lot: entry.tokens for entry in entries})
        last, self._last_report = self._last_report, content
        return bool(entries or last.tokens) and content != last

    def apply_report(self, report: Loads) -> None:
        """Records the report of another gateway."""
        self.record(report.gateway, report.lots)

    def record(self, gateway: str, entries: Iterable[WaitingLot]) -> None:
        """Records a gateway's full report; batches that it reported before, but not now, have no reporter any more."""
        now = self._ctx.timers.now()
        batch_ids = set()
        for entry in entries:
            batch_ids.add(entry.lot)
            self.reported[entry.lot] = ReportedBatch(entry.route, entry.tokens, gateway, now)
            self.grants.pop(entry.lot, None)
            self.uncounted.pop(entry.lot, None)
        for batch_id, reported in self.reported.items():
            if reported.gateway == gateway and batch_id not in batch_ids:
                reported.gateway, reported.reported_at = "", now

    def count(self, batch_id: str, route: str, tokens: int) -> None:
        """Records the unfinished tokens of a batch that no gateway reports."""
        self.reported[batch_id] = ReportedBatch(route, tokens, "", self._ctx.timers.now())
        del self.uncounted[batch_id]

    def apply_listing(self, batch_ids: set[str], started_at: timedelta, is_complete: bool) -> None:
        """Updates `uncounted` and `reported` from a listing of the open batches.

        `uncounted` becomes the listed batches that have no entry in `reported`, are not owned by this gateway and have
        no grant that was still valid when the listing started; a granted batch is counted by its grant.

        Batches that are missing from a complete listing are removed from `reported` if no gateway reports waiting
        tokens for them any more, unless their entry changed less than LISTING_DELAY before the listing started.
        """
        now = self._ctx.timers.now()
        granted = {batch_id for batch_id, grant in self.grants.items() if grant.valid_until > started_at}
        counted = granted.union(self.reported, self._table.batches)
        self.uncounted = {batch_id: self.uncounted.get(batch_id, now) for batch_id in batch_ids - counted}
        if not is_complete:
            return
        self.listed_at = started_at
        for batch_id, reported in list(self.reported.items()):
            if self._has_lost_reporter(reported):
                reported.gateway, reported.reported_at = "", now
            is_unreported = not reported.gateway or not reported.tokens
            if batch_id not in batch_ids and is_unreported and started_at - reported.reported_at >= LISTING_DELAY:
                del self.reported[batch_id]

    def _has_lost_reporter(self, reported: ReportedBatch) -> bool:
        gateway = reported.gateway
        if not gateway or gateway == self._ctx.node:
            return False
        return self._ctx.membership.status(gateway) in ("gone", "unknown")

    def drop_expired_grants(self) -> None:
        """Drops expired grants, but keeps those of gateways that are not live until the open batches were listed.

        A live gateway has reported the batches that it accepted, so its expired grants are not needed any more. Any
        other gateway (suspect, gone or unknown) may have stored a batch without reporting it. Its grant still counts
        until a complete listing of the open batches that started after the grant expired.
        """
        now = self._ctx.timers.now()
        for batch_id, grant in list(self.grants.items()):
            if grant.valid_until <= now and (self._is_alive(grant.gateway) or self._was_listed_since(grant)):
                del self.grants[batch_id]

    def _is_alive(self, gateway: str) -> bool:
        return gateway == self._ctx.node or self._ctx.membership.status(gateway) == "alive"

    def _was_listed_since(self, grant: TokenGrant) -> bool:
        return self.listed_at is not None and self.listed_at >= grant.valid_until

    def committed_tokens(self, route: str, except_batch: str) -> int:
        """Returns the tokens of a route that are reported or granted, except those of one batch."""
        reported = sum(
            batch.tokens
            for batch_id, batch in self.reported.items()
            if batch.route == route and batch_id != except_batch
        )
        granted = sum(
            grant.tokens for batch_id, grant in self.grants.items() if grant.route == route and batch_id != except_batch
        )
        return reported + granted

    def backlog(self, route: str) -> RouteBacklog:
        """Returns the unfinished tokens of a route."""
        own = sum(
            batch.unfinished_tokens
            for batch in self._table.batches.values()
            if not batch.leaseholder.lost and batch.content.route == route
        )
        others = sum(
            reported.tokens
            for batch_id, reported in self.reported.items()
            if reported.route == route and batch_id not in self._table.batches
        )
        return RouteBacklog(own, own + others)
