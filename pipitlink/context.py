"""Objects shared by all parts of a process: settings, timers, RPC endpoint, membership and cluster state."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from .client_memory import ClientMemory
from .dialect import Dialect
from .settings import Settings
from .structured_log import StructuredLogger
from .timers import ErrorReporter, Timers, spawn
from .traffic import TrafficCounter
from .wire.rpc import RpcEndpoint

if TYPE_CHECKING:
    from .cache import Cache
    from .changes import ChangePublisher
    from .cluster import ClusterFollower
    from .membership import Membership
    from .reactor_types import Reactor
    from .replicated_log import ReplicatedLog

__all__ = ["Context", "RunInThread", "random_id"]

RANDOM_ID_BYTES = 8

ResultT = TypeVar("ResultT")


def random_id() -> str:
    """Returns a random id of 16 hexadecimal digits."""
    return secrets.token_hex(RANDOM_ID_BYTES)


class RunInThread(Protocol):
    """Runs a function on a thread."""

    def __call__(self, function: Callable[..., ResultT], /, *args: Any) -> Deferred[ResultT]:
        """Starts the function and returns a Deferred of its result."""


@attrs.define(eq=False)
class Context:
    """The objects that all parts of a process share, passed to the constructor of each part.

    `Process` creates it from settings, timers, logger and RPC endpoint. During start-up `Process` sets the attributes
    declared with `init=False` before it opens anything that reads them. Reading one earlier is a programming error and
    raises AttributeError.
    """

    role: str
    node: str
    settings: Settings
    reactor: Reactor
    timers: Timers
    logger: StructuredLogger
    rpc: RpcEndpoint
    rng: Random
    membership: Membership = attrs.field(init=False)
    cluster: ClusterFollower = attrs.field(init=False)
    replicated_log: ReplicatedLog = attrs.field(init=False)
    # Set in gateways only.
    cache: Cache = attrs.field(init=False)
    changes: ChangePublisher = attrs.field(init=False)
    # Tests inject a function that runs on virtual time.
    run_in_thread: RunInThread = deferToThread
    dialect: Dialect = attrs.field(factory=Dialect)
    traffic: TrafficCounter = attrs.field(factory=TrafficCounter)
    client_memory: ClientMemory = attrs.field(factory=ClientMemory)

    def error_reporter(self, event: str) -> ErrorReporter:
        """Returns a function that logs an error as a failure named `event`."""
        return lambda error: self.logger.failure(event, error)

    def run_in_background(self, work: Coroutine[Any, Any, object], event: str) -> Deferred[Any]:
        """Starts a coroutine without waiting for it; an error is logged as a failure named `event`."""
        return spawn(work).addErrback(lambda failure: self.logger.failure(event, failure.value))
