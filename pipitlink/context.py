"""What the parts of one process share: settings, timers, RPC endpoint, membership and cluster state."""

import secrets
from random import Random

import attrs
from twisted.internet.threads import deferToThread

from .dialect import Dialect
from .settings import Settings
from .structured_log import StructuredLogger
from .timers import Timers, spawn
from .wire.rpc import RpcEndpoint

__all__ = ["Context", "fresh_id"]


def fresh_id() -> str:
    """Returns a random id of 16 hexadecimal digits."""
    return secrets.token_hex(8)


@attrs.define(eq=False)
class Context:
    """All that a process's parts share, handed to each of them."""

    role: str
    node: str
    settings: Settings
    reactor: object
    timers: Timers
    logger: StructuredLogger
    rpc: RpcEndpoint
    rng: Random
    membership: object = None
    cluster: object = None
    replicated_log: object = None
    cache: object = None
    engines: object = None
    changes: object = None
    run_in_thread: object = deferToThread
    dialect: Dialect = attrs.field(factory=Dialect)

    def report(self, what: str):
        return lambda e: self.logger.failure(what, e)

    def run_in_background(self, work, what: str):
        """Starts work that nobody waits for; its errors go to the logger."""
        return spawn(work).addErrback(lambda f: self.logger.failure(what, f.value))
