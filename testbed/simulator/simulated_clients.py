"""Clients in a simulation: they submit, read and cancel batches and send live requests, at any gateway."""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer

from pipitlink.errors import ApiError, PipitlinkError
from pipitlink.gateway.batch_api import results_page
from pipitlink.gateway.request_record import RequestRecord
from pipitlink.timers import ms, secs, spawn, wall_ms
from pipitlink.wire.lots_pb2 import Item, Lot

from .simulation import SimulatedNode, Simulation

__all__ = ["SimulatedClients"]


class SimulatedClients:
    """Submits, reads and cancels batches and sends live requests; records the events that the checker expects."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.timers = simulation, simulation.timers()
        self.events: list[dict[str, Any]] = []
        self.stopped = False
        self.batches: dict[str, dict[str, Any]] = {}
        self._sent = 0

    def note(self, event: str, **details: Any) -> dict[str, Any]:
        """Records an event with its time, and returns the record."""
        record = {"at": self.simulation.clock.seconds(), "event": event, **details}
        self.events.append(record)
        return record

    def _gateway(self) -> SimulatedNode | None:
        running = self.simulation.role("gateway", alive=True)
        return self.simulation.rng.choice(running) if running else None

    async def _request(
        self, send: Callable[[Any], Coroutine[Any, Any, Any]], limit: float = 6.0, gateway: SimulatedNode | None = None
    ) -> tuple[Any, ApiError | None]:
        """Returns the response or the error; a timeout stands for a killed or frozen gateway, which sends neither."""
        chosen = gateway or self._gateway()
        if chosen is None:
            return None, ApiError("no gateway is running", code="dropped", outcome="unknown")
        try:
            return await self.timers.with_timeout(secs(limit), send(chosen.part)), None
        except ApiError as error:
            return None, error
        except (PipitlinkError, defer.CancelledError) as error:
            return None, ApiError(str(error), code=getattr(error, "code", "dropped"), outcome="unknown")

    async def submit_batches(self) -> None:
        """Submits batches until `stopped` is set."""
        rng = self.simulation.rng
        while not self.stopped:
            await self.timers.sleep(ms(300 + rng.randrange(1200)))
            await self.submit_batch(2 + rng.randrange(8), rng.random() < 0.3)

    async def submit_batch(self, items: int, repeatable: bool = False) -> str | None:
        """Submits one batch; returns its id, or None if that failed."""
        self._sent += 1
        name = f"lot{self._sent}"
        now = wall_ms(self.timers.utc_now())
        prompts = [f"{name}/{i}" for i in range(items)]
        batch = Lot(
            customer=name,
            taken_ms=now,
            limit_ms=now + 3_600_000,
            items=[Item(model="m", prompt=prompt, repeatable=repeatable) for prompt in prompts],
        )
        asked = self.simulation.clock.seconds()
        batch_id, fault = await self._request(lambda part: part.batch_intake.store(batch))
        event = self.note(
            "lot",
            name=name,
            lot=batch_id or "",
            status=201 if batch_id else 503,
            prompts=prompts,
            asked=asked,
            repeatable=repeatable,
            retry=str(fault.retry_after or 1) if fault else None,
            fault=fault and {"outcome": fault.outcome, "code": fault.code},
        )
        if batch_id:
            self.batches[batch_id] = event
        return str(batch_id) if batch_id else None

    async def read_batches(self) -> None:
        """Reads the results of random batches until `stopped` is set."""
        while not self.stopped:
            await self.timers.sleep(ms(100 + self.simulation.rng.randrange(300)))
            if self.batches:
                await self.read_results(self.simulation.rng.choice(list(self.batches)))

    async def read_results(self, batch: str, gateway: SimulatedNode | None = None) -> dict[str, Any]:
        """Reads the results of one batch."""
        asked = self.simulation.clock.seconds()

        async def read(part: Any) -> dict[str, Any]:
            found = await part.results.find_batch(batch)
            results = await part.results.read_results(batch)
            return results_page(batch, found, results, 0)

        page, fault = await self._request(read, gateway=gateway)
        return self.note(
            "results",
            lot=batch,
            asked=asked,
            start=0,
            status=200 if fault is None else fault.status,
            gateway=gateway.name if gateway else "",
            results=page["results"] if page else None,
            state=page["state"] if page else None,
            took=self.simulation.clock.seconds() - asked,
            fault=fault and {"code": fault.code},
        )

    async def cancel_batches(self) -> None:
        """Cancels random batches until `stopped` is set."""
        while not self.stopped:
            await self.timers.sleep(ms(2000 + self.simulation.rng.randrange(4000)))
            if self.batches:
                await self._cancel(self.simulation.rng.choice(list(self.batches)))

    async def _cancel(self, batch: str) -> None:
        state, _ = await self._request(lambda part: part.batch_api.cancel_anywhere(batch), 9.0)
        self.note("lot_ended", lot=batch, status=200 if state else 503, said={"state": state})

    async def send_live_requests(self) -> None:
        """Sends live requests until `stopped` is set."""
        while not self.stopped:
            await self.timers.sleep(ms(150 + self.simulation.rng.randrange(400)))
            self._sent += 1
            spawn(self._send_live_request(f"live{self._sent}", self.simulation.rng.random() < 0.4))

    async def _send_live_request(self, prompt: str, repeatable: bool) -> None:
        asked = self.simulation.clock.seconds()
        started: list[RequestRecord] = []

        async def send(part: Any) -> None:
            request = RequestRecord(
                id=part.runs.new_run_id(),
                model="m",
                prompt=prompt,
                idempotent=repeatable,
                deadline=part._ctx.timers.now() + secs(4),
            )
            request.readers = 1
            started.append(request)
            await part.pipeline.run(request)

        await self._request(send, 5.5)
        fault = _error_from(started)
        self.note(
            "told",
            prompt=prompt,
            repeatable=repeatable,
            asked=asked,
            gateway="",
            limit=4,
            slow=1,
            status=200,
            pieces=list(enumerate(started[0].chunks)) if started else [],
            end=fault is None,
            fault=fault,
        )

    async def disturb_engines(self) -> None:
        """Crashes, drains and silences random engines until `stopped` is set."""
        rng = self.simulation.rng
        while not self.stopped:
            await self.timers.sleep(ms(1500 + rng.randrange(3000)))
            engine = rng.choice(list(self.simulation.engines.values()))
            await self._disturb(engine, rng.choice(("crash", "leave", "silent")))

    async def _disturb(self, engine: Any, kind: str) -> None:
        if kind == "silent":
            engine.silent = True
            await self.timers.sleep(secs(5))
            engine.silent = False
            engine.note("heard")
            return
        if kind == "leave":
            engine.leave()
            await self.timers.sleep(secs(3))
        engine.crash()
        await self.timers.sleep(secs(1))
        engine.open()


def _error_from(started: list[RequestRecord]) -> dict[str, Any] | None:
    """Returns the code and outcome of a live request's error; None if the request succeeded."""
    if not started or not started[0].settled:
        return {"code": "dropped", "outcome": "unknown"}
    error = started[0].error
    return None if error is None else {"code": error.code, "outcome": started[0].outcome}
