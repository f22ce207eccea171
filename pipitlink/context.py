"""What the parts of one process share: settings, timers, RPC endpoint, membership and cluster state."""

import secrets
from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from .dialect import Dialect
from .settings import Settings
from .structured_log import StructuredLogger
from .timers import ErrorReporter, Timers, spawn
from .wire.rpc import RpcEndpoint

if TYPE_CHECKING:
    from .cache import Cache
    from .changes import ChangePublisher
    from .cluster import ClusterFollower
    from .gateway.engine_registry import EngineRegistry as GatewayEngines
    from .membership import Membership
    from .reactor_types import Reactor
    from .replicated_log import ReplicatedLog
    from .router.engines import Engines as RouterEngines

__all__ = ["Context", "RunInThread", "random_id"]

ResultT = TypeVar("ResultT")


def random_id() -> str:
    """Returns a random id of 16 hexadecimal digits."""
    return secrets.token_hex(8)


class RunInThread(Protocol):
    """Runs a function on a thread, and fires with its result."""

    def __call__(self, function: Callable[..., ResultT], /, *args: Any) -> Deferred[ResultT]:
        """Starts the function and returns the Deferred of its result."""


@attrs.define(eq=False)
class Context:
    """All that a process's parts share, handed to each of them."""

    role: str
    node: str
    settings: Settings
    reactor: "Reactor"
    timers: Timers
    logger: StructuredLogger
    rpc: RpcEndpoint
    rng: Random
    membership: "Membership" = attrs.field(init=False)
    cluster: "ClusterFollower" = attrs.field(init=False)
    replicated_log: "ReplicatedLog" = attrs.field(init=False)
    cache: "Cache" = attrs.field(init=False)
    engines: "GatewayEngines | RouterEngines" = attrs.field(init=False)
    changes: "ChangePublisher" = attrs.field(init=False)
    run_in_thread: RunInThread = deferToThread
    dialect: Dialect = attrs.field(factory=Dialect)

    def report(self, what: str) -> ErrorReporter:
        return lambda e: self.logger.failure(what, e)

    def run_in_background(self, work: Coroutine[Any, Any, object], what: str) -> Deferred[Any]:
        """Starts work that nobody waits for; its errors go to the logger."""
        return spawn(work).addErrback(lambda f: self.logger.failure(what, f.value))
