"""Estimates the time after which a rejected client should retry."""

from __future__ import annotations

import math
from collections import deque
from datetime import timedelta
from hashlib import blake2b

from ..timers import ZERO, Timers, secs

__all__ = ["MAX_RETRY_AFTER_S", "RetryAfterEstimator"]

MAX_RETRY_AFTER_S = 30
RATE_WINDOW = secs(10)
MIN_WINDOW_S = 0.5
DEFAULT_WINDOW_S = 1.0
MIN_RATE_PER_S = 0.5
SAMPLES = 64
DIGEST_BYTES = 2
DIGEST_VALUES = 65_536


class RetryAfterEstimator:
    """Assigns retry times: each rejected request gets the time at which the next slot is expected to become free."""

    def __init__(self, timers: Timers, samples: int = SAMPLES) -> None:
        self._timers = timers
        self._released_at: deque[timedelta] = deque(maxlen=samples)
        self._next_slot_at = ZERO

    def record_release(self) -> None:
        """Records that a slot became free."""
        self._released_at.append(self._timers.now())

    def seconds(self) -> int:
        """Returns after how many seconds the next rejected client should retry, at least 1."""
        now = self._timers.now()
        recent = [at for at in self._released_at if now - at < RATE_WINDOW]
        window_s = (now - recent[0]) / secs(1) if recent else DEFAULT_WINDOW_S
        rate = max(MIN_RATE_PER_S, len(recent) / max(MIN_WINDOW_S, window_s))
        self._next_slot_at = max(now, self._next_slot_at) + timedelta(seconds=1 / rate)
        if self._next_slot_at > now + secs(MAX_RETRY_AFTER_S):
            self._next_slot_at = now + timedelta(seconds=MAX_RETRY_AFTER_S * self._fraction())
        return max(1, math.ceil((self._next_slot_at - now) / secs(1)))

    def _fraction(self) -> float:
        """Returns a number from 0 to 1, uniformly distributed and derived from the next slot's time."""
        digest = blake2b(repr(self._next_slot_at).encode(), digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(digest, "big") / DIGEST_VALUES
