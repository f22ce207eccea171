"""Operators' orders at one controller: each copy takes effect while its caller waits for it, or not at all."""

from datetime import timedelta

from ..errors import ApiError, ServiceUnavailable
from ..timers import ms
from ..wire.cluster_pb2 import Command, Outcome

__all__ = ["Orders", "CALLER_PATIENCE", "HANG_UP_SPAN"]

CALLER_PATIENCE = ms(1000)
"""Callers wait at least this long before they send an order that got no answer to another controller."""
AWAKE_INTERVAL = ms(200)
ASLEEP_SPAN = ms(500)
DRAIN_SPAN = ms(500)
HANG_UP_SPAN = ms(20)
ORDER_SPAN = CALLER_PATIENCE - ASLEEP_SPAN - ms(100)


class Orders:
    """Mixin: fences the operators' orders, so that a copy that was held up anywhere cannot undo a later order.

    Offers `order` and `check_timely`.
    Needs of the node: `_ctx`, `cluster_state`; of Edits: `decide`.
    Owns `_awake_at` and `_woke_at`: when this controller last ran, and when it last woke after it was not run.
    """

    def _open_orders(self):
        self._awake_at = self._ctx.timers.now()
        self._woke_at: timedelta | None = None
        self._ctx.timers.call_repeatedly(AWAKE_INTERVAL, self._note_awake, self._ctx.error_reporter("awake"))

    def _note_awake(self):
        now = self._ctx.timers.now()
        if now - self._awake_at > ASLEEP_SPAN:
            self._woke_at = now
            self._ctx.logger.info("woke", slept=(now - self._awake_at).total_seconds())
        self._awake_at = now

    def _just_woke(self) -> bool:
        """Whether an order that is read now may have waited in a socket while this controller was not run."""
        self._note_awake()
        return self._woke_at is not None and self._ctx.timers.now() - self._woke_at < DRAIN_SPAN

    def check_timely(self, arrived: timedelta):
        """Refuses an order that was held up so long that its caller may have sent it elsewhere meanwhile."""
        if self._just_woke() or self._ctx.timers.now() - arrived > ORDER_SPAN:
            raise ServiceUnavailable(
                "this controller was held up and did not carry the order out; send it again", code="late"
            )

    async def order(self, c: Command) -> Outcome:
        """The outcome of an order that has just arrived.

        The fence is what was known here when it arrived. Where that was behind, the order is proposed again with the
        newest fence, as long as its caller waits: a caller that left cancels this, and one that may have turned to
        another controller is told that nothing was done.
        """
        arrived = self._ctx.timers.now()
        self.check_timely(arrived)
        c.fencing_token = self.cluster_state.sequence
        await self._ctx.timers.sleep(HANG_UP_SPAN)
        while True:
            self.check_timely(arrived)
            out = await self.decide(c)
            if out.code == "edit_id_used":
                raise ApiError(
                    f"Edit-Id {c.edit} was used for another edit", code=out.code, status=409, outcome="not_run"
                )
            if out.code != "late":
                return out
            c.fencing_token = out.sequence
