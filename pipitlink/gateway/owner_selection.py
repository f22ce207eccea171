"""Which gateway owns what, and how it takes the lease of a log."""

from __future__ import annotations

from ..context import Context
from ..rendezvous import rank
from ..replicated_log import Leaseholder

__all__ = ["acquire_log", "choose_owner"]


def choose_owner(ctx: Context, key: str) -> str:
    """Returns the gateway that should own a key: the highest by rendezvous hashing of those alive.

    Gateways in emptied zones own nothing while there are others.
    """
    alive = ctx.membership.members("gateway", statuses=("alive",))
    eligible = [member for member in alive if not ctx.cluster.zone_empty(member.zone)] or alive
    owner = max(eligible, key=lambda member: rank(key, member.node))
    return str(owner.node)


async def acquire_log(ctx: Context, log: str) -> Leaseholder:
    """Takes the lease of a log, and has its contents written to the caches. Raises PipitlinkError."""
    leaseholder: Leaseholder = await ctx.replicated_log.acquire(log)
    ctx.cache.start_log_writer(log, leaseholder)
    return leaseholder
