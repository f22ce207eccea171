"""Publishes changes of the fleet's state as CloudEvents to an HTTP listener."""

from collections import deque

from twisted.internet import defer

from .timers import secs

__all__ = ["Changes"]

MOST = 256
LIMIT = secs(2)
CHANGES = {
    "cluster",
    "status",
    "met",
    "engine",
    "lot_owned",
    "lot_done",
    "lot_ended",
    "leading",
    "currency",
    "storage_node_admitted",
    "storage_node_let_go",
    "placement_group",
    "voters",
}


class Changes:
    """Tells each change that the logger notes as a CloudEvent, where a setting names a listener.

    It is off the path: the inbox is bounded, one task empties it, and what cannot be told in time is dropped and
    counted.
    """

    def __init__(self, ctx):
        self._ctx = ctx
        self._inbox: deque = deque()
        self._waiter: defer.Deferred | None = None
        self.told = self.dropped = 0

    def open(self):
        if self._ctx.settings.changes_to:
            self._ctx.logger.add_observer(self._noted)
            self._ctx.run_in_background(self._tell(), "tell_changes")

    def _noted(self, event: str, pairs: dict):
        from cloudevents.core.v1.event import CloudEvent

        if event not in CHANGES:
            return
        if len(self._inbox) >= MOST:
            self._inbox.popleft()
            self.dropped += 1
        words = {k: v if isinstance(v, (int, float, bool)) else str(v) for k, v in pairs.items()}
        p = self._ctx.settings
        self._inbox.append(
            CloudEvent(
                {
                    "type": f"pipitlink.{event}",
                    "source": f"/{p.fleet}/{p.zone}/{self._ctx.node}",
                    "time": self._ctx.timers.utc_now(),
                    "datacontenttype": "application/json",
                },
                words,
            )
        )
        if self._waiter is not None and not self._waiter.called:
            self._waiter.callback(None)

    async def _tell(self):
        from cloudevents.core.bindings.http import to_structured
        from cloudevents.core.formats.json import JSONFormat

        while not self._ctx.timers.stopped:
            if not self._inbox:
                self._waiter = defer.Deferred(lambda _: None)
                await self._waiter
                continue
            message = to_structured(self._inbox.popleft(), JSONFormat())
            try:
                await self._ctx.timers.with_timeout(LIMIT, self._post(message))
                self.told += 1
            except Exception as e:
                self.dropped += 1
                self._ctx.logger.debug("change_untold", text=e)

    async def _post(self, message):
        import treq

        r = await treq.post(
            f"http://{self._ctx.settings.changes_to}",
            data=message.body,
            headers=message.headers,
            reactor=self._ctx.reactor,
            persistent=False,
            allow_redirects=False,
        )
        await treq.content(r)
        if r.code >= 400:
            raise ValueError(f"the listener answered {r.code}")
