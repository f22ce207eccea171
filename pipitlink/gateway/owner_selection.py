"""Assigns owners to keys, and acquires the leases of logs."""

from __future__ import annotations

from ..context import Context
from ..rendezvous import rank
from ..replicated_log import Leaseholder

__all__ = ["acquire_log", "choose_owner"]


def choose_owner(ctx: Context, key: str) -> str:
    """Returns the gateway that should own a key: the live gateway with the highest rank by rendezvous hashing.

    Gateways in emptied zones are chosen only if there are no others.
    """
    alive = ctx.membership.members("gateway", statuses=("alive",))
    eligible = [member for member in alive if not ctx.cluster.zone_empty(member.zone)] or alive
    owner = max(eligible, key=lambda member: rank(key, member.node))
    return str(owner.node)


async def acquire_log(ctx: Context, log: str) -> Leaseholder:
    """Acquires the lease of a log, and starts to write the log's contents to the caches. Raises PipitlinkError."""
    leaseholder: Leaseholder = await ctx.replicated_log.acquire(log)
    ctx.cache.start_log_writer(log, leaseholder)
    return leaseholder
