"""The pipeline step that sends a prompt to an engine and reads the streamed completion."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from ..body_producer import BytesBodyProducer
from ..context import Context
from ..errors import EngineError
from ..timers import secs, spawn
from .engine import Engine, EngineStatus
from .engine_registry import EngineRegistry
from .request_record import RequestRecord
from .request_sender import RequestSender
from .token_stream import TokenStreamReader

__all__ = ["EngineRelay"]

IDLE_CHECK_INTERVAL = secs(1)
GONE_ENGINE_TIMEOUT = secs(3)
IDLE_CHECKS = 2
MAX_ERROR_LENGTH = 200
OK = 200


class _IdleTimeout:
    """Cancels an exchange (one request to an engine and its response) if nothing is received for too long.

    It does so only after two idle checks in a row, so that a process that was suspended first reads the data that
    arrived during the suspension.
    """

    def __init__(self, ctx: Context, is_engine_gone: Callable[[], bool]) -> None:
        self._ctx = ctx
        self._is_engine_gone = is_engine_gone
        self._received_at = ctx.timers.now()
        self._next_check: Any = None
        self._exchange: defer.Deferred[None] | None = None
        self._idle_checks = 0
        self.timed_out = False

    def start(self, exchange: defer.Deferred[None]) -> None:
        """Starts the idle checks. `exchange` fires at the end of the exchange, and is cancelled on a timeout."""
        self._exchange = exchange
        self._next_check = self._ctx.timers.call_later(IDLE_CHECK_INTERVAL, self._check)

    def record_data(self) -> None:
        """Records that data was received."""
        self._received_at = self._ctx.timers.now()

    def stop(self) -> None:
        """Stops watching the exchange."""
        if self._next_check is not None and self._next_check.active():
            self._next_check.cancel()

    def _check(self) -> None:
        self._idle_checks = self._idle_checks + 1 if self._is_idle() else 0
        if self._idle_checks >= IDLE_CHECKS:
            self.timed_out = True
            assert self._exchange is not None
            self._exchange.cancel()
        else:
            self._next_check = self._ctx.timers.call_later(IDLE_CHECK_INTERVAL, self._check)

    def _is_idle(self) -> bool:
        idle_time = self._ctx.timers.now() - self._received_at
        if idle_time > secs(self._ctx.settings.engine_silence_s):
            return True
        return idle_time > GONE_ENGINE_TIMEOUT and self._is_engine_gone()


class EngineRelay:
    """Exchanges prompts and completions with engines, over their OpenAI-style HTTP interface."""

    def __init__(self, ctx: Context, registry: EngineRegistry, sender: RequestSender) -> None:
        self._ctx = ctx
        self._registry = registry
        self._sender = sender

    async def relay(self, request: RequestRecord) -> bool:
        """Pipeline step: sends the request to its engine and reads the response; returns whether to retry it."""
        return await self._sender.send(request, self.exchange)

    async def exchange(self, request: RequestRecord, engine: Engine) -> None:
        """Runs one exchange; aborts it if the engine sends nothing for too long, sooner if the engine is also gone."""
        timeout = _IdleTimeout(self._ctx, lambda: self._registry.status(engine) == EngineStatus.GONE)
        work = spawn(self._send_and_read(request, engine, timeout))
        timeout.start(work)
        try:
            await work
        except Exception:
            work.cancel()
            if timeout.timed_out:
                raise EngineError(f"engine {engine.name} sent no data in time", code="silent") from None
            raise
        finally:
            timeout.stop()

    async def _send_and_read(self, request: RequestRecord, engine: Engine, timeout: _IdleTimeout) -> None:
        headers: dict[str | bytes, str | bytes] = {
            "Content-Type": "application/json",
            "X-Request-Id": request.id,
            "X-Prefix-Key": request.prefix_key,
        }
        body: Any = BytesBodyProducer(_completion_request(request))
        client = self._sender.client_for(request, engine)
        response = await client.http.post(
            f"http://{engine.update.address}/v1/completions",
            data=body,
            unbuffered=True,
            headers=headers,
            allow_redirects=False,
        )
        await self._sender.check_accepted(engine, response)
        if response.code != OK:
            text = await self._sender.discard(response)
            raise EngineError(
                f"engine {engine.name} responded with status {response.code}: {text[:MAX_ERROR_LENGTH]}",
                code="engine_refused",
                outcome="failed",
            )
        reader = TokenStreamReader(request, client.endpoint.abort, timeout.record_data)
        response.deliverBody(reader)
        await reader.finished


def _completion_request(request: RequestRecord) -> bytes:
    content = {
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": True,
    }
    return json.dumps(content).encode()
