"""Publishes changes of the cluster state as CloudEvents to an HTTP listener."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from .timers import secs

if TYPE_CHECKING:
    from cloudevents.core.bindings.http import HTTPMessage
    from cloudevents.core.v1.event import CloudEvent

    from .context import Context

__all__ = ["ChangePublisher"]

MAX_QUEUED = 256
POST_TIMEOUT = secs(2)
TYPE_PREFIX = "pipitlink."

PUBLISHED_TYPES = {
    "cluster_state_applied": "cluster",
    "member_status_changed": "status",
    "member_joined": "met",
    "engine_status_changed": "engine",
    "lot_acquired": "lot_owned",
    "lot_completed": "lot_done",
    "lot_cancelled": "lot_ended",
    "leader_elected": "leading",
    "currency_changed": "currency",
    "storage_node_admitted": "storage_node_admitted",
    "storage_node_released": "storage_node_let_go",
    "placement_group_changed": "placement_group",
    "voters_changed": "voters",
}
"""Published log events and their CloudEvent types. Listeners match the types, which stay when an event is renamed."""


class ChangePublisher:
    """Publishes the log events listed in PUBLISHED_TYPES as CloudEvents if the setting `changes_to` names a listener.

    Logging never waits for delivery. Events go through a bounded queue that one task sends from; the oldest are dropped
    when it is full. Events that are dropped, or not delivered in time, are counted.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._queue: deque[CloudEvent] = deque()
        self._wakeup: defer.Deferred[None] | None = None
        self.published = 0
        self.dropped = 0

    def open(self) -> None:
        """Starts observing the logger if a listener is set."""
        if self._ctx.settings.changes_to:
            self._ctx.logger.add_observer(self._observe)
            self._ctx.run_in_background(self._publish_queued(), "publish_changes")

    def _observe(self, event: str, fields: dict[str, Any]) -> None:
        if event not in PUBLISHED_TYPES:
            return
        if len(self._queue) >= MAX_QUEUED:
            self._queue.popleft()
            self.dropped += 1
        self._queue.append(self._cloud_event(PUBLISHED_TYPES[event], fields))
        if self._wakeup is not None and not self._wakeup.called:
            self._wakeup.callback(None)

    def _cloud_event(self, published_type: str, fields: dict[str, Any]) -> CloudEvent:
        from cloudevents.core.v1.event import CloudEvent

        settings = self._ctx.settings
        attributes = {
            "type": TYPE_PREFIX + published_type,
            "source": f"/{settings.fleet}/{settings.zone}/{self._ctx.node}",
            "time": self._ctx.timers.utc_now(),
            "datacontenttype": "application/json",
        }
        data = {name: value if isinstance(value, (int, float, bool)) else str(value) for name, value in fields.items()}
        return CloudEvent(attributes, data)

    async def _publish_queued(self) -> None:
        from cloudevents.core.bindings.http import to_structured
        from cloudevents.core.formats.json import JSONFormat

        while not self._ctx.timers.stopped:
            if not self._queue:
                self._wakeup = defer.Deferred(lambda _: None)
                await self._wakeup
                continue
            message = to_structured(self._queue.popleft(), JSONFormat())
            try:
                await self._ctx.timers.with_timeout(POST_TIMEOUT, self._post(message))
                self.published += 1
            except Exception as error:
                self.dropped += 1
                self._ctx.logger.debug("change_not_published", text=error)

    async def _post(self, message: HTTPMessage) -> None:
        import treq

        from .http_client_pool import HttpClientPool

        headers: dict[bytes | str, bytes | str] = dict(message.headers.items())
        reactor: Any = self._ctx.reactor
        response = await treq.post(
            f"http://{self._ctx.settings.changes_to}",
            data=message.body,
            headers=headers,
            reactor=reactor,
            pool=HttpClientPool(reactor, persistent=False),
            allow_redirects=False,
        )
        await treq.content(response)
        if response.code >= 400:
            raise ValueError(f"the listener responded with status {response.code}")
